// Keeps this node's record in the store, and follows the records of the others there.
#pragma once

#include "config_service.h"
#include "fleet.h"
#include "peers.h"
#include "upstreams.h"

#include "balsammount/backoff.h"
#include "balsammount/directory.h"
#include "balsammount/kernel.h"
#include "balsammount/node_settings.h"
#include "balsammount/server_lifecycle.h"
#include "balsammount/store.h"

#include <boost/asio/steady_timer.hpp>

namespace balsammount {

// Requests between nodes about records: GET of kNodesTarget answers all known records, POST tells
// the sender's own and what it knows of the receiver, which may have started again since. Both
// answer with this node's record first, and its configuration revision.
inline const std::string kNodesTarget = "/balsammount/nodes";

// The parts that follow the nodes of the fleet.
struct DirectoryDependencies
{
  Upstreams& mUpstreams;
  Peers& mPeers;
  ConfigService& mConfig;
  std::function<void(size_t)> mOnFleetSize;
};

class DirectoryService final : public Service
{
public:
  DirectoryService(boost::asio::io_context& aContext, const Clock& aClock, Random& aRandom,
                   Store& aStore, const NodeSettings& aSettings, std::string aPrefix,
                   uint64_t aStarted, DirectoryDependencies aDependencies);

  Result<void> Start() override;
  void Stop() override;

  // What this node tells of its backend server. aAvailable: it takes connections.
  void SetServer(const ServerLifecycle& aLifecycle, bool aAvailable);
  // Final for this process.
  void SetLeaving();
  // Calls back once the own record, as it is now, is in the store, or after half a second.
  void WhenPublished(std::function<void()> aDone);
  // Removes the own record from the store. Final for this process.
  void Withdraw();
  // The record that an earlier process of this node has left in the store, once it has been read.
  void SetPreviousRecordCallback(std::function<void(const NodeRecord&)> aCallback);
  // Whether the store answered this node's last call.
  bool StoreReachable() const { return mStoreReachable; }
  bool HasNodeList() const { return mHasNodeList; }

  HttpResponse HandlePeer(const HttpRequest& aRequest);
  // A peer has announced this configuration revision with an answer.
  void OnPeerRevision(const std::string& aNodeId, uint64_t aRevision);

  std::vector<FleetNode> Fleet() const;
  std::vector<NodeRecord> Nodes() const { return mDirectory.Nodes(); }

private:
  void ReadList(Freshness aFreshness);
  void OnList(const StoreResult<StoreRange>& aResult);
  void OnEvent(const WatchEvent& aEvent);
  void ApplyChanges();
  void ApplyChange(const DirectoryChange& aChange);
  void OnOwnRecordChanged();

  void Publish();
  void OnPublished(uint64_t aSequence, const StoreResult<Revision>& aResult);
  bool IsPublished() const { return mHasNodeList && mPublishedSequence == mOwnRecord.mSequence; }
  void RunWaiters();
  void GrantLease();
  void RenewLease();
  void SetStoreReachable(bool aReachable, const char* aCall, const std::string& aDetail);

  void ScheduleTick();
  void Tick();
  void ConfirmNode(const NodeRecord& aRecord);
  void PullFromRandomNode();
  void PushToNodes();
  void ExchangeRecords(const std::string& aNodeId, bool aPush);
  void OnRecordsExchanged(const std::string& aNodeId, const Result<HttpResponse>& aResult);
  void FetchConfig(const std::string& aNodeId);
  std::string OwnKey() const { return mPrefix + mOwnRecord.mNodeId; }

  const Clock& mClock;
  Random& mRandom;
  Store& mStore;
  std::string mPrefix;
  DirectoryDependencies mDependencies;
  Directory mDirectory;
  NodeRecord mOwnRecord;
  std::function<void(const NodeRecord&)> mOnPreviousRecord = [](const NodeRecord&) {};

  boost::asio::steady_timer mListTimer;
  boost::asio::steady_timer mLeaseTimer;
  boost::asio::steady_timer mTickTimer;
  boost::asio::steady_timer mPublishWaiterTimer;
  std::vector<std::function<void()>> mPublishWaiters;
  std::unique_ptr<StoreWatch> mWatch;
  LeaseId mLease = kNoLease;
  Revision mOwnRevision = kAbsent; // mod revision of the own key, as far as known
  uint64_t mPublishedSequence = 0;
  Backoff mBackoff; // of reading the list
  SteadyTime mNextPull{};
  bool mHasNodeList = false;
  bool mPublishing = false;
  bool mLeaving = false;
  bool mStoreReachable = true;
  bool mStopped = false;
  std::shared_ptr<Call> mFetch; // configuration on its way from a peer

  struct Incarnation
  {
    std::string mServerId;
    uint64_t mServerStarted = 0;
    uint64_t mNumber = 0;
  };
  std::map<std::string, Incarnation> mIncarnations; // by node
};

} // namespace balsammount
