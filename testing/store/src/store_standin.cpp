#include "balsammount/store_standin.h"

#include "balsammount/base64.h"

#include <nlohmann/json.hpp>

#include <array>

namespace balsammount {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

// A value of 1 MB takes 1.4 MB in base64.
constexpr size_t kMaxRequestBytes = 4 * 1024 * 1024;
constexpr std::chrono::milliseconds kLeaseCheckInterval{ 20 };

// gRPC status codes that the JSON gateway returns.
enum class GrpcCode
{
  InvalidArgument = 3,
  NotFound = 5,
  Unimplemented = 12,
  Unavailable = 14,
};

unsigned HttpStatus(GrpcCode aCode)
{
  switch (aCode) {
    case GrpcCode::InvalidArgument:
      return 400;
    case GrpcCode::NotFound:
      return 404;
    case GrpcCode::Unimplemented:
      return 501;
    case GrpcCode::Unavailable:
      break;
  }
  return 503;
}

// An error response. It is thrown before the request changes the store.
struct RpcError
{
  GrpcCode mCode;
  std::string mMessage;
};

std::string ToText(int64_t aValue)
{
  return std::to_string(aValue);
}

int64_t IntegerField(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return 0;
  }
  if (found->is_number_integer()) {
    return found->get<int64_t>();
  }
  try {
    return std::stoll(found->get<std::string>());
  } catch (const std::exception&) {
    throw RpcError{ GrpcCode::InvalidArgument, std::string("invalid value for ") + aName };
  }
}

std::string BytesField(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return {};
  }
  auto bytes = found->is_string() ? DecodeBase64(found->get_ref<const std::string&>())
                                  : std::optional<std::string>();
  if (!bytes) {
    throw RpcError{ GrpcCode::InvalidArgument, std::string("illegal base64 data for ") + aName };
  }
  return std::move(*bytes);
}

std::string KeyField(const Json& aObject)
{
  std::string key = BytesField(aObject, "key");
  if (key.empty()) {
    throw RpcError{ GrpcCode::InvalidArgument, "etcdserver: key is not provided" };
  }
  return key;
}

// Returns the exclusive end of the requested key range. A request for a single key has no
// range_end.
std::string RangeEnd(const Json& aObject, const std::string& aKey)
{
  std::string end = BytesField(aObject, "range_end");
  return end.empty() ? aKey + '\0' : end;
}

Json EntryJson(const std::string& aKey, const ModelEntry& aEntry)
{
  Json entry = { { "key", EncodeBase64(aKey) },
                 { "create_revision", ToText(aEntry.mCreateRevision) },
                 { "mod_revision", ToText(aEntry.mModRevision) },
                 { "version", ToText(aEntry.mVersion) } };
  if (!aEntry.mValue.empty()) {
    entry["value"] = EncodeBase64(aEntry.mValue);
  }
  if (aEntry.mLease != kNoLease) {
    entry["lease"] = ToText(aEntry.mLease);
  }
  return entry;
}

Json EventJson(const ModelEvent& aEvent)
{
  if (aEvent.mEntry) {
    return { { "kv", EntryJson(aEvent.mKey, *aEvent.mEntry) } };
  }
  return {
    { "type", "DELETE" },
    { "kv", { { "key", EncodeBase64(aEvent.mKey) }, { "mod_revision", ToText(aEvent.mRevision) } } }
  };
}

HttpResponse JsonResponse(unsigned aStatus, const Json& aBody)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mHeaders.Set("Content-Type", "application/json");
  response.mBody = aBody.dump();
  return response;
}

HttpResponse ErrorResponse(const RpcError& aRpcError)
{
  return JsonResponse(HttpStatus(aRpcError.mCode), { { "error", aRpcError.mMessage },
                                                     { "code", static_cast<int>(aRpcError.mCode) },
                                                     { "message", aRpcError.mMessage } });
}

int CompareIntegers(int64_t aLeft, int64_t aRight)
{
  return aLeft < aRight ? -1 : static_cast<int>(aLeft > aRight);
}

} // namespace

struct StoreStandin::State : std::enable_shared_from_this<State>
{
  struct Watcher
  {
    std::shared_ptr<HttpExchange> mExchange;
    std::string mKey;
    std::string mRangeEnd;
    Revision mNextRevision = 0;
  };

  using Method = Json (State::*)(const Json&);
  struct Route
  {
    std::string_view mPath;
    uint64_t StoreCounters::*mCounter;
    Method mMethod;
    bool mIsWrite;
  };
  struct CounterName
  {
    const char* mName;
    uint64_t StoreCounters::*mCounter;
  };

  State(asio::io_context& aContext, const Clock& aClock)
    : mContext(aContext)
    , mModel(aClock)
    , mLeaseTimer(aContext)
  {
  }

  static const std::array<Route, 8>& Routes()
  {
    using C = StoreCounters;
    static const std::array<Route, 8> sRoutes = {
      Route{ "/v3/kv/range", &C::mRange, &State::Range, false },
      Route{ "/v3/kv/put", &C::mPut, &State::Put, true },
      Route{ "/v3/kv/deleterange", &C::mDeleteRange, &State::DeleteRange, true },
      Route{ "/v3/kv/txn", &C::mTransaction, &State::Transaction, true },
      Route{ "/v3/lease/grant", &C::mLeaseGrant, &State::LeaseGrant, true },
      Route{ "/v3/lease/keepalive", &C::mLeaseKeepAlive, &State::LeaseKeepAlive, false },
      Route{ "/v3/lease/revoke", &C::mLeaseRevoke, &State::LeaseRevoke, true },
      Route{ "/v3/kv/lease/revoke", &C::mLeaseRevoke, &State::LeaseRevoke, true },
    };
    return sRoutes;
  }

  Json Header() const
  {
    return { { "cluster_id", "1" },
             { "member_id", "1" },
             { "revision", ToText(mModel.CurrentRevision()) },
             { "raft_term", "2" } };
  }

  // Request dispatch.

  void Handle(const std::shared_ptr<Exchange>& aExchange)
  {
    auto exchange = std::static_pointer_cast<HttpExchange>(aExchange);
    const HttpRequest& request = exchange->Request();
    try {
      if (request.mTarget.starts_with("/standin/")) {
        exchange->Respond(HandleControl(request));
        return;
      }
      DispatchRequest(exchange, request);
    } catch (const RpcError& rpcError) {
      exchange->Respond(ErrorResponse(rpcError));
    } catch (const Json::exception& error) {
      exchange->Respond(ErrorResponse({ GrpcCode::InvalidArgument, error.what() }));
    }
  }

  void DispatchRequest(const std::shared_ptr<HttpExchange>& aExchange, const HttpRequest& aRequest)
  {
    mModel.ExpireLeases();
    const bool isWatch = aRequest.mTarget == "/v3/watch";
    const Route* route = nullptr;
    for (const Route& candidate : Routes()) {
      route = candidate.mPath == aRequest.mTarget ? &candidate : route;
    }
    if (aRequest.mMethod != "POST" || (!route && !isWatch)) {
      throw RpcError{ GrpcCode::Unimplemented, "Not Implemented" };
    }
    ++(mCounters.*(isWatch ? &StoreCounters::mWatch : route->mCounter));
    if (mFaults.mDown) {
      throw RpcError{ GrpcCode::Unavailable, "etcdserver: no leader" };
    }
    const Json body = Json::parse(aRequest.mBody);
    if (isWatch) {
      StartWatch(aExchange, body);
      return;
    }
    const bool dropResponse = mFaults.mLoseAnswers && route->mIsWrite;
    const Json response = (this->*route->mMethod)(body);
    NotifyWatches();
    AfterDelay([exchange = aExchange, response, dropResponse] {
      if (dropResponse) {
        exchange->Abort();
      } else {
        exchange->Respond(JsonResponse(200, response));
      }
    });
  }

  void AfterDelay(std::function<void()> aCallback)
  {
    if (mFaults.mDelay.count() == 0) {
      aCallback();
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(mContext, mFaults.mDelay);
    timer->async_wait(
      [timer, callback = std::move(aCallback)](const boost::system::error_code&) { callback(); });
  }

  // Control endpoints.

  HttpResponse HandleControl(const HttpRequest& aRequest)
  {
    if (aRequest.mMethod == "GET" && aRequest.mTarget == "/standin/counters") {
      return JsonResponse(200, CountersJson());
    }
    if (aRequest.mMethod != "POST" || aRequest.mTarget != "/standin/faults") {
      return JsonResponse(404, { { "error", "no such control" } });
    }
    const Json body = Json::parse(aRequest.mBody);
    StoreFaults faults = mFaults;
    faults.mDown = body.value("down", faults.mDown);
    faults.mDelay = std::chrono::milliseconds(body.value("delay_ms", faults.mDelay.count()));
    faults.mLoseAnswers = body.value("lose_answers", faults.mLoseAnswers);
    if (body.value("expire_leases", false)) {
      mModel.ExpireAllLeases();
    }
    if (body.value("compact", false)) {
      mModel.Compact(mModel.CurrentRevision());
    }
    if (body.value("cut_watches", false)) {
      AbortWatches();
    }
    SetFaults(faults);
    NotifyWatches();
    return JsonResponse(200, { { "down", mFaults.mDown },
                               { "delay_ms", mFaults.mDelay.count() },
                               { "lose_answers", mFaults.mLoseAnswers } });
  }

  Json CountersJson() const
  {
    using C = StoreCounters;
    static constexpr std::array<CounterName, 8> kNames = {
      CounterName{ "range", &C::mRange },
      CounterName{ "put", &C::mPut },
      CounterName{ "deleterange", &C::mDeleteRange },
      CounterName{ "txn", &C::mTransaction },
      CounterName{ "lease_grant", &C::mLeaseGrant },
      CounterName{ "lease_keepalive", &C::mLeaseKeepAlive },
      CounterName{ "lease_revoke", &C::mLeaseRevoke },
      CounterName{ "watch", &C::mWatch },
    };
    Json counters = Json::object();
    for (const CounterName& name : kNames) {
      counters[name.mName] = mCounters.*name.mCounter;
    }
    counters["waiting_watches"] = mWatchers.size();
    counters["leases"] = mModel.LeaseCount();
    counters["revision"] = mModel.CurrentRevision();
    return counters;
  }

  void SetFaults(const StoreFaults& aFaults)
  {
    mFaults = aFaults;
    if (mFaults.mDown) {
      AbortWatches();
    }
  }

  // Keys and transactions.

  Json Range(const Json& aBody)
  {
    const std::string key = KeyField(aBody);
    Json response = { { "header", Header() } };
    const auto entries = mModel.Range(key, RangeEnd(aBody, key));
    for (const auto& [entryKey, entry] : entries) {
      response["kvs"].push_back(EntryJson(entryKey, entry));
    }
    if (!entries.empty()) {
      response["count"] = ToText(static_cast<int64_t>(entries.size()));
    }
    return response;
  }

  Json Put(const Json& aBody)
  {
    const std::string key = KeyField(aBody);
    std::string value = BytesField(aBody, "value");
    if (value.size() > kMaxStoreValueBytes) {
      throw RpcError{ GrpcCode::InvalidArgument, "etcdserver: request is too large" };
    }
    if (!mModel.Put(key, std::move(value), IntegerField(aBody, "lease"))) {
      throw RpcError{ GrpcCode::NotFound, "etcdserver: requested lease not found" };
    }
    return { { "header", Header() } };
  }

  Json DeleteRange(const Json& aBody)
  {
    const std::string key = KeyField(aBody);
    int64_t deleted = 0;
    for (const auto& [entryKey, entry] : mModel.Range(key, RangeEnd(aBody, key))) {
      deleted += mModel.Delete(entryKey) ? 1 : 0;
    }
    Json response = { { "header", Header() } };
    if (deleted > 0) {
      response["deleted"] = ToText(deleted);
    }
    return response;
  }

  bool CompareMatches(const Json& aCompare) const
  {
    const std::string key = KeyField(aCompare);
    const ModelEntry* found = mModel.Find(key);
    const ModelEntry entry = found ? *found : ModelEntry{};
    const std::string target = aCompare.value("target", "VERSION");
    int sign = 0;
    if (target == "MOD") {
      sign = CompareIntegers(entry.mModRevision, IntegerField(aCompare, "mod_revision"));
    } else if (target == "CREATE") {
      sign = CompareIntegers(entry.mCreateRevision, IntegerField(aCompare, "create_revision"));
    } else if (target == "VERSION") {
      sign = CompareIntegers(entry.mVersion, IntegerField(aCompare, "version"));
    } else if (target == "VALUE") {
      sign = found ? entry.mValue.compare(BytesField(aCompare, "value")) : 1;
    } else {
      throw RpcError{ GrpcCode::InvalidArgument, "unknown compare target " + target };
    }
    const std::string result = aCompare.value("result", "EQUAL");
    return (result == "EQUAL" && sign == 0) || (result == "NOT_EQUAL" && sign != 0) ||
           (result == "GREATER" && sign > 0) || (result == "LESS" && sign < 0);
  }

  Json Transaction(const Json& aBody)
  {
    bool succeeded = true;
    for (const Json& compare : aBody.value("compare", Json::array())) {
      succeeded = succeeded && CompareMatches(compare);
    }
    const Json operations = aBody.value(succeeded ? "success" : "failure", Json::array());
    // The writes of a transaction share one revision, which KeyValueModel does not support.
    if (operations.size() > 1) {
      throw RpcError{ GrpcCode::Unimplemented, "more than one operation in a transaction" };
    }
    Json responses = Json::array();
    for (const Json& operation : operations) {
      responses.push_back(ExecuteOperation(operation));
    }
    Json response = { { "header", Header() } };
    if (succeeded) {
      response["succeeded"] = true;
    }
    if (!responses.empty()) {
      response["responses"] = std::move(responses);
    }
    return response;
  }

  Json ExecuteOperation(const Json& aOperation)
  {
    if (aOperation.contains("request_put")) {
      return { { "response_put", Put(aOperation["request_put"]) } };
    }
    if (aOperation.contains("request_delete_range")) {
      return { { "response_delete_range", DeleteRange(aOperation["request_delete_range"]) } };
    }
    if (aOperation.contains("request_range")) {
      return { { "response_range", Range(aOperation["request_range"]) } };
    }
    throw RpcError{ GrpcCode::InvalidArgument, "unknown operation" };
  }

  // Leases.

  Json LeaseGrant(const Json& aBody)
  {
    const int64_t timeToLive = IntegerField(aBody, "TTL");
    if (timeToLive <= 0) {
      throw RpcError{ GrpcCode::InvalidArgument, "etcdserver: too small lease TTL" };
    }
    const LeaseId lease = mModel.Grant(std::chrono::seconds(timeToLive), IntegerField(aBody, "ID"));
    return { { "header", Header() }, { "ID", ToText(lease) }, { "TTL", ToText(timeToLive) } };
  }

  Json LeaseKeepAlive(const Json& aBody)
  {
    const LeaseId lease = IntegerField(aBody, "ID");
    Json result = { { "header", Header() }, { "ID", ToText(lease) } };
    if (auto timeToLive = mModel.KeepAlive(lease)) {
      result["TTL"] = ToText(timeToLive->count());
    }
    return { { "result", std::move(result) } };
  }

  Json LeaseRevoke(const Json& aBody)
  {
    if (!mModel.Revoke(IntegerField(aBody, "ID"))) {
      throw RpcError{ GrpcCode::NotFound, "etcdserver: requested lease not found" };
    }
    return { { "header", Header() } };
  }

  void ScheduleLeaseCheck()
  {
    mLeaseTimer.expires_after(kLeaseCheckInterval);
    mLeaseTimer.async_wait([weak = weak_from_this()](const boost::system::error_code& aError) {
      auto self = weak.lock();
      if (aError || !self) {
        return;
      }
      self->mModel.ExpireLeases();
      self->NotifyWatches();
      self->ScheduleLeaseCheck();
    });
  }

  // Watches.

  void StartWatch(const std::shared_ptr<HttpExchange>& aExchange, const Json& aBody)
  {
    const Json create = aBody.value("create_request", Json::object());
    Watcher watcher;
    watcher.mExchange = aExchange;
    watcher.mKey = KeyField(create);
    watcher.mRangeEnd = RangeEnd(create, watcher.mKey);
    watcher.mNextRevision = IntegerField(create, "start_revision");
    if (watcher.mNextRevision == 0) {
      watcher.mNextRevision = mModel.CurrentRevision() + 1;
    }
    HttpResponse head;
    head.mHeaders.Set("Content-Type", "application/json");
    aExchange->StartStream(std::move(head));
    WriteLine(*aExchange, { { "header", Header() }, { "created", true } });
    const auto position = mWatchers.insert(mWatchers.end(), std::move(watcher));
    aExchange->OnCancel([this, weak = weak_from_this(), exchange = aExchange.get()] {
      if (auto self = weak.lock()) {
        std::erase_if(mWatchers, [exchange](const Watcher& aWatcher) {
          return aWatcher.mExchange.get() == exchange;
        });
      }
    });
    Notify(*position);
    NotifyWatches();
  }

  static bool WriteLine(HttpExchange& aExchange, Json aResult)
  {
    return aExchange.WriteData(Json{ { "result", std::move(aResult) } }.dump() + "\n");
  }

  void NotifyWatches()
  {
    if (mFaults.mDelay.count() == 0) {
      NotifyNow();
      return;
    }
    AfterDelay([weak = weak_from_this()] {
      if (auto self = weak.lock()) {
        self->NotifyNow();
      }
    });
  }

  void NotifyNow()
  {
    std::erase_if(mWatchers, [this](Watcher& aWatcher) { return !Notify(aWatcher); });
  }

  // Sends the events that the watcher has not received. Returns false when the watch has ended.
  bool Notify(Watcher& aWatcher)
  {
    const auto events = mModel.EventsFrom(aWatcher.mNextRevision);
    if (!events) {
      WriteLine(*aWatcher.mExchange, { { "header", Header() },
                                       { "canceled", true },
                                       { "compact_revision", ToText(mModel.CompactRevision()) } });
      aWatcher.mExchange->EndStream();
      return false;
    }
    Json list = Json::array();
    for (const ModelEvent& event : *events) {
      if (event.mKey >= aWatcher.mKey && event.mKey < aWatcher.mRangeEnd) {
        list.push_back(EventJson(event));
      }
    }
    // A start revision that is still in the future is kept.
    aWatcher.mNextRevision = std::max(aWatcher.mNextRevision, mModel.CurrentRevision() + 1);
    return list.empty() || WriteLine(*aWatcher.mExchange,
                                     { { "header", Header() }, { "events", std::move(list) } });
  }

  void AbortWatches()
  {
    for (const Watcher& watcher : std::exchange(mWatchers, {})) {
      watcher.mExchange->Abort();
    }
  }

  asio::io_context& mContext;
  KeyValueModel mModel;
  asio::steady_timer mLeaseTimer;
  StoreFaults mFaults;
  StoreCounters mCounters;
  std::list<Watcher> mWatchers;
  std::unique_ptr<HttpServer> mServer;
};

StoreStandin::StoreStandin(asio::io_context& aContext, asio::ip::tcp::endpoint aEndpoint,
                           const Clock& aClock)
  : mState(std::make_shared<State>(aContext, aClock))
{
  HttpServerLimits limits;
  limits.mMaxBodyBytes = kMaxRequestBytes;
  mState->mServer = std::make_unique<HttpServer>(
    aContext, std::move(aEndpoint), limits,
    [weak = std::weak_ptr(mState)](const std::shared_ptr<Exchange>& aExchange) {
      if (auto state = weak.lock()) {
        state->Handle(aExchange);
      }
    });
}

StoreStandin::~StoreStandin()
{
  Stop();
}

Result<void> StoreStandin::Start()
{
  auto started = mState->mServer->Start();
  if (started) {
    mState->ScheduleLeaseCheck();
  }
  return started;
}

void StoreStandin::Stop()
{
  mState->mLeaseTimer.cancel();
  mState->AbortWatches();
  mState->mServer->Stop();
}

uint16_t StoreStandin::Port() const
{
  return mState->mServer->Port();
}

void StoreStandin::SetFaults(const StoreFaults& aFaults)
{
  mState->SetFaults(aFaults);
}

void StoreStandin::AbortWatches()
{
  mState->AbortWatches();
}

void StoreStandin::NotifyWatches()
{
  mState->NotifyWatches();
}

KeyValueModel& StoreStandin::Model()
{
  return mState->mModel;
}

const StoreCounters& StoreStandin::Counters() const
{
  return mState->mCounters;
}

size_t StoreStandin::OpenWatches() const
{
  return mState->mWatchers.size();
}

} // namespace balsammount
