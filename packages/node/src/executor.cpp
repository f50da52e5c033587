#include "executor.h"

#include "response_match.h"

#include "balsammount/event.h"
#include "balsammount/log.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>

namespace balsammount {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

// Intervals of connection attempts that probe the backend server. An attempt is cheap, and a failed
// attempt is the only immediate sign of a crash.
constexpr auto kProbeIntervalDown = 100ms;
constexpr auto kProbeIntervalUp = 1000ms;

CallReason ReasonOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::DeadlineTooClose:
      return CallReason::Deadline;
    case RefusalReason::Draining:
      return CallReason::Draining;
    case RefusalReason::Unavailable:
      return CallReason::Unavailable;
    default:
      return CallReason::Overload;
  }
}

HttpClientLimits BackendLimits(std::shared_ptr<ResourceBudget> aBudget)
{
  HttpClientLimits limits;
  limits.mBudget = std::move(aBudget);
  // A backend server may end a response by closing the connection.
  limits.mAcceptCloseDelimited = true;
  return limits;
}

Outcome AdmissionOutcome(const Result<HttpResponse>& aResult)
{
  if (aResult) {
    return aResult->mStatus == 503 || aResult->mStatus == 429 ? Outcome::Overloaded
                                                              : Outcome::Success;
  }
  return aResult.error().mCode == TransportError::TimedOut ? Outcome::TimedOut : Outcome::Failed;
}

} // namespace

struct Executor::Job
{
  uint64_t mNumber = 0;
  AdmissionId mAdmissionId = 0;
  std::shared_ptr<InFlightRequest> mRequest = std::make_shared<InFlightRequest>();
  HttpRequest mHttpRequest;
  CallResultCallback mCallback;
  std::function<bool()> mBeforeDispatch;
  std::shared_ptr<Call> mBackendCall;
  SteadyTime mDispatched{};
  ParentFinder<InFlightRequest>::Entry mParentEntry{};
  bool mRunning = false;
};

class Executor::JobCall final : public Call
{
public:
  JobCall(Executor& aExecutor, std::weak_ptr<Job> aJob)
    : mExecutor(aExecutor)
    , mJob(std::move(aJob))
  {
  }
  void Cancel() override
  {
    if (const auto job = mJob.lock()) {
      mExecutor.CancelJob(job);
    }
  }

private:
  Executor& mExecutor;
  std::weak_ptr<Job> mJob;
};

Executor::Executor(asio::io_context& aContext, const Clock& aClock, const NodeSettings& aSettings,
                   RecentOverload& aOverload, const HeaderNames& aNames,
                   ServerPresence aServerPresence, std::shared_ptr<ResourceBudget> aBudget)
  : mContext(aContext)
  , mClock(aClock)
  , mSettings(aSettings)
  , mOverload(aOverload)
  , mNames(aNames)
  , mServerPresence(aServerPresence)
  , mBackend(aContext, aSettings.mBackend, BackendLimits(std::move(aBudget)))
  , mAdmission(aClock, {})
  , mAdmissionTimer(aContext)
  , mProbeTimer(aContext)
{
  mAdmission.SetAvailable(false);
}

Executor::~Executor() = default;

Result<void> Executor::Start()
{
  if (mServerPresence == ServerPresence::Probed) {
    StartProbe();
  }
  return {};
}

void Executor::Stop()
{
  mStopped = true;
  mAdmissionTimer.cancel();
  mProbeTimer.cancel();
}

std::shared_ptr<Call> Executor::Execute(CallContext aContext, HttpRequest aRequest,
                                        RequestBudget aBudget, CallResultCallback aCallback,
                                        std::function<bool()> aBeforeDispatch)
{
  auto job = std::make_shared<Job>();
  job->mNumber = mNextJob++;
  job->mRequest->mContext = std::move(aContext);
  job->mRequest->mBudget = std::move(aBudget);
  job->mHttpRequest = std::move(aRequest);
  job->mCallback = std::move(aCallback);
  job->mBeforeDispatch = std::move(aBeforeDispatch);

  const CallContext& context = job->mRequest->mContext;
  balsammount::Offer offer;
  offer.mRank = RankIndex(context.mRank);
  offer.mCallerHash = context.mCallerHash;
  offer.mRequestHash = context.mRequestHash;
  offer.mDeadline = context.mDeadline;
  offer.mContext = job->mNumber;
  const AdmissionResult admission = mAdmission.Offer(offer);
  if (admission.mDecision == Decision::Refused) {
    auto callResult = Refused(ReasonOf(admission.mReason), std::move(job->mRequest->mBudget),
                              admission.mRetryAfter);
    AddNodeState(callResult);
    PollAdmission();
    job->mCallback(std::move(callResult));
    return std::make_shared<JobCall>(*this, std::weak_ptr<Job>());
  }
  job->mAdmissionId = admission.mId;
  mJobs.emplace(job->mNumber, job);
  auto call = std::make_shared<JobCall>(*this, job);
  if (admission.mDecision == Decision::Dispatch) {
    Dispatch(job);
  }
  PollAdmission();
  return call;
}

std::shared_ptr<InFlightRequest> Executor::FindInFlight(const std::string& aRequestId)
{
  const auto found = mRunning.find(aRequestId);
  return found == mRunning.end() ? nullptr : found->second->mRequest;
}

void Executor::Dispatch(const std::shared_ptr<Job>& aJob)
{
  if (aJob->mBeforeDispatch && !aJob->mBeforeDispatch()) {
    mAdmission.Cancel(aJob->mAdmissionId);
    Finish(aJob, Refused(CallReason::OwnershipUnconfirmed, std::move(aJob->mRequest->mBudget)));
    return;
  }
  aJob->mRunning = true;
  aJob->mDispatched = mClock.Now();
  mRunning.emplace(aJob->mRequest->mContext.mRequestId, aJob);
  aJob->mParentEntry = mParents.Add(aJob->mRequest->mContext.mDeadline, aJob->mRequest);
  if (mObserver) {
    mObserver->OnDispatch(aJob->mNumber, aJob->mRequest->mContext.mFingerprint);
  }
  const Duration remaining =
    std::max<Duration>(aJob->mRequest->mContext.mDeadline - aJob->mDispatched, 1ms);
  aJob->mBackendCall = mBackend.Send(
    BackendRequest(*aJob), remaining,
    [this, aJob](Result<HttpResponse> aResult) { OnResult(aJob, std::move(aResult)); },
    [this, aJob](const HttpResponse& aResponse) { return Match(*aJob, aResponse); });
}

ResponseMatch Executor::Match(const Job& aJob, const HttpResponse& aResponse)
{
  const std::string& requestId = aJob.mRequest->mContext.mRequestId;
  const ResponseMatch match = MatchResponse(mNames, requestId, aResponse);
  if (match != ResponseMatch::Own) {
    ++mForeignResponses;
    Event("backend", "foreign-response")
      .Add("request", requestId)
      .Add("response_id", aResponse.mHeaders.Find(mNames.mRequestId))
      .Add("status", aResponse.mStatus)
      .Add("states_not_run", StatesNotRun(mNames, aResponse))
      .Add("server", mServerId);
  }
  return match;
}

void Executor::OnResult(const std::shared_ptr<Job>& aJob, Result<HttpResponse> aResult)
{
  const Duration service = mClock.Now() - aJob->mDispatched;
  mAdmission.Complete(aJob->mAdmissionId, AdmissionOutcome(aResult), service);
  if (aResult) {
    OnServerLoad(*aResult);
  } else {
    OnUnanswered();
  }
  // A server that breaks a response off may be crashing.
  const bool mayHaveCrashed =
    !aResult && (aResult.error().mCode == TransportError::ConnectionLost ||
                 aResult.error().mCode == TransportError::InvalidResponse);
  if (mayHaveCrashed) {
    mLostJobs.push_back(aJob->mNumber);
  } else if (mObserver) {
    mObserver->OnEnd(aJob->mNumber, aResult.has_value());
  }
  CallResult callResult = ToCallResult(*aJob, std::move(aResult));
  if (mayHaveCrashed) {
    StartProbe();
  }
  callResult.mServiceTime = service;
  AddNodeState(callResult);
  Finish(aJob, std::move(callResult));
  PollAdmission();
}

void Executor::SetServerLoadHeader(std::string aName, ServerLoadDecoder aDecode)
{
  mServerLoadHeader = std::move(aName);
  mDecodeServerLoad = std::move(aDecode);
}

void Executor::OnServerLoad(const HttpResponse& aResponse)
{
  const std::string_view text =
    mDecodeServerLoad ? aResponse.mHeaders.Find(mServerLoadHeader) : std::string_view();
  if (text.empty()) {
    return;
  }
  const auto load = mDecodeServerLoad(text);
  if (!load) {
    ++mMalformedServerLoads;
    return;
  }
  mLost.OnReport(load->mRunning + load->mWaiting, mAdmission.InFlight(), mClock.Now());
  ApplyLost();
}

void Executor::OnUnanswered()
{
  mLost.OnUnanswered();
  ApplyLost();
}

void Executor::ApplyLost()
{
  mAdmission.SetLost(mLost.Count(mAdmission.Policy().mSlots, mClock.Now()));
}

CallResult Executor::ToCallResult(const Job& aJob, Result<HttpResponse> aResult)
{
  RequestBudget budget = std::move(aJob.mRequest->mBudget);
  if (aResult && StatesNotRun(mNames, *aResult)) {
    const bool isWrongServer = aResult->mStatus == 421;
    Event("backend", isWrongServer ? "other-server" : "server-refused")
      .Add("request", aJob.mRequest->mContext.mRequestId)
      .Add("status", aResult->mStatus)
      .Add("server", mServerId);
    if (isWrongServer) {
      // The next announcement contains the id of the server that is running now.
      mServerId.clear();
      SetAvailable(false);
    }
    CallResult callResult =
      Refused(isWrongServer ? CallReason::Unavailable : CallReason::Overload, std::move(budget));
    callResult.mReachedServer = !isWrongServer;
    return callResult;
  }
  if (aResult) {
    CallResult callResult;
    callResult.mOutcome = AttemptOutcome::Complete;
    callResult.mReachedServer = true;
    callResult.mCallFailed = aResult->mStatus >= 500 && aJob.mRequest->IsFailureOfCalls();
    callResult.mResponse = std::move(*aResult);
    callResult.mBudget = std::move(budget);
    return callResult;
  }
  const std::error_code error = aResult.error().mCode;
  Event("backend", "no-answer")
    .Add("request", aJob.mRequest->mContext.mRequestId)
    .Add("server", mServerId)
    .Add("error", Describe(aResult.error()));
  if (error == TransportError::NoResources) {
    return Refused(CallReason::Overload, std::move(budget));
  }
  if (ProvesNotRun(error)) {
    SetAvailable(false);
    StartProbe();
    return Refused(CallReason::Unavailable, std::move(budget));
  }
  CallReason reason = CallReason::ConnectionLost;
  if (error == TransportError::TimedOut) {
    reason = CallReason::Deadline;
  } else if (error == TransportError::TooLarge) {
    reason = CallReason::TooLarge;
  }
  CallResult callResult = Unknown(reason, std::move(budget));
  callResult.mReachedServer = true;
  return callResult;
}

void Executor::Finish(const std::shared_ptr<Job>& aJob, CallResult aCallResult)
{
  mJobs.erase(aJob->mNumber);
  if (std::exchange(aJob->mRunning, false)) {
    mRunning.erase(aJob->mRequest->mContext.mRequestId);
    mParents.Remove(aJob->mParentEntry);
  }
  if (auto callback = std::exchange(aJob->mCallback, nullptr)) {
    callback(std::move(aCallResult));
  }
}

void Executor::CancelJob(const std::shared_ptr<Job>& aJob)
{
  if (!aJob->mCallback) {
    return;
  }
  aJob->mCallback = nullptr;
  mAdmission.Cancel(aJob->mAdmissionId);
  if (aJob->mRunning) {
    OnUnanswered();
    if (mObserver) {
      mObserver->OnEnd(aJob->mNumber, false);
    }
  }
  if (aJob->mBackendCall) {
    aJob->mBackendCall->Cancel();
  }
  Finish(aJob, {});
  PollAdmission();
}

void Executor::PollAdmission()
{
  std::array<AdmissionAction, 32> actions;
  size_t count = actions.size();
  while (count == actions.size()) {
    count = mAdmission.Poll(actions);
    for (size_t i = 0; i < count; ++i) {
      const auto found = mJobs.find(actions[i].mContext);
      if (found == mJobs.end()) {
        continue;
      }
      const auto job = found->second;
      if (actions[i].mDecision == Decision::Dispatch) {
        Dispatch(job);
      } else {
        auto callResult = Refused(ReasonOf(actions[i].mReason), std::move(job->mRequest->mBudget),
                                  actions[i].mRetryAfter);
        AddNodeState(callResult);
        Finish(job, std::move(callResult));
      }
    }
  }
  ArmTimer();
}

void Executor::ArmTimer()
{
  const SteadyTime next = mAdmission.NextDeadline();
  if (next == SteadyTime::max() || mStopped) {
    mAdmissionTimer.cancel();
    return;
  }
  if (mAdmissionTimer.expiry() == next) {
    return;
  }
  mAdmissionTimer.expires_at(next);
  mAdmissionTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      mAdmissionTimer.expires_at(SteadyTime::min());
      PollAdmission();
    }
  });
}

void Executor::ApplyConfig(const std::shared_ptr<const Config>& aConfig)
{
  mConfig = aConfig;
  ApplyPolicy();
}

void Executor::ApplyPolicy()
{
  if (!mConfig) {
    return;
  }
  const ServicePolicy* service = mConfig->FindService(mSettings.mService);
  if (!service) {
    Log("admission").warn("service {} is not in the configuration", mSettings.mService);
    return;
  }
  AdmissionPolicy policy;
  policy.mRankCount = std::min(mConfig->Ranks().size(), kMaxRanks);
  for (size_t i = 0; i < policy.mRankCount; ++i) {
    policy.mRanks[i] = { static_cast<double>(mConfig->Ranks()[i].mWorth),
                         mConfig->Ranks()[i].mFloor };
  }
  policy.mSlots = mServerSlots > 0 ? mServerSlots : service->mSlots;
  policy.mAdaptiveLimit = mServerPresence == ServerPresence::Probed;
  policy.mSearchSlots = !policy.mAdaptiveLimit;
  policy.mMinConcurrency = service->mLimits.mMinConcurrency;
  policy.mMaxQueue = service->mLimits.mMaxQueue;
  policy.mQueueTarget = service->mLimits.mQueueTarget;
  if (policy != mAdmission.Policy()) {
    mAdmission.SetPolicy(policy);
    PollAdmission();
  }
}

void Executor::SetDraining(bool aDraining)
{
  mNodeDraining = aDraining;
  ApplyDraining();
}

void Executor::SetServerLeaving(bool aLeaving)
{
  mServerLeaving = aLeaving;
  ApplyDraining();
}

void Executor::ApplyDraining()
{
  mAdmission.SetDraining(mNodeDraining || mServerLeaving);
  if (mServerLeaving) {
    // They would reach the server long after its departure has been acknowledged. Other servers of
    // the service can take them.
    mAdmission.RefuseAllQueued(RefusalReason::Draining);
  }
  PollAdmission();
}

void Executor::SetServer(const ServerLifecycle& aLifecycle)
{
  const auto& server = aLifecycle.Current();
  if (!server) {
    return;
  }
  const bool isNewServer = server->mServerId != mServerId;
  mServerId = server->mServerId;
  if (isNewServer) {
    mLost.Reset();
    ApplyLost();
  }
  if (server->mSlots != mServerSlots) {
    mServerSlots = server->mSlots;
    ApplyPolicy();
  }
  SetServerLeaving(!aLifecycle.IsServing());
  if (mServerLeaving) {
    return;
  }
  // A server that announces itself is taken to be running. If failed connections have started a
  // probe, its result decides instead, unless the server is a new one.
  if (isNewServer || !mProbing) {
    SetAvailable(true);
  }
}

void Executor::AddNodeState(CallResult& aCallResult) const
{
  aCallResult.mShedLevel = mAdmission.ShedLevel();
  aCallResult.mLeaving = mLeaving;
  aCallResult.mLoadPercent = LoadPercent();
  if (IsCapacityRefusal(aCallResult)) {
    mOverload.Record();
  }
  aCallResult.mOverloadAge = mOverload.Age();
}

uint32_t Executor::LoadPercent() const
{
  const uint32_t slots = std::max(1U, mAdmission.Policy().mSlots);
  return (mAdmission.InFlight() + mAdmission.QueueLength()) * 100 / slots;
}

void Executor::SetAvailabilityCallback(std::function<void(bool)> aCallback)
{
  mOnAvailability = std::move(aCallback);
}

void Executor::SetAvailable(bool aAvailable)
{
  if (mAvailable == aAvailable) {
    return;
  }
  mAvailable = aAvailable;
  Log("backend").info("backend server is {}", aAvailable ? "available" : "not available");
  mAdmission.SetAvailable(aAvailable);
  if (!aAvailable && mObserver && !mAdmission.Draining()) {
    mObserver->OnServerCrash();
  }
  if (mOnAvailability) {
    mOnAvailability(aAvailable);
  }
  PollAdmission();
}

void Executor::StartProbe()
{
  // A server with periodic probes gets an additional one at once, because a crash must be detected
  // before the request that caused it is retried.
  if (!mProbing || mServerPresence == ServerPresence::Probed) {
    mProbing = true;
    ProbeBackend();
  }
}

// Connects to the backend server to find out whether it is listening, and repeats this
// periodically. For a server that announces itself, the probes end when it is listening.
void Executor::ProbeBackend()
{
  if (mStopped) {
    return;
  }
  auto socket = std::make_shared<asio::ip::tcp::socket>(mContext);
  socket->async_connect(mSettings.mBackend, [this, socket](const auto& aError) {
    if (mStopped) {
      return;
    }
    if (!aError && mServerPresence == ServerPresence::Announced) {
      mProbing = false;
      OnProbeResult(!mServerId.empty());
      return;
    }
    OnProbeResult(!aError);
    mProbeTimer.expires_after(mAvailable ? kProbeIntervalUp : kProbeIntervalDown);
    mProbeTimer.async_wait([this](const auto& aWaitError) {
      if (!aWaitError) {
        ProbeBackend();
      }
    });
  });
}

void Executor::OnProbeResult(bool aConnected)
{
  SetAvailable(aConnected);
  for (const uint64_t job : std::exchange(mLostJobs, {})) {
    if (mObserver) {
      mObserver->OnEnd(job, false);
    }
  }
}

size_t Executor::RankIndex(const std::string& aRank) const
{
  if (!mConfig) {
    return 0;
  }
  const RankPolicy* rank = mConfig->FindRank(aRank);
  // A rank from a node with another configuration may be unknown here. Such a rank is treated as
  // the one of least worth.
  return rank ? static_cast<size_t>(rank - mConfig->Ranks().data()) : mConfig->Ranks().size();
}

HttpRequest Executor::BackendRequest(const Job& aJob) const
{
  const CallContext& context = aJob.mRequest->mContext;
  HttpRequest request = aJob.mHttpRequest;
  RemoveInternalHeaders(request.mHeaders);
  const auto remaining =
    std::chrono::duration_cast<std::chrono::milliseconds>(context.mDeadline - aJob.mDispatched);
  const auto set = [&](const std::string& aName, const std::string& aValue) {
    if (!aName.empty()) {
      request.mHeaders.Set(aName, aValue);
    }
  };
  set(mNames.mRequestId, context.mRequestId);
  set(mNames.mDeadline, std::to_string(std::max<int64_t>(remaining.count(), 0)));
  set(mNames.mRank, context.mRank);
  set(mNames.mCallerService, context.mCallerService);
  set(mNames.mExpectedServer, mServerId);
  return request;
}

} // namespace balsammount
