// Requests to the processes of the cluster: calls, control requests, store writes and load.

#include "balsammount/clock.h"

#include "managed_process.h"

#include "balsammount/cluster.h"
#include "balsammount/config_revision.h"
#include "balsammount/etcd_store.h"

#include <fstream>

namespace balsammount {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

constexpr auto kControlTimeout = 5s;
constexpr auto kReportTimeout = 500ms;
constexpr auto kStoreTimeout = 30s;
// Added to the deadline of a call to get its client timeout.
constexpr auto kResponseMargin = 5s;
constexpr size_t kReportLines = 15;
constexpr const char* kConfigKey = "/balsammount/config";

HttpRequest Get(const std::string& aTarget)
{
  HttpRequest request;
  request.mTarget = aTarget;
  return request;
}

HttpRequest Post(const std::string& aTarget, std::string aBody)
{
  HttpRequest request = Get(aTarget);
  request.mMethod = "POST";
  request.mBody = std::move(aBody);
  return request;
}

std::string OutcomeOf(const Result<HttpResponse>& aResult)
{
  if (aResult) {
    return std::string(aResult->mHeaders.Find("Balsam-Outcome"));
  }
  if (ProvesNotRun(aResult.error().mCode)) {
    return "not-run";
  }
  return aResult.error().mCode == TransportError::TimedOut ? "timeout" : "lost";
}

Json ResponseJson(const CallSpec& aSpec, const Result<HttpResponse>& aResult)
{
  Json response = { { "node", aSpec.mNode },
                    { "id", aSpec.mId },
                    { "key", aSpec.mRequest.mHeaders.Find("Idempotency-Key") },
                    { "status", aResult ? aResult->mStatus : 0 },
                    { "outcome", OutcomeOf(aResult) } };
  if (!aResult) {
    response["reason"] = Describe(aResult.error());
    return response;
  }
  response["reason"] = aResult->mHeaders.Find("Balsam-Reason");
  const Json body = Json::parse(aResult->mBody, nullptr, false);
  response["body"] = body.is_discarded() ? Json(aResult->mBody) : body;
  return response;
}

} // namespace

Result<HttpResponse> Cluster::Fetch(uint16_t aPort, HttpRequest aRequest,
                                    std::chrono::milliseconds aTimeout)
{
  HttpClient client(mContext, { asio::ip::address_v4::loopback(), aPort });
  std::optional<Result<HttpResponse>> result;
  const auto call = client.Send(std::move(aRequest), aTimeout,
                                [&](Result<HttpResponse> aResult) { result = std::move(aResult); });
  mContext.restart();
  while (!result) {
    mContext.run_one();
  }
  return std::move(*result);
}

Json Cluster::FetchJson(const std::string& aName, HttpRequest aRequest)
{
  const std::string target = aRequest.mTarget;
  auto result = Fetch(Find(aName).mPort, std::move(aRequest), kControlTimeout);
  if (!result) {
    throw std::runtime_error(aName + target + ": " + Describe(result.error()));
  }
  Json body = Json::parse(result->mBody, nullptr, false);
  if (result->mStatus != 200 || body.is_discarded()) {
    throw std::runtime_error(aName + target + ": status " + std::to_string(result->mStatus) + " " +
                             result->mBody);
  }
  return body;
}

void Cluster::SetFaults(const std::string& aStandin, const Json& aFaults)
{
  WaitUntilReady(aStandin); // it may be restarting after an unexpected exit
  FetchJson(aStandin, Post("/standin/faults", aFaults.dump()));
}

void Cluster::AnnounceLeaving(const std::string& aNode)
{
  const auto result =
    Fetch(Find(aNode).mEgressPort, Post("/balsammount/backend/leaving", {}), kControlTimeout);
  if (!result || result->mStatus != 204) {
    throw std::runtime_error(aNode + " did not accept the announcement of its backend server");
  }
}

Json Cluster::NodePage(const std::string& aNode, const std::string& aPage)
{
  return FetchJson(aNode, Get(aPage));
}

Json Cluster::Counters(const std::string& aStandin)
{
  return FetchJson(aStandin, Get("/standin/counters"));
}

std::map<std::string, uint64_t> Cluster::Executions()
{
  std::map<std::string, uint64_t> sums;
  for (const auto& [name, managed] : mProcesses) {
    if (managed->mKind != ProcessKind::Backend) {
      continue;
    }
    const Json report = FetchJson(name, Get("/standin/executions"));
    for (const char* kind : { "keys", "ids" }) {
      for (const auto& [key, count] : report[kind].items()) {
        sums[key] += count.get<uint64_t>();
      }
    }
  }
  return sums;
}

void Cluster::Send(CallSpec aSpec)
{
  if (aSpec.mId.empty()) {
    aSpec.mId = "call-" + std::to_string(mSeed) + "-" + std::to_string(mNextId++);
  }
  HttpRequest request = aSpec.mRequest;
  request.mHeaders.Set("X-Test-Id", aSpec.mId);
  request.mHeaders.Set("Balsam-Deadline-Ms", std::to_string(aSpec.mDeadline.count()));
  const uint16_t port = Find(aSpec.mNode).mCallerPort;
  if (port == 0) {
    throw std::runtime_error(aSpec.mNode + " is not a node");
  }
  auto pending = std::make_shared<PendingCall>();
  pending->mClient = std::make_unique<HttpClient>(
    mContext, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), port));
  const auto timeout = aSpec.mDeadline + kResponseMargin;
  pending->mSpec = std::move(aSpec);
  mCalls.push_back(pending);
  pending->mCall =
    pending->mClient->Send(std::move(request), timeout, [pending](Result<HttpResponse> aResult) {
      pending->mResult = std::move(aResult);
    });
}

Json Cluster::CollectResponses()
{
  Json responses = Json::array();
  const auto calls = std::exchange(mCalls, {});
  for (const auto& call : calls) {
    // The client timeout of the call bounds the wait.
    while (!call->mResult) {
      RunFor(20ms);
    }
    responses.push_back(ResponseJson(call->mSpec, *call->mResult));
    call->mCall.reset();
  }
  return responses;
}

void Cluster::StartLoad(const LoadSpec& aSpec)
{
  std::vector<std::string> arguments = { mPrograms.mLoad, "--json",
                                         "--seconds",     std::to_string(aSpec.mSeconds),
                                         "--seed",        std::to_string(++mLoadCount) };
  for (const std::string& target : aSpec.mTargets) {
    const uint16_t port = Find(target).mCallerPort;
    arguments.insert(arguments.end(), { "--target", "127.0.0.1:" + std::to_string(port) });
  }
  for (const std::string& flow : aSpec.mFlows) {
    arguments.insert(arguments.end(), { "--flow", flow });
  }
  mLoadName = "load-" + std::to_string(mLoadCount);
  mProcesses[mLoadName] = std::make_unique<ManagedProcess>(ProcessKind::Load, arguments,
                                                           mDirectory / (mLoadName + ".log"), 0);
  Find(mLoadName).mProcess.Start();
}

Json Cluster::LoadResults()
{
  ManagedProcess& load = Find(mLoadName);
  // The load generator ends by itself because its duration and its request deadlines are bounded.
  while (load.mProcess.Running()) {
    RunFor(20ms);
  }
  std::ifstream file(load.mProcess.LogFile());
  const Json report = Json::parse(file, nullptr, false);
  if (report.is_discarded()) {
    throw std::runtime_error(mLoadName + " printed no report");
  }
  Json flows = Json::object();
  for (const Json& flow : report["flows"]) {
    flows[flow["name"].get<std::string>()] = flow;
  }
  return flows;
}

void Cluster::WriteStore(
  const std::function<std::string(const std::optional<StoreEntry>&)>& aMakeValue)
{
  EtcdStoreSettings settings;
  settings.mEndpoints = { { asio::ip::address_v4::loopback(), Find("store").mPort } };
  EtcdStore store(mContext, settings);
  std::optional<StoreResult<Revision>> written;
  store.Get(kConfigKey, [&](StoreResult<StoreRead> aRead) {
    if (!aRead) {
      written = aRead.error();
      return;
    }
    const Revision expected = aRead->mEntry ? aRead->mEntry->mModRevision : kAbsent;
    store.CompareAndSwap(kConfigKey, expected, aMakeValue(aRead->mEntry), kNoLease,
                         [&](StoreResult<Revision> aResult) { written = std::move(aResult); });
  });
  if (!WaitFor(kStoreTimeout, [&] { return written.has_value(); })) {
    throw std::runtime_error("the store did not respond");
  }
  if (!written->has_value()) {
    throw std::runtime_error("cannot write the configuration: " + Describe(written->error()));
  }
}

uint64_t Cluster::WriteConfig(const std::filesystem::path& aFolder,
                              std::optional<uint64_t> aRevision)
{
  const auto files = ReadConfigDirectory(aFolder);
  if (!files) {
    throw std::runtime_error(Describe(files.error()));
  }
  ConfigRevision next;
  WriteStore([&](const std::optional<StoreEntry>& aEntry) {
    std::optional<ConfigRevision> previous;
    if (aEntry) {
      if (auto decoded = DecodeRevision(aEntry->mValue)) {
        previous = std::move(*decoded);
      }
    }
    const std::string changeId = "scenario-" + std::to_string(mNextId++);
    const auto now = std::chrono::floor<std::chrono::milliseconds>(SystemClock().WallNow());
    next = NextRevision(previous ? &*previous : nullptr, previous ? previous->mRevision : 0, *files,
                        { changeId, "scenario", now });
    if (aRevision) {
      next.mRevision = *aRevision;
      next.mBase = 0;
      next.mHistory = { next.mHistory.back() };
      next.mHistory.back().mRevision = *aRevision;
    }
    auto bytes = EncodeRevision(next);
    if (!bytes) {
      throw std::runtime_error(Describe(bytes.error()));
    }
    return *bytes;
  });
  return next.mRevision;
}

void Cluster::WriteRawConfig(const std::string& aBytes)
{
  WriteStore([&](const std::optional<StoreEntry>&) { return aBytes; });
}

std::string Cluster::Report()
{
  std::string text;
  for (const auto& [name, managed] : mProcesses) {
    ChildProcess& process = managed->mProcess;
    const bool running = process.Running();
    text += "\n== " + name + ": ";
    text += running ? "process " + std::to_string(process.Pid())
                    : "exited with status " + std::to_string(process.ExitStatus());
    text += process.Frozen() ? ", frozen\n" : "\n";
    if (running && !process.Frozen() && managed->mPort != 0) {
      const bool node = managed->mKind == ProcessKind::Node;
      const auto page =
        Fetch(managed->mPort, Get(node ? "/state" : "/standin/counters"), kReportTimeout);
      text += page ? page->mBody.Bytes() + "\n" : Describe(page.error()) + "\n";
    }
    for (const std::string& line : process.LastLogLines(kReportLines)) {
      text += "  " + line + "\n";
    }
  }
  return text;
}

} // namespace balsammount
