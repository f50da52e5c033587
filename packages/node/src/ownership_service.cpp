#include "ownership_service.h"

#include "store_keys.h"

#include "balsammount/event.h"
#include "balsammount/log.h"
#include "balsammount/response_check.h"

namespace balsammount {

namespace {

constexpr std::chrono::milliseconds kMessageTimeout{ 2000 };

// Header of a call that another node of the service has forwarded to the owner. Such a call is not
// forwarded again, so that nodes with different ownership tables cannot form a loop.
constexpr std::string_view kOwnerHop = "bm-owner-hop";

KeyRequest KeyOf(const CallContext& aContext)
{
  return { std::to_string(aContext.mCallerHash), aContext.mKey, aContext.mFingerprint };
}

RecordedResponse Record(const HttpResponse& aResponse)
{
  RecordedResponse recorded;
  recorded.mStatus = static_cast<int>(aResponse.mStatus);
  for (const Header& header : aResponse.mHeaders.All()) {
    recorded.mHeaders.emplace_back(header.mName, header.mValue);
  }
  recorded.mBody = aResponse.mBody;
  return recorded;
}

HttpResponse Replay(const RecordedResponse& aRecorded)
{
  HttpResponse response;
  response.mStatus = static_cast<unsigned>(aRecorded.mStatus);
  for (const auto& [name, value] : aRecorded.mHeaders) {
    response.mHeaders.Add(name, value);
  }
  response.mBody = aRecorded.mBody;
  return response;
}

// Copies the result of a call for another sender of the same call.
CallResult CopyCallResult(const CallResult& aCallResult, RequestBudget aBudget)
{
  CallResult callResult;
  callResult.mOutcome = aCallResult.mOutcome;
  callResult.mReason = aCallResult.mReason;
  callResult.mResponse = aCallResult.mResponse;
  callResult.mRetryAfter = aCallResult.mRetryAfter;
  callResult.mBudget = std::move(aBudget);
  return callResult;
}

} // namespace

CallResult ReplayedCallResult(const RecordedResponse& aRecorded, RequestBudget aBudget)
{
  HttpResponse response = Replay(aRecorded);
  auto fault = ResponseFault(response);
  if (!fault && IsInterim(response)) {
    fault = "interim response";
  }
  if (fault) {
    Event("ownership", "invalid-record").Add("fault", *fault);
    return Unknown(CallReason::KeyUnknown, std::move(aBudget));
  }
  CallResult callResult;
  callResult.mOutcome = AttemptOutcome::Complete;
  callResult.mResponse = std::move(response);
  callResult.mBudget = std::move(aBudget);
  return callResult;
}

// One sender of a keyed call. Cancelling drops only the sender: the request continues, because the
// sender may retry with the same key to get the result.
class OwnershipService::KeyedCall final : public Call
{
public:
  explicit KeyedCall(std::function<void()> aCancel)
    : mCancel(std::move(aCancel))
  {
  }
  void Cancel() override { mCancel(); }

private:
  std::function<void()> mCancel;
};

struct OwnershipService::Running
{
  CallResultCallback mCallback; // null when the first sender has cancelled
};

OwnershipService::OwnershipService(boost::asio::io_context& aContext, const Clock& aClock,
                                   Random& aRandom, Store& aStore, Peers& aPeers,
                                   Executor& aExecutor, const std::string& aService,
                                   NodeIdentity aSelf)
  : mClock(aClock)
  , mStore(aStore)
  , mPeers(aPeers)
  , mExecutor(aExecutor)
  , mService(aService)
  , mStoreKey(kOwnersPrefix + aService)
  , mSelf(std::move(aSelf))
  , mMemory(aClock, aService)
  , mCore(aClock, aRandom, mMemory, mSelf)
  , mTimer(aContext)
{
}

Result<void> OwnershipService::Start()
{
  mCore.Tick();
  PerformActions();
  return {};
}

void OwnershipService::Stop()
{
  mStopped = true;
  mTimer.cancel();
}

void OwnershipService::SetMembers(std::vector<OwnershipMember> aMembers)
{
  mCore.SetMembers(std::move(aMembers));
  mCore.Tick();
  PerformActions();
}

bool OwnershipService::OnMessage(std::string_view aBytes)
{
  const auto message = DecodeMessage(aBytes);
  if (!message) {
    Log("ownership").warn("rejected a message: {}", Describe(message.error()));
    return false;
  }
  mCore.OnMessage(*message);
  mCore.Tick();
  PerformActions();
  return true;
}

size_t OwnershipService::OwnedShards() const
{
  size_t count = 0;
  for (ShardId shard = 0; shard < mMemory.ShardCount(); ++shard) {
    count += mCore.RightToDispatch(shard) == DispatchRight::Granted;
  }
  return count;
}

void OwnershipService::Drain()
{
  mCore.Drain();
  mCore.Tick();
  PerformActions();
}

std::shared_ptr<Call> OwnershipService::Handle(CallContext aContext, HttpRequest aRequest,
                                               RequestBudget aBudget, CallResultCallback aCallback)
{
  const KeyRequest key = KeyOf(aContext);
  const auto owner = mCore.Owner(mMemory.Shard(key.mCaller, key.mKey));
  if (owner == mSelf) {
    return HandleAsOwner(std::move(aContext), std::move(aRequest), std::move(aBudget),
                         std::move(aCallback));
  }
  if (!owner || aRequest.mHeaders.Has(kOwnerHop)) {
    aCallback(
      Refused(CallReason::OwnershipUnconfirmed, std::move(aBudget), std::chrono::seconds(1)));
    return FinishedCall();
  }
  const SteadyTime now = mClock.Now();
  // The load and the leaving state of the owner do not apply to this node.
  auto relay = [callback = std::move(aCallback)](CallResult aCallResult) {
    aCallResult.mLeaving = false;
    aCallResult.mShedLevel = 0;
    callback(std::move(aCallResult));
  };
  return mPeers.Forward(owner->mNode, aContext, std::move(aRequest), std::move(aBudget), now,
                        std::move(relay), { { std::string(kOwnerHop), "1" } });
}

std::shared_ptr<Call> OwnershipService::HandleAsOwner(CallContext aContext, HttpRequest aRequest,
                                                      RequestBudget aBudget,
                                                      CallResultCallback aCallback)
{
  const KeyRequest key = KeyOf(aContext);
  const KeyMemory::WaiterId waiter = mNextWaiter++;
  const auto begun = mMemory.Begin(key, waiter);
  if (!begun) {
    const bool mismatch = begun.error().mCode == OwnershipError::FingerprintMismatch;
    aCallback(
      Refused(mismatch ? CallReason::KeyMismatch : CallReason::KeyMemoryFull, std::move(aBudget)));
    return FinishedCall();
  }
  switch (begun->mDecision) {
    case BeginDecision::Execute: {
      auto running = std::make_shared<Running>();
      running->mCallback = std::move(aCallback);
      mExecutor.Execute(
        std::move(aContext), std::move(aRequest), std::move(aBudget),
        [this, key, running](CallResult aCallResult) {
          OnResult(key, running, std::move(aCallResult));
        },
        [this, key] { return mCore.ClaimDispatch(key) == DispatchRight::Granted; });
      return std::make_shared<KeyedCall>([running] { running->mCallback = nullptr; });
    }
    case BeginDecision::JoinRunning:
      return Join(key, waiter, std::move(aBudget), std::move(aCallback));
    case BeginDecision::Replay:
      aCallback(ReplayedCallResult(*begun->mResponse, std::move(aBudget)));
      break;
    case BeginDecision::CompletedWithoutResponse:
    case BeginDecision::Unknown:
      aCallback(Unknown(CallReason::KeyUnknown, std::move(aBudget)));
      break;
    case BeginDecision::ShardClosed:
      aCallback(
        Refused(CallReason::OwnershipUnconfirmed, std::move(aBudget), std::chrono::seconds(1)));
      break;
    case BeginDecision::Full:
      aCallback(Refused(CallReason::KeyMemoryFull, std::move(aBudget), std::chrono::seconds(1)));
      break;
  }
  return FinishedCall();
}

std::shared_ptr<Call> OwnershipService::Join(const KeyRequest& aRequest,
                                             KeyMemory::WaiterId aWaiter, RequestBudget aBudget,
                                             CallResultCallback aCallback)
{
  auto budget = std::make_shared<RequestBudget>(std::move(aBudget));
  mWaiters.emplace(aWaiter, Waiter{ std::move(aCallback), std::move(budget) });
  return std::make_shared<KeyedCall>([this, aRequest, aWaiter] {
    mWaiters.erase(aWaiter);
    mMemory.CancelWaiter(aRequest, aWaiter);
  });
}

void OwnershipService::OnResult(const KeyRequest& aKey, const std::shared_ptr<Running>& aRunning,
                                CallResult aCallResult)
{
  switch (aCallResult.mOutcome) {
    case AttemptOutcome::Complete:
      ResolveWaiters(mMemory.Complete(aKey, Record(aCallResult.mResponse)), aCallResult);
      break;
    case AttemptOutcome::Unknown:
      ResolveWaiters(mMemory.MarkUnknown(aKey), aCallResult);
      break;
    default:
      ResolveWaiters(mMemory.Abandon(aKey), aCallResult);
  }
  if (auto callback = std::exchange(aRunning->mCallback, nullptr)) {
    callback(std::move(aCallResult));
  }
}

void OwnershipService::ResolveWaiters(const Result<std::vector<KeyMemory::WaiterId>>& aWaiters,
                                      const CallResult& aCallResult)
{
  if (!aWaiters) {
    Log("ownership").error("cannot record the result of a key: {}", Describe(aWaiters.error()));
    return;
  }
  for (const KeyMemory::WaiterId id : *aWaiters) {
    if (auto waiter = mWaiters.extract(id)) {
      waiter.mapped().mCallback(CopyCallResult(aCallResult, std::move(*waiter.mapped().mBudget)));
    }
  }
}

void OwnershipService::PerformActions()
{
  if (mStopped) {
    return;
  }
  for (OwnershipAction& action : mCore.TakeActions()) {
    if (const auto* message = std::get_if<SendMessage>(&action)) {
      Send(*message);
    } else if (const auto* read = std::get_if<ReadTable>(&action)) {
      Read(*read);
    } else if (const auto* proposal = std::get_if<ProposeTable>(&action)) {
      Propose(*proposal);
    }
  }
  ArmTimer();
}

void OwnershipService::Send(const SendMessage& aAction)
{
  auto bytes = EncodeMessage(aAction.mMessage);
  if (!bytes) {
    Log("ownership").error("cannot encode a message: {}", Describe(bytes.error()));
    return;
  }
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/balsammount/ownership";
  request.mBody = std::move(*bytes);
  // Ignores failures, because the protocol repeats messages that get no response.
  mPeers.Send(aAction.mNode, std::move(request), kMessageTimeout, [](const auto&) {});
}

void OwnershipService::Read(const ReadTable& aAction)
{
  mStore.Get(mStoreKey, [this, id = aAction.mId](StoreResult<StoreRead> aResult) {
    Result<StoredTable> result = StoredTable{};
    if (!aResult) {
      result = Failure{ aResult.error().mCode, aResult.error().mDetail };
    } else if (aResult->mEntry) {
      auto table = DecodeTable(aResult->mEntry->mValue);
      if (table) {
        result = StoredTable{ std::make_shared<const OwnershipTable>(std::move(*table)),
                              aResult->mEntry->mModRevision };
      } else {
        Log("ownership")
          .error("ownership table in the store is malformed: {}", Describe(table.error()));
        result = table.error();
      }
    }
    mCore.OnTableRead(id, result);
    mCore.Tick();
    PerformActions();
  });
}

void OwnershipService::Propose(const ProposeTable& aAction)
{
  auto value = EncodeTable(*aAction.mTable);
  if (!value) {
    Log("ownership").error("cannot encode a table: {}", Describe(value.error()));
    mCore.OnProposalResult(aAction.mId, ProposalOutcome::Conflict);
    return;
  }
  mStore.CompareAndSwap(mStoreKey, aAction.mExpectedModRevision, std::move(*value), kNoLease,
                        [this, id = aAction.mId](const StoreResult<Revision>& aResult) {
                          ProposalOutcome outcome = ProposalOutcome::Applied;
                          if (!aResult) {
                            outcome = aResult.error().mCode == StoreError::Unknown
                                        ? ProposalOutcome::Unknown
                                        : ProposalOutcome::Conflict;
                          }
                          mCore.OnProposalResult(id, outcome);
                          mCore.Tick();
                          PerformActions();
                        });
}

void OwnershipService::ArmTimer()
{
  const SteadyTime wake = mCore.NextWake();
  if (wake == SteadyTime::max() || mTimer.expiry() == wake) {
    return;
  }
  mTimer.expires_at(wake);
  mTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      mTimer.expires_at(SteadyTime::min());
      mCore.Tick();
      PerformActions();
    }
  });
}

} // namespace balsammount
