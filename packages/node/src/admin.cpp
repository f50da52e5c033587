#include "admin.h"

#include "balsammount/log.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace balsammount {

namespace {

using Json = nlohmann::json;

HttpResponse JsonResponse(const Json& aJson)
{
  HttpResponse response;
  response.mHeaders.Set("Content-Type", "application/json");
  response.mBody = aJson.dump() + "\n";
  return response;
}

HttpResponse ErrorResponse(unsigned aStatus, std::string_view aMessage)
{
  HttpResponse response = JsonResponse(Json{ { "error", aMessage } });
  response.mStatus = aStatus;
  return response;
}

double Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

constexpr std::array kUpstreamStates = { "normal",  "slow-start", "avoided",
                                         "ejected", "probation",  "leaving" };

} // namespace

void Admin::Handle(const std::shared_ptr<Exchange>& aExchange)
{
  struct Route
  {
    std::string_view mMethod;
    std::string_view mTarget;
    std::function<HttpResponse()> mRun;
  };
  const HttpRequest& request = aExchange->Request();
  const std::array routes = {
    Route{ "GET", "/ready", [this] { return Ready(); } },
    Route{ "GET", "/state", [this] { return State(); } },
    Route{ "GET", "/services", [this] { return Services(); } },
    Route{ "GET", "/members", [this] { return Members(); } },
    Route{ "GET", "/config", [this] { return ConfigValue(); } },
    Route{ "GET", "/metrics", [this] { return MetricsText(); } },
    Route{ "POST", "/drain", [this] { return Drain(); } },
    Route{ "PUT", "/log-level", [&] { return LogLevel(request); } },
    Route{ "GET", "/quarantine", [this] { return Quarantined(); } },
    Route{ "DELETE", "/quarantine", [&] { return Release(request); } },
  };
  bool known = false;
  for (const Route& route : routes) {
    if (route.mTarget != request.mTarget) {
      continue;
    }
    known = true;
    if (route.mMethod == request.mMethod) {
      aExchange->Respond(route.mRun());
      return;
    }
  }
  aExchange->Respond(known ? ErrorResponse(405, "method not allowed")
                           : ErrorResponse(404, "no such page"));
}

HttpResponse Admin::Ready() const
{
  HttpResponse response;
  response.mStatus = mDependencies.mReady() ? 200 : 503;
  return response;
}

HttpResponse Admin::State() const
{
  const AdmissionStats stats = mDependencies.mExecutor.Admission().Stats();
  const auto& config = mDependencies.mConfig.Holder();
  Json ranks = Json::array();
  for (size_t i = 0; config.Current() && i < stats.mRankCount; ++i) {
    const RankStats& rank = stats.mRanks[i];
    ranks.push_back({ { "rank", config.Current()->Ranks()[i].mName },
                      { "offered", rank.mOffered },
                      { "dispatched", rank.mDispatched },
                      { "refused", rank.mRefused },
                      { "cancelled", rank.mCancelled },
                      { "completed", rank.mCompleted },
                      { "queued", rank.mQueued },
                      { "typical_service_ms", Milliseconds(rank.mMeanServiceTime) } });
  }
  Json ownership;
  if (const OwnershipService* owner = mDependencies.mOwnership) {
    ownership = { { "keys", owner->Memory().Records() },
                  { "bytes", owner->Memory().Bytes() },
                  { "shards", owner->OwnedShards() },
                  { "takeovers", owner->Core().Stats().mTakeovers },
                  { "handovers", owner->Core().Stats().mHandovers } };
  }
  const size_t members = mDependencies.mMembership ? mDependencies.mMembership->Core().Count()
                                                   : mDependencies.mDirectory->Nodes().size() + 1;
  return JsonResponse({ { "node", mDependencies.mSettings.mNodeId },
                        { "service", mDependencies.mSettings.mService },
                        { "data_centre", mDependencies.mSettings.mDataCentre },
                        { "version", BM_VERSION },
                        { "backend_available", mDependencies.mExecutor.Available() },
                        { "draining", mDependencies.mExecutor.Draining() },
                        { "requests_here", mDependencies.mGateway.Pending() },
                        { "config",
                          { { "revision", config.Revision() },
                            { "source", config.Source() },
                            { "age_ms", Milliseconds(mDependencies.mConfig.Age()) },
                            { "last_refusal", mDependencies.mConfig.LastRefusal() } } },
                        { "ownership", ownership },
                        { "members", members },
                        { "admission",
                          { { "in_flight", stats.mInFlight },
                            { "queued", stats.mQueued },
                            { "limit", stats.mLimit },
                            { "shed_level", stats.mShedLevel },
                            { "queue_delay_ms", Milliseconds(stats.mQueueDelay) },
                            { "ranks", ranks } } } });
}

HttpResponse Admin::Services() const
{
  Json services = Json::object();
  for (const std::string& service : mDependencies.mUpstreams.Services()) {
    Json upstreams = Json::array();
    for (const UpstreamView& view : mDependencies.mUpstreams.View(service)) {
      upstreams.push_back({ { "node", mDependencies.mUpstreams.NodeIdOf(view.mInfo.mId) },
                            { "state", kUpstreamStates[static_cast<size_t>(view.mState)] },
                            { "in_subset", view.mInSubset },
                            { "in_flight", view.mInFlight },
                            { "latency_ms", Milliseconds(view.mLatency) } });
    }
    services[service] = std::move(upstreams);
  }
  return JsonResponse(services);
}

HttpResponse Admin::Members() const
{
  Json members = Json::array();
  if (!mDependencies.mMembership) {
    for (const NodeRecord& record : mDependencies.mDirectory->Nodes()) {
      members.push_back({ { "node", record.mNodeId },
                          { "service", record.mService },
                          { "data_centre", record.mDataCentre },
                          { "address", record.mAddress },
                          { "port", record.mPort },
                          { "server", record.mServerId },
                          { "available", record.mServing },
                          { "leaving", record.mLeaving },
                          { "started_ms", record.mStarted } });
    }
    return JsonResponse(members);
  }
  for (const MemberRecord& record : mDependencies.mMembership->Core().Members()) {
    members.push_back({ { "node", record.mId },
                        { "service", record.mService },
                        { "data_centre", record.mDataCentre },
                        { "address", record.mPeer.mAddress },
                        { "port", record.mPeer.mPort },
                        { "state", ToString(record.mState) },
                        { "available", record.mAvailable },
                        { "leaving", record.mLeaving },
                        { "config_revision", record.mRevision },
                        { "started_ms", record.mStartMs } });
  }
  return JsonResponse(members);
}

HttpResponse Admin::ConfigValue() const
{
  const auto& value = mDependencies.mConfig.Holder().Value();
  if (!value) {
    return ErrorResponse(404, "no configuration is in force");
  }
  HttpResponse response;
  response.mHeaders.Set("Content-Type", "application/json");
  response.mBody = *value;
  return response;
}

HttpResponse Admin::MetricsText() const
{
  HttpResponse response;
  response.mHeaders.Set("Content-Type", "text/plain; version=0.0.4");
  response.mBody = mDependencies.mMetrics.Serialize();
  return response;
}

HttpResponse Admin::Drain() const
{
  mDependencies.mDrain();
  HttpResponse response = JsonResponse({ { "draining", true } });
  response.mStatus = 202;
  return response;
}

HttpResponse Admin::Quarantined() const
{
  constexpr std::array kStates = { "cleared", "suspect", "held", "quarantined", "released" };
  Json suspects = Json::array();
  for (const SuspectView& view : mDependencies.mQuarantine.List()) {
    suspects.push_back(
      { { "fingerprint", std::to_string(static_cast<uint64_t>(view.mRecord.mFingerprint)) },
        { "state", kStates[static_cast<size_t>(view.mState)] },
        { "deaths", view.mRecord.mCrashes.size() },
        { "until_ms", view.mUntil } });
  }
  return JsonResponse(suspects);
}

HttpResponse Admin::Release(const HttpRequest& aRequest) const
{
  uint64_t fingerprint = 0;
  const std::string& text = aRequest.mBody;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), fingerprint);
  if (error != std::errc() || end != text.data() + text.size()) {
    return ErrorResponse(400, "a fingerprint, as GET /quarantine lists them, is expected");
  }
  mDependencies.mQuarantine.Release(fingerprint);
  return JsonResponse({ { "released", text } });
}

HttpResponse Admin::LogLevel(const HttpRequest& aRequest) const
{
  if (!SetLogLevel(aRequest.mBody)) {
    return ErrorResponse(400, "one of trace, debug, info, warning, error is expected");
  }
  return JsonResponse({ { "log_level", aRequest.mBody } });
}

} // namespace balsammount
