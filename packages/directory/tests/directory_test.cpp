#include "balsammount/directory.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;

namespace {

NodeRecord Record(const std::string& aId, uint64_t aStarted = 1, uint64_t aSequence = 1)
{
  NodeRecord record;
  record.mNodeId = aId;
  record.mStarted = aStarted;
  record.mSequence = aSequence;
  record.mAddress = "10.0.0.1";
  record.mPort = 7620;
  record.mService = "orders";
  record.mServing = true;
  return record;
}

} // namespace

TEST_GROUP(Directory)
{
  ManualClock mClock;
  Directory mDirectory{ mClock, "self" };

  std::string Changes()
  {
    std::string text;
    for (const DirectoryChange& change : mDirectory.TakeChanges()) {
      text += (change.mRemoved ? "-" : "+") + change.mRecord.mNodeId + " ";
    }
    return text;
  }

  std::string ProbedNodes()
  {
    std::string text;
    for (const NodeRecord& record : mDirectory.TakeDueProbes()) {
      text += record.mNodeId + " ";
    }
    return text;
  }
};

// Guards against a node that was restarted while the store was away and is not used until the store
// is back (incident inc-c998: all nodes of a service were restarted within four seconds of an
// outage).
TEST(Directory, ProbesListedLeavingNodeDuringStoreOutage)
{
  NodeRecord record = Record("b", 1, 1);
  mDirectory.OnList({ record });
  CHECK_EQUAL(0, mDirectory.TakeDueProbes().size());
  record.mSequence = 2;
  record.mLeaving = true;
  mDirectory.OnConfirmed(record);
  mClock.Advance(1s);
  CHECK_EQUAL(0, mDirectory.TakeDueProbes(false).size());
  CHECK_EQUAL(1, mDirectory.TakeDueProbes(true).size());
  mDirectory.OnProbeFailed("b");
  mDirectory.OnProbeFailed("b");
  mClock.Advance(1s);
  CHECK_EQUAL(1, mDirectory.TakeDueProbes(true).size());
  mDirectory.TakeChanges();
  mDirectory.OnConfirmed(Record("b", 2, 1));
  const auto changes = mDirectory.TakeChanges();
  CHECK_EQUAL(1, changes.size());
  CHECK_FALSE(changes[0].mRecord.mLeaving);
}

// Guards against nodes that are missed, repeated or reported about themselves.
TEST(Directory, FollowsStoreList)
{
  mDirectory.OnList({ Record("a"), Record("b"), Record("self", 5) });
  STRCMP_EQUAL("+a +b ", Changes().c_str());
  mDirectory.OnList({ Record("a"), Record("b") });
  STRCMP_EQUAL("", Changes().c_str());
  POINTERS_EQUAL(nullptr, mDirectory.OwnListedRecord());
  mDirectory.OnListed(Record("a", 1, 2));
  STRCMP_EQUAL("+a ", Changes().c_str());
  CHECK_EQUAL(2, mDirectory.Nodes().size());
}

// Guards against nodes that are lost to callers because their entries lapsed in an outage.
TEST(Directory, KeepsLiveNodeWithExpiredEntry)
{
  mDirectory.OnList({ Record("a"), Record("b") });
  Changes();
  mDirectory.OnUnlisted("a");
  mDirectory.OnUnlisted("b");
  STRCMP_EQUAL("", Changes().c_str());
  STRCMP_EQUAL("a b ", ProbedNodes().c_str());
  STRCMP_EQUAL("", ProbedNodes().c_str());
  mDirectory.OnConfirmed(Record("a"));
  mDirectory.OnProbeFailed("b");
  mClock.Advance(1s);
  STRCMP_EQUAL("a b ", ProbedNodes().c_str());
  mDirectory.OnProbeFailed("b");
  STRCMP_EQUAL("-b ", Changes().c_str());
  mDirectory.OnListed(Record("a"));
  mClock.Advance(2s);
  STRCMP_EQUAL("", ProbedNodes().c_str());
}

// Guards against a delayed entry that takes back what the node has said of itself since.
TEST(Directory, IgnoresStaleListEntry)
{
  mDirectory.OnListed(Record("a", 1, 1));
  NodeRecord leaving = Record("a", 1, 3);
  leaving.mServing = false;
  mDirectory.OnConfirmed(leaving);
  Changes();
  mDirectory.OnListed(Record("a", 1, 2));
  STRCMP_EQUAL("", Changes().c_str());
  CHECK_FALSE(mDirectory.Nodes().front().mServing);
  mDirectory.OnListed(Record("a", 2, 1));
  STRCMP_EQUAL("+a ", Changes().c_str());
}

// Guards against a node that is taken over by hearsay although it is gone.
TEST(Directory, ProbesReportedNodeBeforeUse)
{
  mDirectory.OnReported(Record("a"));
  STRCMP_EQUAL("", Changes().c_str());
  CHECK(mDirectory.Nodes().empty());
  STRCMP_EQUAL("a ", ProbedNodes().c_str());
  mDirectory.OnConfirmed(Record("a"));
  STRCMP_EQUAL("+a ", Changes().c_str());
}

// Guards against an announced end that is taken for an outage.
TEST(Directory, RemovesUnlistedLeavingNodeImmediately)
{
  NodeRecord leaving = Record("a");
  leaving.mLeaving = true;
  mDirectory.OnListed(leaving);
  mDirectory.OnUnlisted("a");
  STRCMP_EQUAL("+a -a ", Changes().c_str());
  CHECK_EQUAL(0, mDirectory.Size());
}

// Guards against entries of other writers that are half understood.
TEST(Directory, RejectsMalformedRecords)
{
  const std::string text = EncodeNodeRecord(Record("a"));
  CHECK(DecodeNodeRecord(text).value() == Record("a"));
  CHECK(DecodeNodeRecord("\xff\x00").error().mCode == DirectoryError::Malformed);
  CHECK(DecodeNodeRecord("{}").error().mCode == DirectoryError::MissingField);
  std::string wrongType = text;
  wrongType.replace(wrongType.find("7620"), 4, "\"x\"");
  CHECK(DecodeNodeRecord(wrongType).error().mCode == DirectoryError::WrongType);
  size_t skipped = 0;
  CHECK_EQUAL(1, DecodeNodeRecords("[" + text + ",{}]", skipped)->size());
  CHECK_EQUAL(1, skipped);
}

// Guards against a fleet whose calls to the store grow with the square of its size while its nodes
// restart: each change is a call by each node.
TEST(Directory, ListUpdateIntervalGrowsWithFleet)
{
  CHECK(MinListUpdateInterval(17) == 204ms);
  CHECK(MinListUpdateInterval(1) == 100ms);
  for (const size_t nodes : { 30U, 85U, 300U, 500U }) {
    const double calls = static_cast<double>(nodes) * 1000.0 /
                         static_cast<double>(MinListUpdateInterval(nodes).count());
    CHECK(calls < 100);
  }
  // A change has to be known everywhere in 14 s in the largest fleet.
  CHECK(MinListUpdateInterval(1400) <= 7s);
}
