// Admits requests for the backend server beside this node and dispatches them to it.
#pragma once

#include "call_context.h"
#include "parent_finder.h"

#include "balsammount/admission.h"
#include "balsammount/config.h"
#include "balsammount/deployment_options.h"
#include "balsammount/http_client.h"
#include "balsammount/kernel.h"
#include "balsammount/lost_requests.h"
#include "balsammount/node_settings.h"
#include "balsammount/recent_overload.h"
#include "balsammount/server_lifecycle.h"
#include "balsammount/server_load.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <unordered_map>

namespace balsammount {

// A dispatched request, as seen by its sub-calls.
struct InFlightRequest
{
  // Whether the backend server may have failed the request because of one of its calls.
  bool IsFailureOfCalls() const { return mCallFailed || mOpenCalls > 0; }

  CallContext mContext;
  RequestBudget mBudget;
  uint32_t mOpenCalls = 0; // calls that the backend server waits for
  bool mCallFailed = false;
};

// Observes dispatched requests and the backend server, to recognise requests that crash it. Job
// numbers are unique in this process.
class DispatchObserver
{
public:
  virtual ~DispatchObserver() = default;
  virtual void OnDispatch(uint64_t aJob, uint64_t aFingerprint) = 0;
  virtual void OnEnd(uint64_t aJob, bool aCompleted) = 0;
  // The backend server has stopped accepting connections without announcing that it is leaving.
  virtual void OnServerCrash() = 0;
};

class Executor final : public Service
{
public:
  Executor(boost::asio::io_context& aContext, const Clock& aClock, const NodeSettings& aSettings,
           RecentOverload& aOverload, const HeaderNames& aNames, ServerPresence aServerPresence,
           std::shared_ptr<ResourceBudget> aBudget);
  ~Executor() override;

  Result<void> Start() override;
  void Stop() override;

  // Calls aCallback exactly once unless the call is cancelled. Calls aBeforeDispatch immediately
  // before the request is sent; if it returns false, the request is refused with
  // OwnershipUnconfirmed.
  std::shared_ptr<Call> Execute(CallContext aContext, HttpRequest aRequest, RequestBudget aBudget,
                                CallResultCallback aCallback,
                                std::function<bool()> aBeforeDispatch = nullptr);

  // Returns the parent request of a sub-call, or null when it is no longer in flight.
  std::shared_ptr<InFlightRequest> FindInFlight(const std::string& aRequestId);

  // The requests that are in flight, for calls that do not name their parent.
  const ParentFinder<InFlightRequest>& Parents() const { return mParents; }

  void ApplyConfig(const std::shared_ptr<const Config>& aConfig);
  void SetDraining(bool aDraining);
  // Sets whether the backend server is leaving. New and queued requests are refused then.
  void SetServerLeaving(bool aLeaving);
  // Applies the announced state of the backend server, with ServerPresence::Announced.
  void SetServer(const ServerLifecycle& aLifecycle);
  // Reports in every result from now on that this node is leaving.
  void SetLeaving() { mLeaving = true; }
  // The header of responses in which the backend server states its load.
  void SetServerLoadHeader(std::string aName, ServerLoadDecoder aDecode);
  void SetObserver(DispatchObserver* aObserver) { mObserver = aObserver; }
  // The callback is called whenever the backend server becomes available or unavailable.
  void SetAvailabilityCallback(std::function<void(bool)> aCallback);

  bool Available() const { return mAvailable; }
  // Statements of the backend server about its load that could not be read.
  uint64_t MalformedServerLoads() const { return mMalformedServerLoads; }
  // Responses that arrived in place of the response to another request.
  uint64_t ForeignResponses() const { return mForeignResponses; }
  bool Draining() const { return mAdmission.Draining(); }
  // Requests queued or in flight.
  size_t Pending() const { return mJobs.size(); }
  const AdmissionController& Admission() const { return mAdmission; }
  // The shed level of a service called from here raises that of this node.
  void ReportDownstreamLevel(uint32_t aLevel) { mAdmission.ReportDownstreamLevel(aLevel); }

private:
  struct Job;
  class JobCall;

  void Dispatch(const std::shared_ptr<Job>& aJob);
  void OnResult(const std::shared_ptr<Job>& aJob, Result<HttpResponse> aResult);
  void OnServerLoad(const HttpResponse& aResponse);
  void OnUnanswered();
  void ApplyLost();
  void Finish(const std::shared_ptr<Job>& aJob, CallResult aCallResult);
  void CancelJob(const std::shared_ptr<Job>& aJob);
  void PollAdmission();
  void ArmTimer();
  void SetAvailable(bool aAvailable);
  CallResult ToCallResult(const Job& aJob, Result<HttpResponse> aResult);
  // Logs and counts a response that does not belong to the job.
  ResponseMatch Match(const Job& aJob, const HttpResponse& aResponse);
  void ApplyPolicy();
  void ApplyDraining();
  uint32_t LoadPercent() const;
  // Adds the state of this node, which every result reports.
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
  std::string mServerId;     // of the announced backend server
  uint32_t mServerSlots = 0; // as announced; 0: as configured
  bool mProbing = false;
  HttpClient mBackend;
  AdmissionController mAdmission;
  boost::asio::steady_timer mAdmissionTimer;
  boost::asio::steady_timer mProbeTimer;
  std::shared_ptr<const Config> mConfig;
  std::unordered_map<uint64_t, std::shared_ptr<Job>> mJobs;       // by job number
  std::unordered_map<std::string, std::shared_ptr<Job>> mRunning; // dispatched, by request id
  ParentFinder<InFlightRequest> mParents;
  std::string mServerLoadHeader;
  ServerLoadDecoder mDecodeServerLoad; // null: the server does not state its load
  uint64_t mMalformedServerLoads = 0;
  uint64_t mForeignResponses = 0;
  LostRequests mLost;
  DispatchObserver* mObserver = nullptr;
  // Jobs whose connection was lost. The next probe shows whether the server has crashed.
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
