#include "balsammount/backend_standin.h"
#include "balsammount/load_generator.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>
#include <set>

using namespace balsammount;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

TEST_GROUP(LoadGenerator)
{
  boost::asio::io_context mContext{ 1 };
  const tcp::endpoint mAnyPort{ boost::asio::ip::address_v4::loopback(), 0 };
  LoadSettings mSettings;

  void teardown() override
  {
    mContext.run_for(20ms);
  }

  LoadReport Run(uint16_t aPort)
  {
    mSettings.mTargets = { tcp::endpoint(mAnyPort.address(), aPort) };
    mSettings.mDuration = 200ms;
    std::optional<LoadReport> report;
    LoadGenerator generator(mContext, mSettings);
    generator.Start([&](const LoadReport& aReport) { report = aReport; });
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (!report && std::chrono::steady_clock::now() < end) {
      mContext.run_one_for(10ms);
    }
    CHECK(report.has_value());
    return report.value();
  }

  // Sends aResponse to every request.
  LoadReport RunAgainst(const HttpResponse& aResponse, const ExchangeHandler& aObserver = {})
  {
    HttpServer server(mContext, mAnyPort, {}, [&](const std::shared_ptr<Exchange>& aExchange) {
      if (aObserver) {
        aObserver(aExchange);
      }
      aExchange->Respond(aResponse);
    });
    CHECK(server.Start().has_value());
    return Run(server.Port());
  }
};

// Guards against requests missing from the report, and arrivals that a seed does not reproduce.
TEST(LoadGenerator, CountsEveryRequest)
{
  BackendSettings settings;
  settings.mListen = mAnyPort;
  settings.mServiceTime = 1ms;
  settings.mSlots = 1000;
  BackendStandin backend(mContext, settings);
  CHECK(backend.Start().has_value());
  mSettings.mFlows = { ParseFlow("name=a,path=/a,rate=200,deadline_ms=10000"),
                       ParseFlow("name=b,path=/b,method=POST,rate=100,key=yes,body_bytes=3000,"
                                 "deadline_ms=10000") };
  const LoadReport report = Run(backend.Port());
  const LoadReport again = Run(backend.Port());
  for (size_t i = 0; i < 2; ++i) {
    CHECK(report.mFlows[i].mOffered > 0);
    CHECK_EQUAL(report.mFlows[i].mOffered, report.mFlows[i].Count(Outcome::Success));
    CHECK_EQUAL(report.mFlows[i].mOffered, again.mFlows[i].mOffered);
    CHECK_EQUAL(report.mFlows[i].mOffered, report.mFlows[i].mLatencies.size());
  }
  // One execution per run.
  CHECK_EQUAL(2, backend.ExecutionsOfId("b-1-0"));
}

// Guards against counting a response to another request as goodput.
TEST(LoadGenerator, DetectsWrongResponses)
{
  mSettings.mFlows = { ParseFlow("rate=100,retries=3") };
  HttpResponse response;
  response.mBody = R"({"id":"flow-1-100000","path":"/","hash":1})";
  const FlowReport flow = RunAgainst(response).mFlows[0];
  CHECK(flow.mOffered > 0);
  CHECK_EQUAL(flow.mOffered, flow.Count(Outcome::WrongResponse));
  CHECK_EQUAL(flow.mOffered, flow.mAttempts);
}

// Guards against retries with a new idempotency key, and against retries of non-idempotent requests
// that may have been executed.
TEST(LoadGenerator, RetriesWithinLimits)
{
  mSettings.mFlows = { ParseFlow("name=keyed,method=POST,rate=50,retries=2,key=yes"),
                       ParseFlow("name=plain,method=POST,rate=50,retries=2") };
  HttpResponse response;
  response.mStatus = 502;
  response.mHeaders.Set("Balsam-Outcome", "unknown");
  std::map<std::string, std::set<std::string>> keys;
  const LoadReport report = RunAgainst(response, [&](const std::shared_ptr<Exchange>& aExchange) {
    const Headers& headers = aExchange->Request().mHeaders;
    keys[std::string(headers.Find("X-Test-Id"))].emplace(headers.Find("Idempotency-Key"));
  });
  CHECK_EQUAL(3 * report.mFlows[0].mOffered, report.mFlows[0].mAttempts);
  CHECK_EQUAL(report.mFlows[0].mOffered, report.mFlows[0].Count(Outcome::Unknown));
  CHECK_EQUAL(report.mFlows[1].mOffered, report.mFlows[1].mAttempts);
  CHECK_EQUAL(report.mFlows[0].mOffered + report.mFlows[1].mOffered, keys.size());
  for (const auto& [id, values] : keys) {
    CHECK_EQUAL(1, values.size());
  }
  response.mHeaders.Set("Balsam-Outcome", "not-run");
  const LoadReport refused = RunAgainst(response);
  CHECK_EQUAL(3 * refused.mFlows[1].mOffered, refused.mFlows[1].mAttempts);
  CHECK_EQUAL(refused.mFlows[1].mOffered, refused.mFlows[1].Count(Outcome::NotRun));
}

// Guards against timeouts missing from the report, and wrong percentiles.
TEST(LoadGenerator, TimeoutsAndPercentiles)
{
  tcp::acceptor silent(mContext, mAnyPort);
  mSettings.mFlows = { ParseFlow("rate=100,deadline_ms=20") };
  const FlowReport flow = Run(silent.local_endpoint().port()).mFlows[0];
  CHECK(flow.mOffered > 0);
  CHECK_EQUAL(flow.mOffered, flow.Count(Outcome::TimedOut));
  DOUBLES_EQUAL(99, Percentile({ 99, 1, 100, 50 }, 0.75), 0);
  DOUBLES_EQUAL(0, Percentile({}, 0.99), 0);
}

// Guards against misspelt settings and invalid values that are ignored.
TEST(LoadGenerator, RejectsUnknownSettings)
{
  CHECK_THROWS(std::invalid_argument, ParseFlow("name=a,raet=5"));
  CHECK_THROWS(std::invalid_argument, ParseFlow("rate=fast"));
  CHECK_THROWS(std::invalid_argument, ParseFlow("key=maybe"));
}
