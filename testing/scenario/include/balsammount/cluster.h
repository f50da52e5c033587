// Runs the processes of a scenario on loopback: a store stand-in, nodes and their backend
// stand-ins. Errors are thrown as std::runtime_error.
#pragma once

#include "balsammount/child_process.h"
#include "balsammount/http_client.h"
#include "balsammount/random.h"
#include "balsammount/store.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace balsammount {

struct ClusterPrograms
{
  std::string mNode;
  std::string mBackend;
  std::string mStore;
  std::string mLoad;
};

struct ServiceSpec
{
  std::string mName;
  size_t mUpstreams = 1;
  size_t mSlots = 10;
  double mServiceMs = 5;
  std::vector<std::string> mCalls; // paths that each execution calls
  size_t mDataCentres = 3;         // assigned to the nodes round robin
};

// A caller's request. An ID is generated when mId is empty.
struct CallSpec
{
  std::string mNode;
  HttpRequest mRequest;
  std::string mId;
  std::chrono::milliseconds mDeadline{ 5000 };
};

struct LoadSpec
{
  std::vector<std::string> mTargets; // nodes
  std::vector<std::string> mFlows;   // in the --flow format of the load generator
  double mSeconds = 5;
};

class Cluster
{
public:
  using Json = nlohmann::json;

  Cluster(ClusterPrograms aPrograms, std::filesystem::path aDirectory, uint64_t aSeed);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  void StartStore();
  // Writes the configuration as the next revision, or as aRevision, and returns its number.
  uint64_t WriteConfig(const std::filesystem::path& aFolder,
                       std::optional<uint64_t> aRevision = std::nullopt);
  // Replaces the configuration value with arbitrary bytes.
  void WriteRawConfig(const std::string& aBytes);
  // Returns the names of the nodes. A node's backend stand-in is named NODE/backend.
  std::vector<std::string> StartService(const ServiceSpec& aSpec);

  void Kill(const std::string& aName);
  void Freeze(const std::string& aName);
  void Thaw(const std::string& aName);
  // Sends SIGTERM and waits for the process to exit. Throws unless the exit status is 0.
  void Stop(const std::string& aName);
  // Restarts the process with the same addresses.
  void Start(const std::string& aName);
  bool Running(const std::string& aName);
  // Returns how often a backend stand-in exited unexpectedly. It is restarted each time.
  size_t UnexpectedExits(const std::string& aName);

  void SetFaults(const std::string& aStandin, const Json& aFaults);
  void AnnounceLeaving(const std::string& aNode);
  // Returns a JSON page from a node's admin listener.
  Json NodePage(const std::string& aNode, const std::string& aPage);
  Json Counters(const std::string& aStandin);
  // Returns executions by Idempotency-Key and by X-Test-Id, summed over all backend stand-ins.
  std::map<std::string, uint64_t> Executions();
  const std::vector<std::string>& Nodes() const { return mNodes; }

  // Sends in the background. CollectResponses() waits for all pending calls and returns them in the
  // order of sending: {"node", "id", "key", "status", "outcome", "reason", "body"}. The outcome is
  // "not-run" when the connection was refused, "lost" when it closed before the response, and
  // "timeout" when no response came in time.
  void Send(CallSpec aSpec);
  Json CollectResponses();

  void StartLoad(const LoadSpec& aSpec);
  // Waits for the load generator to finish and returns its report by flow.
  Json LoadResults();

  // Runs the event loop. Throws when a process other than a backend stand-in exited unexpectedly.
  void RunFor(std::chrono::milliseconds aTime);
  // Runs the event loop until the condition holds. Returns false on timeout.
  bool WaitFor(std::chrono::milliseconds aTimeout, const std::function<bool()>& aCondition);

  // Returns the state, counters and last log lines of every process as readable text.
  std::string Report();

private:
  struct ManagedProcess;

  ManagedProcess& Find(const std::string& aName);
  uint16_t AllocatePort();
  void StartNode(const ServiceSpec& aSpec, const std::string& aName, size_t aIndex,
                 const std::vector<std::string>& aContacts);
  void WaitUntilReady(const std::string& aName);
  Result<HttpResponse> Fetch(uint16_t aPort, HttpRequest aRequest,
                             std::chrono::milliseconds aTimeout);
  Json FetchJson(const std::string& aName, HttpRequest aRequest);
  void CheckProcesses();
  void WriteStore(const std::function<std::string(const std::optional<StoreEntry>&)>& aMakeValue);

  ClusterPrograms mPrograms;
  std::filesystem::path mDirectory;
  uint64_t mSeed;
  Random mRandom;
  boost::asio::io_context mContext;
  std::unique_ptr<Store> mStore;
  std::map<std::string, std::unique_ptr<ManagedProcess>> mProcesses;
  std::vector<std::string> mNodes;
  std::set<uint16_t> mPorts;
  struct PendingCall;
  std::vector<std::shared_ptr<PendingCall>> mCalls;
  std::string mLoadName; // name of the current load generator
  size_t mLoadCount = 0;
  uint64_t mNextId = 0;
};

} // namespace balsammount
