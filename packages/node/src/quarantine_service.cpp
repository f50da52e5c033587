#include "quarantine_service.h"

#include "balsammount/hash.h"
#include "balsammount/log.h"

#include <span>

namespace balsammount {

using namespace std::chrono_literals;

namespace {

constexpr auto kGossipInterval = 500ms;
constexpr auto kMessageTimeout = 2000ms;
constexpr size_t kGossipFanout = 3;
// Maximum number of nodes of the same service that are notified of a crash directly; gossip
// reaches the others.
constexpr size_t kMaxDirectPeers = 16;
constexpr size_t kMaxGossipBytes = 4096;

constexpr const char* kQuarantineTarget = "/balsammount/quarantine";

std::string ToText(const std::vector<uint8_t>& aBytes)
{
  return { aBytes.begin(), aBytes.end() };
}

} // namespace

QuarantineService::QuarantineService(boost::asio::io_context& aContext, const Clock& aClock,
                                     Random& aRandom, Peers& aPeers, const NodeSettings& aSettings)
  : mRandom(aRandom)
  , mPeers(aPeers)
  , mSelf(aSettings.mNodeId)
  , mService(aSettings.mService)
  , mCore(aClock, Hash64(aSettings.mNodeId), {})
  , mTimer(aContext)
{
}

Result<void> QuarantineService::Start()
{
  Gossip();
  return {};
}

void QuarantineService::Stop()
{
  mTimer.cancel();
}

bool QuarantineService::IsQuarantined(uint64_t aFingerprint) const
{
  return mCore.IsQuarantined(Fingerprint{ aFingerprint });
}

Duration QuarantineService::RetryAfter(uint64_t aFingerprint) const
{
  return mCore.RetryAfter(Fingerprint{ aFingerprint });
}

void QuarantineService::Release(uint64_t aFingerprint)
{
  Log("quarantine").info("released fingerprint {:016x}", aFingerprint);
  mCore.Release(Fingerprint{ aFingerprint });
}

bool QuarantineService::OnMessage(std::string_view aBytes)
{
  const auto merged =
    mCore.Merge({ reinterpret_cast<const uint8_t*>(aBytes.data()), aBytes.size() });
  if (!merged) {
    Log("quarantine").warn("rejected a message: {}", Describe(merged.error()));
  }
  return merged.has_value();
}

std::string QuarantineService::EncodeAll() const
{
  return ToText(mCore.EncodeAll());
}

void QuarantineService::OnDispatch(uint64_t aJob, uint64_t aFingerprint)
{
  mCore.OnDispatch(aJob, Fingerprint{ aFingerprint });
}

void QuarantineService::OnEnd(uint64_t aJob, bool aCompleted)
{
  mCore.OnEnd(aJob, aCompleted);
}

void QuarantineService::OnServerCrash()
{
  const size_t suspects = mCore.OnServerCrash();
  Log("quarantine").warn("backend server crashed with {} requests in flight", suspects);
  if (suspects == 0) {
    return;
  }
  // A caller may retry before gossip has spread, so the nodes that could run the request are
  // notified at once.
  size_t sent = 0;
  const std::string evidence = EncodeAll();
  for (const FleetNode& node : mFleet()) {
    if (node.mService == mService && node.mNodeId != mSelf && sent < kMaxDirectPeers) {
      SendTo(node.mNodeId, evidence);
      ++sent;
    }
  }
}

void QuarantineService::Gossip()
{
  const auto nodes = RandomNodes(kGossipFanout);
  if (!mFetched && !nodes.empty()) {
    FetchAll(nodes.front());
  }
  const auto bytes = mCore.TakeGossip(kMaxGossipBytes);
  if (!bytes.empty()) {
    for (const std::string& nodeId : nodes) {
      SendTo(nodeId, ToText(bytes));
    }
  }
  mTimer.expires_after(kGossipInterval);
  mTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      Gossip();
    }
  });
}

void QuarantineService::SendTo(const std::string& aNodeId, const std::string& aBytes)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = kQuarantineTarget;
  request.mBody = aBytes;
  mPeers.Send(aNodeId, std::move(request), kMessageTimeout, [](const auto&) {});
}

void QuarantineService::FetchAll(const std::string& aNodeId)
{
  HttpRequest request;
  request.mTarget = kQuarantineTarget;
  mPeers.Send(aNodeId, std::move(request), kMessageTimeout,
              [this](const Result<HttpResponse>& aResult) {
                if (aResult && aResult->mStatus == 200) {
                  mFetched = OnMessage(aResult->mBody);
                }
              });
}

std::vector<std::string> QuarantineService::RandomNodes(size_t aCount)
{
  std::vector<std::string> chosen;
  auto nodes = mFleet();
  std::erase_if(nodes, [this](const FleetNode& aNode) { return aNode.mNodeId == mSelf; });
  while (chosen.size() < aCount && !nodes.empty()) {
    const size_t index = mRandom.Below(nodes.size());
    chosen.push_back(std::move(nodes[index].mNodeId));
    nodes.erase(nodes.begin() + static_cast<std::ptrdiff_t>(index));
  }
  return chosen;
}

} // namespace balsammount
