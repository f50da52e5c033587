#include "executor.h"

#include "balsammount/log.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace balsammount;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

// Created before the tests, which would report their shared state as a leak.
const bool kLoggersExist = (Log("backend"), Log("admission"), true);

HeaderNames Names()
{
  HeaderNames names;
  names.mRequestId = "Id";
  names.mExpectedServer = "Expected-Server";
  names.mNotExecuted = "Not-Run";
  names.mServerStamp = "Stamp";
  names.mKeepRequestId = true;
  return names;
}

std::string Answer(const std::string& aId)
{
  return "HTTP/1.1 200 OK\r\nId: " + aId + "\r\nStamp: 1\r\nContent-Length: 2\r\n\r\nok";
}

std::string Refusal(const std::string& aId)
{
  const std::string id = aId.empty() ? "" : "Id: " + aId + "\r\n";
  return "HTTP/1.1 503 Full\r\n" + id + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

std::shared_ptr<const Config> MakeConfig()
{
  ConfigValues values;
  ServicePolicy service;
  service.mName = "orders";
  service.mSlots = 4;
  service.mLimits = { 1, 10, 10ms };
  values.mServices = { service };
  values.mRanks = { { "usual", {}, 1, 0 } };
  return std::make_shared<const Config>(std::move(values));
}

} // namespace

// An executor beside a backend server whose bytes the test writes.
TEST_GROUP(Executor)
{
  SystemClock mClock;
  boost::asio::io_context mContext{ 1 };
  tcp::acceptor mAcceptor{ mContext, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0) };
  tcp::socket mConnection{ mContext }; // of the last request that was read
  std::string mReceived;
  NodeSettings mSettings;
  HeaderNames mNames = Names();
  RecentOverload mOverload{ mClock };
  std::unique_ptr<Executor> mExecutor;
  std::optional<CallResult> mResult;

  void setup() override
  {
    mSettings.mService = "orders";
    mSettings.mBackend = mAcceptor.local_endpoint();
    mExecutor = std::make_unique<Executor>(mContext, mClock, mSettings, mOverload, mNames,
                                           ServerPresence::Announced, nullptr);
    mExecutor->ApplyConfig(MakeConfig());
    ServerLifecycle lifecycle("orders", "127.0.0.1:80");
    ServerAnnouncement announcement;
    announcement.mServerId = "server-1";
    announcement.mService = "orders";
    announcement.mAddress = "127.0.0.1:80";
    announcement.mSlots = 4;
    lifecycle.OnAnnouncement(announcement);
    mExecutor->SetServer(lifecycle);
  }

  void teardown() override
  {
    mExecutor->Stop();
    mConnection.close();
    mAcceptor.close();
    RunBriefly();
    mExecutor.reset();
  }

  void RunBriefly()
  {
    for (int i = 0; i < 10; ++i) {
      mContext.restart();
      mContext.run_one_for(2ms);
    }
  }

  template <class Condition>
  void RunUntil(Condition aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      mContext.restart();
      mContext.run_one_for(10ms);
    }
    CHECK(aCondition());
  }

  // Dispatches a request that is not idempotent.
  void Start(const std::string& aId, Duration aTimeLeft = 5s)
  {
    CallContext context;
    context.mRequestId = aId;
    context.mService = "orders";
    context.mRank = "usual";
    context.mDeadline = mClock.Now() + aTimeLeft;
    HttpRequest request;
    request.mMethod = "POST";
    request.mTarget = "/orders";
    mResult.reset();
    mExecutor->Execute(context, std::move(request), RequestBudget::ForAttempts(3),
                       [this](CallResult aResult) { mResult = std::move(aResult); });
  }

  // Reads the next request of the connection, which is accepted first if there is none.
  void ReadRequest()
  {
    bool done = false;
    const auto read = [&] {
      mReceived.clear();
      boost::asio::async_read_until(mConnection, boost::asio::dynamic_buffer(mReceived), "\r\n\r\n",
                                    [&](const auto&, size_t) { done = true; });
    };
    if (mConnection.is_open()) {
      read();
    } else {
      mAcceptor.async_accept(mConnection, [&](const auto&) { read(); });
    }
    RunUntil([&] { return done; });
  }

  void Write(const std::string& aBytes)
  {
    boost::asio::write(mConnection, boost::asio::buffer(aBytes));
  }

  AttemptOutcome Outcome()
  {
    RunUntil([&] { return mResult.has_value(); });
    return mResult->mOutcome;
  }

  // Leaves a kept connection whose last response is a refusal.
  void RefuseOne()
  {
    Start("a");
    ReadRequest();
    Write(Refusal("a"));
    CHECK(Outcome() == AttemptOutcome::NotRun);
  }
};

// Guards against a request that runs twice: the server repeats its refusal of an earlier request on
// a kept connection while it runs the next one. The caller was told that this one had not run, or
// another server ran it as well.
TEST(Executor, RepeatedRefusalDoesNotRefuseTheNextRequest)
{
  RefuseOne();
  Start("b");
  ReadRequest();
  Write(Refusal("a"));
  RunBriefly();
  CHECK_FALSE(mResult.has_value());
  Write(Answer("b"));
  CHECK(Outcome() == AttemptOutcome::Complete);
  CHECK_EQUAL(200, mResult->mResponse.mStatus);
  CHECK(mReceived.find("Id: b") != std::string::npos);
  CHECK_EQUAL(1, mExecutor->ForeignResponses());
}

// Guards against the promise that a request has not run when the server never answers it.
TEST(Executor, RepeatedRefusalWithoutAnswerLeavesTheOutcomeUnknown)
{
  RefuseOne();
  Start("b", 200ms);
  ReadRequest();
  Write(Refusal("a"));
  CHECK(Outcome() == AttemptOutcome::Unknown);
}

// Guards against a refusal that is taken for that of another request because it bears no id.
TEST(Executor, RefusalWithoutIdLeavesTheOutcomeUnknown)
{
  RefuseOne();
  Start("b");
  ReadRequest();
  Write(Refusal(""));
  CHECK(Outcome() == AttemptOutcome::Unknown);
}
