#include "balsammount/fake_store.h"

#include "balsammount/watch_handle.h"

#include <algorithm>

namespace balsammount {

struct FakeStore::Watcher
{
  explicit Watcher(FakeStore& aStore)
    : mStore(aStore)
  {
  }

  FakeStore& mStore;
  std::string mKey;
  Revision mNextRevision = 0;
  WatchCallback mCallback;
  std::function<void()> mOnHistoryLost; // set if the watch is for a prefix
  bool mCancelled = false;
  bool mLost = false;

  void Cancel() { mCancelled = true; }
  void CheckNow(const std::function<void(Revision)>& aOnChecked)
  {
    ++mStore.mCalls;
    if (mStore.mFaults.mDown) {
      return;
    }
    if (mStore.DeliverEventsTo(*this)) {
      mLost = false;
    }
    if (!mCancelled) {
      aOnChecked(mStore.mModel.CurrentRevision());
    }
  }
  bool Matches(const std::string& aKey) const
  {
    return mOnHistoryLost ? aKey.starts_with(mKey) : aKey == mKey;
  }
};

namespace {

StoreEntry ToEntry(const ModelEntry& aEntry)
{
  return { aEntry.mValue, aEntry.mModRevision, aEntry.mLease };
}

} // namespace

FakeStore::FakeStore(const Clock& aClock, Duration aTimeout)
  : mClock(aClock)
  , mTimeout(aTimeout)
  , mModel(aClock)
{
}

FakeStore::~FakeStore() = default;

template <class T>
void FakeStore::Reply(StoreCallback<T> aCallback, StoreError aLostError,
                      std::function<StoreResult<T>()> aApply)
{
  ++mCalls;
  mModel.ExpireLeases();
  const bool isWrite = aLostError == StoreError::Unknown;
  const bool isLost = (mFaults.mLoseAnswers && isWrite) || mFaults.mDelay > mTimeout;
  StoreResult<T> result = StoreFailure(StoreError::Unavailable, "fake store is unavailable");
  if (!mFaults.mDown) {
    result = aApply();
    if (isLost) {
      result = StoreFailure(aLostError, "fake store lost the response");
    }
  }
  const Duration delay = mFaults.mDown ? Duration(0) : std::min(mFaults.mDelay, mTimeout);
  mPendingReplies.push_back(
    { mClock.Now() + (isLost && !mFaults.mDown ? mTimeout : delay),
      [callback = std::move(aCallback), result = std::move(result)] { callback(result); } });
}

std::optional<StoreFailure> FakeStore::CheckExpected(const std::string& aKey,
                                                     Revision aExpected) const
{
  if (mModel.ModRevision(aKey) == aExpected) {
    return std::nullopt;
  }
  const ModelEntry* entry = mModel.Find(aKey);
  return StoreFailure(StoreError::Conflict, aKey,
                      entry ? std::optional(ToEntry(*entry)) : std::nullopt);
}

void FakeStore::Get(std::string aKey, StoreCallback<StoreRead> aCallback)
{
  Reply<StoreRead>(std::move(aCallback), StoreError::TimedOut, [&]() -> StoreResult<StoreRead> {
    const ModelEntry* entry = mModel.Find(aKey);
    return StoreRead{ entry ? std::optional(ToEntry(*entry)) : std::nullopt,
                      mModel.CurrentRevision() };
  });
}

void FakeStore::Range(std::string aPrefix, Freshness /*aFreshness*/,
                      StoreCallback<StoreRange> aCallback)
{
  Reply<StoreRange>(std::move(aCallback), StoreError::TimedOut, [&]() -> StoreResult<StoreRange> {
    StoreRange range;
    range.mRevision = mModel.CurrentRevision();
    for (const auto& [key, entry] : mModel.Range(aPrefix, PrefixEnd(aPrefix))) {
      range.mItems.push_back({ key, ToEntry(entry) });
    }
    return range;
  });
}

void FakeStore::CompareAndSwap(std::string aKey, Revision aExpected, std::string aValue,
                               LeaseId aLease, StoreCallback<Revision> aCallback)
{
  Reply<Revision>(std::move(aCallback), StoreError::Unknown, [&]() -> StoreResult<Revision> {
    if (aValue.size() > kMaxStoreValueBytes) {
      return StoreFailure(StoreError::TooLarge, aKey);
    }
    if (auto conflict = CheckExpected(aKey, aExpected)) {
      return *conflict;
    }
    if (!mModel.Put(aKey, std::move(aValue), aLease)) {
      return StoreFailure(StoreError::LeaseNotFound, std::to_string(aLease));
    }
    return mModel.CurrentRevision();
  });
}

void FakeStore::Delete(std::string aKey, Revision aExpected, StoreCallback<Revision> aCallback)
{
  Reply<Revision>(std::move(aCallback), StoreError::Unknown, [&]() -> StoreResult<Revision> {
    if (auto conflict = CheckExpected(aKey, aExpected)) {
      return *conflict;
    }
    mModel.Delete(aKey);
    return mModel.CurrentRevision();
  });
}

void FakeStore::GrantLease(std::chrono::seconds aTimeToLive, StoreCallback<StoreLease> aCallback)
{
  Reply<StoreLease>(std::move(aCallback), StoreError::Unknown, [&]() -> StoreResult<StoreLease> {
    return StoreLease{ mModel.Grant(aTimeToLive), aTimeToLive };
  });
}

void FakeStore::KeepAlive(LeaseId aLease, StoreCallback<std::chrono::seconds> aCallback)
{
  Reply<std::chrono::seconds>(
    std::move(aCallback), StoreError::TimedOut, [&]() -> StoreResult<std::chrono::seconds> {
      if (auto timeToLive = mModel.KeepAlive(aLease)) {
        return *timeToLive;
      }
      return StoreFailure(StoreError::LeaseNotFound, std::to_string(aLease));
    });
}

void FakeStore::RevokeLease(LeaseId aLease, StoreCallback<void> aCallback)
{
  Reply<void>(std::move(aCallback), StoreError::Unknown, [&]() -> StoreResult<void> {
    if (!mModel.Revoke(aLease)) {
      return StoreFailure(StoreError::LeaseNotFound, std::to_string(aLease));
    }
    return {};
  });
}

std::unique_ptr<StoreWatch> FakeStore::Watch(std::string aKey, Revision aFrom,
                                             WatchCallback aCallback)
{
  return WatchPrefix(std::move(aKey), aFrom, std::move(aCallback), nullptr);
}

std::unique_ptr<StoreWatch> FakeStore::WatchPrefix(std::string aPrefix, Revision aFrom,
                                                   WatchCallback aCallback,
                                                   std::function<void()> aOnHistoryLost)
{
  ++mCalls;
  const Revision from = aFrom == 0 ? mModel.CurrentRevision() + 1 : aFrom;
  auto watcher = std::make_shared<Watcher>(*this);
  watcher->mKey = std::move(aPrefix);
  watcher->mNextRevision = from;
  watcher->mCallback = std::move(aCallback);
  watcher->mOnHistoryLost = std::move(aOnHistoryLost);
  mWatchers.push_back(watcher);
  return std::make_unique<WatchHandle<Watcher>>(std::move(watcher));
}

void FakeStore::LoseWatches()
{
  for (const auto& watcher : mWatchers) {
    watcher->mLost = true;
  }
}

void FakeStore::Poll()
{
  mModel.ExpireLeases();
  while (DeliverReply() || DeliverEvents()) {
  }
}

bool FakeStore::DeliverReply()
{
  const auto earliest = std::min_element(
    mPendingReplies.begin(), mPendingReplies.end(),
    [](const PendingReply& aLeft, const PendingReply& aRight) { return aLeft.mDue < aRight.mDue; });
  if (earliest == mPendingReplies.end() || earliest->mDue > mClock.Now()) {
    return false;
  }
  const auto deliver = std::move(earliest->mDeliver);
  mPendingReplies.erase(earliest);
  deliver();
  return true;
}

bool FakeStore::DeliverEvents()
{
  std::erase_if(mWatchers, [](const auto& aWatcher) { return aWatcher->mCancelled; });
  if (mFaults.mDown) {
    return false;
  }
  bool delivered = false;
  for (const auto& watcher : std::vector(mWatchers)) {
    delivered = (!watcher->mLost && DeliverEventsTo(*watcher)) || delivered;
  }
  return delivered;
}

bool FakeStore::DeliverEventsTo(Watcher& aWatcher)
{
  const bool isAhead = aWatcher.mNextRevision > mModel.CurrentRevision() + 1;
  if (aWatcher.mOnHistoryLost && (isAhead || aWatcher.mNextRevision <= mModel.CompactRevision())) {
    aWatcher.mCancelled = true;
    aWatcher.mOnHistoryLost();
    return true;
  }
  if (isAhead) {
    // The watch of one key continues with the current state.
    aWatcher.mNextRevision = mModel.CurrentRevision() + 1;
    const ModelEntry* entry = mModel.Find(aWatcher.mKey);
    aWatcher.mCallback({ entry ? std::optional(entry->mValue) : std::nullopt,
                         entry ? entry->mModRevision : mModel.CurrentRevision(), aWatcher.mKey });
    return true;
  }
  bool delivered = false;
  const auto events =
    mModel.EventsFrom(std::max(aWatcher.mNextRevision, mModel.CompactRevision() + 1));
  for (const ModelEvent& event : *events) {
    if (!aWatcher.Matches(event.mKey) || aWatcher.mCancelled) {
      continue;
    }
    delivered = true;
    aWatcher.mNextRevision = event.mRevision + 1;
    aWatcher.mCallback({ event.mEntry ? std::optional(event.mEntry->mValue) : std::nullopt,
                         event.mRevision, event.mKey });
  }
  return delivered;
}

} // namespace balsammount
