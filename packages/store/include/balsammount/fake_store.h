// Deterministic in-memory store for the unit tests of other packages.
#pragma once

#include "balsammount/key_value_model.h"

#include <vector>

namespace balsammount {

struct FakeStoreFaults
{
  bool mDown = false; // calls fail with Unavailable and have no effect; watches report nothing
  bool mLoseAnswers = false; // writes take effect, but fail with Unknown
  Duration mDelay{ 0 };      // between the effect of a call and its callback
};

// Calls take effect when they are made. Poll makes their callbacks and reports watch events, in
// order and once they are due on the clock. If the delay exceeds the timeout, a call fails after
// the timeout, a read with TimedOut and a write with Unknown.
class FakeStore final : public Store
{
public:
  explicit FakeStore(const Clock& aClock, Duration aTimeout = std::chrono::seconds(2));
  ~FakeStore() override;

  void Get(std::string aKey, StoreCallback<StoreRead> aCallback) override;
  void Range(std::string aPrefix, Freshness aFreshness,
             StoreCallback<StoreRange> aCallback) override;
  void CompareAndSwap(std::string aKey, Revision aExpected, std::string aValue, LeaseId aLease,
                      StoreCallback<Revision> aCallback) override;
  void Delete(std::string aKey, Revision aExpected, StoreCallback<Revision> aCallback) override;
  void GrantLease(std::chrono::seconds aTimeToLive, StoreCallback<StoreLease> aCallback) override;
  void KeepAlive(LeaseId aLease, StoreCallback<std::chrono::seconds> aCallback) override;
  void RevokeLease(LeaseId aLease, StoreCallback<void> aCallback) override;
  std::unique_ptr<StoreWatch> Watch(std::string aKey, Revision aFrom,
                                    WatchCallback aCallback) override;
  std::unique_ptr<StoreWatch> WatchPrefix(std::string aPrefix, Revision aFrom,
                                          WatchCallback aCallback,
                                          std::function<void()> aOnHistoryLost) override;

  // The watches that exist report nothing, until a check finds a change that they missed.
  void LoseWatches();

  // Returns to the contents of the copy. A watch from a revision that the store does not have loses
  // its history; one from a revision that has been given out again by then does not notice.
  void Restore(const KeyValueModel::Copy& aCopy) { mModel.Restore(aCopy); }

  // Expires leases and makes all callbacks that are due, including those that result from them.
  void Poll();

  FakeStoreFaults mFaults;
  size_t mCalls = 0; // a watch counts as one
  // For the setup of a test, and to simulate changes by other clients.
  KeyValueModel& Model() { return mModel; }

private:
  struct Watcher;
  struct PendingReply
  {
    SteadyTime mDue;
    std::function<void()> mDeliver;
  };

  template <class T>
  void Reply(StoreCallback<T> aCallback, StoreError aLostError,
             std::function<StoreResult<T>()> aApply);
  std::optional<StoreFailure> CheckExpected(const std::string& aKey, Revision aExpected) const;
  bool DeliverReply();
  bool DeliverEvents();
  bool DeliverEventsTo(Watcher& aWatcher);

  const Clock& mClock;
  Duration mTimeout;
  KeyValueModel mModel;
  std::vector<PendingReply> mPendingReplies;
  std::vector<std::shared_ptr<Watcher>> mWatchers;
};

} // namespace balsammount
