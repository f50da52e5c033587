#include "simulation.h"

#include "balsammount/hash.h"

#include <algorithm>
#include <cmath>

namespace balsammount::detail {

namespace {

// Callers are spread evenly over the entry nodes.
constexpr size_t kEntryNodesPerDataCentre = 2;
constexpr uint32_t kMaxAttempts = 3;
// A message lost between data centres is delayed by one TCP retransmission timeout.
constexpr double kRetransmissionSeconds = 0.2;
// A connection without traffic counts as lost after this time.
constexpr double kConnectionTimeoutSeconds = 0.8;
// Delay of the load figures that backend servers report.
constexpr double kLoadReportDelaySeconds = 2;
constexpr double kGoodputBucketSeconds = 0.1;
// Short, so that the shed levels of upstreams that a node no longer uses expire before they
// outweigh current ones.
constexpr double kShedLevelTtlSeconds = 0.3;

double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Duration ToDuration(double aSeconds)
{
  return Duration(static_cast<int64_t>(aSeconds * 1e9));
}

} // namespace

struct Simulation::Service
{
  std::string mName;
  double mServiceTime = 0;
  double mSlowFactor = 1;
  std::vector<size_t> mCalls;
  std::vector<std::unique_ptr<Instance>> mInstances;
};

struct Simulation::Node
{
  uint16_t mDataCentre = 0;
  std::unique_ptr<Router> mRouter;
  std::vector<RetryLimiter> mRetryLimiters; // per service
  std::vector<EntryFloors> mFloors;         // per service
  std::unique_ptr<CallerBudget> mCallers;   // entry nodes only
};

struct Simulation::Instance
{
  size_t mService = 0;
  size_t mIndex = 0;
  uint64_t mId = 0;
  InstanceSettings mSettings;
  std::unique_ptr<Node> mNode;
  std::unique_ptr<AdmissionController> mAdmission;
  SteadyTime mTimer = SteadyTime::max();
  uint64_t mTimerVersion = 0;
  // State of the backend server.
  bool mAlive = true;
  bool mFrozen = false;
  uint64_t mEpoch = 0; // incremented when the server process is killed
  SteadyTime mStarted{};
  uint32_t mRunning = 0;
  std::deque<std::shared_ptr<Attempt>> mBacklog; // dispatched requests that wait for a slot
  std::vector<std::function<void()>> mDeferred;
  double mReportedLoad = 0; // delayed by kLoadReportDelaySeconds
  std::unordered_map<uint64_t, std::shared_ptr<Attempt>> mAttempts; // by id
};

// One send of a caller's request, the root of a tree of calls.
struct Simulation::RootCall
{
  size_t mRank = 0;
  uint64_t mCaller = 0;
  uint64_t mHash = 0;
  SteadyTime mDeadline;
  RequestBudget mBudget;
  CallerSend mSend;
  double mWork = 0;
  bool mEnded = false;
  bool mMeasured = false;
};

struct Simulation::Call
{
  std::shared_ptr<RootCall> mRoot;
  Node* mFrom = nullptr;
  size_t mService = 0;
  bool mIsEntry = false;
  uint32_t mAttempts = 0;
  std::vector<UpstreamId> mTried;
  std::function<void(Reply)> mDone;
};

struct Simulation::Attempt
{
  uint64_t mId = 0;
  std::shared_ptr<Call> mCall;
  Instance* mTarget = nullptr;
  SteadyTime mSent;
  bool mClosed = false; // the sender no longer waits for a response
  // State at the upstream.
  AdmissionId mAdmission = 0;
  uint64_t mEpoch = 0;
  bool mInFlight = false;
  size_t mStep = 0; // next step after the first phase: sub-calls, second phase, response
};

// A caller's request, including all its sends.
struct Simulation::CallerRequest
{
  Source* mSource = nullptr;
  Node* mEntry = nullptr;
  uint64_t mCaller = 0;
  uint64_t mHash = 0;
  uint32_t mTriesLeft = 0;
  bool mMeasured = false;
  bool mEnded = false;
};

struct Simulation::Source
{
  size_t mRank = 0;
  size_t mService = 0;
  DemandSettings mSettings;
  double mRate = 0;
  uint64_t mVersion = 0;
};

Simulation::Simulation(const ExperimentOptions& aOptions)
  : mOptions(aOptions)
  , mStart(mClock.Now())
  , mRandom(aOptions.mSeed)
{
}

Simulation::~Simulation() = default;

// Topology.

void Simulation::AddService(const std::string& aName, double aSeconds)
{
  auto service = std::make_unique<Service>();
  service->mName = aName;
  service->mServiceTime = aSeconds;
  mServices.push_back(std::move(service));
}

void Simulation::AddInstances(size_t aService, const InstanceSettings& aSettings)
{
  for (size_t i = 0; i < aSettings.mCount; ++i) {
    auto instance = std::make_unique<Instance>();
    instance->mService = aService;
    instance->mIndex = mServices[aService]->mInstances.size();
    instance->mId = ++mLastId;
    instance->mSettings = aSettings;
    mServices[aService]->mInstances.push_back(std::move(instance));
  }
}

void Simulation::AddCall(size_t aFrom, size_t aTo)
{
  mServices[aFrom]->mCalls.push_back(aTo);
}

size_t Simulation::FindRank(const std::string& aName) const
{
  return static_cast<size_t>(std::ranges::find(mRankSettings, aName, &RankSettings::mName) -
                             mRankSettings.begin());
}

size_t Simulation::FindService(const std::string& aName) const
{
  const auto found =
    std::ranges::find_if(mServices, [&](const auto& aService) { return aService->mName == aName; });
  return static_cast<size_t>(found - mServices.begin());
}

size_t Simulation::InstanceCount(size_t aService) const
{
  return mServices[aService]->mInstances.size();
}

uint16_t Simulation::DataCentreIndex(const std::string& aName)
{
  const auto found = std::ranges::find(mDataCentres, aName);
  const auto index = static_cast<uint16_t>(found - mDataCentres.begin());
  if (found == mDataCentres.end()) {
    mDataCentres.push_back(aName);
  }
  return index;
}

AdmissionPolicy Simulation::PolicyOf(const Instance& aInstance) const
{
  AdmissionPolicy policy;
  policy.mSlots = aInstance.mSettings.mSlots;
  policy.mMaxQueue = 2 * policy.mSlots;
  policy.mMinConcurrency = std::max(2U, policy.mSlots / 10);
  if (IsProjectPolicy()) {
    policy.mRankCount = mRankSettings.size();
    for (size_t i = 0; i < mRankSettings.size(); ++i) {
      policy.mRanks[i] = { mRankSettings[i].mWorth, mRankSettings[i].mFloor };
    }
    policy.mFloors = mOptions.mMechanisms.mFloors;
    policy.mShedLevel = mOptions.mMechanisms.mShedLevel;
    policy.mDeadlineCheck = mOptions.mMechanisms.mDeadlineCheck;
    policy.mAdaptiveLimit = mOptions.mMechanisms.mAdaptiveLimit;
    return policy;
  }
  policy.mAdaptiveLimit = policy.mFloors = policy.mDeadlineCheck = policy.mShedLevel = false;
  if (mOptions.mPolicy == ControlPolicy::None) {
    policy.mSlots = aInstance.mSettings.mConnections;
    policy.mMaxQueue = 0;
  }
  return policy;
}

std::unique_ptr<Simulation::Node> Simulation::CreateNode(uint16_t aDataCentre, uint64_t aSelf)
{
  auto node = std::make_unique<Node>();
  node->mDataCentre = aDataCentre;
  RoutingPolicy policy;
  policy.mSelf = Hash64(std::to_string(aSelf));
  policy.mDataCentre = DataCentreId(aDataCentre);
  policy.mShedLevelTtl = ToDuration(kShedLevelTtlSeconds);
  for (size_t i = 0; i < mDataCentres.size(); ++i) {
    const double delay = i == aDataCentre ? mLink.mNear : mLink.mFar;
    policy.mCosts.push_back({ DataCentreId(static_cast<uint16_t>(i)), delay * 1000 });
  }
  std::vector<double> floors;
  for (const RankSettings& rank : mRankSettings) {
    policy.mRankWorths.push_back(rank.mWorth);
    floors.push_back(mOptions.mMechanisms.mFloors ? rank.mFloor : 0);
  }
  node->mRouter = std::make_unique<Router>(mClock, mRandom, policy);
  for (const auto& service : mServices) {
    node->mRetryLimiters.emplace_back(mClock, RetryLimiterPolicy{});
    node->mFloors.emplace_back(floors);
    for (const auto& instance : service->mInstances) {
      const auto& names = instance->mSettings.mDataCentres;
      node->mRouter->UpsertUpstream(
        { UpstreamId(instance->mId), ServiceId(static_cast<uint32_t>(instance->mService)),
          DataCentreId(DataCentreIndex(names[instance->mIndex % names.size()])), 1 });
    }
  }
  return node;
}

void Simulation::Prepare()
{
  mPrepared = true;
  for (const auto& service : mServices) {
    for (const auto& instance : service->mInstances) {
      for (const std::string& name : instance->mSettings.mDataCentres) {
        DataCentreIndex(name);
      }
    }
  }
  uint64_t self = 0;
  for (const auto& service : mServices) {
    for (const auto& instance : service->mInstances) {
      const auto& names = instance->mSettings.mDataCentres;
      instance->mNode = CreateNode(DataCentreIndex(names[instance->mIndex % names.size()]), ++self);
      instance->mAdmission = std::make_unique<AdmissionController>(mClock, PolicyOf(*instance));
      instance->mStarted = mStart - std::chrono::hours(1);
      ReportLoad(*instance);
    }
  }
  for (size_t i = 0; i < kEntryNodesPerDataCentre * mDataCentres.size(); ++i) {
    mEntries.push_back(CreateNode(static_cast<uint16_t>(i % mDataCentres.size()), ++self));
    mEntries.back()->mCallers = std::make_unique<CallerBudget>(mClock, CallerBudgetPolicy{});
  }
  for (const RankSettings& rank : mRankSettings) {
    mResults.push_back({ rank.mName, 0, 0, 0, 0, 0, rank.mFloor, 1 });
  }
}

// Returns the mean time that a request holds a slot when no request is queued.
double Simulation::HoldTime(size_t aService) const
{
  const Service& service = *mServices[aService];
  double hold = service.mServiceTime * service.mSlowFactor;
  for (const size_t called : service.mCalls) {
    hold += HoldTime(called) + 2 * mLink.mNear;
  }
  return hold;
}

double Simulation::CapacityOf(size_t aService) const
{
  double slots = 0;
  for (const auto& instance : mServices[aService]->mInstances) {
    slots += instance->mAlive && !instance->mFrozen ? instance->mSettings.mSlots : 0;
  }
  double capacity = slots / HoldTime(aService);
  std::map<size_t, double> calls;
  for (const size_t called : mServices[aService]->mCalls) {
    calls[called] += 1;
  }
  for (const auto& [called, count] : calls) {
    capacity = std::min(capacity, CapacityOf(called) / count);
  }
  return capacity;
}

// Time and links.

void Simulation::After(double aSeconds, std::function<void()> aAction)
{
  mEvents.push_back({ mClock.Now() + ToDuration(aSeconds), ++mLastSequence, std::move(aAction) });
  std::ranges::push_heap(mEvents, std::greater{}, [](const Event& aEvent) {
    return std::pair(aEvent.mTime, aEvent.mSequence);
  });
}

void Simulation::At(double aSeconds, std::function<void()> aAction)
{
  After(std::max(0.0, aSeconds - ToSeconds(mClock.Now() - mStart)), std::move(aAction));
}

uint32_t Simulation::RanksBelow(size_t aRank) const
{
  return static_cast<uint32_t>(std::ranges::count_if(
    mRankSettings, [&](const RankSettings& aOther) { return aOther.mWorth < Worth(aRank); }));
}

double Simulation::Exponential(double aMean)
{
  return -std::log(1 - mRandom.Uniform()) * aMean;
}

bool Simulation::IsCut(uint16_t aLeft, uint16_t aRight) const
{
  return mCuts.contains(std::minmax(aLeft, aRight));
}

double Simulation::DelayBetween(uint16_t aLeft, uint16_t aRight)
{
  if (aLeft == aRight) {
    return mLink.mNear;
  }
  const double lost = mRandom.Uniform() < mLink.mLoss ? kRetransmissionSeconds : 0;
  return mLink.mFar * (0.8 + 0.4 * mRandom.Uniform()) + lost;
}

// Events of a scenario.

void Simulation::SetDemand(size_t aRank, size_t aService, const DemandSettings& aDemand)
{
  auto& source = mSources[{ aRank, aService }];
  if (!source) {
    source = std::make_unique<Source>();
  }
  source->mRank = aRank;
  source->mService = aService;
  source->mSettings = aDemand;
  // The demand is relative to the nominal capacity, so that slow servers do not lower it.
  std::vector<double> slow;
  for (const auto& service : mServices) {
    slow.push_back(std::exchange(service->mSlowFactor, 1));
  }
  source->mRate = aDemand.mCapacityFactor * CapacityOf(aService);
  for (size_t i = 0; i < slow.size(); ++i) {
    mServices[i]->mSlowFactor = slow[i];
  }
  ++source->mVersion;
  if (source->mRate > 0) {
    Source* const raw = source.get();
    After(Exponential(1 / source->mRate),
          [this, raw, version = source->mVersion] { NextArrival(*raw, version); });
  }
}

void Simulation::Slow(size_t aService, double aFactor, double aSeconds)
{
  mServices[aService]->mSlowFactor = aFactor;
  if (aSeconds > 0) {
    After(aSeconds, [this, aService] { mServices[aService]->mSlowFactor = 1; });
  }
}

void Simulation::Kill(size_t aService, size_t aCount, double aSeconds)
{
  auto& instances = mServices[aService]->mInstances;
  for (size_t i = 0; i < std::min(aCount, instances.size()); ++i) {
    Instance& instance = *instances[i];
    instance.mAlive = false;
    ++instance.mEpoch;
    instance.mRunning = 0;
    instance.mBacklog.clear();
    instance.mDeferred.clear();
    instance.mAdmission->SetAvailable(false);
    // Dispatched requests end with a lost connection.
    const auto attempts = instance.mAttempts;
    for (const auto& [id, attempt] : attempts) {
      if (attempt->mInFlight) {
        attempt->mInFlight = false;
        instance.mAdmission->Complete(attempt->mAdmission, Outcome::Failed);
        instance.mAttempts.erase(id);
        Respond(attempt, { ReplyKind::Late, false });
      }
    }
    PollAdmission(instance);
    if (aSeconds > 0) {
      After(aSeconds, [this, raw = &instance] {
        raw->mAlive = true;
        raw->mStarted = mClock.Now();
        raw->mAdmission->SetAvailable(true);
      });
    }
  }
}

void Simulation::Freeze(size_t aService, size_t aCount, double aSeconds)
{
  auto& instances = mServices[aService]->mInstances;
  for (size_t i = 0; i < std::min(aCount, instances.size()); ++i) {
    instances[i]->mFrozen = true;
    if (aSeconds > 0) {
      After(aSeconds, [raw = instances[i].get()] {
        raw->mFrozen = false;
        for (const auto& action : std::exchange(raw->mDeferred, {})) {
          action();
        }
      });
    }
  }
}

void Simulation::Cut(const std::string& aLeft, const std::string& aRight, double aSeconds)
{
  const std::pair<uint16_t, uint16_t> cut =
    std::minmax({ DataCentreIndex(aLeft), DataCentreIndex(aRight) });
  mCuts.insert(cut);
  if (aSeconds > 0) {
    After(aSeconds, [this, cut] { mCuts.erase(cut); });
  }
}

// Callers.

void Simulation::NextArrival(Source& aSource, uint64_t aVersion)
{
  if (aVersion != aSource.mVersion) {
    return;
  }
  auto request = std::make_shared<CallerRequest>();
  request->mSource = &aSource;
  const uint64_t caller = mRandom.Below(aSource.mSettings.mCallers);
  request->mCaller = HashCombine(aSource.mRank, caller);
  request->mEntry = mEntries[caller % mEntries.size()].get();
  request->mHash = mRandom.Next();
  request->mTriesLeft = std::max(1U, aSource.mSettings.mTries);
  request->mMeasured = mMeasuring;
  if (mMeasuring) {
    ++mResults[aSource.mRank].mOffered;
    mMeasuredRequests.push_back(request);
  }
  Send(request);
  After(Exponential(1 / aSource.mRate),
        [this, raw = &aSource, aVersion] { NextArrival(*raw, aVersion); });
}

void Simulation::Send(const std::shared_ptr<CallerRequest>& aRequest)
{
  --aRequest->mTriesLeft;
  const Source& source = *aRequest->mSource;
  mSends += aRequest->mMeasured ? 1 : 0;
  auto root = std::make_shared<RootCall>();
  root->mRank = source.mRank;
  root->mCaller = aRequest->mCaller;
  root->mHash = aRequest->mHash;
  root->mMeasured = aRequest->mMeasured;
  root->mDeadline = mClock.Now() + ToDuration(mRankSettings[source.mRank].mDeadline);
  Node* const entry = aRequest->mEntry;
  After(mLink.mCaller, [this, aRequest, root, entry, service = source.mService] {
    root->mBudget = RequestBudget::ForAttempts(kMaxAttempts);
    if (IsProjectPolicy() && mOptions.mMechanisms.mRetryBudget) {
      auto send = entry->mCallers->Open(aRequest->mHash);
      if (!send) {
        After(mLink.mCaller, [this, aRequest, root] {
          OnRootReply(aRequest, root, { ReplyKind::Refused, false });
        });
        return;
      }
      root->mSend = std::move(*send);
      root->mBudget = std::move(root->mSend.mBudget);
    }
    auto call = std::make_shared<Call>();
    call->mRoot = root;
    call->mFrom = entry;
    call->mService = service;
    call->mIsEntry = true;
    call->mDone = [this, aRequest, root, entry](Reply aReply) {
      if (IsProjectPolicy() && mOptions.mMechanisms.mRetryBudget) {
        root->mSend.mBudget = std::move(root->mBudget);
        const auto outcome = aReply.mExecuted
                               ? (aReply.mKind == ReplyKind::Success ? AttemptOutcome::Complete
                                                                     : AttemptOutcome::NotRun)
                               : (aReply.mKind == ReplyKind::Refused ? AttemptOutcome::NotRun
                                                                     : AttemptOutcome::Unknown);
        entry->mCallers->Close(aRequest->mHash, std::move(root->mSend), outcome);
      }
      After(mLink.mCaller, [this, aRequest, root, aReply] { OnRootReply(aRequest, root, aReply); });
    };
    StartCall(call);
  });
  // The caller's own timeout, for policies that do not enforce deadlines.
  After(mRankSettings[source.mRank].mDeadline + 4 * mLink.mCaller, [this, aRequest, root] {
    OnRootReply(aRequest, root, { ReplyKind::Late, false });
  });
}

void Simulation::OnRootReply(const std::shared_ptr<CallerRequest>& aRequest,
                             const std::shared_ptr<RootCall>& aRoot, Reply aReply)
{
  if (aRoot->mEnded) {
    return;
  }
  const bool late = mClock.Now() > aRoot->mDeadline + ToDuration(2 * mLink.mCaller);
  const ReplyKind kind = late ? ReplyKind::Late : aReply.mKind;
  EndRoot(*aRoot, kind == ReplyKind::Success);
  if (kind == ReplyKind::Success || aRequest->mTriesLeft == 0) {
    EndCallerRequest(*aRequest, kind);
    return;
  }
  const double pause = aRequest->mSource->mSettings.mPause * (0.5 + mRandom.Uniform());
  After(pause, [this, aRequest] { Send(aRequest); });
}

void Simulation::EndCallerRequest(CallerRequest& aRequest, ReplyKind aKind)
{
  if (aKind == ReplyKind::Success) {
    const auto bucket =
      static_cast<size_t>(ToSeconds(mClock.Now() - mStart) / kGoodputBucketSeconds);
    mGoodputBuckets.resize(std::max(mGoodputBuckets.size(), bucket + 1));
    ++mGoodputBuckets[bucket];
  }
  if (!aRequest.mMeasured) {
    return;
  }
  aRequest.mEnded = true;
  RankResult& result = mResults[aRequest.mSource->mRank];
  ++(aKind == ReplyKind::Success   ? result.mGoodput
     : aKind == ReplyKind::Refused ? result.mRefused
                                   : result.mLate);
}

void Simulation::AddWork(RootCall& aRoot, double aSeconds)
{
  if (!aRoot.mMeasured) {
    return;
  }
  (aRoot.mEnded ? mWastedWork : aRoot.mWork) += aSeconds;
}

void Simulation::EndRoot(RootCall& aRoot, bool aSuccess)
{
  aRoot.mEnded = true;
  (aSuccess ? mUsefulWork : mWastedWork) += aRoot.mWork;
}

// Calls between nodes.

void Simulation::StartCall(const std::shared_ptr<Call>& aCall)
{
  const auto service = ServiceId(static_cast<uint32_t>(aCall->mService));
  const size_t rank = aCall->mRoot->mRank;
  EntryFloors& floors = aCall->mFrom->mFloors[aCall->mService];
  // Only entry nodes shed, because requests admitted under a floor must not be shed downstream.
  if (IsProjectPolicy() && mOptions.mMechanisms.mShedLevel && aCall->mIsEntry &&
      !floors.HasFloorCredit(rank) &&
      IsShed(aCall->mFrom->mRouter->ShedLevel(service), RanksBelow(rank), aCall->mRoot->mHash)) {
    FinishCall(*aCall, { ReplyKind::Refused, false });
    return;
  }
  floors.OnSent(rank);
  aCall->mFrom->mRetryLimiters[aCall->mService].OnRequest();
  mFirstAttempts += aCall->mRoot->mMeasured ? 1 : 0;
  StartAttempt(aCall);
}

Simulation::Instance* Simulation::Choose(Call& aCall)
{
  auto& instances = mServices[aCall.mService]->mInstances;
  if (IsProjectPolicy()) {
    const auto chosen = aCall.mFrom->mRouter->Choose(
      ServiceId(static_cast<uint32_t>(aCall.mService)), { aCall.mTried, true });
    if (!chosen) {
      return nullptr;
    }
    const auto found = std::ranges::find_if(
      instances, [&](const auto& aInstance) { return UpstreamId(aInstance->mId) == *chosen; });
    return found->get();
  }
  Instance* const left = instances[mRandom.Below(instances.size())].get();
  Instance* const right = instances[mRandom.Below(instances.size())].get();
  // The static policy chooses the one of two random instances that reported the lower load.
  return mOptions.mPolicy == ControlPolicy::Static && right->mReportedLoad < left->mReportedLoad
           ? right
           : left;
}

void Simulation::StartAttempt(const std::shared_ptr<Call>& aCall)
{
  Instance* const target = Choose(*aCall);
  if (!target) {
    FinishCall(*aCall, { ReplyKind::Refused, false });
    return;
  }
  ++aCall->mAttempts;
  aCall->mTried.push_back(UpstreamId(target->mId));
  auto attempt = std::make_shared<Attempt>();
  attempt->mId = ++mLastId;
  attempt->mCall = aCall;
  attempt->mTarget = target;
  attempt->mSent = mClock.Now();
  aCall->mFrom->mRouter->OnStart(UpstreamId(target->mId));
  const double left = ToSeconds(aCall->mRoot->mDeadline - mClock.Now());
  if (IsCut(aCall->mFrom->mDataCentre, target->mNode->mDataCentre)) {
    After(std::clamp(left, 0.0, kConnectionTimeoutSeconds),
          [this, attempt] { OnAttemptTimeout(attempt); });
    return;
  }
  After(DelayBetween(aCall->mFrom->mDataCentre, target->mNode->mDataCentre),
        [this, attempt] { Arrive(attempt); });
  After(std::max(0.0, left), [this, attempt] { OnAttemptTimeout(attempt); });
}

void Simulation::OnAttemptTimeout(const std::shared_ptr<Attempt>& aAttempt)
{
  if (aAttempt->mClosed) {
    return;
  }
  Call& call = *aAttempt->mCall;
  call.mFrom->mRouter->OnFailure(UpstreamId(aAttempt->mTarget->mId));
  CloseAttempt(*aAttempt);
  const Reply reply{ ReplyKind::Late, false };
  if (MayRetry(call, reply)) {
    StartAttempt(aAttempt->mCall);
  } else {
    FinishCall(call, reply);
  }
}

// Ends the sender's wait. Only the project's policy cancels attempts that are still queued.
void Simulation::CloseAttempt(Attempt& aAttempt)
{
  aAttempt.mClosed = true;
  Instance& target = *aAttempt.mTarget;
  if (IsProjectPolicy() && aAttempt.mAdmission != 0 && !aAttempt.mInFlight &&
      target.mAdmission->Cancel(aAttempt.mAdmission)) {
    target.mAttempts.erase(aAttempt.mId);
    PollAdmission(target);
  }
}

void Simulation::Respond(const std::shared_ptr<Attempt>& aAttempt, Reply aReply)
{
  Instance& target = *aAttempt->mTarget;
  const uint16_t from = aAttempt->mCall->mFrom->mDataCentre;
  if (IsCut(from, target.mNode->mDataCentre)) {
    return;
  }
  After(
    DelayBetween(from, target.mNode->mDataCentre),
    [this, aAttempt, aReply, level = PublishedLevel(target)] { OnReply(aAttempt, aReply, level); });
}

void Simulation::OnReply(const std::shared_ptr<Attempt>& aAttempt, Reply aReply, uint32_t aLevel)
{
  Call& call = *aAttempt->mCall;
  Router& router = *call.mFrom->mRouter;
  const auto upstream = static_cast<UpstreamId>(aAttempt->mTarget->mId);
  router.OnShedLevel(ServiceId(static_cast<uint32_t>(call.mService)), upstream, aLevel);
  if (aAttempt->mClosed) {
    return;
  }
  aAttempt->mClosed = true;
  if (aReply.mExecuted) {
    router.OnResponse(upstream, { mClock.Now() - aAttempt->mSent, {}, false });
  } else if (aReply.mKind == ReplyKind::Refused) {
    router.OnRefused(upstream);
  } else {
    router.OnFailure(upstream);
  }
  if (aReply.mKind != ReplyKind::Success && MayRetry(call, aReply)) {
    StartAttempt(aAttempt->mCall);
  } else {
    FinishCall(call, aReply);
  }
}

bool Simulation::MayRetry(Call& aCall, Reply aReply)
{
  const auto left = aCall.mRoot->mDeadline - mClock.Now();
  bool retries = false;
  if (mOptions.mPolicy == ControlPolicy::Static ||
      (IsProjectPolicy() && !mOptions.mMechanisms.mRetryBudget)) {
    retries = aCall.mAttempts < kMaxAttempts && left > Duration{};
  } else if (IsProjectPolicy()) {
    const auto outcome = aReply.mExecuted                     ? AttemptOutcome::Complete
                         : aReply.mKind == ReplyKind::Refused ? AttemptOutcome::NotRun
                                                              : AttemptOutcome::Unknown;
    retries = TakeRetry(outcome, true, aCall.mRoot->mBudget,
                        aCall.mFrom->mRetryLimiters[aCall.mService], left) == RetryDecision::Retry;
  }
  mRetries += retries && aCall.mRoot->mMeasured ? 1 : 0;
  return retries;
}

void Simulation::FinishCall(Call& aCall, Reply aReply)
{
  if (aCall.mDone) {
    std::exchange(aCall.mDone, {})(aReply);
  }
}

// The upstream's node and its backend server.

void Simulation::Arrive(const std::shared_ptr<Attempt>& aAttempt)
{
  Instance& target = *aAttempt->mTarget;
  if (aAttempt->mClosed && IsProjectPolicy()) {
    return;
  }
  const RootCall& root = *aAttempt->mCall->mRoot;
  aAttempt->mEpoch = target.mEpoch;
  const AdmissionResult admission =
    target.mAdmission->Offer({ IsProjectPolicy() ? root.mRank : 0, root.mCaller, root.mHash,
                               root.mDeadline, aAttempt->mId });
  if (admission.mDecision == Decision::Refused) {
    Respond(aAttempt, { ReplyKind::Refused, false });
  } else {
    aAttempt->mAdmission = admission.mId;
    target.mAttempts[aAttempt->mId] = aAttempt;
    if (admission.mDecision == Decision::Dispatch) {
      Dispatch(target, aAttempt);
    }
  }
  PollAdmission(target);
}

// Applies the decisions of the admission controller and schedules its next deadline.
void Simulation::PollAdmission(Instance& aInstance)
{
  std::array<AdmissionAction, 16> actions{};
  size_t count = 0;
  do {
    count = aInstance.mAdmission->Poll(actions);
    for (size_t i = 0; i < count; ++i) {
      const auto attempt = aInstance.mAttempts.at(actions[i].mContext);
      if (actions[i].mDecision == Decision::Dispatch) {
        Dispatch(aInstance, attempt);
      } else {
        aInstance.mAttempts.erase(attempt->mId);
        attempt->mAdmission = 0;
        Respond(attempt, { ReplyKind::Refused, false });
      }
    }
  } while (count == actions.size());
  const SteadyTime next = aInstance.mAdmission->NextDeadline();
  if (next < aInstance.mTimer) {
    aInstance.mTimer = next;
    const uint64_t version = ++aInstance.mTimerVersion;
    After(ToSeconds(next - mClock.Now()) + 1e-6, [this, raw = &aInstance, version] {
      if (version == raw->mTimerVersion) {
        raw->mTimer = SteadyTime::max();
        PollAdmission(*raw);
      }
    });
  }
}

void Simulation::Dispatch(Instance& aInstance, const std::shared_ptr<Attempt>& aAttempt)
{
  aAttempt->mInFlight = true;
  aAttempt->mEpoch = aInstance.mEpoch;
  aInstance.mBacklog.push_back(aAttempt);
  StartNext(aInstance);
}

void Simulation::StartNext(Instance& aInstance)
{
  while (aInstance.mRunning < aInstance.mSettings.mSlots && !aInstance.mBacklog.empty()) {
    const auto attempt = aInstance.mBacklog.front();
    aInstance.mBacklog.pop_front();
    ++aInstance.mRunning;
    RunPhase(attempt);
  }
}

double Simulation::SlowFactor(const Instance& aInstance) const
{
  const double age = ToSeconds(mClock.Now() - aInstance.mStarted);
  const double cold = std::max(0.0, 1 - age / aInstance.mSettings.mColdTime);
  return mServices[aInstance.mService]->mSlowFactor *
         (1 + (aInstance.mSettings.mColdFactor - 1) * cold);
}

// Half of the service time is spent before the sub-calls and half after them.
void Simulation::RunPhase(const std::shared_ptr<Attempt>& aAttempt)
{
  Instance& target = *aAttempt->mTarget;
  const Service& service = *mServices[target.mService];
  const double share = service.mCalls.empty() ? 1 : 0.5;
  const double work = share * service.mServiceTime * SlowFactor(target) * (0.5 + Exponential(0.5));
  After(work, [this, aAttempt, epoch = target.mEpoch, work] { OnPhaseEnd(aAttempt, epoch, work); });
}

void Simulation::OnPhaseEnd(const std::shared_ptr<Attempt>& aAttempt, uint64_t aEpoch, double aWork)
{
  Instance& target = *aAttempt->mTarget;
  if (target.mEpoch != aEpoch) {
    return;
  }
  if (target.mFrozen) {
    target.mDeferred.emplace_back([=, this] { OnPhaseEnd(aAttempt, aEpoch, aWork); });
    return;
  }
  AddWork(*aAttempt->mCall->mRoot, aWork);
  NextStep(aAttempt);
}

void Simulation::NextStep(const std::shared_ptr<Attempt>& aAttempt)
{
  Instance& target = *aAttempt->mTarget;
  const Service& service = *mServices[target.mService];
  const size_t step = aAttempt->mStep++;
  // The project's policy stops cancelled and expired requests between steps.
  if (IsProjectPolicy() &&
      (aAttempt->mClosed || mClock.Now() >= aAttempt->mCall->mRoot->mDeadline)) {
    FinishBackend(aAttempt, { ReplyKind::Late, true });
  } else if (step < service.mCalls.size()) {
    auto call = std::make_shared<Call>();
    call->mRoot = aAttempt->mCall->mRoot;
    call->mFrom = target.mNode.get();
    call->mService = service.mCalls[step];
    call->mDone = [this, aAttempt, epoch = target.mEpoch](Reply aReply) {
      if (aAttempt->mTarget->mEpoch != epoch) {
        return;
      }
      if (aReply.mKind == ReplyKind::Success) {
        NextStep(aAttempt);
      } else {
        FinishBackend(aAttempt, { aReply.mKind, true });
      }
    };
    StartCall(call);
  } else if (step == service.mCalls.size() && !service.mCalls.empty()) {
    RunPhase(aAttempt);
  } else {
    FinishBackend(aAttempt, { ReplyKind::Success, true });
  }
}

void Simulation::FinishBackend(const std::shared_ptr<Attempt>& aAttempt, Reply aReply)
{
  Instance& target = *aAttempt->mTarget;
  aAttempt->mInFlight = false;
  target.mAttempts.erase(aAttempt->mId);
  --target.mRunning;
  const bool complete = aReply.mKind == ReplyKind::Success;
  const bool timedOut = aReply.mKind == ReplyKind::Late;
  target.mAdmission->Complete(aAttempt->mAdmission, complete   ? Outcome::Success
                                                    : timedOut ? Outcome::TimedOut
                                                               : Outcome::Failed);
  StartNext(target);
  PollAdmission(target);
  if (!aAttempt->mClosed) {
    Respond(aAttempt, aReply);
  }
}

uint32_t Simulation::PublishedLevel(Instance& aInstance)
{
  if (!IsProjectPolicy() || !mOptions.mMechanisms.mShedLevel) {
    return 0;
  }
  uint32_t level = 0;
  for (const size_t called : mServices[aInstance.mService]->mCalls) {
    level = std::max(level,
                     aInstance.mNode->mRouter->ShedLevel(ServiceId(static_cast<uint32_t>(called))));
  }
  aInstance.mAdmission->ReportDownstreamLevel(level);
  return aInstance.mAdmission->ShedLevel();
}

void Simulation::ReportLoad(Instance& aInstance)
{
  if (mOptions.mPolicy != ControlPolicy::Static) {
    return;
  }
  const double load =
    static_cast<double>(aInstance.mAdmission->InFlight()) / aInstance.mSettings.mSlots;
  After(kLoadReportDelaySeconds, [this, raw = &aInstance, load] {
    raw->mReportedLoad = load;
    ReportLoad(*raw);
  });
}

// Measurement.

ExperimentResult Simulation::Run(const RunSettings& aSettings)
{
  const SteadyTime end = mStart + ToDuration(aSettings.mDuration);
  Prepare();
  At(aSettings.mMeasureFrom, [this] { StartSecond(); });
  const double until = aSettings.mMeasureUntil > 0 ? aSettings.mMeasureUntil : aSettings.mDuration;
  for (double time = aSettings.mMeasureFrom + 1; time < until; time += 1) {
    At(time, [this] {
      EndSecond();
      StartSecond();
    });
  }
  At(until, [this] {
    EndSecond();
    mMeasuring = false;
  });
  const auto key = [](const Event& aEvent) { return std::pair(aEvent.mTime, aEvent.mSequence); };
  while (!mEvents.empty() && mEvents.front().mTime <= end) {
    std::ranges::pop_heap(mEvents, std::greater{}, key);
    const Event event = std::move(mEvents.back());
    mEvents.pop_back();
    mClock.Advance(event.mTime - mClock.Now());
    event.mAction();
  }
  ExperimentResult result = Collect(aSettings);
  // Breaks the reference cycles between pending calls and attempts.
  mEvents.clear();
  for (const auto& service : mServices) {
    for (const auto& instance : service->mInstances) {
      for (const auto& [id, attempt] : instance->mAttempts) {
        attempt->mCall->mDone = {};
      }
      instance->mDeferred.clear();
    }
  }
  return result;
}

// Achievable goodput is summed per second, because demand and capacity change.
void Simulation::StartSecond()
{
  mMeasuring = true;
  mSecondStart = mClock.Now();
  mSecondCapacity = 0;
  for (const auto& [key, source] : mSources) {
    mSecondCapacity = std::max(mSecondCapacity, CapacityOf(source->mService));
  }
  mOfferedBeforeSecond.clear();
  for (const RankResult& rank : mResults) {
    mOfferedBeforeSecond.push_back(rank.mOffered);
  }
}

void Simulation::EndSecond()
{
  const double capacity = mSecondCapacity * ToSeconds(mClock.Now() - mSecondStart);
  mMeasuredCapacity += capacity;
  double total = 0;
  mFloorTargets.resize(mResults.size());
  for (size_t i = 0; i < mResults.size(); ++i) {
    const auto offered = static_cast<double>(mResults[i].mOffered - mOfferedBeforeSecond[i]);
    mFloorTargets[i] += std::min(offered, mResults[i].mFloor * capacity);
    total += offered;
  }
  mAchievable += std::min(total, capacity);
}

// Returns the seconds from the end of the overload to the first half second in which mean goodput
// is at least 95% of its mean before the overload, provided that the next 1.5 s reach that as well.
double Simulation::Recovery(const RunSettings& aSettings) const
{
  const auto sum = [&](size_t aBegin, size_t aCount) {
    double total = 0;
    for (size_t i = aBegin; i < std::min(aBegin + aCount, mGoodputBuckets.size()); ++i) {
      total += mGoodputBuckets[i];
    }
    return total / static_cast<double>(aCount);
  };
  const auto before = static_cast<size_t>(aSettings.mOverloadFrom / kGoodputBucketSeconds);
  const auto warm = static_cast<size_t>(aSettings.mMeasureFrom / kGoodputBucketSeconds);
  const double required = 0.95 * sum(warm, before - warm);
  const auto after = static_cast<size_t>(aSettings.mOverloadUntil / kGoodputBucketSeconds);
  for (size_t i = after; i + 20 <= mGoodputBuckets.size(); ++i) {
    if (sum(i, 5) >= required && sum(i + 5, 15) >= required) {
      return static_cast<double>(i - after) * kGoodputBucketSeconds;
    }
  }
  return aSettings.mDuration - aSettings.mOverloadUntil;
}

ExperimentResult Simulation::Collect(const RunSettings& aSettings)
{
  ExperimentResult result;
  result.mOptions = mOptions;
  const double until = aSettings.mMeasureUntil > 0 ? aSettings.mMeasureUntil : aSettings.mDuration;
  result.mSeconds = until - aSettings.mMeasureFrom;
  result.mCapacity = mMeasuredCapacity / result.mSeconds;
  // A request that was destroyed before its end is in none of the counts.
  for (const auto& measured : mMeasuredRequests) {
    if (const auto request = measured.lock(); request && !request->mEnded) {
      ++mResults[request->mSource->mRank].mUnfinished;
    }
  }
  double offered = 0;
  double goodput = 0;
  for (size_t i = 0; i < mResults.size(); ++i) {
    RankResult rank = mResults[i];
    offered += static_cast<double>(rank.mOffered);
    goodput += static_cast<double>(rank.mGoodput);
    rank.mFloorKept =
      mFloorTargets[i] <= 0 ? 1 : static_cast<double>(rank.mGoodput) / mFloorTargets[i];
    result.mRanks.push_back(std::move(rank));
  }
  result.mGoodputShare = goodput / std::max(1.0, mAchievable);
  result.mWasted = mWastedWork / std::max(1e-9, mWastedWork + mUsefulWork);
  result.mRetries =
    static_cast<double>(mRetries) / std::max(1.0, static_cast<double>(mFirstAttempts));
  result.mResends = static_cast<double>(mSends) / std::max(1.0, offered) - 1;
  if (aSettings.mOverloadUntil > 0) {
    result.mRecovery = Recovery(aSettings);
  }
  return result;
}

} // namespace balsammount::detail
