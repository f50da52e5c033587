#include "balsammount/etcd_store.h"
#include "balsammount/fake_store.h"
#include "balsammount/log.h"
#include "balsammount/store_standin.h"

#include <spdlog/spdlog.h>

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

// Creates the logger before the first test, whose leak check would report it, and disables it.
const bool kLoggerIsSilent = (spdlog::set_level(spdlog::level::off), Log("store"), true);

const tcp::endpoint kAnyPort(boost::asio::ip::address_v4::loopback(), 0);

tcp::endpoint Loopback(uint16_t aPort)
{
  return { kAnyPort.address(), aPort };
}

} // namespace

TEST_GROUP(EtcdStore)
{
  boost::asio::io_context mContext{ 1 };
  ManualClock mClock;
  std::unique_ptr<StoreStandin> mStandin;
  std::unique_ptr<EtcdStore> mStore;
  std::vector<WatchEvent> mEvents;
  std::unique_ptr<StoreWatch> mWatch;

  void setup() override
  {
    mStandin = std::make_unique<StoreStandin>(mContext, kAnyPort, mClock);
    CHECK(mStandin->Start().has_value());
    Open({ Loopback(mStandin->Port()) });
  }

  void teardown() override
  {
    mWatch.reset();
    mStore.reset();
    mStandin.reset();
    mContext.run_for(20ms);
  }

  void Open(std::vector<tcp::endpoint> aEndpoints, std::chrono::milliseconds aTimeout = 2000ms)
  {
    EtcdStoreSettings settings;
    settings.mEndpoints = std::move(aEndpoints);
    settings.mTimeout = aTimeout;
    settings.mWatchIdleTimeout = 300ms;
    settings.mMinReconnectDelay = 1ms;
    mWatch.reset();
    mStore = std::make_unique<EtcdStore>(mContext, settings);
  }

  template <class Condition>
  void RunUntil(Condition aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      mContext.run_one_for(10ms);
    }
    CHECK(aCondition());
  }

  // Starts a call and waits for its result.
  template <class T, class Start>
  StoreResult<T> Await(Start aStart)
  {
    std::optional<StoreResult<T>> result;
    aStart([&result](StoreResult<T> aResult) { result = std::move(aResult); });
    RunUntil([&] { return result.has_value(); });
    return result.value();
  }

  StoreResult<StoreRead> Get(const std::string& aKey)
  {
    return Await<StoreRead>([&](auto aDone) { mStore->Get(aKey, aDone); });
  }
  StoreResult<Revision> Swap(const std::string& aKey, Revision aExpected, std::string aValue,
                             LeaseId aLease = kNoLease)
  {
    return Await<Revision>(
      [&](auto aDone) { mStore->CompareAndSwap(aKey, aExpected, aValue, aLease, aDone); });
  }
  StoreResult<Revision> Delete(const std::string& aKey, Revision aExpected)
  {
    return Await<Revision>([&](auto aDone) { mStore->Delete(aKey, aExpected, aDone); });
  }
  StoreResult<std::chrono::seconds> KeepAlive(LeaseId aLease)
  {
    return Await<std::chrono::seconds>([&](auto aDone) { mStore->KeepAlive(aLease, aDone); });
  }

  void Watch(const std::string& aKey, Revision aFrom)
  {
    mWatch =
      mStore->Watch(aKey, aFrom, [this](const WatchEvent& aEvent) { mEvents.push_back(aEvent); });
  }
  void PutDirectly(const std::string& aKey, const std::string& aValue)
  {
    mStandin->Model().Put(aKey, aValue, kNoLease);
    mStandin->NotifyWatches();
  }
};

// Guards against values or revisions that are altered by the JSON encoding: binary data and the
// largest value.
TEST(EtcdStore, WritesAndReadsBack)
{
  const std::string binary("\0\xff\x80 a", 5);
  const auto revision = Swap("/k", kAbsent, binary);
  CHECK(revision.has_value());
  const auto read = Get("/k");
  CHECK(read->mEntry == StoreEntry({ binary, *revision, kNoLease }));
  CHECK_EQUAL(*revision, read->mRevision);
  const std::string large(kMaxStoreValueBytes, 'x');
  CHECK(Swap("/k", *revision, large).has_value());
  CHECK(Get("/k")->mEntry->mValue == large);
  CHECK(Swap("/k", kAbsent, large + "x").error().mCode == StoreError::TooLarge);
  CHECK_FALSE(Get("/other")->mEntry.has_value());
}

// Guards against lost updates, and against a conflict without the current entry, which the writer
// needs to merge its change.
TEST(EtcdStore, ConflictCarriesCurrentEntry)
{
  const auto first = Swap("/k", kAbsent, "one");
  const auto conflict = Swap("/k", kAbsent, "two");
  CHECK(conflict.error().mCode == StoreError::Conflict);
  CHECK(conflict.error().mCurrent == StoreEntry({ "one", *first, kNoLease }));
  CHECK(Delete("/k", *first + 5).error().mCurrent->mValue == "one");
  CHECK(Delete("/k", *first).has_value());
  const auto absent = Swap("/k", *first, "three");
  CHECK(absent.error().mCode == StoreError::Conflict);
  CHECK_FALSE(absent.error().mCurrent.has_value());
}

// Guards against reporting a write as failed when it took effect and only its response was lost.
TEST(EtcdStore, LostResponseIsUnknownAndTakesEffect)
{
  mStandin->SetFaults({ .mLoseAnswers = true });
  CHECK(Swap("/k", kAbsent, "change-7").error().mCode == StoreError::Unknown);
  CHECK(Get("/k")->mEntry->mValue == "change-7");
}

// Guards against an outage being reported as a possibly executed write or as an absent key.
TEST(EtcdStore, OutageIsUnavailable)
{
  mStandin->SetFaults({ .mDown = true });
  CHECK(Swap("/k", kAbsent, "one").error().mCode == StoreError::Unavailable);
  CHECK(Get("/k").error().mCode == StoreError::Unavailable);
  const uint16_t port = mStandin->Port();
  mStandin->Stop();
  Open({ Loopback(port) });
  CHECK(Swap("/k", kAbsent, "one").error().mCode == StoreError::Unavailable);
  CHECK(Get("/k").error().mCode == StoreError::Unavailable);
  CHECK_FALSE(mStandin->Model().Find("/k"));
}

// Guards against a call without a timeout, and against reporting a slow write as not executed.
TEST(EtcdStore, SlowStoreTimesOut)
{
  Open({ Loopback(mStandin->Port()) }, 100ms);
  mStandin->SetFaults({ .mDelay = 400ms });
  CHECK(Get("/k").error().mCode == StoreError::TimedOut);
  CHECK(Swap("/k", kAbsent, "one").error().mCode == StoreError::Unknown);
  CHECK(mStandin->Model().Find("/k"));
  mContext.run_for(450ms);
}

// Guards against a malformed response being taken for an absent key or for a write that was not
// executed.
TEST(EtcdStore, MalformedResponses)
{
  HttpServer server(mContext, kAnyPort, {}, [](const std::shared_ptr<Exchange>& aExchange) {
    HttpResponse response;
    response.mBody = R"({"header":{"revision":"7"},"kvs":[{"value":"?","mod_revision":"3"}]})";
    aExchange->Respond(response);
  });
  CHECK(server.Start().has_value());
  Open({ Loopback(server.Port()) });
  CHECK(Get("/k").error().mCode == StoreError::Malformed);
  CHECK(Swap("/k", kAbsent, "one").error().mCode == StoreError::Unknown);
}

// Guards against reporting a write as not executed when the store failed after it had proposed the
// change.
TEST(EtcdStore, FailureAfterProposalIsUnknown)
{
  HttpServer server(mContext, kAnyPort, {}, [](const std::shared_ptr<Exchange>& aExchange) {
    HttpResponse response;
    response.mStatus = 503;
    response.mBody = R"({"error":"etcdserver: request timed out","code":14})";
    aExchange->Respond(response);
  });
  CHECK(server.Start().has_value());
  Open({ Loopback(server.Port()), Loopback(mStandin->Port()) });
  CHECK(Swap("/k", kAbsent, "one").error().mCode == StoreError::Unknown);
  CHECK_FALSE(mStandin->Model().Find("/k"));
  Open({ Loopback(server.Port()) });
  CHECK(Get("/k").error().mCode == StoreError::Unavailable);
}

// Guards against one unresponsive endpoint making the store unavailable: reads and watches move to
// the next endpoint, and a write is not retried there.
TEST(EtcdStore, SilentEndpointIsSkipped)
{
  tcp::acceptor silent(mContext, kAnyPort);
  const auto silentEndpoint = Loopback(silent.local_endpoint().port());
  Open({ silentEndpoint, Loopback(mStandin->Port()) }, 1000ms);
  CHECK(Swap("/k", kAbsent, "one").error().mCode == StoreError::Unknown);
  CHECK_FALSE(mStandin->Model().Find("/k"));
  Open({ silentEndpoint, Loopback(mStandin->Port()) }, 1000ms);
  CHECK(Get("/k").has_value());
  Open({ silentEndpoint, Loopback(mStandin->Port()) }, 1000ms);
  Watch("/k", 1);
  PutDirectly("/k", "one");
  RunUntil([&] { return mEvents.size() == 1; });
}

// Guards against missing, duplicate or reordered events when the connection of a watch is lost
// while changes happen.
TEST(EtcdStore, WatchResumesWithoutGaps)
{
  Watch("/k", Get("/k")->mRevision + 1);
  PutDirectly("/k", "1");
  RunUntil([&] { return mEvents.size() == 1; });
  for (int i = 2; i < 10; ++i) {
    mStandin->SetFaults({ .mDown = true });
    PutDirectly("/k", std::to_string(i));
    PutDirectly("/neighbour", "x");
    mStandin->SetFaults({});
    mContext.run_one_for(2ms);
  }
  mStandin->Model().Delete("/k");
  RunUntil([&] { return mEvents.size() == 10; });
  for (int i = 1; i < 10; ++i) {
    CHECK(mEvents[i - 1].mValue == std::to_string(i));
  }
  CHECK_FALSE(mEvents.back().mValue.has_value());
  mWatch->Cancel();
  PutDirectly("/k", "late");
  mContext.run_for(50ms);
  CHECK_EQUAL(10, mEvents.size());
  CHECK_EQUAL(0, mStandin->OpenWatches());
}

// Guards against a watch that hangs because the store compacted its history.
TEST(EtcdStore, WatchReportsLatestStateAfterCompaction)
{
  Watch("/k", 1);
  RunUntil([&] { return mStandin->OpenWatches() == 1; });
  mStandin->AbortWatches();
  mStandin->Model().Put("/k", "dropped", kNoLease);
  mStandin->Model().Put("/k", "latest", kNoLease);
  mStandin->Model().Compact(mStandin->Model().CurrentRevision());
  RunUntil([&] { return mEvents.size() == 1; });
  CHECK(mEvents[0].mValue == "latest");
  PutDirectly("/k", "next");
  RunUntil([&] { return mEvents.size() == 2; });
  CHECK(mEvents[1].mValue == "next");
}

// Guards against a watch that waits for a revision that the store does not reach after it has lost
// its data.
TEST(EtcdStore, WatchDetectsStoreDataLoss)
{
  StoreStandin replacement(mContext, kAnyPort, mClock);
  CHECK(replacement.Start().has_value());
  Open({ Loopback(mStandin->Port()), Loopback(replacement.Port()) });
  for (int i = 0; i < 20; ++i) {
    mStandin->Model().Put("/k", "old", kNoLease);
  }
  Watch("/k", mStandin->Model().CurrentRevision());
  RunUntil([&] { return mEvents.size() == 1; });
  mStandin->SetFaults({ .mDown = true });
  RunUntil([&] { return mEvents.size() == 2; });
  CHECK_FALSE(mEvents[1].mValue.has_value());
  replacement.Model().Put("/k", "new", kNoLease);
  replacement.NotifyWatches();
  RunUntil([&] { return mEvents.size() == 3; });
  CHECK(mEvents[2].mValue == "new");
  mWatch.reset();
}

// Guards against a key that outlives its lease, and against an expired lease that appears valid to
// its owner.
TEST(EtcdStore, LeaseExpiryRemovesKeys)
{
  const auto lease = Await<StoreLease>([&](auto aDone) { mStore->GrantLease(10s, aDone); });
  const auto revision = Swap("/leased", kAbsent, "here", lease->mId);
  CHECK_EQUAL(lease->mId, Get("/leased")->mEntry->mLease);
  Watch("/leased", *revision + 1);
  mClock.Advance(8s);
  CHECK(KeepAlive(lease->mId) == StoreResult<std::chrono::seconds>(10s));
  mClock.Advance(8s);
  CHECK(Get("/leased")->mEntry.has_value());
  mClock.Advance(3s);
  RunUntil([&] { return mEvents.size() == 1; });
  CHECK_FALSE(mEvents[0].mValue.has_value());
  CHECK_FALSE(Get("/leased")->mEntry.has_value());
  CHECK(KeepAlive(lease->mId).error().mCode == StoreError::LeaseNotFound);
  CHECK(Swap("/leased", kAbsent, "x", lease->mId).error().mCode == StoreError::LeaseNotFound);
  const auto other = Await<StoreLease>([&](auto aDone) { mStore->GrantLease(10s, aDone); });
  CHECK(Swap("/leased", kAbsent, "again", other->mId).has_value());
  const auto revoke = [&](auto aDone) { mStore->RevokeLease(other->mId, aDone); };
  CHECK(Await<void>(revoke).has_value());
  CHECK(Await<void>(revoke).error().mCode == StoreError::LeaseNotFound);
  CHECK_FALSE(Get("/leased")->mEntry.has_value());
}

// Guards against callbacks after the owner has destroyed the store.
TEST(EtcdStore, DestroyedStoreMakesNoCallbacks)
{
  bool called = false;
  mStore->Get("/k", [&](const auto&) { called = true; });
  mStore->CompareAndSwap("/k", 0, std::string(2 * kMaxStoreValueBytes, 'x'), kNoLease,
                         [&](const auto&) { called = true; });
  mStore.reset();
  mContext.run_for(50ms);
  CHECK_FALSE(called);
}

// Guards against missing entries or changes of a prefix, and against reports for other keys.
TEST(EtcdStore, PrefixRangeAndWatch)
{
  std::vector<std::string> log;
  const auto put = [&](const char* aKey) {
    bool done = false;
    mStore->CompareAndSwap(aKey, kAbsent, "v", kNoLease, [&](const auto&) { done = true; });
    RunUntil([&] { return done; });
  };
  put("/p/a");
  put("/q/a");
  Revision revision = 0;
  mStore->Range("/p/", Freshness::MayBeStale, [&](const StoreResult<StoreRange>& aRange) {
    for (const StoreItem& item : aRange->mItems) {
      log.push_back(item.mKey);
    }
    revision = aRange->mRevision;
  });
  RunUntil([&] { return revision > 0; });
  mWatch = mStore->WatchPrefix(
    "/p/", revision + 1,
    [&](const WatchEvent& aEvent) { log.push_back(aEvent.mKey + (aEvent.mValue ? "+" : "-")); },
    [] {});
  put("/p/b");
  put("/q/b");
  put("/p/c");
  RunUntil([&] { return log.size() == 3; });
  const std::vector<std::string> expected = { "/p/a", "/p/b+", "/p/c+" };
  CHECK(expected == log);
}

TEST_GROUP(FakeStore)
{
  ManualClock mClock;
  FakeStore mStore{ mClock };
  std::vector<std::string> mLog;

  void Swap(const std::string& aValue, Revision aExpected = kAbsent)
  {
    mStore.CompareAndSwap("/k", aExpected, aValue, kNoLease, [this](const auto& aResult) {
      mLog.push_back(aResult ? "ok" : aResult.error().mCode.message());
    });
  }
};

// Guards against a fake store whose faults differ from those of the real store.
TEST(FakeStore, InjectsSameFaultsAsStandin)
{
  mStore.mFaults.mDown = true;
  Swap("a");
  mStore.mFaults = { .mLoseAnswers = true };
  Swap("b");
  mStore.mFaults = { .mDelay = 1s };
  Swap("c");
  mStore.Poll();
  const std::vector<std::string> first = { "store unavailable" };
  CHECK(first == mLog);
  mClock.Advance(1s);
  mStore.Poll();
  mClock.Advance(1s);
  mStore.Poll();
  const std::vector<std::string> all = { "store unavailable", "key was modified concurrently",
                                         "the write may have taken effect" };
  CHECK(all == mLog);
  STRCMP_EQUAL("b", mStore.Model().Find("/k")->mValue.c_str());
}

// Guards against watch events that are delivered twice or too early.
TEST(FakeStore, WatchAndLease)
{
  auto watch = mStore.Watch("/k", 1, [this](const WatchEvent& aEvent) {
    mLog.push_back(aEvent.mValue.value_or("deleted"));
  });
  const LeaseId lease = mStore.Model().Grant(5s);
  mStore.CompareAndSwap("/k", kAbsent, "x", lease, [](const auto&) {});
  CHECK(mLog.empty());
  mStore.Poll();
  mStore.Poll();
  mClock.Advance(6s);
  mStore.Poll();
  const std::vector<std::string> expected = { "x", "deleted" };
  CHECK(expected == mLog);
}

// Guards against a prefix watch that continues after unreported changes were compacted.
TEST(FakeStore, PrefixWatchEndsWhenHistoryIsLost)
{
  auto watch = mStore.WatchPrefix(
    "/p/", 1, [this](const WatchEvent& aEvent) { mLog.push_back(aEvent.mKey); },
    [this] { mLog.push_back("lost"); });
  mStore.Model().Put("/p/a", "x", kNoLease);
  mStore.Model().Put("/q/a", "x", kNoLease);
  mStore.Poll();
  mStore.Model().Put("/p/b", "x", kNoLease);
  mStore.Model().Compact(mStore.Model().CurrentRevision());
  mStore.Poll();
  mStore.Model().Put("/p/c", "x", kNoLease);
  mStore.Poll();
  const std::vector<std::string> expected = { "/p/a", "lost" };
  CHECK(expected == mLog);
  mStore.Range("/p/", Freshness::Latest, [this](const StoreResult<StoreRange>& aRange) {
    for (const StoreItem& item : aRange->mItems) {
      mLog.push_back(item.mKey);
    }
  });
  mStore.Poll();
  CHECK_EQUAL(5, mLog.size());
}
