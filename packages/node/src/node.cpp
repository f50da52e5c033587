#include "balsammount/node.h"

#include "admin.h"
#include "config_service.h"
#include "executor.h"
#include "forwarder.h"
#include "gateway.h"
#include "local_target.h"
#include "member_service.h"
#include "metrics.h"
#include "owner_service.h"
#include "peer_handler.h"
#include "peers.h"
#include "quarantine_service.h"
#include "upstreams.h"

#include "balsammount/etcd_store.h"
#include "balsammount/http_server.h"
#include "balsammount/log.h"
#include "balsammount/peer_server.h"

#include <optional>
#include <random>

namespace balsammount {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

// How often a draining node looks whether its requests are finished.
constexpr auto kDrainCheck = 20ms;
// A draining node still takes the keyed requests of the shards that it has not handed over. After
// this time it refuses them, so that a leaving backend server gets no new work after a few seconds.
constexpr auto kMaxHandover = 3000ms;
// A draining node keeps its listeners open at least this long, so that other nodes learn that it
// leaves before they meet a closed port.
constexpr auto kMinDrain = 1000ms;

// After the caller listener has stopped, requests that were on their way are still served for this
// long.
constexpr auto kListenerSettle = 100ms;

EtcdStoreSettings StoreSettings(const NodeSettings& aSettings, Random& aRandom)
{
  EtcdStoreSettings settings;
  settings.mEndpoints = aSettings.mStore;
  settings.mSeed = aRandom.Next();
  return settings;
}

} // namespace

struct Node::Parts
{
  Parts(asio::io_context& aContext, NodeSettings aSettings)
    : mContext(aContext)
    , mSettings(std::move(aSettings))
    , mRandom(std::random_device()() ^ (static_cast<uint64_t>(std::random_device()()) << 32))
    , mStore(aContext, StoreSettings(mSettings, mRandom))
    , mPeers(aContext)
    , mUpstreams(mClock, mRandom, mSettings.mNodeId, mSettings.mDataCentre)
    , mConfig(std::make_shared<ConfigService>(aContext, mClock, mStore))
    , mExecutor(std::make_shared<Executor>(aContext, mClock, mSettings))
    , mOwner(std::make_shared<OwnerService>(aContext, mClock, mRandom, mStore, mPeers, *mExecutor,
                                            mSettings.mService,
                                            NodeIdentity{ mSettings.mNodeId, mStarted }))
    , mQuarantine(std::make_shared<QuarantineService>(aContext, mClock, mRandom, mPeers, mSettings))
    , mLocal(mSettings, *mExecutor, *mOwner, *mQuarantine)
    , mForwarder(mClock, mUpstreams, mPeers, mLocal, mMetrics)
    , mMembers(
        std::make_shared<MemberService>(aContext, mClock, mRandom, mStore, mSettings, mStarted,
                                        MemberUsers{ mUpstreams, mPeers, *mOwner, *mConfig }))
    , mGateway(
        std::make_shared<Gateway>(mClock, mRandom, mSettings, *mExecutor, mForwarder, mMetrics))
    , mPeerHandler(mClock, mLocal, *mConfig, *mOwner, *mQuarantine)
    , mDrainTimer(aContext)
  {
  }

  Result<void> RegisterParts();
  void Wire();
  void AddGauges();
  void HandleEgress(const std::shared_ptr<Exchange>& aExchange);
  void CheckDrained();

  asio::io_context& mContext;
  NodeSettings mSettings;
  SystemClock mClock;
  // The start of this process in ms of the wall clock tells its records from those of an earlier
  // process of the same node.
  uint64_t mStarted = static_cast<uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(mClock.WallNow().time_since_epoch())
      .count());
  Random mRandom;
  Metrics mMetrics;
  EtcdStore mStore;
  Peers mPeers;
  Upstreams mUpstreams;
  std::shared_ptr<ConfigService> mConfig;
  std::shared_ptr<Executor> mExecutor;
  std::shared_ptr<OwnerService> mOwner;
  std::shared_ptr<QuarantineService> mQuarantine;
  LocalTarget mLocal;
  Forwarder mForwarder;
  std::shared_ptr<MemberService> mMembers;
  std::shared_ptr<Gateway> mGateway;
  PeerHandler mPeerHandler;
  Kernel mKernel;
  asio::steady_timer mDrainTimer;
  std::shared_ptr<HttpServer> mCallerListener;
  std::function<void()> mOnDrained;
  std::function<void()> mOnDrainRequest = [] {};
  SteadyTime mDrainStarted{};
  std::optional<SteadyTime> mListenerStopped;
  bool mBackendLeaving = false;
};

Result<void> Node::Parts::RegisterParts()
{
  const auto gateway = mGateway;
  const auto admin = std::make_shared<Admin>(
    AdminParts{ mSettings, mClock, *mConfig, *mExecutor, mUpstreams, *mGateway, mMetrics, *mMembers,
                *mOwner, *mQuarantine, [this] { mOnDrainRequest(); } });
  mCallerListener = std::make_shared<HttpServer>(
    mContext, mSettings.mCallerListen, HttpServerLimits{},
    [gateway](const std::shared_ptr<Exchange>& aExchange) { gateway->HandleCaller(aExchange); });
  const std::vector<std::pair<std::string, std::shared_ptr<Service>>> services = {
    { "config", mConfig },
    { "executor", mExecutor },
    { "ownership", mOwner },
    { "quarantine", mQuarantine },
    { "members", mMembers },
    { "gateway", mGateway },
    { "admin", admin },
    { "peer-listener",
      std::make_shared<PeerServer>(
        mContext, mSettings.mPeerListen, PeerServerLimits{},
        [this](const std::shared_ptr<Exchange>& aExchange) { mPeerHandler.Handle(aExchange); }) },
    { "egress-listener",
      std::make_shared<HttpServer>(
        mContext, mSettings.mEgressListen, HttpServerLimits{},
        [this](const std::shared_ptr<Exchange>& aExchange) { HandleEgress(aExchange); }) },
    { "caller-listener", mCallerListener },
    { "admin-listener",
      std::make_shared<HttpServer>(
        mContext, mSettings.mAdminListen, HttpServerLimits{},
        [admin](const std::shared_ptr<Exchange>& aExchange) { admin->Handle(aExchange); }) },
  };
  for (const auto& [name, service] : services) {
    if (auto result = mKernel.Register(name, service); !result) {
      return result;
    }
  }
  return {};
}

void Node::Parts::Wire()
{
  mConfig->AddListener([this](const std::shared_ptr<const Config>& aConfig) {
    mUpstreams.ApplyConfig(*aConfig);
    mForwarder.ApplyConfig(aConfig);
    mExecutor->ApplyConfig(aConfig);
    mGateway->ApplyConfig(aConfig);
    mMembers->SetRevision(mConfig->Holder().Revision());
  });
  mExecutor->SetAvailabilityCallback(
    [this](bool aAvailable) { mMembers->SetAvailable(aAvailable && !mBackendLeaving); });
  mExecutor->SetObserver(mQuarantine.get());
  mQuarantine->SetMembers(mMembers->Core());
  mForwarder.SetLevelCallback(
    [this](uint32_t aLevel) { mExecutor->ReportDownstreamLevel(aLevel); });
}

void Node::Parts::AddGauges()
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
  add("members", "Nodes that are not dead, this one included.",
      [this] { return static_cast<double>(mMembers->Core().Count()); });
  add("config_revision", "Configuration revision in force.",
      [this] { return static_cast<double>(mConfig->Holder().Revision()); });
  add("config_age_seconds", "Time since the configuration in force was applied.",
      [this] { return std::chrono::duration<double>(mConfig->Age()).count(); });
  add("owned_shards", "Shards of idempotency keys in which this node may dispatch.",
      [this] { return static_cast<double>(mOwner->OwnedShards()); });
  add("key_records", "Recorded idempotency keys.",
      [this] { return static_cast<double>(mOwner->Memory().Records()); });
}

// The backend server announces by POST that it is leaving, or that it takes work again. Everything
// else on this listener is a call to another service.
void Node::Parts::HandleEgress(const std::shared_ptr<Exchange>& aExchange)
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
    Log("backend").info("the backend server announced that it is {}",
                        leaving ? "leaving" : "ready");
    mBackendLeaving = leaving;
    mExecutor->SetDraining(leaving);
    mMembers->SetAvailable(mExecutor->Available() && !leaving);
  }
  aExchange->Respond(std::move(response));
}

void Node::Parts::CheckDrained()
{
  const Duration waited = mClock.Now() - mDrainStarted;
  if (mOwner->Drained() || waited >= kMaxHandover) {
    mExecutor->SetDraining(true);
  }
  const bool idle = mExecutor->Pending() == 0 && mGateway->Pending() == 0 && mOwner->Drained();
  if (waited >= kMinDrain && !mListenerStopped) {
    // Connections of callers close with their next answer, before the process ends.
    mCallerListener->Stop();
    mListenerStopped = mClock.Now();
  }
  const bool expired = waited >= std::chrono::seconds(mSettings.mDrainSeconds);
  const bool settled = mListenerStopped && mClock.Now() - *mListenerStopped >= kListenerSettle;
  if ((idle && settled) || expired) {
    Log("node").info("drained after {} ms with {} requests left",
                     std::chrono::duration_cast<std::chrono::milliseconds>(waited).count(),
                     mExecutor->Pending() + mGateway->Pending());
    mOnDrained();
    return;
  }
  mDrainTimer.expires_after(kDrainCheck);
  mDrainTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      CheckDrained();
    }
  });
}

Node::Node(asio::io_context& aContext, NodeSettings aSettings)
  : mParts(std::make_unique<Parts>(aContext, std::move(aSettings)))
{
}

Node::~Node() = default;

Result<void> Node::Start()
{
  mParts->Wire();
  mParts->AddGauges();
  if (auto result = mParts->RegisterParts(); !result) {
    return result;
  }
  return mParts->mKernel.StartAll();
}

void Node::SetDrainRequestCallback(std::function<void()> aCallback)
{
  mParts->mOnDrainRequest = std::move(aCallback);
}

void Node::Drain(std::function<void()> aDone)
{
  if (mParts->mOnDrained) {
    return;
  }
  Log("node").info("draining");
  mParts->mOnDrained = std::move(aDone);
  mParts->mDrainStarted = mParts->mClock.Now();
  mParts->mMembers->SetLeaving();
  mParts->mExecutor->SetLeaving();
  mParts->mOwner->Drain();
  mParts->CheckDrained();
}

void Node::Stop()
{
  mParts->mDrainTimer.cancel();
  mParts->mKernel.StopAll();
}

} // namespace balsammount
