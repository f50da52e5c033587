#include "executor.h"

#include "samples.h"

#include "balsammount/log.h"
#include "balsammount/random.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>

using namespace balsammount;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

// Created before the tests, which would report their shared state as a leak.
const bool kLoggersExist = (Log("backend"), Log("admission"), true);

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

// A backend server that refuses half of its requests and repeats some of its responses when the
// next request has arrived on the same connection.
class RepeatingServer
{
public:
  RepeatingServer(boost::asio::io_context& aContext, tcp::acceptor& aAcceptor)
    : mContext(aContext)
    , mAcceptor(aAcceptor)
  {
    Accept();
  }

  size_t Runs(const std::string& aId) const { return mRuns.contains(aId) ? mRuns.at(aId) : 0; }
  size_t Copies() const { return mCopies; }
  void Close()
  {
    for (const auto& connection : mConnections) {
      connection->mSocket.close();
    }
  }

private:
  struct Connection
  {
    explicit Connection(boost::asio::io_context& aContext)
      : mSocket(aContext)
    {
    }
    tcp::socket mSocket;
    std::string mReceived;
    std::string mCopy; // of an earlier response, still to be sent
  };

  void Accept()
  {
    auto connection = std::make_shared<Connection>(mContext);
    mAcceptor.async_accept(connection->mSocket, [this, connection](const auto& aError) {
      if (!aError) {
        mConnections.push_back(connection);
        Read(connection);
        Accept();
      }
    });
  }

  void Read(const std::shared_ptr<Connection>& aConnection)
  {
    boost::asio::async_read_until(aConnection->mSocket,
                                  boost::asio::dynamic_buffer(aConnection->mReceived), "\r\n\r\n",
                                  [this, aConnection](const auto& aError, size_t) {
                                    if (!aError) {
                                      Handle(*aConnection);
                                      Read(aConnection);
                                    }
                                  });
  }

  void Handle(Connection& aConnection)
  {
    const std::string head = std::exchange(aConnection.mReceived, {});
    const size_t start = head.find("\r\nId: ") + 6;
    const std::string id = head.substr(start, head.find("\r\n", start) - start);
    const bool refuses = mRandom.Uniform() < 0.5;
    if (!refuses) {
      ++mRuns[id];
    }
    const std::string response = refuses ? Refusal(id) : Answer(id);
    std::string bytes = std::exchange(aConnection.mCopy, {});
    mCopies += bytes.empty() ? 0 : 1;
    if (mRandom.Uniform() < 0.3) {
      aConnection.mCopy = response;
    }
    bytes += response;
    boost::system::error_code ignored;
    boost::asio::write(aConnection.mSocket, boost::asio::buffer(bytes), ignored);
  }

  boost::asio::io_context& mContext;
  tcp::acceptor& mAcceptor;
  Random mRandom{ 1 };
  std::vector<std::shared_ptr<Connection>> mConnections;
  std::map<std::string, size_t> mRuns; // by request id
  size_t mCopies = 0;
};

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
  HeaderNames mNames = NamesWithRequestId();
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
    mExecutor->SetServer(AnnouncedServer());
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

  // Reads the next request of the connection, which is accepted first if there is none. Skips the
  // connections that the executor opens to find out whether the server is there.
  void ReadRequest()
  {
    if (!mConnection.is_open()) {
      Accept();
    }
    Read();
    RunUntil([&] { return mReceived.ends_with("\r\n\r\n"); });
  }

  void Accept()
  {
    bool accepted = false;
    mAcceptor.async_accept(mConnection, [&](const auto&) { accepted = true; });
    RunUntil([&] { return accepted; });
  }

  void Read()
  {
    mReceived.clear();
    boost::asio::async_read_until(mConnection, boost::asio::dynamic_buffer(mReceived), "\r\n\r\n",
                                  [&](const auto& aError, size_t) {
                                    if (aError == boost::asio::error::eof) {
                                      mConnection.close();
                                      mAcceptor.async_accept(mConnection,
                                                             [&](const auto&) { Read(); });
                                    }
                                  });
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

// Guards against refusals of requests that have run, at the rate at which an overloaded server
// refuses. With the retry budget used up, most of them reached the callers.
TEST(Executor, RefusalsAreTrueWhileTheServerRepeatsResponses)
{
  RepeatingServer server(mContext, mAcceptor);
  constexpr int kRequests = 500;
  int refused = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "request-" + std::to_string(i);
    Start(id);
    const AttemptOutcome outcome = Outcome();
    refused += outcome == AttemptOutcome::NotRun ? 1 : 0;
    CHECK_EQUAL(outcome == AttemptOutcome::NotRun ? 0 : 1, server.Runs(id));
  }
  CHECK(refused > kRequests / 4);
  CHECK(server.Copies() > kRequests / 20);
  server.Close();
}

// Guards against a success with an empty or short body: the server stops in the middle of the head
// or the body of its response and closes the connection.
TEST(Executor, TruncatedResponseIsNeverComplete)
{
  const std::string whole = Answer("a");
  for (size_t size = 0; size < whole.size(); ++size) {
    Start("a");
    ReadRequest();
    Write(whole.substr(0, size));
    mConnection.close();
    CHECK(Outcome() == AttemptOutcome::Unknown);
  }
}

// The same for a response that is reset.
TEST(Executor, ResetResponseIsNeverComplete)
{
  const std::string whole = Answer("a");
  for (size_t size = 0; size < whole.size(); ++size) {
    Start("a");
    ReadRequest();
    Write(whole.substr(0, size));
    mConnection.set_option(boost::asio::socket_base::linger(true, 0));
    mConnection.close();
    CHECK(Outcome() == AttemptOutcome::Unknown);
  }
}

// Guards against a trailer that counts as a field of the head: the claim that the request did not
// run, while the rest of the response says that it did.
TEST(Executor, TrailerDoesNotStateThatTheRequestDidNotRun)
{
  Start("a");
  ReadRequest();
  Write("HTTP/1.1 200 OK\r\nId: a\r\nStamp: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nok\r\n0\r\nNot-Run: 1\r\nOther: 1\r\n\r\n");
  CHECK(Outcome() == AttemptOutcome::Complete);
  CHECK_EQUAL(std::string("ok"), mResult->mResponse.mBody);
  CHECK_EQUAL(2, mResult->mResponse.mHeaders.All().size());
}

// Guards against a status that is none reaching the caller as an answer.
TEST(Executor, ResponseWithoutAValidStatusIsNeverComplete)
{
  for (const char* status : { "000", "099", "101", "600", "999" }) {
    std::string response = Answer("a");
    response.replace(response.find("200"), 3, status);
    Start("a");
    ReadRequest();
    Write(response);
    CHECK(Outcome() == AttemptOutcome::Unknown);
    const HttpResponse answer = CallerResponse(std::move(*mResult), mNames);
    CHECK_EQUAL(502, answer.mStatus);
    CHECK_FALSE(answer.mHeaders.Has(mNames.mServerStamp));
    mConnection.close();
  }
}

// Guards against requests that reach a leaving server long after its departure has been
// acknowledged and are lost with it: those that wait for a slot go back to the nodes that sent
// them.
TEST(Executor, DepartureReturnsTheRequestsThatWait)
{
  constexpr size_t kRequests = 8;
  // The requests in flight end after the test.
  const auto results = std::make_shared<std::vector<CallResult>>();
  for (size_t i = 0; i < kRequests; ++i) {
    CallContext context;
    context.mRequestId = "request-" + std::to_string(i);
    context.mService = "orders";
    context.mRank = "usual";
    context.mDeadline = mClock.Now() + 60s;
    mExecutor->Execute(context, {}, RequestBudget::ForAttempts(3),
                       [results](CallResult aResult) { results->push_back(std::move(aResult)); });
  }
  const AdmissionStats before = mExecutor->Admission().Stats();
  CHECK(before.mInFlight > 0);
  CHECK(before.mQueued > 0);
  ServerLifecycle lifecycle = AnnouncedServer();
  lifecycle.OnDeparture("server-1", std::nullopt, mClock.WallNow());
  mExecutor->SetServer(lifecycle);
  CHECK_EQUAL(before.mQueued, results->size());
  for (const CallResult& result : *results) {
    CHECK(result.mOutcome == AttemptOutcome::NotRun);
    CHECK(result.mReason == CallReason::Draining);
    CHECK_FALSE(result.mReachedServer); // does not count as an attempt
  }
  CHECK_EQUAL(before.mInFlight, mExecutor->Admission().Stats().mInFlight);
  CHECK_EQUAL(0, mExecutor->Admission().Stats().mQueued);
}
