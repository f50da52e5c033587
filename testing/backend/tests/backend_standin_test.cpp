#include "balsammount/backend_standin.h"
#include "balsammount/hash.h"
#include "balsammount/http_client.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using Json = nlohmann::json;

TEST_GROUP(BackendStandin)
{
  boost::asio::io_context mContext{ 1 };
  BackendSettings mSettings;
  std::unique_ptr<BackendStandin> mBackend;
  std::unique_ptr<HttpClient> mClient;
  std::vector<HttpResponse> mResponses;

  void setup() override
  {
    mSettings.mListen = tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0);
    mSettings.mServiceTime = 1ms;
  }

  void teardown() override
  {
    mClient.reset();
    mBackend.reset();
    mContext.run_for(20ms);
  }

  void StartBackend()
  {
    mBackend = std::make_unique<BackendStandin>(mContext, mSettings);
    CHECK(mBackend->Start().has_value());
    const tcp::endpoint endpoint(mSettings.mListen.address(), mBackend->Port());
    mClient = std::make_unique<HttpClient>(mContext, endpoint);
  }

  template <class Condition>
  void RunUntil(Condition aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      mContext.run_one_for(10ms);
    }
    CHECK(aCondition());
  }

  std::shared_ptr<Call> Send(const std::string& aPath, const std::string& aKey = "",
                             const std::string& aBody = "")
  {
    HttpRequest request;
    request.mMethod = "POST";
    request.mTarget = aPath;
    request.mBody = aBody;
    request.mHeaders.Set("Idempotency-Key", aKey);
    request.mHeaders.Set("Balsam-Request-Id", "request-" + aKey);
    return mClient->Send(std::move(request), 5s, [this](Result<HttpResponse> aResult) {
      mResponses.push_back(aResult ? std::move(*aResult) : HttpResponse{ 0, {}, {} });
    });
  }

  HttpResponse SendAndWait(const std::string& aPath, const std::string& aKey = "",
                           const std::string& aBody = "")
  {
    const size_t before = mResponses.size();
    Send(aPath, aKey, aBody);
    RunUntil([&] { return mResponses.size() > before; });
    return mResponses.back();
  }
};

// Guards against counters that miss a repeated execution, and responses that do not identify their
// request.
TEST(BackendStandin, CountsExecutionsPerKey)
{
  StartBackend();
  const Json response = Json::parse(SendAndWait("/order", "k1", "body").mBody);
  CHECK(response["path"] == "/order");
  CHECK(response["hash"] == Hash64("body"));
  SendAndWait("/order", "k1");
  SendAndWait("/order", "k2");
  CHECK_EQUAL(2, mBackend->ExecutionsOfKey("k1"));
  CHECK_EQUAL(1, mBackend->ExecutionsOfKey("k2"));
}

// Guards against more concurrent executions than slots, and against disconnected callers that keep
// their slot or queue position.
TEST(BackendStandin, SlotsAndCancellation)
{
  mSettings.mSlots = 1;
  mSettings.mServiceTime = 1h;
  StartBackend();
  auto running = Send("/a", "running");
  RunUntil([&] { return mBackend->Counters().mExecuted == 1; });
  auto queued = Send("/a", "queued");
  auto next = Send("/a", "next");
  RunUntil([&] { return mBackend->Counters().mReceived == 3; });
  CHECK_EQUAL(1, mBackend->Counters().mExecuted);
  queued->Cancel();
  RunUntil([&] { return mBackend->Counters().mCancelled == 1; });
  running->Cancel();
  RunUntil([&] { return mBackend->ExecutionsOfKey("next") == 1; });
  CHECK_EQUAL(0, mBackend->ExecutionsOfKey("queued"));
}

// Guards against outgoing calls without the request ID, and against success responses when a call
// fails.
TEST(BackendStandin, CallsThroughEgress)
{
  std::vector<std::string> ids;
  HttpServer egress(mContext, mSettings.mListen, {}, [&](const std::shared_ptr<Exchange>& aCall) {
    ids.emplace_back(aCall->Request().mHeaders.Find("Balsam-Request-Id"));
    HttpResponse response;
    response.mStatus = aCall->Request().mTarget == "/bad" ? 503 : 200;
    response.mBody = R"({"name":"other"})";
    aCall->Respond(std::move(response));
  });
  CHECK(egress.Start().has_value());
  mSettings.mEgress = tcp::endpoint(mSettings.mListen.address(), egress.Port());
  mSettings.mCalls = { "/stock", "/sheets" };
  StartBackend();
  const Json response = Json::parse(SendAndWait("/order", "k").mBody);
  CHECK_EQUAL(2, response["calls"].size());
  CHECK(response["calls"][1]["answer"]["name"] == "other");
  CHECK(ids == std::vector<std::string>({ "request-k", "request-k" }));
  mSettings.mCalls = { "/bad", "/sheets" };
  StartBackend();
  const HttpResponse failed = SendAndWait("/order", "k");
  CHECK_EQUAL(502, failed.mStatus);
  CHECK_EQUAL(3, ids.size());
  mBackend.reset();
}

// Guards against injected faults that have no effect.
TEST(BackendStandin, Faults)
{
  bool crashed = false;
  mSettings.mOnCrash = [&] { crashed = true; };
  StartBackend();
  SendAndWait("/standin/faults", "", R"({"freeze":true,"crash_on_path":"/x"})");
  Send("/a", "frozen");
  RunUntil([&] { return mBackend->Counters().mReceived == 1; });
  mContext.run_for(20ms);
  CHECK_EQUAL(0, mBackend->Counters().mExecuted);
  auto fatal = Send("/x");
  RunUntil([&] { return crashed; });
  fatal->Cancel();
  SendAndWait("/standin/faults", "", R"({"freeze":false})");
  RunUntil([&] { return mResponses.size() == 3; });
  CHECK_EQUAL(1, mBackend->Counters().mCompleted);
  const HttpResponse malformed = SendAndWait("/standin/faults", "", R"({"freeze":3})");
  CHECK_EQUAL(400, malformed.mStatus);
}
