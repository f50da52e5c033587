#include "balsammount/config_push.h"
#include "balsammount/fake_store.h"
#include "balsammount/random.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;

namespace {

FileMap Files(const std::string& aRatio = "0.1")
{
  return { { "a.json",
             R"({"services": {"s": {"paths": ["/s"], "slots": 1, "max_connections": 1}}})" },
           { "b.json", R"({"ranks": {"r": {"target_ms": 1, "worth": 1}}})" },
           { "c.json", R"({"retries": {"s": {"ratio": )" + aRatio + "}}}" } };
}

} // namespace

TEST_GROUP(ConfigPush)
{
  ManualClock mClock;
  FakeStore mStore{ mClock };
  std::function<void()> mOnStep;
  BlockingStore mBlocking{ mStore, mClock, [this] {
                            mClock.Advance(50ms);
                            if (mOnStep) {
                              mOnStep();
                            }
                            mStore.Poll();
                          } };

  std::optional<ConfigRevision> Stored()
  {
    const ModelEntry* entry = mStore.Model().Find(kConfigKey);
    return entry ? std::optional(DecodeRevision(entry->mValue).value()) : std::nullopt;
  }

  PushOutcome<PushResult> Push(const std::string& aChangeId, FileMap aFiles,
                               std::optional<ConfigRevision> aBase, bool aRestore = false,
                               uint64_t aAboveRevision = 0)
  {
    return PushConfig(mBlocking, { std::move(aFiles),
                                   std::move(aBase),
                                   { aChangeId, "author", {} },
                                   aRestore,
                                   aAboveRevision });
  }

  // Writes a change by another author at once.
  void ChangeByOther(const std::string& aChangeId, FileMap aFiles)
  {
    const auto previous = Stored();
    const ConfigRevision next = NextRevision(previous ? &*previous : nullptr, 0, std::move(aFiles),
                                             { aChangeId, "other", {} });
    mStore.Model().Put(kConfigKey, EncodeRevision(next).value(), kNoLease);
  }
};

// Guards against requiring a base for the first push, and against a write when nothing changed.
TEST(ConfigPush, FirstPushAndNoChange)
{
  const auto first = Push("c1", Files(), std::nullopt);
  CHECK_EQUAL(1, first->mRevision.mRevision);
  CHECK(*Stored() == first->mRevision);
  CHECK_FALSE(Push("c2", Files(), first->mRevision)->mChanged);
  CHECK(Push("c3", Files("0.2"), std::nullopt).error().mCode == PushError::NoBase);
  CHECK_EQUAL(1, Stored()->mRevision);
}

// Guards against lost updates when others change the configuration concurrently.
TEST(ConfigPush, MergesOrReportsConflict)
{
  const auto base = Push("c1", Files(), std::nullopt)->mRevision;
  FileMap theirs = Files();
  theirs["d.json"] = R"({"limits": {"s": {"max_queue": 3}}})";
  mOnStep = [&] {
    ChangeByOther("other", theirs);
    mOnStep = nullptr;
  };
  const auto merged = Push("c2", Files("0.2"), base);
  CHECK(merged->mMerged);
  CHECK(Stored()->mFiles.contains("d.json"));
  CHECK(Stored()->mFiles.at("c.json") == Files("0.2").at("c.json"));
  CHECK_EQUAL(3, Stored()->mRevision);
  const auto conflict = Push("c3", Files("0.3"), base);
  CHECK(conflict.error().mCode == PushError::Conflict);
  STRCMP_EQUAL("c.json", conflict.error().mConflicts.at(0).mFile.c_str());
  CHECK_EQUAL(3, Stored()->mRevision);
}

// Guards against pushing a merge that is invalid although both sides are valid.
TEST(ConfigPush, ValidatesMergedFiles)
{
  const auto base = Push("c1", Files(), std::nullopt)->mRevision;
  FileMap theirs = Files();
  theirs["d.json"] = R"({"ranks": {"x": {"target_ms": 1, "worth": 2, "floor": 0.6}}})";
  ChangeByOther("other", theirs);
  FileMap mine = Files();
  mine["e.json"] = R"({"ranks": {"y": {"target_ms": 1, "worth": 3, "floor": 0.6}}})";
  const auto result = Push("c2", mine, base);
  CHECK(result.error().mCode == PushError::InvalidFiles);
  CHECK_EQUAL(2, result.error().mDiagnostics.size());
  CHECK_EQUAL(2, Stored()->mRevision);
}

// Guards against a write whose response is lost being reported as failed or applied twice, also
// when another write follows it.
TEST(ConfigPush, ResolvesALostResponse)
{
  const auto base = Push("c1", Files(), std::nullopt)->mRevision;
  mStore.mFaults.mLoseAnswers = true;
  const auto lost = Push("c2", Files("0.2"), base);
  CHECK(lost->mRevision == *Stored());
  CHECK_EQUAL(2, Stored()->mRevision);
  mOnStep = [&] {
    if (FindChange(*Stored(), "c3")) {
      FileMap files = Stored()->mFiles;
      files["d.json"] = "{}";
      ChangeByOther("other", files);
      mOnStep = nullptr;
    }
  };
  const auto followed = Push("c3", Files("0.3"), lost->mRevision);
  CHECK_EQUAL(3, followed->mRevision.mRevision);
  CHECK_EQUAL(4, Stored()->mRevision);
}

// Guards against revisions that nodes reject after the store has lost its data.
TEST(ConfigPush, RestoresAboveEarlierRevisions)
{
  ChangeByOther("o1", Files());
  ChangeByOther("o2", Files("0.2"));
  const ConfigRevision base = *Stored();
  mStore.Model().Delete(kConfigKey);
  CHECK(Push("c1", Files("0.3"), base).error().mCode == PushError::RolledBack);
  CHECK_EQUAL(3, Push("c2", Files("0.3"), base, true)->mRevision.mRevision);
  mStore.Model().Put(kConfigKey, "damaged", kNoLease);
  CHECK(Push("c3", Files(), base).error().mCode == PushError::InvalidStore);
  CHECK_EQUAL(10, Push("c4", Files(), base, true, 9)->mRevision.mRevision);
}

// Guards against reporting an outage as an uncertain outcome, and against endless retries.
TEST(ConfigPush, OutageIsBounded)
{
  mStore.mFaults.mDown = true;
  const SteadyTime start = mClock.Now();
  CHECK(Push("c1", Files(), std::nullopt).error().mCode == PushError::Unreachable);
  CHECK(mClock.Now() - start < 30s);
}

// Guards against a push that reports the wrong outcome, is applied twice, loses another change or
// lowers the revision. Lost responses, outages and concurrent writes are injected at random.
TEST(ConfigPush, RandomFaultsNeverMisreport)
{
  size_t applied = 0;
  size_t refused = 0;
  for (uint64_t seed = 1; seed <= 400; ++seed) {
    Random random(seed);
    mStore.mFaults = {};
    mOnStep = nullptr;
    mStore.Model().Delete(kConfigKey);
    const auto base = Push("base", Files(), std::nullopt)->mRevision;
    const bool othersConflict = random.Below(3) == 0;
    uint64_t others = 0;
    uint64_t highest = 1;
    mOnStep = [&] {
      if (random.Below(6) == 0) {
        mStore.mFaults = { .mDown = random.Below(3) == 0,
                           .mLoseAnswers = random.Below(2) == 0,
                           .mDelay = random.Below(4) == 0 ? 3s : 0s };
      }
      if (random.Below(8) == 0 && others < 40) {
        FileMap files = Stored()->mFiles;
        const bool conflicts = othersConflict && !FindChange(*Stored(), "mine");
        files[conflicts ? "c.json" : "d.json"] =
          R"({"limits": {"s": {"max_queue": )" + std::to_string(++others) + "}}}";
        ChangeByOther("o" + std::to_string(others), files);
      }
      CHECK(Stored()->mRevision >= highest);
      highest = Stored()->mRevision;
    };
    const auto result = Push("mine", Files("0.2"), base);
    const bool isStored = FindChange(*Stored(), "mine") != nullptr;
    if (result) {
      CHECK(isStored);
      CHECK(Stored()->mFiles.at("c.json") == Files("0.2").at("c.json"));
      CHECK_EQUAL(FindChange(*Stored(), "mine")->mRevision, result->mRevision.mRevision);
      ++applied;
    } else if (result.error().mCode != PushError::UnknownOutcome) {
      CHECK_FALSE(isStored);
      ++refused;
    }
    // The base, the others' changes and at most one change of this push.
    CHECK_EQUAL(1 + others + (isStored ? 1 : 0), Stored()->mRevision);
    if (others > 0 && !othersConflict) {
      CHECK(Stored()->mFiles.at("d.json").find(std::to_string(others)) != std::string::npos);
    }
    mClock.Advance(10s);
    mOnStep = nullptr;
    mStore.Poll();
  }
  CHECK(applied > 100);
  CHECK(refused > 10);
}
