// Runs requests with an idempotency key at most once. Forwards them to the owner of the key's
// shard; the owner records the key, dispatches the request and responds to duplicates.
#pragma once

#include "call_handler.h"
#include "executor.h"
#include "peers.h"

#include "balsammount/kernel.h"
#include "balsammount/ownership.h"
#include "balsammount/store.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <unordered_map>

namespace balsammount {

// Returns the result of a call that repeats one whose response was recorded, perhaps by another
// node. The outcome is unknown if the record is no valid response.
CallResult ReplayedCallResult(const RecordedResponse& aRecorded, RequestBudget aBudget);

class OwnershipService final
  : public Service
  , public CallHandler
{
public:
  OwnershipService(boost::asio::io_context& aContext, const Clock& aClock, Random& aRandom,
                   Store& aStore, Peers& aPeers, Executor& aExecutor, const std::string& aService,
                   NodeIdentity aSelf);

  Result<void> Start() override;
  void Stop() override;

  // Handles a call with an idempotency key to the service of this node.
  std::shared_ptr<Call> Handle(CallContext aContext, HttpRequest aRequest, RequestBudget aBudget,
                               CallResultCallback aCallback) override;

  // Sets the nodes of this service, including this one.
  void SetMembers(std::vector<OwnershipMember> aMembers);

  // Handles an ownership protocol message from another node. Returns false if it is malformed.
  bool OnMessage(std::string_view aBytes);

  // Starts to hand over all shards to other nodes.
  void Drain();
  bool Drained() const { return mCore.Drained(); }

  // Number of shards in which this node may dispatch requests now.
  size_t OwnedShards() const;

  const OwnershipCore& Core() const { return mCore; }
  const KeyMemory& Memory() const { return mMemory; }

private:
  class KeyedCall;
  struct Running;

  std::shared_ptr<Call> HandleAsOwner(CallContext aContext, HttpRequest aRequest,
                                      RequestBudget aBudget, CallResultCallback aCallback);
  std::shared_ptr<Call> Join(const KeyRequest& aRequest, KeyMemory::WaiterId aWaiter,
                             RequestBudget aBudget, CallResultCallback aCallback);
  void Run(CallContext aContext, HttpRequest aRequest, RequestBudget aBudget,
           CallResultCallback aCallback, const KeyRequest& aKey);
  void OnResult(const KeyRequest& aKey, const std::shared_ptr<Running>& aRunning,
                CallResult aCallResult);
  void ResolveWaiters(const Result<std::vector<KeyMemory::WaiterId>>& aWaiters,
                      const CallResult& aCallResult);
  void PerformActions();
  void Send(const SendMessage& aAction);
  void Read(const ReadTable& aAction);
  void Propose(const ProposeTable& aAction);
  void ArmTimer();

  const Clock& mClock;
  Store& mStore;
  Peers& mPeers;
  Executor& mExecutor;
  std::string mService;
  std::string mStoreKey;
  NodeIdentity mSelf;
  KeyMemory mMemory;
  OwnershipCore mCore;
  boost::asio::steady_timer mTimer;
  struct Waiter
  {
    CallResultCallback mCallback;
    std::shared_ptr<RequestBudget> mBudget;
  };
  std::unordered_map<KeyMemory::WaiterId, Waiter> mWaiters;
  KeyMemory::WaiterId mNextWaiter = 1;
  bool mStopped = false;
};

} // namespace balsammount
