#include "balsammount/etcd_store.h"

#include "etcd_json.h"

#include "balsammount/backoff.h"
#include "balsammount/http_client.h"
#include "balsammount/log.h"
#include "balsammount/watch_handle.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>

namespace balsammount {

namespace asio = boost::asio;
using etcd::Json;
using std::chrono::steady_clock;

namespace {

// A value of 1 MB is 1.4 MB in base64, and the response to a failed transaction contains one.
constexpr size_t kMaxResponseBytes = 4 * 1024 * 1024;

enum class OperationKind
{
  Read,
  Write,
};

HttpRequest MakeRequest(std::string_view aPath, const Json& aBody)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = aPath;
  request.mHeaders.Set("Content-Type", "application/json");
  request.mBody = aBody.dump();
  return request;
}

// Result of a request to one endpoint.
struct Attempt
{
  std::optional<std::string> mBody; // of a response with status 200
  std::optional<StoreFailure> mFailure;
  bool mMayTryOther = false;
};

Attempt Failed(StoreError aError, std::string aDetail, bool aMayTryOther = false)
{
  return { std::nullopt, StoreFailure(aError, std::move(aDetail)), aMayTryOther };
}

// Allows a write at another endpoint only if the first one certainly did not process it.
Attempt FromTransport(const Failure& aFailure, OperationKind aKind)
{
  std::string detail = Describe(aFailure);
  if (ProvesNotRun(aFailure.mCode)) {
    return Failed(StoreError::Unavailable, std::move(detail), true);
  }
  if (aKind == OperationKind::Write) {
    return Failed(StoreError::Unknown, std::move(detail));
  }
  if (aFailure.mCode == TransportError::TimedOut) {
    return Failed(StoreError::TimedOut, std::move(detail), true);
  }
  if (aFailure.mCode == TransportError::TooLarge) {
    return Failed(StoreError::Malformed, std::move(detail));
  }
  return Failed(StoreError::Unavailable, std::move(detail), true);
}

Attempt FromResponse(HttpResponse&& aResponse, OperationKind aKind)
{
  if (aResponse.mStatus == 200) {
    return { std::move(aResponse.mBody), std::nullopt, false };
  }
  const std::string text = etcd::ErrorText(aResponse.mBody);
  std::string detail = "status " + std::to_string(aResponse.mStatus) + ": " + text;
  const auto hasText = [&](std::string_view aPhrase) { return text.find(aPhrase) != text.npos; };
  if (hasText("lease not found")) {
    return Failed(StoreError::LeaseNotFound, std::move(detail));
  }
  if (aResponse.mStatus == 413 || hasText("request is too large")) {
    return Failed(StoreError::TooLarge, std::move(detail));
  }
  // Without a leader the server refuses a call before it proposes the change. Any other 5xx
  // response to a write may come after the proposal.
  if (aResponse.mStatus < 500 || aKind == OperationKind::Read || hasText("no leader")) {
    return Failed(StoreError::Unavailable, std::move(detail), aResponse.mStatus >= 500);
  }
  return Failed(StoreError::Unknown, std::move(detail));
}

} // namespace

struct EtcdStore::State : std::enable_shared_from_this<State>
{
  struct Operation
  {
    std::string mPath;
    Json mBody;
    OperationKind mKind = OperationKind::Read;
    steady_clock::time_point mDeadline;
    size_t mAttempts = 0;
    std::function<void(const std::string&)> mOnBody;
    std::function<void(StoreFailure)> mOnFailure;
  };

  State(asio::io_context& aContext, EtcdStoreSettings aSettings)
    : mContext(aContext)
    , mSettings(std::move(aSettings))
    , mRandom(mSettings.mSeed)
  {
    HttpClientLimits limits;
    limits.mMaxBodyBytes = kMaxResponseBytes;
    const auto endpoints = static_cast<int>(mSettings.mEndpoints.size());
    limits.mConnectTimeout = mSettings.mTimeout / std::max(endpoints, 1);
    for (const auto& endpoint : mSettings.mEndpoints) {
      mClients.push_back(std::make_unique<HttpClient>(aContext, endpoint, limits));
    }
  }

  HttpClient& Preferred() { return *mClients[mPreferred]; }
  void PreferNext() { mPreferred = (mPreferred + 1) % mClients.size(); }

  // Starts a call. aParse converts the response body to the result.
  template <class T>
  void Start(OperationKind aKind, std::string aPath, Json aBody, StoreCallback<T> aCallback,
             std::function<StoreResult<T>(const std::string&)> aParse)
  {
    auto operation = std::make_shared<Operation>();
    operation->mPath = std::move(aPath);
    operation->mBody = std::move(aBody);
    operation->mKind = aKind;
    operation->mDeadline = steady_clock::now() + mSettings.mTimeout;
    operation->mOnBody = [aKind, aCallback, parse = std::move(aParse)](const std::string& aText) {
      aCallback(Parse<T>(aKind, parse, aText));
    };
    operation->mOnFailure = [aCallback](StoreFailure aFailure) {
      aCallback(StoreResult<T>(std::move(aFailure)));
    };
    StartAttempt(operation);
  }

  // aParse throws MalformedMessage.
  template <class T>
  static StoreResult<T> Parse(OperationKind aKind,
                              const std::function<StoreResult<T>(const std::string&)>& aParse,
                              const std::string& aBody)
  {
    try {
      return aParse(aBody);
    } catch (const etcd::MalformedMessage& error) {
      // A write whose response cannot be parsed has probably taken effect.
      return StoreFailure(
        aKind == OperationKind::Write ? StoreError::Unknown : StoreError::Malformed, error.what());
    }
  }

  void StartAttempt(const std::shared_ptr<Operation>& aOperation)
  {
    const std::chrono::nanoseconds remaining = aOperation->mDeadline - steady_clock::now();
    // A read reserves time for the endpoints that were not tried. A write waits for its response.
    const auto untriedCount = static_cast<int64_t>(mClients.size() - aOperation->mAttempts);
    const auto timeout =
      aOperation->mKind == OperationKind::Read ? remaining / untriedCount : remaining;
    ++aOperation->mAttempts;
    const uint64_t id = ++mLastCallId;
    const size_t endpoint = mPreferred;
    mCalls[id] = Preferred().Send(
      MakeRequest(aOperation->mPath, aOperation->mBody), timeout,
      [this, self = shared_from_this(), id, endpoint, aOperation](Result<HttpResponse> aResult) {
        mCalls.erase(id);
        const OperationKind kind = aOperation->mKind;
        OnAttemptDone(aOperation, endpoint,
                      aResult ? FromResponse(std::move(*aResult), kind)
                              : FromTransport(aResult.error(), kind));
      });
  }

  void OnAttemptDone(const std::shared_ptr<Operation>& aOperation, size_t aEndpoint,
                     Attempt aAttempt)
  {
    if (!aAttempt.mFailure) {
      aOperation->mOnBody(*aAttempt.mBody);
      return;
    }
    const StoreFailure& failure = *aAttempt.mFailure;
    const bool endpointFailed = failure.mCode == StoreError::Unavailable ||
                                failure.mCode == StoreError::TimedOut ||
                                failure.mCode == StoreError::Unknown;
    // Another call may already have switched to the next endpoint.
    if (endpointFailed && mPreferred == aEndpoint) {
      PreferNext();
    }
    if (aAttempt.mMayTryOther && aOperation->mAttempts < mClients.size() &&
        steady_clock::now() < aOperation->mDeadline) {
      StartAttempt(aOperation);
      return;
    }
    aOperation->mOnFailure(failure);
  }

  void Get(const std::string& aKey, StoreCallback<StoreRead> aCallback)
  {
    Start<StoreRead>(OperationKind::Read, "/v3/kv/range", etcd::RangeRequest(aKey),
                     std::move(aCallback), [](const std::string& aBody) -> StoreResult<StoreRead> {
                       const Json message = etcd::ParseObject(aBody);
                       return StoreRead{ etcd::ParseEntry(message), etcd::HeaderRevision(message) };
                     });
  }

  void Range(const std::string& aPrefix, Freshness aFreshness, StoreCallback<StoreRange> aCallback)
  {
    Json request = etcd::PrefixRequest(aPrefix);
    request["serializable"] = aFreshness == Freshness::MayBeStale;
    Start<StoreRange>(OperationKind::Read, "/v3/kv/range", std::move(request), std::move(aCallback),
                      [](const std::string& aBody) -> StoreResult<StoreRange> {
                        return etcd::ParseRange(etcd::ParseObject(aBody));
                      });
  }

  void Transact(Json aTransaction, std::string aKey, StoreCallback<Revision> aCallback)
  {
    Start<Revision>(OperationKind::Write, "/v3/kv/txn", std::move(aTransaction),
                    std::move(aCallback), [key = std::move(aKey)](const std::string& aBody) {
                      return etcd::ParseTransactionResult(etcd::ParseObject(aBody), key);
                    });
  }

  asio::io_context& mContext;
  EtcdStoreSettings mSettings;
  Random mRandom;
  std::vector<std::unique_ptr<HttpClient>> mClients;
  size_t mPreferred = 0;
  std::map<uint64_t, std::shared_ptr<Call>> mCalls;
  uint64_t mLastCallId = 0;
  bool mStopped = false;
};

namespace {

// A watch that reconnects when its connection ends.
class WatchLoop : public std::enable_shared_from_this<WatchLoop>
{
public:
  // aKey is a prefix if aOnHistoryLost is set.
  WatchLoop(std::shared_ptr<EtcdStore::State> aState, std::string aKey, Revision aFrom,
            WatchCallback aCallback, std::function<void()> aOnHistoryLost)
    : mState(std::move(aState))
    , mTimer(mState->mContext)
    , mKey(std::move(aKey))
    , mRangeEnd(aOnHistoryLost ? PrefixEnd(mKey) : std::string())
    , mNextRevision(aFrom)
    , mCallback(std::move(aCallback))
    , mOnHistoryLost(std::move(aOnHistoryLost))
    , mBackoff(mState->mSettings.mMinReconnectDelay, mState->mSettings.mMaxReconnectDelay)
  {
  }

  void Connect()
  {
    if (IsDone()) {
      return;
    }
    mBuffer.clear();
    mCreated = false;
    mStatus = 0;
    StreamCallbacks callbacks;
    // Events of an earlier connection are ignored.
    const uint64_t connectionId = ++mConnectionId;
    const auto self = shared_from_this();
    const auto isCurrent = [self, connectionId] {
      return !self->IsDone() && self->mConnectionId == connectionId;
    };
    callbacks.mOnHead = [self, isCurrent](const HttpResponse& aHead) {
      if (isCurrent()) {
        self->mStatus = aHead.mStatus;
      }
    };
    callbacks.mOnData = [self, isCurrent](std::string_view aData) {
      if (isCurrent()) {
        self->OnData(aData);
      }
    };
    callbacks.mOnEnd = [self, isCurrent](const Result<void>& aResult) {
      if (isCurrent()) {
        self->OnEnd(aResult);
      }
    };
    mCall = mState->Preferred().Stream(
      MakeRequest("/v3/watch", etcd::WatchRequest(mKey, mRangeEnd, mNextRevision)),
      mState->mSettings.mWatchIdleTimeout, std::move(callbacks));
  }

  void Cancel()
  {
    mCancelled = true;
    Disconnect();
    mTimer.cancel();
  }

private:
  bool IsDone() const { return mCancelled || mState->mStopped; }

  void Disconnect()
  {
    ++mConnectionId;
    if (auto call = std::exchange(mCall, nullptr)) {
      call->Cancel();
    }
  }

  void OnData(std::string_view aData)
  {
    mBuffer += aData;
    const uint64_t connectionId = mConnectionId;
    size_t start = 0;
    for (size_t end = mBuffer.find('\n'); end != std::string::npos;
         end = mBuffer.find('\n', start)) {
      const std::string line = mBuffer.substr(start, end - start);
      start = end + 1;
      OnLine(line);
      if (IsDone() || mConnectionId != connectionId) {
        return;
      }
    }
    mBuffer.erase(0, start);
    if (mBuffer.size() > kMaxResponseBytes) {
      Retry("watch message too large");
    }
  }

  void OnLine(const std::string& aLine)
  {
    if (aLine.empty()) {
      return;
    }
    etcd::WatchMessage message;
    try {
      message = etcd::ParseWatchMessage(aLine);
    } catch (const etcd::MalformedMessage& error) {
      Retry(error.what());
      return;
    }
    if (message.mCancelled) {
      Resync();
      return;
    }
    if (message.mCreated) {
      OnCreated(message.mRevision);
      return;
    }
    Deliver(message);
  }

  void OnCreated(Revision aRevision)
  {
    mCreated = true;
    if (mNextRevision == 0) {
      mNextRevision = aRevision + 1;
    }
    // The store has lost its data or this endpoint lags behind. Only a read can tell which.
    if (aRevision + 1 < mNextRevision) {
      Resync();
    } else {
      mBackoff.Reset();
    }
  }

  void Deliver(const etcd::WatchMessage& aMessage)
  {
    // Keys that were written in one transaction share a revision.
    const Revision from = mNextRevision;
    for (const WatchEvent& event : aMessage.mEvents) {
      if (event.mModRevision >= from) {
        Report(event, event.mModRevision + 1);
        if (IsDone()) {
          return;
        }
      }
    }
    // A message without events confirms that there were no changes up to its revision.
    if (aMessage.mEvents.empty()) {
      mNextRevision = std::max(mNextRevision, aMessage.mRevision + 1);
    }
  }

  void Report(const WatchEvent& aEvent, Revision aNextRevision)
  {
    mNextRevision = aNextRevision;
    mIsDeleted = !aEvent.mValue;
    mCallback(aEvent);
  }

  // Reads the latest state, because the store no longer has the changes from mNextRevision on or
  // its revision is lower than expected.
  void Resync()
  {
    Disconnect();
    if (mOnHistoryLost) {
      mCancelled = true;
      mOnHistoryLost();
      return;
    }
    mState->Get(mKey, [self = shared_from_this()](const StoreResult<StoreRead>& aResult) {
      if (self->IsDone()) {
        return;
      }
      if (!aResult) {
        self->Retry(Describe(aResult.error()));
        return;
      }
      self->OnResync(*aResult);
    });
  }

  void OnResync(const StoreRead& aRead)
  {
    const bool revisionDecreased = aRead.mRevision + 1 < mNextRevision;
    const Revision nextRevision = aRead.mRevision + 1;
    const auto& entry = aRead.mEntry;
    if (revisionDecreased) {
      Log("store").warn("store revision decreased from {} to {}; reading {} again",
                        mNextRevision - 1, aRead.mRevision, mKey);
    }
    if (entry && (revisionDecreased || entry->mModRevision >= mNextRevision)) {
      Report({ entry->mValue, entry->mModRevision }, nextRevision);
    } else if (!entry && !mIsDeleted) {
      Report({ std::nullopt, aRead.mRevision }, nextRevision);
    }
    mNextRevision = nextRevision;
    // Avoids reading the same endpoint again at once if it lags behind.
    mState->PreferNext();
    ScheduleReconnect();
  }

  void OnEnd(const Result<void>& aResult)
  {
    mCall = nullptr;
    const bool isIdle = !aResult && aResult.error().mCode == TransportError::TimedOut && mCreated;
    if (isIdle) {
      Connect();
      return;
    }
    Retry(!aResult ? Describe(aResult.error())
                   : "response ended with status " + std::to_string(mStatus));
  }

  void Retry(const std::string& aReason)
  {
    Disconnect();
    mState->PreferNext();
    Log("store").warn("watch of {} was interrupted; reconnecting: {}", mKey, aReason);
    ScheduleReconnect();
  }

  void ScheduleReconnect()
  {
    mTimer.expires_after(mBackoff.Next(mState->mRandom));
    mTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError) {
        self->Connect();
      }
    });
  }

  std::shared_ptr<EtcdStore::State> mState;
  asio::steady_timer mTimer;
  std::string mKey;
  std::string mRangeEnd;  // end of the watched range; empty for a single key
  Revision mNextRevision; // first revision that was not reported
  WatchCallback mCallback;
  std::function<void()> mOnHistoryLost;
  std::shared_ptr<Call> mCall;
  std::string mBuffer;
  uint64_t mConnectionId = 0;
  unsigned mStatus = 0;
  Backoff mBackoff;
  bool mCreated = false;
  bool mIsDeleted = false; // as last reported
  bool mCancelled = false;
};

} // namespace

EtcdStore::EtcdStore(asio::io_context& aContext, EtcdStoreSettings aSettings)
  : mState(std::make_shared<State>(aContext, std::move(aSettings)))
{
}

EtcdStore::~EtcdStore()
{
  mState->mStopped = true;
  for (const auto& [id, call] : std::exchange(mState->mCalls, {})) {
    call->Cancel();
  }
}

void EtcdStore::Get(std::string aKey, StoreCallback<StoreRead> aCallback)
{
  mState->Get(aKey, std::move(aCallback));
}

void EtcdStore::Range(std::string aPrefix, Freshness aFreshness,
                      StoreCallback<StoreRange> aCallback)
{
  mState->Range(aPrefix, aFreshness, std::move(aCallback));
}

void EtcdStore::CompareAndSwap(std::string aKey, Revision aExpected, std::string aValue,
                               LeaseId aLease, StoreCallback<Revision> aCallback)
{
  if (aValue.size() > kMaxStoreValueBytes) {
    asio::post(mState->mContext, [state = mState, callback = std::move(aCallback),
                                  detail = aKey + ": " + std::to_string(aValue.size()) +
                                           " bytes exceed " + std::to_string(kMaxStoreValueBytes)] {
      if (!state->mStopped) {
        callback(StoreFailure(StoreError::TooLarge, detail));
      }
    });
    return;
  }
  Json transaction = etcd::PutTransaction(aKey, aExpected, aValue, aLease);
  mState->Transact(std::move(transaction), std::move(aKey), std::move(aCallback));
}

void EtcdStore::Delete(std::string aKey, Revision aExpected, StoreCallback<Revision> aCallback)
{
  Json transaction = etcd::DeleteTransaction(aKey, aExpected);
  mState->Transact(std::move(transaction), std::move(aKey), std::move(aCallback));
}

void EtcdStore::GrantLease(std::chrono::seconds aTimeToLive, StoreCallback<StoreLease> aCallback)
{
  mState->Start<StoreLease>(
    OperationKind::Write, "/v3/lease/grant", { { "TTL", std::to_string(aTimeToLive.count()) } },
    std::move(aCallback), [](const std::string& aBody) -> StoreResult<StoreLease> {
      const Json message = etcd::ParseObject(aBody);
      const StoreLease lease{ etcd::Integer(message, "ID"),
                              std::chrono::seconds(etcd::Integer(message, "TTL")) };
      if (lease.mId == kNoLease || lease.mTimeToLive.count() <= 0) {
        throw etcd::MalformedMessage("lease without an id or time to live");
      }
      return lease;
    });
}

void EtcdStore::KeepAlive(LeaseId aLease, StoreCallback<std::chrono::seconds> aCallback)
{
  mState->Start<std::chrono::seconds>(
    OperationKind::Read, "/v3/lease/keepalive", { { "ID", std::to_string(aLease) } },
    std::move(aCallback), [aLease](const std::string& aBody) -> StoreResult<std::chrono::seconds> {
      const Json message = etcd::ParseObject(aBody);
      // The response for an expired lease has no time to live.
      const int64_t timeToLive = etcd::Integer(etcd::Field(message, "result"), "TTL");
      if (message.contains("error")) {
        throw etcd::MalformedMessage(etcd::ErrorText(aBody));
      }
      if (timeToLive <= 0) {
        return StoreFailure(StoreError::LeaseNotFound, std::to_string(aLease));
      }
      return std::chrono::seconds(timeToLive);
    });
}

void EtcdStore::RevokeLease(LeaseId aLease, StoreCallback<void> aCallback)
{
  mState->Start<void>(OperationKind::Write, "/v3/lease/revoke",
                      { { "ID", std::to_string(aLease) } }, std::move(aCallback),
                      [](const std::string& aBody) -> StoreResult<void> {
                        etcd::HeaderRevision(etcd::ParseObject(aBody));
                        return {};
                      });
}

std::unique_ptr<StoreWatch> EtcdStore::Watch(std::string aKey, Revision aFrom,
                                             WatchCallback aCallback)
{
  auto loop =
    std::make_shared<WatchLoop>(mState, std::move(aKey), aFrom, std::move(aCallback), nullptr);
  loop->Connect();
  return std::make_unique<WatchHandle<WatchLoop>>(std::move(loop));
}

std::unique_ptr<StoreWatch> EtcdStore::WatchPrefix(std::string aPrefix, Revision aFrom,
                                                   WatchCallback aCallback,
                                                   std::function<void()> aOnHistoryLost)
{
  auto loop = std::make_shared<WatchLoop>(mState, std::move(aPrefix), aFrom, std::move(aCallback),
                                          std::move(aOnHistoryLost));
  loop->Connect();
  return std::make_unique<WatchHandle<WatchLoop>>(std::move(loop));
}

} // namespace balsammount
