#include "balsammount/node.h"

#include "admin.h"
#include "config_service.h"
#include "directory_service.h"
#include "drain_progress.h"
#include "executor.h"
#include "forwarder.h"
#include "gateway.h"
#include "local_call_handler.h"
#include "membership_service.h"
#include "metrics.h"
#include "ownership_service.h"
#include "peer_handler.h"
#include "peers.h"
#include "quarantine_service.h"
#include "upstreams.h"

#include "balsammount/endpoint.h"
#include "balsammount/etcd_store.h"
#include "balsammount/event.h"
#include "balsammount/http_server.h"
#include "balsammount/log.h"
#include "balsammount/peer_server.h"
#include "balsammount/unhandled.h"

#include <optional>
#include <random>
#include <sys/resource.h>

namespace balsammount {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto kDrainCheckInterval = 20ms;
// A draining node accepts keyed requests for shards that it has not handed over yet, but no longer
// than this, so that a leaving backend server gets no new work after a few seconds.
constexpr auto kMaxHandoverTime = 3000ms;
// After the caller listener has stopped, the node stays up until it has been idle for this long, so
// that requests already on their way are served and the last responses are written.
constexpr auto kQuietPeriod = 100ms;

// Descriptors that are not accounted for: files, the listeners, timers, the connections to the
// store and those that probe the backend server.
constexpr size_t kOtherDescriptors = 100;

// The operating system may allow fewer descriptors than the settings.
size_t MaxSockets(size_t aSetting)
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return aSetting;
  }
  const auto available = static_cast<size_t>(limit.rlim_cur);
  return std::min(aSetting, available - std::min(available / 2, kOtherDescriptors));
}

HttpServerLimits ListenerLimits(const CallerLimits& aLimits,
                                std::shared_ptr<ResourceBudget> aBudget)
{
  HttpServerLimits limits;
  limits.mBudget = std::move(aBudget);
  limits.mMaxHeaderBytes = aLimits.mMaxHeaderBytes;
  limits.mMaxBodyBytes = std::min<uint64_t>(aLimits.mMaxBodyBytes, kMaxBodyBytes);
  limits.mHeaderTimeout = aLimits.mHeaderTimeout;
  limits.mIdleTimeout = aLimits.mIdleTimeout;
  return limits;
}

EtcdStoreSettings StoreSettings(const NodeSettings& aSettings, Random& aRandom)
{
  EtcdStoreSettings settings;
  settings.mEndpoints = aSettings.mStore;
  settings.mSeed = aRandom.Next();
  return settings;
}

std::unique_ptr<Store> MakeStore(asio::io_context& aContext, const DeploymentOptions& aDeployment,
                                 const NodeSettings& aSettings, Random& aRandom)
{
  return aDeployment.mMakeStore
           ? aDeployment.mMakeStore(aContext, aRandom)
           : std::make_unique<EtcdStore>(aContext, StoreSettings(aSettings, aRandom));
}

} // namespace

struct Node::Impl
{
  Impl(asio::io_context& aContext, NodeSettings aSettings, DeploymentOptions aDeployment)
    : mContext(aContext)
    , mSettings(std::move(aSettings))
    , mDeployment(std::move(aDeployment))
    , mRandom(std::random_device()() ^ (static_cast<uint64_t>(std::random_device()()) << 32))
    , mStore(MakeStore(aContext, mDeployment, mSettings, mRandom))
    , mPeers(aContext, mDeployment.mHeaderNames, mBudget)
    , mUpstreams(mClock, mRandom, mSettings.mNodeId, mSettings.mDataCentre)
    , mConfig(std::make_shared<ConfigService>(aContext, mClock, *mStore, mDeployment))
    , mExecutor(std::make_shared<Executor>(aContext, mClock, mSettings, mOverload,
                                           mDeployment.mHeaderNames, mDeployment.mServerPresence,
                                           mBudget))
    , mOwnership(MakeOwnership())
    , mQuarantine(std::make_shared<QuarantineService>(aContext, mClock, mRandom, mPeers, mSettings))
    , mLocal(mSettings, *mExecutor, mOwnership.get(), *mQuarantine)
    , mForwarder(mClock, mSettings, mUpstreams, mPeers, mLocal, mMetrics)
    , mMembership(MakeMembership())
    , mDirectory(MakeDirectory())
    , mGateway(std::make_shared<Gateway>(mClock, mRandom, mSettings, mOverload,
                                         mDeployment.mHeaderNames, *mExecutor, mForwarder,
                                         mMetrics))
    , mPeerHandler(mClock, mLocal, *mConfig, mOwnership.get(), *mQuarantine, mDirectory.get(),
                   mDeployment.mHeaderNames)
    , mDrainTimer(aContext)
    , mServerLifecycle(mSettings.mService, ToText(mSettings.mBackend))
  {
  }

  // Services that only one kind of discovery needs; null with the other.
  std::shared_ptr<OwnershipService> MakeOwnership();
  std::shared_ptr<MembershipService> MakeMembership();
  std::shared_ptr<DirectoryService> MakeDirectory();

  Result<void> RegisterServices();
  void ConnectComponents();
  void AddGauges();
  void HandleEgress(const std::shared_ptr<Exchange>& aExchange);
  void PublishAvailability();
  void OnServerChanged();
  void CompleteAnnouncement(std::function<void()> aDone);
  bool IsReady() const;
  void CheckDrained();

  asio::io_context& mContext;
  NodeSettings mSettings;
  DeploymentOptions mDeployment;
  SystemClock mClock;
  // Start of this process in ms of the wall clock. It distinguishes the records of this process
  // from those of earlier processes of the same node.
  uint64_t mStarted = MillisecondsSinceEpoch(mClock.WallNow());
  Random mRandom;
  Metrics mMetrics;
  std::shared_ptr<ResourceBudget> mBudget = std::make_shared<ResourceBudget>(
    ResourceLimits{ mSettings.mMaxHeldBytes, MaxSockets(mSettings.mMaxSockets) }, mClock);
  RecentOverload mOverload{ mClock };
  std::unique_ptr<Store> mStore;
  Peers mPeers;
  Upstreams mUpstreams;
  std::shared_ptr<ConfigService> mConfig;
  std::shared_ptr<Executor> mExecutor;
  std::shared_ptr<OwnershipService> mOwnership;
  std::shared_ptr<QuarantineService> mQuarantine;
  LocalCallHandler mLocal;
  Forwarder mForwarder;
  std::shared_ptr<MembershipService> mMembership;
  std::shared_ptr<DirectoryService> mDirectory;
  std::shared_ptr<Gateway> mGateway;
  PeerHandler mPeerHandler;
  Kernel mKernel;
  asio::steady_timer mDrainTimer;
  std::shared_ptr<HttpServer> mCallerListener;
  std::function<void()> mOnDrained;
  std::function<void()> mOnDrainRequest = [] {};
  SteadyTime mDrainStarted{};
  std::optional<SteadyTime> mListenerStopped;
  bool mNotifiedPeers = false; // told the other nodes that this node is leaving
  DrainProgress mDrainProgress{ kQuietPeriod };
  ServerLifecycle mServerLifecycle;
  bool mBackendLeaving = false;
};

std::shared_ptr<OwnershipService> Node::Impl::MakeOwnership()
{
  if (mDeployment.mDiscovery == Discovery::Store) {
    return nullptr;
  }
  return std::make_shared<OwnershipService>(mContext, mClock, mRandom, *mStore, mPeers, *mExecutor,
                                            mSettings.mService,
                                            NodeIdentity{ mSettings.mNodeId, mStarted });
}

std::shared_ptr<MembershipService> Node::Impl::MakeMembership()
{
  if (mDeployment.mDiscovery == Discovery::Store) {
    return nullptr;
  }
  return std::make_shared<MembershipService>(
    mContext, mClock, mRandom, *mStore, mSettings, mStarted,
    MembershipDependencies{ mUpstreams, mPeers, *mOwnership, *mConfig });
}

std::shared_ptr<DirectoryService> Node::Impl::MakeDirectory()
{
  if (mDeployment.mDiscovery != Discovery::Store) {
    return nullptr;
  }
  return std::make_shared<DirectoryService>(
    mContext, mClock, mRandom, *mStore, mSettings, mDeployment.mNodesPrefix, mStarted,
    DirectoryDependencies{ mUpstreams, mPeers, *mConfig,
                           [this](size_t aNodes) { mForwarder.SetFleetSize(aNodes); } });
}

Result<void> Node::Impl::RegisterServices()
{
  const auto gateway = mGateway;
  const auto admin = std::make_shared<Admin>(
    AdminDependencies{ mSettings, mClock, *mConfig, *mExecutor, mUpstreams, *mGateway, mMetrics,
                       mMembership.get(), mOwnership.get(), mDirectory.get(), *mQuarantine,
                       [this] { mOnDrainRequest(); }, [this] { return IsReady(); } });
  const auto listener = [this](const boost::asio::ip::tcp::endpoint& aEndpoint,
                               ExchangeHandler aHandler) {
    HttpServerLimits limits;
    limits.mBudget = mBudget;
    return std::make_shared<HttpServer>(mContext, aEndpoint, limits, std::move(aHandler));
  };
  mCallerListener =
    listener(mSettings.mCallerListen, [gateway](const std::shared_ptr<Exchange>& aExchange) {
      gateway->HandleCaller(aExchange);
    });
  const auto handleAdmin = [admin](const std::shared_ptr<Exchange>& aExchange) {
    admin->Handle(aExchange);
  };
  std::vector<std::pair<std::string, std::shared_ptr<Service>>> services = {
    { "config", mConfig },
    { "executor", mExecutor },
    { "quarantine", mQuarantine },
    { "gateway", mGateway },
    { "admin", admin },
    { "peer-listener",
      std::make_shared<PeerServer>(
        mContext, mSettings.mPeerListen, PeerServerLimits{ .mBudget = mBudget },
        [this](const std::shared_ptr<Exchange>& aExchange) { mPeerHandler.Handle(aExchange); }) },
    { "caller-listener", mCallerListener },
    { "admin-listener", listener(mSettings.mAdminListen, handleAdmin) },
  };
  if (mDirectory) {
    services.emplace_back("directory", mDirectory);
  } else {
    services.emplace_back("ownership", mOwnership);
    services.emplace_back("members", mMembership);
  }
  if (mSettings.mEgressListen.port() != 0) {
    services.emplace_back(
      "egress-listener",
      listener(mSettings.mEgressListen,
               [this](const std::shared_ptr<Exchange>& aExchange) { HandleEgress(aExchange); }));
  }
  if (mSettings.mReadyListen.port() != 0) {
    services.emplace_back("ready-listener", listener(mSettings.mReadyListen, handleAdmin));
  }
  for (const auto& [name, service] : services) {
    if (auto result = mKernel.Register(name, service); !result) {
      return result;
    }
  }
  return {};
}

void Node::Impl::ConnectComponents()
{
  mConfig->AddListener([this](const std::shared_ptr<const Config>& aConfig) {
    mUpstreams.ApplyConfig(*aConfig);
    mForwarder.ApplyConfig(aConfig);
    mExecutor->ApplyConfig(aConfig);
    mGateway->ApplyConfig(aConfig, mConfig->Holder().Revision());
    if (!aConfig->Routes().empty()) {
      mCallerListener->SetLimits(ListenerLimits(aConfig->Limits(), mBudget));
    }
    if (mMembership) {
      mMembership->SetRevision(mConfig->Holder().Revision());
    }
  });
  mExecutor->SetAvailabilityCallback([this](bool) { PublishAvailability(); });
  mExecutor->SetServerLoadHeader(mDeployment.mServerLoadHeader, mDeployment.mDecodeServerLoad);
  mExecutor->SetObserver(mQuarantine.get());
  if (mDirectory) {
    mQuarantine->SetFleet([this] { return mDirectory->Fleet(); });
    mPeers.SetStoreViewCallback(
      [this](const std::string& aNodeId, const StoreView& aView, SteadyTime aSentAt) {
        mDirectory->OnPeerView(aNodeId, aView, aSentAt);
      });
    mConfig->SetStoreRevisionCallback(
      [this](Revision aRevision) { mDirectory->OnStoreRevision(aRevision); });
    mConfig->SetStoreWentBackCallback([this] { mDirectory->OnStoreWentBack(); });
    mConfig->SetQuestion([this] { mDirectory->AskForView(); });
    mGateway->SetConfigCheck(*mConfig);
    mDirectory->SetPreviousRecordCallback([this](const NodeRecord& aRecord) {
      if (aRecord.mServerLeft) {
        mServerLifecycle.RestoreDeparture(aRecord.mServerId, aRecord.mServerStarted);
        OnServerChanged();
      }
    });
  } else {
    mQuarantine->SetFleet([this] {
      std::vector<FleetNode> fleet;
      for (const MemberRecord& record : mMembership->Core().Members()) {
        fleet.push_back({ record.mId, record.mService });
      }
      return fleet;
    });
  }
  mForwarder.SetShedLevelCallback(
    [this](uint32_t aLevel) { mExecutor->ReportDownstreamLevel(aLevel); });
}

void Node::Impl::PublishAvailability()
{
  if (mMembership) {
    mMembership->SetAvailable(mExecutor->Available() && !mBackendLeaving);
  } else {
    mDirectory->SetServer(mServerLifecycle, mExecutor->Available());
  }
}

void Node::Impl::OnServerChanged()
{
  mExecutor->SetServer(mServerLifecycle);
  PublishAvailability();
}

void Node::Impl::CompleteAnnouncement(std::function<void()> aDone)
{
  const auto& server = mServerLifecycle.Current();
  const bool hasDeparted = server ? server->mLeaving : mServerLifecycle.Departed() != nullptr;
  if (mDirectory && hasDeparted) {
    mDirectory->WhenPublished(std::move(aDone));
  } else {
    aDone();
  }
}

bool Node::Impl::IsReady() const
{
  return !mOnDrained && mConfig->Holder().Current() &&
         (!mDirectory || mDirectory->HasComparedConfig());
}

void Node::Impl::AddGauges()
{
  const auto add = [this](const char* aName, const char* aHelp, std::function<double()> aRead) {
    mMetrics.AddGauge(std::string("balsammount_") + aName, aHelp, std::move(aRead));
  };
  add("concurrency_limit", "Requests that may run on the backend server at the same time.",
      [this] { return mExecutor->Admission().Limit(); });
  add("requests_in_flight", "Requests on the backend server.",
      [this] { return mExecutor->Admission().InFlight(); });
  add("requests_queued", "Requests that wait for the backend server.",
      [this] { return mExecutor->Admission().QueueLength(); });
  add("shed_level", "Position on the scale of ranks and cohorts below which entries refuse.",
      [this] { return mExecutor->Admission().ShedLevel(); });
  add("malformed_server_loads",
      "Statements of the backend server about its load that are malformed.",
      [this] { return static_cast<double>(mExecutor->MalformedServerLoads()); });
  add("foreign_responses",
      "Responses of the backend server in place of the response to another request.",
      [this] { return static_cast<double>(mExecutor->ForeignResponses()); });
  add("held_bytes", "Bytes that are held for callers, other nodes and the backend server.",
      [this] { return static_cast<double>(mBudget->UsedBytes()); });
  add("held_sockets", "Sockets that are held for callers, other nodes and the backend server.",
      [this] { return static_cast<double>(mBudget->UsedSockets()); });
  add("yields", "Connections and requests that ended for want of memory or sockets.",
      [this] { return static_cast<double>(mBudget->Yields()); });
  add("unhandled_exceptions", "Exceptions that ended the work of a handler since the start.",
      [] { return static_cast<double>(UnhandledExceptions()); });
  add("members", "Nodes that are not dead, this one included.", [this] {
    return static_cast<double>(mMembership ? mMembership->Core().Count()
                                           : mDirectory->Nodes().size() + 1);
  });
  add("config_revision", "Configuration revision in force.",
      [this] { return static_cast<double>(mConfig->Holder().Revision()); });
  add("config_age_seconds", "Time since the configuration in force was applied.",
      [this] { return std::chrono::duration<double>(mConfig->Age()).count(); });
  if (!mOwnership) {
    add("config_verified_seconds",
        "Time since the configuration in force was known to be the newest in the store.", [this] {
          const auto age = mConfig->VerifiedAge();
          return age ? std::chrono::duration<double>(*age).count() : -1.0;
        });
    add("config_late_verifications",
        "Verifications that came later than the convergence time after the one before.",
        [this] { return static_cast<double>(mConfig->LateVerifications()); });
    add(
      "config_waited_requests",
      "Requests that waited for a check of the configuration that this node had not made in time.",
      [this] { return static_cast<double>(mConfig->WaitedRequests()); });
    add("store_returns", "How often the store was found to have returned from an older copy.",
        [this] { return static_cast<double>(mConfig->StoreReturns()); });
    add("config_store_differs",
        "Whether the store was last read with another configuration than the one in force.",
        [this] { return mConfig->StoreDiffers() ? 1.0 : 0.0; });
    add("longest_timer_delay_seconds",
        "Longest time since the last scrape by which the event loop has run a timer too late.",
        [this] { return std::chrono::duration<double>(mDirectory->TakeLongestDelay()).count(); });
    add("store_reachable", "Whether the store answers this node.",
        [this] { return mDirectory->StoreReachable() ? 1.0 : 0.0; });
    return;
  }
  add("owned_shards", "Shards of idempotency keys in which this node may dispatch.",
      [this] { return static_cast<double>(mOwnership->OwnedShards()); });
  add("key_records", "Recorded idempotency keys.",
      [this] { return static_cast<double>(mOwnership->Memory().Records()); });
}

// A POST to one of two paths announces that the backend server is leaving or ready again. Every
// other request on this listener is a call to another service.
void Node::Impl::HandleEgress(const std::shared_ptr<Exchange>& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  const bool leaving = request.mTarget == "/balsammount/backend/leaving";
  if (!leaving && request.mTarget != "/balsammount/backend/ready") {
    mGateway->HandleEgress(aExchange);
    return;
  }
  HttpResponse response;
  response.mStatus = request.mMethod == "POST" ? 204 : 405;
  if (response.mStatus == 204 && !mOnDrained) {
    Log("backend").info("backend server announced that it is {}", leaving ? "leaving" : "ready");
    mBackendLeaving = leaving;
    mExecutor->SetServerLeaving(leaving);
    PublishAvailability();
  }
  aExchange->Respond(std::move(response));
}

void Node::Impl::CheckDrained()
{
  const Duration elapsed = mClock.Now() - mDrainStarted;
  const DrainDelay drainDelay{ mDeployment.mDrainDelay, mDeployment.mPeerDrainDelay };
  if (mDirectory && drainDelay.IsPeerPart(elapsed) && !std::exchange(mNotifiedPeers, true)) {
    mDirectory->SetLeaving();
    mExecutor->SetLeaving();
  }
  const bool drainDelayOver = drainDelay.IsOver(elapsed);
  const bool handedOver =
    mOwnership ? mOwnership->Drained() || elapsed >= kMaxHandoverTime : drainDelayOver;
  if (handedOver) {
    mExecutor->SetDraining(true);
  }
  const bool idle =
    mExecutor->Pending() == 0 && mGateway->Pending() == 0 && (!mOwnership || mOwnership->Drained());
  if (drainDelayOver && !mListenerStopped) {
    // Connections of callers close after their next response, before the process exits.
    mCallerListener->Stop();
    mGateway->RefuseNewRequests();
    mListenerStopped = mClock.Now();
    if (mDirectory) {
      mDirectory->Withdraw();
    }
  }
  const bool expired = elapsed >= std::chrono::seconds(mSettings.mDrainSeconds);
  const bool complete = mDrainProgress.IsComplete(mClock.Now(), mListenerStopped.has_value(), idle);
  if (complete || expired) {
    Log("node").info("drained after {} ms; {} requests are still in flight",
                     std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count(),
                     mExecutor->Pending() + mGateway->Pending());
    mOnDrained();
    return;
  }
  mDrainTimer.expires_after(kDrainCheckInterval);
  mDrainTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      CheckDrained();
    }
  });
}

Node::Node(asio::io_context& aContext, NodeSettings aSettings, DeploymentOptions aDeployment)
  : mImpl(std::make_unique<Impl>(aContext, std::move(aSettings), std::move(aDeployment)))
{
}

Node::~Node() = default;

Result<void> Node::Start()
{
  mImpl->ConnectComponents();
  mImpl->AddGauges();
  if (auto result = mImpl->RegisterServices(); !result) {
    return result;
  }
  return mImpl->mKernel.StartAll();
}

void Node::SetDrainRequestCallback(std::function<void()> aCallback)
{
  mImpl->mOnDrainRequest = std::move(aCallback);
}

void Node::Drain(std::function<void()> aDone)
{
  if (mImpl->mOnDrained) {
    return;
  }
  Log("node").info("draining");
  mImpl->mOnDrained = std::move(aDone);
  mImpl->mDrainStarted = mImpl->mClock.Now();
  if (mImpl->mMembership) {
    mImpl->mMembership->SetLeaving();
    mImpl->mOwnership->Drain();
    mImpl->mExecutor->SetLeaving();
  } else {
    mImpl->mCallerListener->CloseConnections();
  }
  mImpl->CheckDrained();
}

AnnouncementResult Node::OnAnnouncement(const ServerAnnouncement& aAnnouncement,
                                        std::function<void()> aDone)
{
  const auto before = mImpl->mServerLifecycle.Current();
  const AnnouncementResult result = mImpl->mServerLifecycle.OnAnnouncement(aAnnouncement);
  const auto& now = mImpl->mServerLifecycle.Current();
  const bool changed = !before != !now || (now && (before->mServerId != now->mServerId ||
                                                   before->mStarted != now->mStarted ||
                                                   before->mLeaving != now->mLeaving));
  if (changed || result != AnnouncementResult::Applied) {
    Event("backend", "announcement")
      .Add("server", aAnnouncement.mServerId)
      .Add("started", aAnnouncement.mStarted)
      .Add("sequence", aAnnouncement.mSequence)
      .Add("leaving", aAnnouncement.mLeaving)
      .Add("result", ToString(result));
  }
  mImpl->OnServerChanged();
  mImpl->CompleteAnnouncement(std::move(aDone));
  return result;
}

void Node::OnDeparture(std::string_view aServerId, std::optional<uint64_t> aStarted,
                       std::function<void()> aDone)
{
  const bool applied =
    mImpl->mServerLifecycle.OnDeparture(aServerId, aStarted, mImpl->mClock.WallNow());
  Event("backend", "departure")
    .Add("server", aServerId)
    .Add("started", aStarted.value_or(0))
    .Add("applied", applied);
  mImpl->OnServerChanged();
  mImpl->CompleteAnnouncement(std::move(aDone));
}

std::shared_ptr<ResourceBudget> Node::Budget() const
{
  return mImpl->mBudget;
}

void Node::Reload(const NodeSettings& aSettings)
{
  NodeSettings comparable = aSettings;
  comparable.mLogLevel = mImpl->mSettings.mLogLevel;
  Event("node", "reload")
    .Add("log_level", aSettings.mLogLevel)
    .Add("needs_restart", !(comparable == mImpl->mSettings));
  SetLogLevel(aSettings.mLogLevel);
}

void Node::Stop()
{
  mImpl->mDrainTimer.cancel();
  mImpl->mKernel.StopAll();
}

} // namespace balsammount
