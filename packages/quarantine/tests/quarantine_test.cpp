#include "balsammount/hash.h"
#include "balsammount/quarantine.h"
#include "balsammount/random.h"

#include <algorithm>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;

namespace {

constexpr Fingerprint kSuspect{ 1000 };

SuspectRecord RandomRecord(Random& aRandom, WallMillis aNow, uint64_t aFingerprints)
{
  SuspectRecord record{ Fingerprint{ aRandom.Below(aFingerprints) }, 0, {} };
  if (aRandom.Below(8) == 0) {
    record.mReleasedAt = aNow - static_cast<WallMillis>(aRandom.Below(60'000));
  }
  for (uint64_t i = aRandom.Below(kMaxCrashes); i > 0; --i) {
    const WallMillis at = aNow - static_cast<WallMillis>(aRandom.Below(60)) * 1000;
    const auto started = at - static_cast<WallMillis>(aRandom.Below(3)) * 500;
    const bool cleared = aRandom.Below(3) == 0;
    record.mCrashes.push_back(
      { at, aRandom.Below(3), started,
        cleared ? std::min(aNow, at + static_cast<WallMillis>(aRandom.Below(9)) * 1000) : 0 });
  }
  return record;
}

} // namespace

// Ten nodes. The id of a request equals its fingerprint.
TEST_GROUP(Quarantine)
{
  ManualClock mClock;
  std::vector<std::unique_ptr<Quarantine>> mNodes;
  QuarantinePolicy mPolicy;

  void setup() override
  {
    for (uint64_t i = 0; i < 10; ++i) {
      mNodes.push_back(std::make_unique<Quarantine>(mClock, i, mPolicy));
    }
  }

  void Dispatch(size_t aNode, uint64_t aFirst, uint64_t aCount)
  {
    for (uint64_t i = aFirst; i < aFirst + aCount; ++i) {
      mNodes[aNode]->OnDispatch(i, Fingerprint{ i });
    }
  }

  void Complete(size_t aNode, uint64_t aFirst, uint64_t aCount)
  {
    for (uint64_t i = aFirst; i < aFirst + aCount; ++i) {
      mNodes[aNode]->OnEnd(i, true);
    }
  }

  // Every node sends all its records to every other node.
  void Exchange()
  {
    for (const auto& from : mNodes) {
      const auto bytes = from->EncodeAll();
      for (const auto& to : mNodes) {
        CHECK(to->Merge(bytes).has_value());
      }
    }
  }

  SuspectState StateOn(size_t aNode, uint64_t aFingerprint) const
  {
    for (const SuspectView& view : mNodes[aNode]->List()) {
      if (view.mRecord.mFingerprint == Fingerprint{ aFingerprint }) {
        return view.mState;
      }
    }
    return SuspectState::Cleared;
  }

  size_t CountQuarantined(size_t aNode) const
  {
    const auto list = mNodes[aNode]->List();
    return static_cast<size_t>(std::count_if(list.begin(), list.end(), [](const auto& aView) {
      return aView.mState == SuspectState::Quarantined;
    }));
  }

  // Two consecutive crashes with only kSuspect in flight.
  void CrashTwoServers()
  {
    for (size_t node = 0; node < 2; ++node) {
      mNodes[node]->OnDispatch(1000, kSuspect);
      mClock.Advance(10ms);
      CHECK_EQUAL(1U, mNodes[node]->OnServerCrash());
      mClock.Advance(1s);
    }
    Exchange();
  }
};

// Guards against a request that crashes one server after another, and against quarantining the 50
// requests that shared the first server with it, some of which share the second one as well.
TEST(Quarantine, QuarantinesOnlyTheCrashingRequest)
{
  Dispatch(0, 1, 50);
  mNodes[0]->OnDispatch(1000, kSuspect);
  mClock.Advance(20ms);
  CHECK_EQUAL(51U, mNodes[0]->OnServerCrash());
  Exchange();
  CHECK(StateOn(5, 7) == SuspectState::Suspect);
  CHECK_FALSE(mNodes[5]->IsQuarantined(kSuspect));

  mClock.Advance(400ms); // all are retried, ten on each of five servers
  for (size_t node = 1; node <= 5; ++node) {
    Dispatch(node, (node - 1) * 10 + 1, 10);
  }
  mClock.Advance(30ms);
  for (size_t node = 1; node <= 5; ++node) {
    Complete(node, (node - 1) * 10 + 1, 10);
  }
  Dispatch(1, 1, 10); // some run once more, together with kSuspect
  mNodes[1]->OnDispatch(1000, kSuspect);
  mClock.Advance(20ms);
  mNodes[1]->OnServerCrash();
  Exchange();
  for (size_t node = 0; node < 10; ++node) {
    CHECK(mNodes[node]->IsQuarantined(kSuspect));
    CHECK_EQUAL(1U, CountQuarantined(node));
    CHECK_FALSE(mNodes[node]->IsQuarantined(Fingerprint{ 5 }));
    CHECK(StateOn(node, 30) == SuspectState::Cleared);
  }
  CHECK(mNodes[3]->RetryAfter(kSuspect) == 10min);
  mClock.Advance(10min);
  CHECK_FALSE(mNodes[3]->IsQuarantined(kSuspect));
}

// Guards against quarantining all requests that share the only other server with the crashing one.
// They are held for seconds and then complete, and only the third crash quarantines.
TEST(Quarantine, CandidatesOfOneCrashAreHeldBriefly)
{
  for (size_t node = 0; node < 2; ++node) {
    mClock.Advance(1s);
    Dispatch(node, 1, 20);
    mNodes[node]->OnDispatch(1000, kSuspect);
    mClock.Advance(20ms);
    mNodes[node]->OnServerCrash();
    Exchange();
  }
  CHECK_EQUAL(0U, CountQuarantined(4));
  CHECK(StateOn(4, 1000) == SuspectState::Held);
  CHECK(StateOn(4, 3) == SuspectState::Held);
  mClock.Advance(20s);
  CHECK_FALSE(mNodes[4]->IsQuarantined(Fingerprint{ 3 }));
  Dispatch(4, 1, 20);
  mClock.Advance(20ms);
  Complete(4, 1, 20);
  Exchange();
  CHECK_EQUAL(0U, CountQuarantined(4)); // not quarantined by elimination
  mNodes[4]->OnDispatch(1000, kSuspect);
  mNodes[4]->OnServerCrash();
  Exchange();
  CHECK_EQUAL(1U, CountQuarantined(7));
  CHECK(mNodes[7]->IsQuarantined(kSuspect));
}

// Guards against false quarantines when servers fail together for another reason with the same
// popular requests in flight, and clocks differ by less than the tolerance.
TEST(Quarantine, RackLossQuarantinesNothing)
{
  for (size_t node = 0; node < 4; ++node) {
    Dispatch(node, 1, 5);
  }
  Dispatch(0, 50, 1); // a single shared request would be the only candidate
  Dispatch(1, 50, 1);
  for (size_t node = 0; node < 4; ++node) {
    mClock.Advance(80ms);
    mNodes[node]->OnServerCrash();
  }
  Exchange();
  CHECK_EQUAL(0U, CountQuarantined(9));
  CHECK(StateOn(9, 3) == SuspectState::Suspect);
}

// Guards against quarantining a popular request after two unrelated crashes. It completes in
// between, on a node that learns of the first crash only after the second.
TEST(Quarantine, PopularRequestIsClearedBetweenCrashes)
{
  Dispatch(0, 1, 1);
  mNodes[0]->OnServerCrash();
  mClock.Advance(500ms);
  Dispatch(1, 1, 1);
  Complete(1, 1, 1);
  mClock.Advance(500ms);
  Dispatch(1, 1, 1);
  mNodes[1]->OnServerCrash();
  Exchange();
  CHECK(StateOn(9, 1) == SuspectState::Suspect);
  CHECK_FALSE(mNodes[9]->IsQuarantined(Fingerprint{ 1 }));
}

// Guards against holding a popular request because a server crashes again within the clock
// tolerance. If it were held everywhere, no completed run could clear it.
TEST(Quarantine, PopularRequestIsNotHeldWhenServerKeepsCrashing)
{
  const auto run = [this](size_t aNode) {
    mNodes[aNode]->OnDispatch(1000, kSuspect);
    mClock.Advance(5ms);
    mNodes[aNode]->OnEnd(1000, true);
  };
  run(0);
  run(1);
  for (int crash = 0; crash < 3; ++crash) {
    mNodes[0]->OnDispatch(1000, kSuspect);
    mClock.Advance(5ms);
    mNodes[0]->OnServerCrash();
    Exchange();
    mClock.Advance(mPolicy.mClockTolerance);
  }
  CHECK_FALSE(mNodes[0]->IsQuarantined(kSuspect));
  CHECK_FALSE(mNodes[1]->IsQuarantined(kSuspect));
  run(1);
  Exchange();
  CHECK(StateOn(0, 1000) == SuspectState::Cleared);
  // Nodes that have never completed it learn of this, too.
  CHECK(StateOn(5, 1000) == SuspectState::Cleared);
}

// Guards against older records that undo a release, in whichever order nodes learn of them.
TEST(Quarantine, ReleaseOverridesOlderRecords)
{
  CrashTwoServers();
  CHECK(mNodes[6]->IsQuarantined(kSuspect));
  const auto old = mNodes[3]->EncodeAll();
  mNodes[5]->Release(kSuspect);
  CHECK_FALSE(mNodes[5]->IsQuarantined(kSuspect));
  Exchange();
  Quarantine late(mClock, 77, mPolicy);
  CHECK(late.Merge(mNodes[5]->EncodeAll()).has_value());
  CHECK_EQUAL(0U, *late.Merge(old));
  CHECK_FALSE(late.IsQuarantined(kSuspect));
  CHECK_EQUAL(0U, *mNodes[2]->Merge(old));
  CHECK(StateOn(2, 1000) == SuspectState::Released);
  CrashTwoServers(); // new evidence counts
  CHECK(mNodes[2]->IsQuarantined(kSuspect));
  mClock.Advance(21min); // all evidence expires
  CHECK(mNodes[2]->TakeGossip(1000).empty());
  CHECK_EQUAL(0U, mNodes[2]->Size());
}

// Guards against nodes that differ permanently because messages arrived reordered or repeated.
TEST(Quarantine, MergeOrderDoesNotMatter)
{
  const WallMillis now =
    std::chrono::duration_cast<std::chrono::milliseconds>(mClock.WallNow().time_since_epoch())
      .count();
  for (uint64_t seed = 0; seed < 300; ++seed) {
    Random random(seed);
    std::vector<SuspectRecord> records;
    records.reserve(60);
    for (int i = 0; i < 60; ++i) {
      records.push_back(RandomRecord(random, now, 8));
    }
    Quarantine left(mClock, 1, mPolicy);
    Quarantine right(mClock, 2, mPolicy);
    left.MergeRecords(records);
    for (size_t i = records.size(); i > 1; --i) {
      std::swap(records[i - 1], records[random.Below(i)]);
    }
    for (const SuspectRecord& record : records) {
      right.MergeRecords({ &record, 1 });
      right.MergeRecords({ &records[random.Below(records.size())], 1 });
    }
    CHECK(left.List() == right.List());
    CHECK_EQUAL(0U, *left.Merge(right.EncodeAll()));
  }
}

// Guards against unbounded memory, and against a flood of suspects that displaces a quarantined
// request or a release.
TEST(Quarantine, NumberOfRecordsIsBounded)
{
  CrashTwoServers();
  mNodes[0]->Release(Fingerprint{ 5 });
  const size_t limit = mPolicy.mMaxRecords;
  for (uint64_t repetition = 0; repetition < 20; ++repetition) {
    Dispatch(0, 10'000 + repetition * 5000, 5000);
    CHECK(mNodes[0]->OnServerCrash() <= mPolicy.mMaxInFlight);
    CHECK(mNodes[0]->Size() <= limit);
    CHECK(mNodes[1]->Merge(mNodes[0]->EncodeAll()).has_value());
    CHECK(mNodes[1]->Size() <= limit);
    mClock.Advance(1s);
  }
  CHECK(mNodes[0]->IsQuarantined(kSuspect));
  CHECK(mNodes[1]->IsQuarantined(kSuspect));
  CHECK(StateOn(0, 5) == SuspectState::Released);
}

// Guards against oversized datagrams, and against records that are never sent or sent forever.
TEST(Quarantine, GossipFitsDatagramsAndEnds)
{
  Dispatch(0, 1, 100);
  mNodes[0]->OnServerCrash();
  size_t messages = 0;
  for (auto bytes = mNodes[0]->TakeGossip(400); !bytes.empty();
       bytes = mNodes[0]->TakeGossip(400)) {
    CHECK(bytes.size() <= 400);
    CHECK(mNodes[1]->Merge(bytes).has_value());
    ++messages;
  }
  CHECK(messages >= mPolicy.mMaxTransmissions);
  CHECK(mNodes[0]->List() == mNodes[1]->List());
  CHECK(mNodes[0]->TakeGossip(10).empty());
}

// Guards against crashes, unbounded recursion and silent acceptance of corrupted input.
TEST(Quarantine, DecoderHandlesMutatedInput)
{
  for (uint64_t seed = 0; seed < 20000; ++seed) {
    Random random(seed);
    std::vector<SuspectRecord> records;
    records.reserve(4);
    for (int i = 0; i < 4; ++i) {
      records.push_back(RandomRecord(random, 3'600'000, 100));
    }
    auto bytes = EncodeSuspects(records);
    CHECK(*DecodeSuspects(bytes) == records);
    for (uint64_t i = 1 + random.Below(4); i > 0 && !bytes.empty(); --i) {
      const auto position = bytes.begin() + static_cast<ptrdiff_t>(random.Below(bytes.size()));
      switch (random.Below(3)) {
        case 0:
          *position = static_cast<uint8_t>(random.Next());
          break;
        case 1:
          bytes.erase(position, random.Below(2) == 0 ? position + 1 : bytes.end());
          break;
        default:
          bytes.insert(position, static_cast<uint8_t>(random.Next()));
          break;
      }
    }
    if (const auto decoded = DecodeSuspects(bytes)) {
      for (const SuspectRecord& record : *decoded) {
        CHECK(record.mCrashes.size() <= kMaxCrashes);
      }
      mNodes[0]->MergeRecords(*decoded);
    } else {
      STRCMP_EQUAL("balsammount.quarantine", decoded.error().mCode.category().name());
    }
  }
  const auto code = [](const std::vector<uint8_t>& aBytes) {
    return DecodeSuspects(aBytes).error().mCode;
  };
  CHECK(code({}) == QuarantineError::BadEncoding);
  CHECK(code({ 0xc1 }) == QuarantineError::BadEncoding);
  CHECK(code({ 0x93, 0x02, 0x90, 0x90 }) == QuarantineError::BadVersion);
  CHECK(code({ 0x92, 0x01, 0x90 }) == QuarantineError::Malformed);
  CHECK(code({ 0xdd, 0xff, 0xff, 0xff, 0xff }) == QuarantineError::Malformed);
  CHECK(code(std::vector<uint8_t>(200'000, 0x91)) == QuarantineError::Malformed);
  CHECK(code(std::vector<uint8_t>(300'000, 0x91)) == QuarantineError::TooLarge);
}

// Guards against a peer whose clock is far ahead, so that its release would apply for years.
TEST(Quarantine, IgnoresFutureRecords)
{
  CrashTwoServers();
  const WallMillis far = 16'000'000'000'000;
  const std::vector<SuspectRecord> records = { { kSuspect, far, {} },
                                               { Fingerprint{ 2 }, 0, { { far, 1, far, 0 } } } };
  CHECK_EQUAL(0U, mNodes[0]->MergeRecords(records));
  CHECK(mNodes[0]->IsQuarantined(kSuspect));
  CHECK(MakeFingerprint("s", "GET", "/a", "", "b") != MakeFingerprint("s", "GET", "/ab", "", ""));
}
