// A discrete-event simulation of callers, nodes, links and backend servers.
#pragma once

#include "balsammount/admission.h"
#include "balsammount/entry_floor.h"
#include "balsammount/experiment.h"
#include "balsammount/retry.h"
#include "balsammount/routing.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <unordered_map>

namespace balsammount::detail {

struct RankSettings
{
  std::string mName;
  double mWorth = 0;
  double mFloor = 0;
  double mDeadline = 1; // seconds
};

struct InstanceSettings
{
  size_t mCount = 1;
  uint32_t mSlots = 50;
  uint32_t mConnections = 400;
  std::vector<std::string> mDataCentres{ "dc1" };
  double mColdFactor = 5; // service time factor after a start; falls linearly to 1
  double mColdTime = 5;   // seconds
};

struct DemandSettings
{
  double mCapacityFactor = 1; // demand / capacity of the path
  uint32_t mCallers = 100;
  uint32_t mTries = 3;  // maximum sends of a request
  double mPause = 0.05; // mean seconds before a resend; callers ignore Retry-After
};

struct LinkSettings
{
  double mNear = 0.0002;  // one-way seconds within a data centre
  double mFar = 0.005;    // one-way seconds between data centres
  double mCaller = 0.001; // one-way seconds between callers and entry nodes
  double mLoss = 0;       // share of messages between data centres that are retransmitted
};

class Simulation
{
public:
  explicit Simulation(const ExperimentOptions& aOptions);
  ~Simulation();
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  // Topology. Services and ranks are identified by index.
  void AddRank(const RankSettings& aRank) { mRankSettings.push_back(aRank); }
  void AddService(const std::string& aName, double aSeconds);
  void AddInstances(size_t aService, const InstanceSettings& aSettings);
  void AddCall(size_t aFrom, size_t aTo);
  void SetLink(const LinkSettings& aLink) { mLink = aLink; }
  // Returns the index, or the number of entries if the name is unknown.
  size_t FindRank(const std::string& aName) const;
  size_t FindService(const std::string& aName) const;
  size_t RankCount() const { return mRankSettings.size(); }
  size_t ServiceCount() const { return mServices.size(); }
  size_t InstanceCount(size_t aService) const;

  // Events. A duration of 0 means until the end of the run.
  void SetDemand(size_t aRank, size_t aService, const DemandSettings& aDemand);
  void Slow(size_t aService, double aFactor, double aSeconds);
  void Kill(size_t aService, size_t aCount, double aSeconds);
  void Freeze(size_t aService, size_t aCount, double aSeconds);
  void Cut(const std::string& aLeft, const std::string& aRight, double aSeconds);
  void At(double aSeconds, std::function<void()> aAction);

  struct RunSettings
  {
    double mDuration = 10;
    double mMeasureFrom = 2;   // start of the measurement window
    double mMeasureUntil = 0;  // end of the measurement window; 0: end of the run
    double mOverloadUntil = 0; // end of the overload; 0: none
    double mOverloadFrom = 0;  // start of the overload
  };
  ExperimentResult Run(const RunSettings& aSettings);

private:
  struct Service;
  struct Instance;
  struct Node;
  struct RootCall;
  struct Call;
  struct Attempt;
  struct CallerRequest;
  struct Source;

  enum class ReplyKind : uint8_t
  {
    Success,
    Refused,
    Late,
  };
  struct Reply
  {
    ReplyKind mKind = ReplyKind::Late;
    bool mExecuted = false; // the backend server executed the request
  };

  struct Event
  {
    SteadyTime mTime;
    uint64_t mSequence;
    std::function<void()> mAction;
  };

  void Prepare();
  std::unique_ptr<Node> CreateNode(uint16_t aDataCentre, uint64_t aSelf);
  AdmissionPolicy PolicyOf(const Instance& aInstance) const;
  double HoldTime(size_t aService) const;
  double CapacityOf(size_t aService) const;
  double Worth(size_t aRank) const { return mRankSettings[aRank].mWorth; }
  uint32_t RanksBelow(size_t aRank) const;
  bool IsProjectPolicy() const { return mOptions.mPolicy == ControlPolicy::Project; }

  void After(double aSeconds, std::function<void()> aAction);
  double Exponential(double aMean);
  double DelayBetween(uint16_t aLeft, uint16_t aRight);
  bool IsCut(uint16_t aLeft, uint16_t aRight) const;
  uint16_t DataCentreIndex(const std::string& aName);

  void NextArrival(Source& aSource, uint64_t aVersion);
  void Send(const std::shared_ptr<CallerRequest>& aRequest);
  void OnRootReply(const std::shared_ptr<CallerRequest>& aRequest,
                   const std::shared_ptr<RootCall>& aRoot, Reply aReply);
  void EndCallerRequest(CallerRequest& aRequest, ReplyKind aKind);
  void AddWork(RootCall& aRoot, double aSeconds);
  void EndRoot(RootCall& aRoot, bool aSuccess);

  void StartCall(const std::shared_ptr<Call>& aCall);
  void StartAttempt(const std::shared_ptr<Call>& aCall);
  Instance* Choose(Call& aCall);
  void Arrive(const std::shared_ptr<Attempt>& aAttempt);
  void Respond(const std::shared_ptr<Attempt>& aAttempt, Reply aReply);
  void OnReply(const std::shared_ptr<Attempt>& aAttempt, Reply aReply, uint32_t aLevel);
  void OnAttemptTimeout(const std::shared_ptr<Attempt>& aAttempt);
  void CloseAttempt(Attempt& aAttempt);
  bool MayRetry(Call& aCall, Reply aReply);
  void FinishCall(Call& aCall, Reply aReply);

  void PollAdmission(Instance& aInstance);
  void Dispatch(Instance& aInstance, const std::shared_ptr<Attempt>& aAttempt);
  void StartNext(Instance& aInstance);
  void RunPhase(const std::shared_ptr<Attempt>& aAttempt);
  void OnPhaseEnd(const std::shared_ptr<Attempt>& aAttempt, uint64_t aEpoch, double aWork);
  void NextStep(const std::shared_ptr<Attempt>& aAttempt);
  void FinishBackend(const std::shared_ptr<Attempt>& aAttempt, Reply aReply);
  uint32_t PublishedLevel(Instance& aInstance);
  double SlowFactor(const Instance& aInstance) const;
  void ReportLoad(Instance& aInstance);

  ExperimentResult Collect(const RunSettings& aSettings);
  void StartSecond();
  void EndSecond();
  double Recovery(const RunSettings& aSettings) const;

  ExperimentOptions mOptions;
  ManualClock mClock;
  SteadyTime mStart;
  Random mRandom;
  LinkSettings mLink;
  std::vector<RankSettings> mRankSettings;
  std::vector<std::unique_ptr<Service>> mServices;
  std::vector<std::unique_ptr<Node>> mEntries;
  std::vector<std::string> mDataCentres;
  std::set<std::pair<uint16_t, uint16_t>> mCuts;
  std::map<std::pair<size_t, size_t>, std::unique_ptr<Source>> mSources;
  std::vector<Event> mEvents; // heap ordered by time, then sequence
  uint64_t mLastSequence = 0;
  uint64_t mLastId = 0;
  bool mPrepared = false;

  bool mMeasuring = false;
  double mMeasuredCapacity = 0;      // requests
  double mAchievable = 0;            // requests; min(demand, capacity), summed per second
  std::vector<double> mFloorTargets; // requests per rank; min(demand, floor), summed per second
  SteadyTime mSecondStart{};
  double mSecondCapacity = 0;
  std::vector<uint64_t> mOfferedBeforeSecond;
  std::vector<RankResult> mResults;
  std::vector<std::weak_ptr<CallerRequest>> mMeasuredRequests;
  std::vector<uint32_t> mGoodputBuckets; // successful requests per 100 ms
  double mUsefulWork = 0;
  double mWastedWork = 0;
  uint64_t mFirstAttempts = 0;
  uint64_t mRetries = 0;
  uint64_t mSends = 0;
};

} // namespace balsammount::detail
