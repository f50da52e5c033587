// A process of the cluster and what it listens on.
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
  uint16_t mPort;           // of the stand-in's or the node's control listener
  uint16_t mCallerPort = 0; // of a node
  uint16_t mEgressPort = 0; // of a node
  uint16_t mPeerPort = 0;   // of a node
  ChildProcess mProcess;
  bool mShouldRun = true; // it ends by itself when it should not
  size_t mUnexpectedExits = 0;
};

struct Cluster::PendingCall
{
  CallSpec mSpec;
  std::unique_ptr<HttpClient> mClient; // one connection each, so that none is stale
  std::shared_ptr<Call> mCall;
  std::optional<Result<HttpResponse>> mResult;
};

} // namespace balsammount
