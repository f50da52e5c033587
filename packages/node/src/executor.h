// Admits requests for the backend server beside this node and dispatches them to it.
#pragma once

#include "call_context.h"

#include "balsammount/admission.h"
#include "balsammount/config.h"
#include "balsammount/deployment_options.h"
#include "balsammount/http_client.h"
#include "balsammount/kernel.h"
#include "balsammount/node_settings.h"
#include "balsammount/recent_overload.h"
#include "balsammount/server_lifecycle.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <unordered_map>

namespace balsammount {

// A dispatched request, as its sub-calls see it.
struct InFlightRequest
{
  CallContext mContext;
  RequestBudget mBudget;
};

// Told about the life of dispatched requests and of the backend server, to recognise requests that
// crash it. Jobs are numbers that are unique in this process.
class DispatchObserver
{
public:
  virtual ~DispatchObserver() = default;
  virtual void OnDispatch(uint64_t aJob, uint64_t aFingerprint) = 0;
  virtual void OnEnd(uint64_t aJob, bool aCompleted) = 0;
  // The backend server accepts no connections any more, without having announced that it leaves.
  virtual void OnServerDeath() = 0;
};

class Executor final : public Service
{
public:
  Executor(boost::asio::io_context& aContext, const Clock& aClock, const NodeSettings& aSettings,
           RecentOverload& aOverload, const HeaderNames& aNames, ServerPresence aServerPresence);
  ~Executor() override;

  Result<void> Start() override;
  void Stop() override;

  // The callback is called exactly once unless cancelled. aBeforeDispatch runs immediately before
  // the request is sent; a false result refuses it as NoRight.
  std::shared_ptr<Call> Execute(CallContext aContext, HttpRequest aRequest, RequestBudget aBudget,
                                CallResultCallback aCallback,
                                std::function<bool()> aBeforeDispatch = nullptr);

  // The request in flight that a sub-call belongs to; null when it has ended.
  std::shared_ptr<InFlightRequest> FindInFlight(const std::string& aRequestId);

  void ApplyConfig(const std::shared_ptr<const Config>& aConfig);
  void SetDraining(bool aDraining);
  // The backend server that has announced itself, with ServerPresence::Announced.
  void SetServer(const ServerLifecycle& aLifecycle);
  // Says on every answer from now on that the node leaves.
  void SetLeaving() { mLeaving = true; }
  void SetObserver(DispatchObserver* aObserver) { mObserver = aObserver; }
  // Called when the backend server becomes available or unavailable.
  void SetAvailabilityCallback(std::function<void(bool)> aCallback);

  bool Available() const { return mAvailable; }
  bool Draining() const { return mAdmission.Draining(); }
  // Requests queued or in flight.
  size_t Pending() const { return mJobs.size(); }
  const AdmissionController& Admission() const { return mAdmission; }
  // A level that the services called from here have published raises this one's.
  void ReportDownstreamLevel(uint32_t aLevel) { mAdmission.ReportDownstreamLevel(aLevel); }

private:
  struct Job;
  class JobCall;

  void Dispatch(const std::shared_ptr<Job>& aJob);
  void OnResult(const std::shared_ptr<Job>& aJob, Result<HttpResponse> aResult);
  void Finish(const std::shared_ptr<Job>& aJob, CallResult aCallResult);
  void CancelJob(const std::shared_ptr<Job>& aJob);
  void PollAdmission();
  void ArmTimer();
  void SetAvailable(bool aAvailable);
  CallResult ToCallResult(const Job& aJob, Result<HttpResponse> aResult);
  bool IsResponseTo(const Job& aJob, const HttpResponse& aResponse) const;
  bool DidNotRun(const HttpResponse& aResponse) const;
  void ApplyPolicy();
  void ApplyDraining();
  uint32_t LoadPercent() const;
  // What every answer tells of this node.
  void AddNodeState(CallResult& aCallResult) const;
  void StartProbe();
  void ProbeBackend();
  void OnProbeResult(bool aConnected);
  size_t RankIndex(const std::string& aRank) const;
  HttpRequest BackendRequest(const Job& aJob) const;

  boost::asio::io_context& mContext;
  const Clock& mClock;
  NodeSettings mSettings;
  RecentOverload& mOverload;
  const HeaderNames& mNames;
  ServerPresence mServerPresence;
  std::string mServerId;     // of the backend server that has announced itself
  uint32_t mServerSlots = 0; // as announced; 0: as configured
  bool mProbing = false;
  HttpClient mBackend;
  AdmissionController mAdmission;
  boost::asio::steady_timer mAdmissionTimer;
  boost::asio::steady_timer mProbeTimer;
  std::shared_ptr<const Config> mConfig;
  std::unordered_map<uint64_t, std::shared_ptr<Job>> mJobs; // by the context number of admission
  std::unordered_map<std::string, std::shared_ptr<Job>> mRunning; // dispatched, by request id
  DispatchObserver* mObserver = nullptr;
  // Jobs whose connection was lost. Whether the server died is known after the next probe.
  std::vector<uint64_t> mLostJobs;
  std::function<void(bool)> mOnAvailability;
  uint64_t mNextJob = 1;
  bool mAvailable = false;
  bool mLeaving = false;
  bool mNodeDraining = false;
  bool mServerLeaving = false;
  bool mStopped = false;
};

} // namespace balsammount
