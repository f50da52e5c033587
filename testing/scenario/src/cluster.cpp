#include "balsammount/cluster.h"

#include "managed_process.h"

#include <boost/asio/ip/udp.hpp>

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <thread>

namespace balsammount {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Json = nlohmann::json;
using std::chrono::steady_clock;

namespace {

constexpr auto kControlTimeout = 5s;
constexpr auto kStartTimeout = 60s;
constexpr auto kStopTimeout = 60s;
// Below the kernel's ephemeral port range, so that a restarted process finds its port free.
constexpr uint16_t kFirstPort = 12'000;
constexpr uint16_t kPortCount = 20'000;
// A node discovers the others through a few contacts.
constexpr size_t kContactCount = 3;

std::string Address(uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

asio::ip::tcp::endpoint Loopback(uint16_t aPort)
{
  return { asio::ip::address_v4::loopback(), aPort };
}

bool IsFree(asio::io_context& aContext, uint16_t aPort)
{
  boost::system::error_code error;
  asio::ip::tcp::acceptor acceptor(aContext);
  acceptor.open(asio::ip::tcp::v4(), error);
  acceptor.bind(Loopback(aPort), error);
  if (error) {
    return false;
  }
  asio::ip::udp::socket socket(aContext);
  socket.open(asio::ip::udp::v4(), error);
  socket.bind({ asio::ip::address_v4::loopback(), aPort }, error);
  return !error;
}

std::string BackendName(const std::string& aNode)
{
  return aNode + "/backend";
}

std::string FileName(std::string aName)
{
  std::replace(aName.begin(), aName.end(), '/', '-');
  return aName;
}

std::string Join(const std::vector<std::string>& aItems)
{
  std::string text;
  for (const std::string& item : aItems) {
    text += (text.empty() ? "" : ",") + item;
  }
  return text;
}

} // namespace

Cluster::Cluster(ClusterPrograms aPrograms, std::filesystem::path aDirectory, uint64_t aSeed)
  : mPrograms(std::move(aPrograms))
  , mDirectory(std::move(aDirectory))
  , mSeed(aSeed)
  , mRandom(aSeed)
  , mContext(1)
{
}

Cluster::~Cluster() = default;

Cluster::ManagedProcess& Cluster::Find(const std::string& aName)
{
  const auto found = mProcesses.find(aName);
  if (found == mProcesses.end()) {
    throw std::runtime_error("no such process: " + aName);
  }
  return *found->second;
}

uint16_t Cluster::AllocatePort()
{
  // Scenarios that run concurrently start at different ports.
  uint32_t offset = static_cast<uint32_t>(getpid()) * 211U;
  for (size_t i = 0; i < kPortCount; ++i, ++offset) {
    const auto port = static_cast<uint16_t>(kFirstPort + offset % kPortCount);
    if (!mPorts.contains(port) && IsFree(mContext, port)) {
      mPorts.insert(port);
      return port;
    }
  }
  throw std::runtime_error("no free port");
}

void Cluster::StartStore()
{
  const uint16_t port = AllocatePort();
  const std::vector<std::string> arguments = { mPrograms.mStore, "--listen", Address(port) };
  const std::string log = mDirectory / "store.log";
  mProcesses["store"] = std::make_unique<ManagedProcess>(ProcessKind::Store, arguments, log, port);
  Find("store").mProcess.Start();
  WaitUntilReady("store");
}

std::vector<std::string> Cluster::StartService(const ServiceSpec& aSpec)
{
  std::vector<std::string> names;
  for (size_t i = 0; i < aSpec.mUpstreams; ++i) {
    const std::string name = aSpec.mName + "-" + std::to_string(i + 1);
    if (mProcesses.contains(name)) {
      throw std::runtime_error("process already exists: " + name);
    }
    names.push_back(name);
    // The last argument is the port of the admin listener, used for control requests.
    mProcesses[name] = std::make_unique<ManagedProcess>(
      ProcessKind::Node,
      std::vector<std::string>{ mPrograms.mNode, "--settings",
                                mDirectory / (FileName(name) + ".json") },
      mDirectory / (FileName(name) + ".log"), AllocatePort());
    ManagedProcess& node = Find(name);
    node.mCallerPort = AllocatePort();
    node.mEgressPort = AllocatePort();
    node.mPeerPort = AllocatePort();
    mNodes.push_back(name);
  }
  std::vector<std::string> contacts;
  for (size_t i = 0; i < std::min(kContactCount, mNodes.size()); ++i) {
    contacts.push_back(Address(Find(mNodes[i]).mPeerPort));
  }
  for (size_t i = 0; i < names.size(); ++i) {
    StartNode(aSpec, names[i], i, contacts);
  }
  for (const std::string& name : names) {
    WaitUntilReady(BackendName(name));
    WaitUntilReady(name);
  }
  return names;
}

void Cluster::StartNode(const ServiceSpec& aSpec, const std::string& aName, size_t aIndex,
                        const std::vector<std::string>& aContacts)
{
  const ManagedProcess& node = Find(aName);
  const std::string backend = BackendName(aName);
  const uint16_t port = AllocatePort();
  std::vector<std::string> arguments = { mPrograms.mBackend,
                                         "--listen",
                                         Address(port),
                                         "--name",
                                         backend,
                                         "--slots",
                                         std::to_string(aSpec.mSlots),
                                         "--service-time-ms",
                                         std::to_string(aSpec.mServiceMs),
                                         "--seed",
                                         std::to_string(mSeed + aIndex) };
  if (!aSpec.mCalls.empty()) {
    arguments.insert(arguments.end(),
                     { "--calls", Join(aSpec.mCalls), "--egress", Address(node.mEgressPort) });
  }
  mProcesses[backend] = std::make_unique<ManagedProcess>(
    ProcessKind::Backend, arguments, mDirectory / (FileName(backend) + ".log"), port);

  const Json settings = { { "node_id", aName },
                          { "service", aSpec.mName },
                          { "data_centre", "dc" + std::to_string(aIndex % aSpec.mDataCentres + 1) },
                          { "caller_listen", Address(node.mCallerPort) },
                          { "egress_listen", Address(node.mEgressPort) },
                          { "peer_listen", Address(node.mPeerPort) },
                          { "admin_listen", Address(node.mPort) },
                          { "backend", Address(port) },
                          { "store", { Address(Find("store").mPort) } },
                          { "contacts", aContacts } };
  std::ofstream(mDirectory / (FileName(aName) + ".json")) << settings.dump(2) << "\n";
  Find(backend).mProcess.Start();
  Find(aName).mProcess.Start();
}

void Cluster::WaitUntilReady(const std::string& aName)
{
  const uint16_t port = Find(aName).mPort;
  const bool isReady = WaitFor(kStartTimeout, [&] {
    return Fetch(port, {}, kControlTimeout).has_value(); // any response will do
  });
  if (!isReady) {
    throw std::runtime_error(aName + " does not respond");
  }
}

void Cluster::Kill(const std::string& aName)
{
  ManagedProcess& managed = Find(aName);
  managed.mShouldRun = false;
  managed.mProcess.Kill();
}

void Cluster::Freeze(const std::string& aName)
{
  Find(aName).mProcess.Signal(SIGSTOP);
}

void Cluster::Thaw(const std::string& aName)
{
  Find(aName).mProcess.Signal(SIGCONT);
}

void Cluster::Stop(const std::string& aName)
{
  ManagedProcess& managed = Find(aName);
  managed.mShouldRun = false;
  managed.mProcess.Signal(SIGTERM);
  if (!WaitFor(kStopTimeout, [&] { return !managed.mProcess.Running(); })) {
    throw std::runtime_error(aName + " did not exit after SIGTERM");
  }
  if (managed.mProcess.ExitStatus() != 0) {
    throw std::runtime_error(aName + " exited with status " +
                             std::to_string(managed.mProcess.ExitStatus()));
  }
}

void Cluster::Start(const std::string& aName)
{
  ManagedProcess& managed = Find(aName);
  if (managed.mProcess.Running()) {
    throw std::runtime_error(aName + " is already running");
  }
  managed.mShouldRun = true;
  managed.mProcess.Start();
  WaitUntilReady(aName);
}

bool Cluster::Running(const std::string& aName)
{
  return Find(aName).mProcess.Running();
}

size_t Cluster::UnexpectedExits(const std::string& aName)
{
  return Find(aName).mUnexpectedExits;
}

void Cluster::RunFor(std::chrono::milliseconds aTime)
{
  mContext.restart();
  mContext.run_for(aTime);
  // run_for() returns early when the loop has no work.
  if (mContext.stopped()) {
    std::this_thread::sleep_for(std::min(aTime, 10ms));
  }
  CheckProcesses();
}

void Cluster::CheckProcesses()
{
  for (const auto& [name, managed] : mProcesses) {
    ChildProcess& process = managed->mProcess;
    if (!managed->mShouldRun || process.Running()) {
      continue;
    }
    if (managed->mKind == ProcessKind::Backend) {
      ++managed->mUnexpectedExits;
      process.Start();
      continue;
    }
    managed->mShouldRun = false;
    if (managed->mKind != ProcessKind::Load || process.ExitStatus() != 0) {
      throw std::runtime_error(name + " exited unexpectedly with status " +
                               std::to_string(process.ExitStatus()));
    }
  }
}

bool Cluster::WaitFor(std::chrono::milliseconds aTimeout, const std::function<bool()>& aCondition)
{
  const auto deadline = steady_clock::now() + aTimeout;
  while (!aCondition()) {
    if (steady_clock::now() >= deadline) {
      return false;
    }
    RunFor(20ms);
  }
  return true;
}

} // namespace balsammount
