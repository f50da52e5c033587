#include "balsammount/key_memory.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;

namespace {

constexpr const char* kNewUuid = "00000036-ee88-7abc-8def-0123456789ab"; // created at 3,600,008 ms

BeginDecision Decide(KeyMemory& aMemory, const KeyRequest& aRequest, uint64_t aWaiter = 0)
{
  return aMemory.Begin(aRequest, aWaiter).value().mDecision;
}

} // namespace

TEST_GROUP(KeyMemory)
{
  ManualClock mClock;
  KeyMemory mMemory{ mClock, "orders" };
  KeyRequest mRequest{ "caller", "key", 1 };
};

// Guards against a second execution of a running or completed key, and against lost waiters.
TEST(KeyMemory, JoinsAndReplays)
{
  CHECK(Decide(mMemory, mRequest) == BeginDecision::Execute);
  CHECK(Decide(mMemory, mRequest, 7) == BeginDecision::JoinRunning);
  CHECK(Decide(mMemory, mRequest, 8) == BeginDecision::JoinRunning);
  mMemory.CancelWaiter(mRequest, 7);
  const auto waiters = mMemory.Complete(mRequest, { 201, { { "a", "b" } }, "body" });
  CHECK(waiters.value() == std::vector<uint64_t>{ 8 });
  mClock.Advance(10min);
  const auto replay = mMemory.Begin(mRequest, 0).value();
  CHECK(replay.mDecision == BeginDecision::Replay);
  CHECK(*replay.mResponse == (RecordedResponse{ 201, { { "a", "b" } }, "body" }));
  mClock.Advance(1min);
  CHECK(Decide(mMemory, mRequest) == BeginDecision::Execute);
}

// Guards against the replay of a response to a different request with the same key.
TEST(KeyMemory, RejectsReuseForAnotherRequest)
{
  CHECK(Decide(mMemory, mRequest) == BeginDecision::Execute);
  KeyRequest other = mRequest;
  other.mFingerprint = 2;
  CHECK(mMemory.Begin(other, 0).error().mCode == OwnershipError::FingerprintMismatch);
  CHECK(RequestFingerprint("POST", "/a", "b") != RequestFingerprint("POST", "/ab", ""));
}

// Guards against a full memory that drops a record before its retention ends, and against bytes
// that stay allocated after their record has expired.
TEST(KeyMemory, RefusesWhenFull)
{
  KeyMemoryPolicy policy;
  policy.mMaxRecords = 2;
  KeyMemory memory(mClock, "orders", policy);
  CHECK(Decide(memory, { "c", "1", 1 }) == BeginDecision::Execute);
  CHECK(Decide(memory, { "c", "2", 1 }) == BeginDecision::Execute);
  CHECK(Decide(memory, { "c", "3", 1 }) == BeginDecision::Full);
  CHECK(memory.MarkUnknown({ "c", "1", 1 }).has_value());
  CHECK(memory.Abandon({ "c", "2", 1 }).has_value());
  CHECK(Decide(memory, { "c", "1", 1 }) == BeginDecision::Unknown);
  CHECK(Decide(memory, { "c", "2", 1 }) == BeginDecision::Execute);
  CHECK(memory.Abandon({ "c", "2", 1 }).has_value());
  mClock.Advance(11min);
  CHECK(Decide(memory, { "c", "3", 1 }) == BeginDecision::Execute);
  CHECK(memory.Abandon({ "c", "3", 1 }).has_value());
  LONGS_EQUAL(0, memory.Bytes());
  CHECK(memory.Abandon({ "c", "3", 1 }).error().mCode == OwnershipError::UnknownKey);
}

// Guards against a second execution of a key whose response was too large to record.
TEST(KeyMemory, KeepsRecordOfTooLargeResponse)
{
  CHECK(Decide(mMemory, mRequest) == BeginDecision::Execute);
  CHECK(mMemory.Complete(mRequest, { 200, {}, std::string(70'000, 'x') }).has_value());
  CHECK(Decide(mMemory, mRequest) == BeginDecision::CompletedWithoutResponse);
}

// Guards against the execution of a key that a crashed owner may have executed, and against a
// cutoff that never expires.
TEST(KeyMemory, ReportsUnknownAfterTakeover)
{
  const ShardId shard = mMemory.Shard("caller", "key");
  mMemory.SetCutoff(shard);
  CHECK(Decide(mMemory, mRequest) == BeginDecision::Unknown);
  mClock.Advance(10min);
  CHECK(Decide(mMemory, mRequest) == BeginDecision::Unknown);
  mClock.Advance(1min);
  CHECK(Decide(mMemory, mRequest) == BeginDecision::Execute);
}

// Guards against a UUIDv7 that is accepted as new although its time is within the clock skew of the
// takeover, or further in the future than the skew allows.
TEST(KeyMemory, AcceptsUuidV7AfterTakeoverPlusSkew)
{
  const KeyRequest request{ "caller", kNewUuid, 1 };
  CHECK(*UuidV7Time(kNewUuid) == WallTime(3'600'008ms));
  CHECK_FALSE(UuidV7Time("00000036-ee88-4abc-8def-0123456789ab").has_value());
  CHECK_FALSE(UuidV7Time("00000036-ee88-7abc-0def-0123456789ab").has_value());
  CHECK_FALSE(UuidV7Time("00000036+ee88-7abc-8def-0123456789ab").has_value());
  const ShardId shard = mMemory.Shard("caller", kNewUuid);
  mMemory.SetCutoff(shard, { WallTime(3'595'008ms), 1min });
  CHECK(Decide(mMemory, request) == BeginDecision::Unknown);
  KeyMemory other(mClock, "orders");
  other.SetCutoff(shard, { WallTime(3'595'007ms), 1min });
  CHECK(Decide(other, request) == BeginDecision::Execute);
  const char* future = "00ffffff-ee88-7abc-8def-0123456789ab";
  other.SetCutoff(other.Shard("caller", future), { WallTime(0ms), 1min });
  CHECK(Decide(other, { "caller", future, 1 }) == BeginDecision::Unknown);
}

// Guards against a handover that loses a response, a running key, the remaining time or the cutoff.
TEST(KeyMemory, ExportsAndImportsRecords)
{
  KeyMemoryPolicy policy;
  policy.mShardCount = 1;
  KeyMemory from(mClock, "orders", policy);
  KeyMemory to(mClock, "orders", policy);
  CHECK(Decide(from, { "c:1", "done", 1 }) == BeginDecision::Execute);
  CHECK(from.Complete({ "c:1", "done", 1 }, { 200, {}, "x" }).has_value());
  mClock.Advance(6min);
  CHECK(Decide(from, { "c", "running", 1 }) == BeginDecision::Execute);
  CHECK(from.MarkDispatched({ "c", "running", 1 }));
  from.SetCutoff(0, { WallTime(1h), 2min });
  CHECK(to.Import(from.Export(0)).has_value());
  to.SetCutoff(0, *from.Cutoff(0));
  CHECK(Decide(to, { "c:1", "done", 1 }) == BeginDecision::Replay);
  CHECK(Decide(to, { "c", "running", 1 }) == BeginDecision::Unknown);
  CHECK(Decide(to, { "c", "other", 1 }) == BeginDecision::Unknown);
  LONGS_EQUAL(0, to.Running(0));
  mClock.Advance(5min);
  CHECK(Decide(to, { "c:1", "done", 1 }) == BeginDecision::Execute);
  policy.mMaxRecords = 1;
  KeyMemory small(mClock, "orders", policy);
  CHECK(small.Import(from.Export(0)).has_value());
  CHECK(Decide(from, { "c", "second", 1 }) == BeginDecision::Execute);
  CHECK(from.MarkDispatched({ "c", "second", 1 }));
  CHECK(small.Import(from.Export(0)).error().mCode == OwnershipError::MemoryFull);
}

// Guards against the dispatch of a key that began before the shard's records or cutoff were known.
TEST(KeyMemory, RefusesDispatchAfterShardClosed)
{
  const ShardId shard = mMemory.Shard("caller", "key");
  CHECK(Decide(mMemory, mRequest) == BeginDecision::Execute);
  mMemory.CloseShard(shard);
  CHECK(Decide(mMemory, { "caller", "key", 1 }) == BeginDecision::JoinRunning);
  mMemory.OpenShard(shard);
  CHECK_FALSE(mMemory.MarkDispatched(mRequest));
  // The previous owner's record replaces one that is not allowed to be dispatched any more.
  CHECK(mMemory.Import({ { "caller", "key", 1, KeyState::Unknown, nullptr, 1min } }).has_value());
  LONGS_EQUAL(1, mMemory.Abandon(mRequest).value().size());
  CHECK(Decide(mMemory, mRequest) == BeginDecision::Unknown);
  mClock.Advance(1min);
  CHECK(Decide(mMemory, mRequest) == BeginDecision::Execute);
  CHECK(mMemory.MarkDispatched(mRequest));
  CHECK_FALSE(mMemory.MarkDispatched(mRequest));
  CHECK(mMemory.Import({ { "caller", "key", 1, KeyState::Unknown, nullptr, 1min } }).has_value());
  CHECK(mMemory.Abandon(mRequest).has_value());
  CHECK(Decide(mMemory, mRequest) == BeginDecision::Unknown);
  LONGS_EQUAL(0, mMemory.Running(shard));
}
