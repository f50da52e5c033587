// A process of the cluster with its listening ports.
#pragma once

#include "balsammount/cluster.h"

namespace balsammount {

enum class ProcessKind
{
  Store,
  Node,
  Backend,
  Load,
};

struct Cluster::ManagedProcess
{
  ManagedProcess(ProcessKind aKind, std::vector<std::string> aArguments, std::string aLogFile,
                 uint16_t aPort)
    : mKind(aKind)
    , mPort(aPort)
    , mProcess(std::move(aArguments), std::move(aLogFile))
  {
  }

  ProcessKind mKind;
  uint16_t mPort;           // control listener of a stand-in or admin listener of a node
  uint16_t mCallerPort = 0; // of a node
  uint16_t mEgressPort = 0; // of a node
  uint16_t mPeerPort = 0;   // of a node
  ChildProcess mProcess;
  bool mShouldRun = true; // an exit is unexpected while this is set
  size_t mUnexpectedExits = 0;
};

struct Cluster::PendingCall
{
  CallSpec mSpec;
  std::unique_ptr<HttpClient> mClient; // one connection per call, so that none is stale
  std::shared_ptr<Call> mCall;
  std::optional<Result<HttpResponse>> mResult;
};

} // namespace balsammount
