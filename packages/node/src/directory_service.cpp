#include "directory_service.h"

#include "balsammount/event.h"
#include "balsammount/hash.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>

namespace balsammount {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

// A record survives a frozen or restarted process for this long. Each renewal costs a call to the
// store, and failed connections reveal a stopped node long before its lease expires.
constexpr auto kLeaseDuration = 10s;
constexpr Duration kRenewInterval = 2500ms;

// Delay before a failed call is retried; doubles up to the maximum, with jitter. With this maximum,
// records are back in the store within two seconds of its recovery.
constexpr Duration kMinBackoff = 100ms;
constexpr Duration kMaxBackoff = 1000ms;

// A backend server sends its announcement to another node if it gets no response within a second.
constexpr auto kMaxPublishWait = 500ms;

// After a start the node waits this long for the first announcement of its backend server, so that
// one write publishes both. Servers announce themselves every 1.5 s.
constexpr auto kFirstAnnouncementWait = 2000ms;

// The list is read again at once if the last time was longer ago, and after a backoff otherwise.
// Several times the longest backoff, so that a watch that ends again and again is noticed.
constexpr Duration kReadAgainWindow = 5 * kMaxBackoff;
constexpr auto kTickInterval = 250ms;
// Delay of the tick from which on it is logged that the event loop was held up.
constexpr Duration kLoggedDelay = 500ms;
// Interval at which records are pulled from another node while the store is unreachable.
constexpr auto kPullInterval = 500ms;
constexpr auto kExchangeTimeout = 1000ms;
// Time in which a change of the list that another node has seen is reported to this one as well, in
// addition to the interval between reports.
constexpr Duration kListReportMargin = 500ms;
// Time for the answer to a question for the age of the configuration. Without one, the node reads
// the store somewhat later.
constexpr auto kQuestionTimeout = 200ms;
// Nodes whose configuration a node compares with its own when it starts. One that has the newest
// one is enough; some may be gone, or have been started at the same time.
constexpr size_t kNodesAskedAtStart = 3;
// A node is ready after this time even if the comparison, or the fetch after it, has not ended.
constexpr Duration kMaxStartWait = kQuestionTimeout + kConfigFetchTimeout;
// A node that has given no answer is not asked again for this long.
constexpr Duration kSilentTime = 10s;
// Maximum number of nodes to which a change is pushed directly. In a larger fleet the others learn
// of it from the store.
constexpr size_t kMaxPushTargets = 128;
// Limits the effect of a wrong wall clock on the end of a warm-up.
constexpr std::chrono::milliseconds kMaxWarmUp = 30s;

// Whether other nodes treat the node differently with the second record.
bool IsUsedDifferently(const NodeRecord& aBefore, const NodeRecord& aNow)
{
  const auto isUsed = [](const NodeRecord& aRecord) {
    return aRecord.mServing && !aRecord.mLeaving;
  };
  return isUsed(aBefore) != isUsed(aNow) || aBefore.mAddress != aNow.mAddress ||
         aBefore.mPort != aNow.mPort || aBefore.mService != aNow.mService ||
         (isUsed(aNow) &&
          (aBefore.mServerId != aNow.mServerId || aBefore.mServerStarted != aNow.mServerStarted));
}

} // namespace

DirectoryService::DirectoryService(asio::io_context& aContext, const Clock& aClock, Random& aRandom,
                                   Store& aStore, const NodeSettings& aSettings,
                                   std::string aPrefix, uint64_t aStarted,
                                   DirectoryDependencies aDependencies)
  : mClock(aClock)
  , mRandom(aRandom)
  , mStore(aStore)
  , mPrefix(std::move(aPrefix))
  , mDependencies(std::move(aDependencies))
  , mDirectory(aClock, aSettings.mNodeId)
  , mListTimer(aContext)
  , mPublishTimer(aContext)
  , mRenewTimer(aContext)
  , mTickTimer(aContext)
  , mPublishWaiterTimer(aContext)
  , mBackoff(kMinBackoff, kMaxBackoff)
  , mReadAgainBackoff(kMinBackoff, kMaxBackoff)
  , mConfigFetcher(aClock, mDependencies.mPeers, mDependencies.mConfig)
{
  mOwnRecord.mNodeId = aSettings.mNodeId;
  mOwnRecord.mStarted = aStarted;
  mOwnRecord.mAddress = aSettings.AdvertisedPeer().address().to_string();
  mOwnRecord.mPort = aSettings.AdvertisedPeer().port();
  mOwnRecord.mService = aSettings.mService;
  mOwnRecord.mDataCentre = aSettings.mDataCentre;
}

Result<void> DirectoryService::Start()
{
  ReadList(Freshness::MayBeStale);
  ScheduleTick();
  return {};
}

void DirectoryService::Stop()
{
  mStopped = true;
  mConfigFetcher.Stop();
  mWatch.reset();
  mListTimer.cancel();
  mPublishTimer.cancel();
  mRenewTimer.cancel();
  mTickTimer.cancel();
  RunWaiters();
}

void DirectoryService::SetPreviousRecordCallback(std::function<void(const NodeRecord&)> aCallback)
{
  mOnPreviousRecord = std::move(aCallback);
}

// Reading and watching the node list in the store.

void DirectoryService::ReadList(Freshness aFreshness)
{
  mReadingList = true;
  mReadSuperseded = false;
  mStore.Range(mPrefix, aFreshness, [this](const StoreResult<StoreRange>& aResult) {
    if (!mStopped) {
      OnList(aResult);
    }
  });
}

// Revisions and lease ids may have been given out again, so nothing that is derived from earlier
// ones is used further.
void DirectoryService::ReadListAgain()
{
  ++mStoreEpoch;
  mListRevision = 0;
  mLastListChange = 0;
  mListCheckDue.reset();
  mPublishedSequence.reset();
  if (mPublishing) {
    // The write may be executed after the return, with the lease of another node.
    mLease = kNoLease;
  }
  if (mReadingList) {
    mReadSuperseded = true;
    return;
  }
  // A watch that ends again and again must not cause a read each time.
  const SteadyTime now = mClock.Now();
  if (now - mReadAgainAt >= kReadAgainWindow) {
    mReadAgainBackoff.Reset();
    ReadList(Freshness::Latest);
  } else {
    mReadingList = true;
    ReadListLater(mReadAgainBackoff.Next(mRandom));
  }
  mReadAgainAt = now;
}

void DirectoryService::ReadListLater(Duration aDelay)
{
  mListTimer.expires_after(aDelay);
  mListTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      ReadList(Freshness::Latest);
    }
  });
}

void DirectoryService::OnStoreWentBack()
{
  if (mStopped) {
    return;
  }
  mWatch.reset();
  ReadListAgain();
}

void DirectoryService::OnListFailed(const StoreFailure& aFailure)
{
  SetStoreReachable(false, "list", Describe(aFailure));
  ReadListLater(mBackoff.Next(mRandom));
}

void DirectoryService::OnList(const StoreResult<StoreRange>& aResult)
{
  if (!aResult) {
    OnListFailed(aResult.error());
    return;
  }
  SetStoreReachable(true, "list", {});
  mBackoff.Reset();
  if (mReadSuperseded) {
    ReadList(Freshness::Latest);
    return;
  }
  mReadingList = false;
  mListRevision = aResult->mRevision;
  std::vector<NodeRecord> records;
  std::optional<StoreEntry> ownEntry;
  for (const StoreItem& item : aResult->mItems) {
    // A write depends on the revision of this node's key, whatever its value is.
    if (item.mKey == OwnKey()) {
      ownEntry = item.mEntry;
    }
    mLastListChange = std::max(mLastListChange, item.mEntry.mModRevision);
    if (auto record = DecodeEntry(item.mKey, item.mEntry.mValue)) {
      records.push_back(std::move(*record));
    }
  }
  mDirectory.OnList(records);
  const bool isFirst = !std::exchange(mHasNodeList, true);
  Event("directory", "list").Add("nodes", records.size()).Add("revision", aResult->mRevision);
  if (const NodeRecord* own = mDirectory.OwnListedRecord(); own && isFirst) {
    // Newer than the records of earlier processes, even if the clock has been set back since.
    mOwnRecord.mStarted = std::max(mOwnRecord.mStarted, own->mStarted + 1);
    mPushedRecord = *own;
  }
  CheckOwnEntry(ownEntry);
  ApplyChanges();
  PushIfUsedDifferently();
  mWatch = mStore.WatchPrefix(
    mPrefix, aResult->mRevision + 1, [this](const WatchEvent& aEvent) { OnEvent(aEvent); },
    [this] {
      Event("directory", "history-lost").Add("prefix", mPrefix);
      ReadListAgain();
    });
  mWatch->SetMinReportInterval(MinListUpdateInterval(mDirectory.Size() + 1));
  if (isFirst) {
    AskAtStart();
  }
  if (IsPublished()) {
    RunWaiters();
  } else if (!isFirst || !mOwnRecord.mServerId.empty()) {
    Publish();
  } else {
    PublishLater(kFirstAnnouncementWait);
  }
}

// Compares the entry of this node in the list with the record and the lease that it should have.
void DirectoryService::CheckOwnEntry(const std::optional<StoreEntry>& aEntry)
{
  mPublishedSequence.reset();
  mOwnRevision = aEntry ? aEntry->mModRevision : kAbsent;
  const NodeRecord* record = mDirectory.OwnListedRecord();
  const bool isFromThisProcess = aEntry && record && record->mStarted == mOwnRecord.mStarted;
  if (!isFromThisProcess || aEntry->mLease != mLease) {
    // The id of a lost lease may have been given to another node, so it is not used any more.
    mLease = kNoLease;
  } else if (IsOwnEntry(aEntry->mValue)) {
    mPublishedSequence = mOwnRecord.mSequence;
  }
  if (aEntry) {
    Supersede(aEntry->mValue);
  }
}

void DirectoryService::OnEvent(const WatchEvent& aEvent)
{
  mLastListChange = std::max(mLastListChange, aEvent.mModRevision);
  mListRevision = std::max(mListRevision, aEvent.mModRevision);
  if (aEvent.mKey == OwnKey()) {
    mOwnRevision = aEvent.mValue ? aEvent.mModRevision : kAbsent;
    const bool isCurrent = aEvent.mValue && IsOwnEntry(*aEvent.mValue);
    if (!isCurrent && !mPublishing && !mLeaving) {
      Event("directory", "own-entry-lost").Add("deleted", !aEvent.mValue.has_value());
      if (aEvent.mValue) {
        Supersede(*aEvent.mValue);
      }
      Publish();
    }
    return;
  }
  if (!aEvent.mValue) {
    mDirectory.OnUnlisted(aEvent.mKey.substr(std::min(mPrefix.size(), aEvent.mKey.size())));
  } else if (const auto record = DecodeEntry(aEvent.mKey, *aEvent.mValue)) {
    mDirectory.OnListed(*record);
  }
  ApplyChanges();
}

// The watch may be about to report the changes, so it gets the time for that first.
void DirectoryService::OnStoreRevision(Revision aRevision)
{
  if (aRevision > mListRevision && !mListCheckDue) {
    mExpectedRevision = aRevision;
    mListCheckDue = mClock.Now() + MinListUpdateInterval(mDirectory.Size() + 1) + kListReportMargin;
  }
}

// Another writer may leave anything under the prefix. Only a valid record under the key of its node
// names a node.
std::optional<NodeRecord> DirectoryService::DecodeEntry(const std::string& aKey,
                                                        std::string_view aValue)
{
  auto record = DecodeNodeRecord(aValue);
  if (record && aKey == mPrefix + record->mNodeId) {
    return std::move(*record);
  }
  Event("directory", "bad-entry")
    .Add("key", aKey)
    .Add("error", record ? "record of another node" : Describe(record.error()));
  return std::nullopt;
}

bool DirectoryService::IsOwnEntry(std::string_view aValue) const
{
  return aValue == EncodeNodeRecord(mOwnRecord);
}

// Handles a record under the key of this node that is from an earlier process of this node, or from
// another writer. Other nodes ignore the next record of this node unless it is newer.
void DirectoryService::Supersede(std::string_view aForeignEntry)
{
  const auto record = DecodeNodeRecord(aForeignEntry);
  if (!record || record->mNodeId != mOwnRecord.mNodeId) {
    return;
  }
  if (record->mStarted > mOwnRecord.mStarted) {
    mOwnRecord.mStarted = record->mStarted + 1;
    ++mOwnRecord.mSequence;
  } else if (record->mStarted < mOwnRecord.mStarted) {
    // The first read of the list may be older than the last record of the earlier process.
    mOnPreviousRecord(*record);
  }
}

void DirectoryService::ApplyChanges()
{
  for (const DirectoryChange& change : mDirectory.TakeChanges()) {
    ApplyChange(change);
  }
  const size_t fleet = mDirectory.Size() + 1;
  if (mWatch) {
    mWatch->SetMinReportInterval(MinListUpdateInterval(fleet));
  }
  mDependencies.mOnFleetSize(fleet);
  UpdateTreePosition();
}

void DirectoryService::ApplyChange(const DirectoryChange& aChange)
{
  const NodeRecord& record = aChange.mRecord;
  Event("directory", aChange.mRemoved ? "node-gone" : "node")
    .Add("node", record.mNodeId)
    .Add("service", record.mService)
    .Add("server", record.mServerId)
    .Add("serving", record.mServing)
    .Add("leaving", record.mLeaving)
    .Add("started", record.mStarted)
    .Add("sequence", record.mSequence);
  boost::system::error_code error;
  const auto address = asio::ip::make_address(record.mAddress, error);
  if (aChange.mRemoved || error) {
    mDependencies.mPeers.Remove(record.mNodeId);
    mDependencies.mUpstreams.Remove(record.mNodeId);
    return;
  }
  mDependencies.mPeers.Upsert(record.mNodeId, { address, record.mPort });
  if (!record.mServing || record.mLeaving) {
    mDependencies.mUpstreams.Remove(record.mNodeId);
    return;
  }
  Incarnation& incarnation = mIncarnations[record.mNodeId];
  if (incarnation.mServerId != record.mServerId ||
      incarnation.mServerStarted != record.mServerStarted) {
    incarnation = { record.mServerId, record.mServerStarted, incarnation.mNumber + 1 };
  }
  const auto warmUpMs =
    static_cast<int64_t>(record.mServerWarmUntil - MillisecondsSinceEpoch(mClock.WallNow()));
  const Duration warmUp = std::clamp(std::chrono::milliseconds(warmUpMs), 0ms, kMaxWarmUp);
  mDependencies.mUpstreams.Upsert(
    { record.mNodeId, record.mService, record.mDataCentre, incarnation.mNumber, false, warmUp });
}

// Publishing the record of this node.

void DirectoryService::SetServer(const ServerLifecycle& aLifecycle, bool aAvailable)
{
  NodeRecord record = mOwnRecord;
  if (const auto& server = aLifecycle.Current()) {
    const bool isNewServer =
      record.mServerId != server->mServerId || record.mServerStarted != server->mStarted;
    record.mServerId = server->mServerId;
    record.mServerStarted = server->mStarted;
    if (isNewServer) {
      const auto warmUpLeftMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(server->mWarmUpLeft).count();
      record.mServerWarmUntil =
        MillisecondsSinceEpoch(mClock.WallNow()) + static_cast<uint64_t>(warmUpLeftMs);
    }
    record.mServerLeft = server->mLeaving;
    if (const DepartedServer* departed = aLifecycle.Departed();
        departed && server->mLeaving && departed->mServerId == server->mServerId) {
      // The departure may be that of a later incarnation than the one that is known.
      record.mServerStarted = std::max(server->mStarted, departed->mLatestStart);
    }
  } else if (const DepartedServer* departed = aLifecycle.Departed()) {
    // Kept until another server announces itself, so that a restarted node still knows the
    // departure.
    record.mServerId = departed->mServerId;
    record.mServerStarted = departed->mLatestStart;
    record.mServerLeft = true;
  }
  record.mServing = aLifecycle.IsServing() && aAvailable;
  if (!(record == mOwnRecord)) {
    mOwnRecord = record;
    OnOwnRecordChanged();
  }
}

void DirectoryService::SetLeaving()
{
  mOwnRecord.mLeaving = true;
  OnOwnRecordChanged();
  mLeaving = true;
}

void DirectoryService::Withdraw()
{
  mLeaving = true;
  mPublishTimer.cancel();
  mRenewTimer.cancel();
  // If the server has departed, the record must stay for the next process of this node; it expires
  // with its lease.
  if (mOwnRecord.mServerLeft) {
    return;
  }
  mWithdrawn = true;
  // Until the list has been read, the lease may be that of another node.
  if (mLease != kNoLease && !mReadingList) {
    mStore.RevokeLease(std::exchange(mLease, kNoLease), [](const StoreResult<void>&) {});
  }
}

void DirectoryService::OnOwnRecordChanged()
{
  ++mOwnRecord.mSequence;
  ApplyChange({ mOwnRecord, false });
  if (mHasNodeList) {
    Publish();
    PushIfUsedDifferently();
  }
}

// Tells the other nodes at once. One message to a node costs far less than one call of every node
// to the store, so the list in the store is read at longer intervals. While the store is
// unreachable this is also how they learn of a restart.
void DirectoryService::PushIfUsedDifferently()
{
  // A new node is reported by the list. When a whole fleet starts, every node would tell every
  // other.
  const bool isNew = mPushedRecord.mNodeId.empty();
  if (mStoreReachable && (isNew || !IsUsedDifferently(mPushedRecord, mOwnRecord))) {
    if (isNew && mOwnRecord.mServing) {
      mPushedRecord = mOwnRecord;
    }
    return;
  }
  mPushedRecord = mOwnRecord;
  PushToNodes();
}

void DirectoryService::Publish()
{
  // A read of the list shows what is to be written.
  if (mPublishing || mReadingList || mWithdrawn) {
    return;
  }
  if (mLease == kNoLease) {
    GrantLease();
    return;
  }
  mPublishing = true;
  mStore.CompareAndSwap(
    OwnKey(), mOwnRevision, EncodeNodeRecord(mOwnRecord), mLease,
    [this, sequence = mOwnRecord.mSequence, epoch = mStoreEpoch](const auto& aResult) {
      if (mStopped) {
        return;
      }
      mPublishing = false;
      if (epoch == mStoreEpoch) {
        OnPublished(sequence, aResult);
      } else {
        // The store may have lost what it has acknowledged.
        Publish();
      }
    });
}

void DirectoryService::OnPublished(uint64_t aSequence, const StoreResult<Revision>& aResult)
{
  if (!aResult) {
    OnPublicationFailed(aResult.error());
    return;
  }
  SetStoreReachable(true, "publish", {});
  mOwnRevision = *aResult;
  mPublishedSequence = aSequence;
  if (IsPublished()) {
    RunWaiters();
  } else {
    // The record changed while it was being written.
    Publish();
  }
}

void DirectoryService::OnPublicationFailed(const StoreFailure& aFailure)
{
  if (aFailure.mCode == StoreError::Conflict) {
    OnConflict(aFailure.mCurrent);
  } else if (aFailure.mCode == StoreError::LeaseNotFound) {
    mLease = kNoLease;
    Publish();
  } else {
    SetStoreReachable(false, "publish", Describe(aFailure));
    PublishLater(Jittered(kMaxBackoff, mRandom));
  }
}

// The entry is from an earlier write that got no response, or from an earlier process.
void DirectoryService::OnConflict(const std::optional<StoreEntry>& aCurrent)
{
  mOwnRevision = aCurrent ? aCurrent->mModRevision : kAbsent;
  if (aCurrent && aCurrent->mLease == mLease && IsOwnEntry(aCurrent->mValue)) {
    mPublishedSequence = mOwnRecord.mSequence;
    RunWaiters();
    return;
  }
  if (aCurrent) {
    Supersede(aCurrent->mValue);
  }
  Publish();
}

void DirectoryService::PublishLater(Duration aDelay)
{
  mPublishTimer.expires_after(aDelay);
  mPublishTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      Publish();
    }
  });
}

void DirectoryService::WhenPublished(std::function<void()> aDone)
{
  if (IsPublished()) {
    aDone();
    return;
  }
  mPublishWaiters.push_back(std::move(aDone));
  mPublishWaiterTimer.expires_after(kMaxPublishWait);
  mPublishWaiterTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      Event("directory", "unpublished").Add("sequence", mOwnRecord.mSequence);
      RunWaiters();
    }
  });
}

void DirectoryService::RunWaiters()
{
  mPublishWaiterTimer.cancel();
  for (const auto& waiter : std::exchange(mPublishWaiters, {})) {
    waiter();
  }
}

void DirectoryService::GrantLease()
{
  mPublishing = true;
  mStore.GrantLease(kLeaseDuration,
                    [this, epoch = mStoreEpoch](const StoreResult<StoreLease>& aResult) {
                      if (mStopped) {
                        return;
                      }
                      mPublishing = false;
                      if (epoch == mStoreEpoch) {
                        OnLeaseGranted(aResult);
                      } else {
                        // The store may have lost the lease, and given its id to another node.
                        Publish();
                      }
                    });
}

void DirectoryService::OnLeaseGranted(const StoreResult<StoreLease>& aResult)
{
  if (!aResult) {
    OnPublicationFailed(aResult.error());
    return;
  }
  mLease = aResult->mId;
  Publish();
  RenewLeaseLater(kRenewInterval);
}

void DirectoryService::RenewLeaseLater(Duration aInterval)
{
  mRenewTimer.expires_after(
    std::chrono::duration_cast<Duration>(aInterval * (0.9 + 0.2 * mRandom.Uniform())));
  mRenewTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      RenewLease();
    }
  });
}

void DirectoryService::RenewLease()
{
  if (mLease == kNoLease) {
    return;
  }
  mStore.KeepAlive(mLease,
                   [this, lease = mLease](const StoreResult<std::chrono::seconds>& aResult) {
                     // The lease may have been replaced or given up in the meantime.
                     if (!mStopped && lease == mLease) {
                       OnLeaseRenewed(lease, aResult);
                     }
                   });
}

void DirectoryService::OnLeaseRenewed(LeaseId aLease,
                                      const StoreResult<std::chrono::seconds>& aResult)
{
  if (!aResult && aResult.error().mCode == StoreError::LeaseNotFound) {
    Event("directory", "lease-lost").Add("lease", aLease);
    mLease = kNoLease;
    if (!mLeaving) {
      Publish();
    }
    return;
  }
  SetStoreReachable(aResult.has_value(), "renew", aResult ? "" : Describe(aResult.error()));
  RenewLeaseLater(aResult ? kRenewInterval : kMaxBackoff);
}

void DirectoryService::SetStoreReachable(bool aReachable, const char* aCall,
                                         const std::string& aDetail)
{
  if (aReachable == mStoreReachable) {
    return;
  }
  mStoreReachable = aReachable;
  Event("store", aReachable ? "regained" : "lost").Add("call", aCall).Add("error", aDetail);
}

// Exchanging records with other nodes.

void DirectoryService::ScheduleTick()
{
  mTickTimer.expires_after(kTickInterval);
  mTickTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      MeasureDelay(mClock.Now() - mTickTimer.expiry());
      // First, because an exception ends the handler.
      ScheduleTick();
      Tick();
    }
  });
}

void DirectoryService::MeasureDelay(Duration aDelay)
{
  mLongestDelay = std::max(mLongestDelay, aDelay);
  if (aDelay >= kLoggedDelay) {
    Event("node", "held-up").Add("delay_ms", aDelay);
  }
}

Duration DirectoryService::TakeLongestDelay()
{
  return std::exchange(mLongestDelay, Duration::zero());
}

void DirectoryService::Tick()
{
  for (const NodeRecord& record : mDirectory.TakeDueProbes(!mStoreReachable)) {
    ConfirmNode(record);
  }
  const SteadyTime now = mClock.Now();
  if (!mSilentNodes.empty() && now >= mSilentSince + kSilentTime) {
    mSilentNodes.clear();
    UpdateTreePosition();
  }
  if (mListCheckDue && now >= *mListCheckDue) {
    mListCheckDue.reset();
    if (mWatch && mExpectedRevision > mListRevision) {
      mWatch->CheckNow(
        [this](Revision aRevision) { mListRevision = std::max(mListRevision, aRevision); });
    }
  }
  mConfigFetcher.TryNextSource();
  if (!mStoreReachable && now >= mNextPull) {
    mNextPull = now + kPullInterval;
    PullFromRandomNode();
  }
}

void DirectoryService::ConfirmNode(const NodeRecord& aRecord)
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aRecord.mAddress, error);
  if (error) {
    return;
  }
  mDependencies.mPeers.Upsert(aRecord.mNodeId, { address, aRecord.mPort });
  ExchangeRecords(aRecord.mNodeId, true);
}

void DirectoryService::PullFromRandomNode()
{
  const auto nodes = mDirectory.Nodes();
  if (!nodes.empty()) {
    ExchangeRecords(nodes[mRandom.Below(nodes.size())].mNodeId, false);
  }
}

void DirectoryService::PushToNodes()
{
  size_t pushed = 0;
  for (const NodeRecord& node : mDirectory.Nodes()) {
    if (pushed++ < kMaxPushTargets) {
      ExchangeRecords(node.mNodeId, true);
    }
  }
}

void DirectoryService::ExchangeRecords(const std::string& aNodeId, bool aPush)
{
  HttpRequest request;
  request.mMethod = aPush ? "POST" : "GET";
  request.mTarget = kNodesTarget;
  if (aPush) {
    std::vector<NodeRecord> records = { mOwnRecord };
    if (const NodeRecord* known = mDirectory.Find(aNodeId)) {
      records.push_back(*known);
    }
    request.mBody = EncodeNodeRecords(records);
  }
  mDependencies.mPeers.Send(
    aNodeId, std::move(request), kExchangeTimeout,
    [this, aNodeId, sentAt = mClock.Now()](const Result<HttpResponse>& aResult) {
      if (!mStopped) {
        OnRecordsExchanged(aNodeId, sentAt, aResult);
      }
    });
}

void DirectoryService::OnRecordsExchanged(const std::string& aNodeId, SteadyTime aSentAt,
                                          const Result<HttpResponse>& aResult)
{
  size_t skipped = 0;
  std::vector<NodeRecord> records;
  if (aResult && aResult->mStatus == 200) {
    if (auto decoded = DecodeNodeRecords(aResult->mBody, skipped)) {
      records = std::move(*decoded);
    }
  }
  if (records.empty() || records.front().mNodeId != aNodeId) {
    mDirectory.OnProbeFailed(aNodeId);
  } else {
    mDirectory.OnConfirmed(records.front());
    for (size_t i = 1; i < records.size(); ++i) {
      mDirectory.OnReported(records[i]);
    }
    OnPeerView(aNodeId, ReadStoreView(aResult->mHeaders), aSentAt);
  }
  ApplyChanges();
}

HttpResponse DirectoryService::HandlePeer(const HttpRequest& aRequest)
{
  HttpResponse response;
  std::vector<NodeRecord> records = { mOwnRecord };
  if (aRequest.mMethod == "POST") {
    size_t skipped = 0;
    const auto pushed = DecodeNodeRecords(aRequest.mBody, skipped);
    if (!pushed || pushed->empty() || skipped > 0) {
      Event("directory", "bad-message")
        .Add("error", pushed ? "unreadable records" : Describe(pushed.error()));
      response.mStatus = 400;
      return response;
    }
    mDirectory.OnConfirmed(pushed->front());
    if (const NodeRecord& last = pushed->back(); last.mNodeId == mOwnRecord.mNodeId) {
      if (last.mStarted > mOwnRecord.mStarted) {
        // The sender ignores records that are older than the one of an earlier process of this
        // node, which had a clock that was ahead.
        mOwnRecord.mStarted = last.mStarted + 1;
        OnOwnRecordChanged();
      }
      mOnPreviousRecord(last);
      records.front() = mOwnRecord;
    }
    ApplyChanges();
  } else {
    for (NodeRecord& node : mDirectory.Nodes()) {
      records.push_back(std::move(node));
    }
  }
  response.mBody = EncodeNodeRecords(records);
  WriteStoreView(View(mClock.Now()), response.mHeaders);
  return response;
}

StoreView DirectoryService::View(SteadyTime aArrived) const
{
  StoreView view;
  view.mConfigRevision = mDependencies.mConfig.Holder().Revision();
  view.mConfigDigest = mDependencies.mConfig.Holder().Digest();
  if (const auto verified = mDependencies.mConfig.VerifiedAsOf()) {
    view.mConfigAge = aArrived - *verified;
  }
  view.mListRevision = mLastListChange;
  return view;
}

HttpResponse DirectoryService::HandleQuestion(const HttpRequest& aRequest)
{
  const std::string asker(aRequest.mHeaders.Find(kNodeIdHeader));
  const StoreView theirs = ReadStoreView(aRequest.mHeaders);
  if (mDependencies.mPeers.Has(asker)) {
    mConfigFetcher.OnStated(asker, theirs.mConfigRevision);
  }
  HttpResponse response;
  response.mStatus = 204;
  WriteStoreView(View(mClock.Now()), response.mHeaders);
  return response;
}

void DirectoryService::AskForView()
{
  Ask(mTreePosition.mAbove, [this](const std::string& aNodeId, bool aAnswered) {
    if (!aAnswered) {
      OnSilent(aNodeId);
    }
  });
}

void DirectoryService::Ask(const std::string& aNodeId,
                           std::function<void(const std::string&, bool)> aOnEnd)
{
  HttpRequest request;
  request.mTarget = kViewTarget;
  // The age is left out: the receiver does not know how long the question was under way.
  StoreView ours;
  ours.mConfigRevision = mDependencies.mConfig.Holder().Revision();
  WriteStoreView(ours, request.mHeaders);
  request.mHeaders.Add(kNodeIdHeader, mOwnRecord.mNodeId);
  mDependencies.mPeers.Send(
    aNodeId, std::move(request), kQuestionTimeout,
    [this, aNodeId, sentAt = mClock.Now(), onEnd = std::move(aOnEnd)](const auto& aResult) {
      if (mStopped) {
        return;
      }
      const bool isAnswered = aResult && aResult->mStatus == 204;
      if (isAnswered) {
        OnPeerView(aNodeId, ReadStoreView(aResult->mHeaders), sentAt);
      }
      onEnd(aNodeId, isAnswered);
    });
}

// The store may have returned from a copy that is older than the configuration of the other nodes,
// which this process does not have yet.
void DirectoryService::AskAtStart()
{
  mStartedAsking = mClock.Now();
  std::vector<NodeRecord> nodes = mDirectory.Nodes();
  for (size_t i = 0; i < kNodesAskedAtStart && !nodes.empty(); ++i) {
    const auto chosen = nodes.begin() + static_cast<std::ptrdiff_t>(mRandom.Below(nodes.size()));
    ++mStartQuestions;
    Ask(chosen->mNodeId, [this](const std::string&, bool) { --mStartQuestions; });
    nodes.erase(chosen);
  }
}

bool DirectoryService::HasComparedConfig() const
{
  const bool isWaiting = mStartQuestions > 0 || mConfigFetcher.IsFetching();
  return mHasNodeList && (!isWaiting || mClock.Now() >= mStartedAsking + kMaxStartWait);
}

void DirectoryService::OnSilent(const std::string& aNodeId)
{
  if (mSilentNodes.empty()) {
    mSilentSince = mClock.Now();
  }
  mSilentNodes.insert(aNodeId);
  UpdateTreePosition();
}

void DirectoryService::UpdateTreePosition()
{
  mTreePosition = FindTreePosition(mOwnRecord, mDirectory.Nodes(), mSilentNodes);
  mDependencies.mConfig.SetDepth(mTreePosition.mDepth, Hash64(mOwnRecord.mNodeId));
}

void DirectoryService::OnPeerView(const std::string& aNodeId, const StoreView& aView,
                                  SteadyTime aSentAt)
{
  const uint64_t revision = mDependencies.mConfig.Holder().Revision();
  // Two values of one revision differ if a write without an answer took effect in a store that then
  // returned from an older copy, and another one was made instead. Old nodes state no digest.
  const bool isSame =
    aView.mConfigRevision == revision &&
    (aView.mConfigDigest == 0 || aView.mConfigDigest == mDependencies.mConfig.Holder().Digest());
  if (aView.mConfigRevision > revision) {
    mConfigFetcher.OnStated(aNodeId, aView.mConfigRevision);
  } else if (isSame && aView.mConfigAge) {
    // The request arrived after it was sent.
    mDependencies.mConfig.OnVerified(std::min(aSentAt - *aView.mConfigAge, mClock.Now()), aSentAt,
                                     aNodeId);
  }
  OnStoreRevision(aView.mListRevision);
}

std::vector<FleetNode> DirectoryService::Fleet() const
{
  std::vector<FleetNode> fleet;
  for (const NodeRecord& record : mDirectory.Nodes()) {
    fleet.push_back({ record.mNodeId, record.mService });
  }
  return fleet;
}

} // namespace balsammount
