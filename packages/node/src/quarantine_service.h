// Quarantines requests that crash backend servers, and exchanges the evidence with other nodes.
#pragma once

#include "executor.h"
#include "fleet.h"
#include "peers.h"

#include "balsammount/kernel.h"
#include "balsammount/quarantine.h"

#include <boost/asio/steady_timer.hpp>

namespace balsammount {

class QuarantineService final
  : public Service
  , public DispatchObserver
{
public:
  QuarantineService(boost::asio::io_context& aContext, const Clock& aClock, Random& aRandom,
                    Peers& aPeers, const NodeSettings& aSettings);

  Result<void> Start() override;
  void Stop() override;

  // Sets the source of the nodes to exchange evidence with.
  void SetFleet(FleetView aFleet) { mFleet = std::move(aFleet); }

  bool IsQuarantined(uint64_t aFingerprint) const;
  Duration RetryAfter(uint64_t aFingerprint) const;
  void Release(uint64_t aFingerprint);
  std::vector<SuspectView> List() const { return mCore.List(); }

  // Merges evidence from another node. Returns false if it is malformed.
  bool OnMessage(std::string_view aBytes);
  // Returns all evidence, for a node that has just started.
  std::string EncodeAll() const;

  void OnDispatch(uint64_t aJob, uint64_t aFingerprint) override;
  void OnEnd(uint64_t aJob, bool aCompleted) override;
  void OnServerCrash() override;

private:
  void Gossip();
  void SendTo(const std::string& aNodeId, const std::string& aBytes);
  void FetchAll(const std::string& aNodeId);
  std::vector<std::string> RandomNodes(size_t aCount);

  Random& mRandom;
  Peers& mPeers;
  std::string mSelf;
  std::string mService;
  Quarantine mCore;
  FleetView mFleet = [] { return std::vector<FleetNode>(); };
  boost::asio::steady_timer mTimer;
  bool mFetched = false;
};

} // namespace balsammount
