// Publishes the record of this node in the store and watches the records of the other nodes there.
#pragma once

#include "config_fetcher.h"
#include "config_service.h"
#include "fleet.h"
#include "peers.h"
#include "upstreams.h"

#include "balsammount/backoff.h"
#include "balsammount/directory.h"
#include "balsammount/freshness_tree.h"
#include "balsammount/kernel.h"
#include "balsammount/node_settings.h"
#include "balsammount/server_lifecycle.h"
#include "balsammount/store.h"

#include <boost/asio/steady_timer.hpp>

namespace balsammount {

// Path for exchanging records between nodes. GET returns all known records. POST sends the record
// of the sender and the one that it has of the receiver, which may have restarted in the meantime.
// Both responses start with the record of the responding node and carry its view of the store.
inline const std::string kNodesTarget = "/balsammount/nodes";
// Path for asking a node for its view of the store. The request states the configuration that the
// asking node has, and its id, so that a node with an older one learns where to fetch it. The
// response has no body.
inline const std::string kViewTarget = "/balsammount/view";
inline const std::string kNodeIdHeader = "bm-node";

// The components that are updated when nodes of the fleet change.
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

  // Updates the state of the backend server in the record of this node. aAvailable is true if the
  // server accepts connections.
  void SetServer(const ServerLifecycle& aLifecycle, bool aAvailable);
  // Publishes that this node is leaving. Cannot be undone.
  void SetLeaving();
  // Calls aDone when the current record of this node is in the store, or after half a second.
  void WhenPublished(std::function<void()> aDone);
  // Removes the record of this node from the store. Cannot be undone.
  void Withdraw();
  // The callback receives the record of an earlier process of this node, when it has been read from
  // the store or received from another node.
  void SetPreviousRecordCallback(std::function<void(const NodeRecord&)> aCallback);
  // Whether the last call to the store succeeded.
  bool StoreReachable() const { return mStoreReachable; }
  bool HasNodeList() const { return mHasNodeList; }
  // Whether this node has the list, and has compared its configuration with that of other nodes or
  // waited long enough for them.
  bool HasComparedConfig() const;
  // Returns the longest time since the last call by which the event loop has run a timer too late.
  Duration TakeLongestDelay();

  HttpResponse HandlePeer(const HttpRequest& aRequest);
  // What this node has seen of the store, for the response to a request that arrived at aArrived.
  StoreView View(SteadyTime aArrived) const;
  // Asks the node above this one in the tree of ConfigFreshness for its view.
  void AskForView();
  // Responds to a question of another node for the age of the configuration. If that node has a
  // newer one, it is fetched from there.
  HttpResponse HandleQuestion(const HttpRequest& aRequest);
  // Handles the view in the response of another node to a request that was sent at aSentAt.
  void OnPeerView(const std::string& aNodeId, const StoreView& aView, SteadyTime aSentAt);
  // Handles a revision of the store, or of the last change of the list, that is known from
  // elsewhere. If the watch has not reported all changes up to it in time, the store is asked for
  // them.
  void OnStoreRevision(Revision aRevision);
  // The store has returned from an older copy. Reads the list again: the watch may have missed
  // changes, and the record of this node may be lost.
  void OnStoreWentBack();

  std::vector<FleetNode> Fleet() const;
  std::vector<NodeRecord> Nodes() const { return mDirectory.Nodes(); }

private:
  void ReadList(Freshness aFreshness);
  void ReadListLater(Duration aDelay);
  void ReadListAgain();
  void OnList(const StoreResult<StoreRange>& aResult);
  void OnListFailed(const StoreFailure& aFailure);
  void CheckOwnEntry(const std::optional<StoreEntry>& aEntry);
  void OnEvent(const WatchEvent& aEvent);
  std::optional<NodeRecord> DecodeEntry(const std::string& aKey, std::string_view aValue);
  bool IsOwnEntry(std::string_view aValue) const;
  void Supersede(std::string_view aForeignEntry);
  void ApplyChanges();
  void ApplyChange(const DirectoryChange& aChange);
  void OnOwnRecordChanged();

  void Publish();
  void OnPublished(uint64_t aSequence, const StoreResult<Revision>& aResult);
  void OnPublicationFailed(const StoreFailure& aFailure);
  void OnConflict(const std::optional<StoreEntry>& aCurrent);
  bool IsPublished() const { return mHasNodeList && mPublishedSequence == mOwnRecord.mSequence; }
  void RunWaiters();
  void GrantLease();
  void OnLeaseGranted(const StoreResult<StoreLease>& aResult);
  void RenewLeaseLater(Duration aInterval);
  void RenewLease();
  void OnLeaseRenewed(LeaseId aLease, const StoreResult<std::chrono::seconds>& aResult);
  void PublishLater(Duration aDelay);
  void SetStoreReachable(bool aReachable, const char* aCall, const std::string& aDetail);

  void ScheduleTick();
  void MeasureDelay(Duration aDelay);
  void Tick();
  void ConfirmNode(const NodeRecord& aRecord);
  void PullFromRandomNode();
  void PushIfUsedDifferently();
  void PushToNodes();
  void ExchangeRecords(const std::string& aNodeId, bool aPush);
  void OnRecordsExchanged(const std::string& aNodeId, SteadyTime aSentAt,
                          const Result<HttpResponse>& aResult);
  void OnSilent(const std::string& aNodeId);
  // Asks a node for its view. aOnEnd receives the id of the node and whether it has answered.
  void Ask(const std::string& aNodeId, std::function<void(const std::string&, bool)> aOnEnd);
  void AskAtStart();
  void UpdateTreePosition();
  std::string OwnKey() const { return mPrefix + mOwnRecord.mNodeId; }

  const Clock& mClock;
  Random& mRandom;
  Store& mStore;
  std::string mPrefix;
  DirectoryDependencies mDependencies;
  Directory mDirectory;
  NodeRecord mOwnRecord;
  NodeRecord mPushedRecord; // the last one that other nodes know from this node or from the list
  std::function<void(const NodeRecord&)> mOnPreviousRecord = [](const NodeRecord&) {};

  boost::asio::steady_timer mListTimer;
  boost::asio::steady_timer mPublishTimer; // the first publication, and retries of a failed one
  boost::asio::steady_timer mRenewTimer;
  boost::asio::steady_timer mTickTimer;
  boost::asio::steady_timer mPublishWaiterTimer;
  std::vector<std::function<void()>> mPublishWaiters;
  std::unique_ptr<StoreWatch> mWatch;
  bool mReadingList = false; // until a read succeeds; the record is not written meanwhile
  // Whether the read that is under way may have been answered before the store returned from a
  // copy.
  bool mReadSuperseded = false;
  uint64_t mStoreEpoch = 0;       // increases when the store may have returned from a copy
  Revision mListRevision = 0;     // all changes of the list up to this one have been reported
  Revision mLastListChange = 0;   // the last change of the list that has been reported
  Revision mExpectedRevision = 0; // up to which the changes are to be reported until mListCheckDue
  std::optional<SteadyTime> mListCheckDue;
  LeaseId mLease = kNoLease;
  Revision mOwnRevision = kAbsent;            // last known mod revision of this node's key
  std::optional<uint64_t> mPublishedSequence; // of the record that is known to be in the store
  Backoff mBackoff;                           // for reading the list
  Backoff mReadAgainBackoff;                  // for reading it again after the watch has ended
  SteadyTime mReadAgainAt{};                  // the last time
  SteadyTime mNextPull{};
  bool mHasNodeList = false;
  bool mPublishing = false;
  bool mLeaving = false;
  bool mWithdrawn = false;
  bool mStoreReachable = true;
  bool mStopped = false;
  Duration mLongestDelay{ 0 };
  TreePosition mTreePosition;         // for the age of the configuration
  std::set<std::string> mSilentNodes; // gave no answer to a question
  SteadyTime mSilentSince{};          // when the first of them gave none
  size_t mStartQuestions = 0;         // to other nodes at the start, without an answer so far
  SteadyTime mStartedAsking{};
  ConfigFetcher mConfigFetcher;

  struct Incarnation
  {
    std::string mServerId;
    uint64_t mServerStarted = 0;
    uint64_t mNumber = 0;
  };
  std::map<std::string, Incarnation> mIncarnations; // by node id
};

} // namespace balsammount
