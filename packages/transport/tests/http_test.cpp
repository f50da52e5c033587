#include "balsammount/http_client.h"
#include "balsammount/http_server.h"

#include "balsammount/unhandled.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

const tcp::endpoint kAnyHttpPort(boost::asio::ip::address_v4::loopback(), 0);

HttpRequest Post(std::string aBody)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mBody = std::move(aBody);
  return request;
}

// Sends the same bytes again and again until the other side closes the connection.
struct EndlessSender
{
  void Send()
  {
    boost::asio::async_write(mSocket, boost::asio::buffer(mBytes),
                             [this](const auto& aError, size_t aCount) {
                               mSent += aCount;
                               mClosed = static_cast<bool>(aError);
                               if (!mClosed) {
                                 Send();
                               }
                             });
  }

  tcp::socket& mSocket;
  std::string mBytes;
  size_t mSent = 0;
  bool mClosed = false;
};

} // namespace

TEST_GROUP(Http)
{
  boost::asio::io_context mContext{ 1 };
  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<HttpClient> mClient;
  std::vector<std::shared_ptr<HttpExchange>> mExchanges;
  std::vector<std::string> mResponses;

  void setup() override
  {
    HttpServerLimits limits;
    limits.mMaxStreamBacklogBytes = 1024 * 1024;
    mServer = std::make_unique<HttpServer>(
      mContext, kAnyHttpPort, limits, [this](std::shared_ptr<Exchange> aExchange) {
        mExchanges.push_back(std::static_pointer_cast<HttpExchange>(std::move(aExchange)));
      });
    CHECK(mServer->Start().has_value());
    mClient = MakeClient(mServer->Port());
  }

  void teardown() override
  {
    for (const auto& exchange : mExchanges) {
      exchange->Abort();
    }
    mExchanges.clear();
    mClient.reset();
    mServer.reset();
    mContext.run_for(20ms);
  }

  std::unique_ptr<HttpClient> MakeClient(uint16_t aPort)
  {
    return std::make_unique<HttpClient>(mContext, tcp::endpoint(kAnyHttpPort.address(), aPort));
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

  std::shared_ptr<Call> Send(std::string aBody, std::chrono::milliseconds aTimeout = 5000ms)
  {
    return mClient->Send(Post(std::move(aBody)), aTimeout, [this](auto aResult) {
      mResponses.push_back(aResult ? aResult->mBody.Bytes() : aResult.error().mCode.message());
    });
  }

  // Sends a request and responds with its body.
  void Echo(const std::string& aBody)
  {
    const size_t responseCount = mResponses.size();
    const size_t exchangeCount = mExchanges.size();
    auto call = Send(aBody);
    RunUntil([&] { return mExchanges.size() > exchangeCount; });
    HttpResponse response;
    response.mBody = mExchanges.back()->Request().mBody;
    mExchanges.back()->Respond(std::move(response));
    mExchanges.pop_back();
    RunUntil([&] { return mResponses.size() > responseCount; });
    CHECK_EQUAL(aBody, mResponses.back());
  }

  // Runs ready handlers. Counts iterations, because on a busy machine a fixed time may run none.
  void RunBriefly()
  {
    for (int i = 0; i < 20; ++i) {
      mContext.run_one_for(2ms);
    }
  }

  // Accepts one connection and responds to its first read with fixed bytes.
  void ServeRaw(tcp::acceptor & aAcceptor, const std::string& aBytes)
  {
    auto socket = std::make_shared<tcp::socket>(mContext);
    auto buffer = std::make_shared<std::string>(4096, '\0');
    aAcceptor.async_accept(*socket, [=](const auto&) {
      socket->async_read_some(boost::asio::buffer(*buffer), [=](const auto&, size_t) {
        auto bytes = std::make_shared<std::string>(aBytes);
        boost::asio::async_write(*socket, boost::asio::buffer(*bytes),
                                 [socket, buffer, bytes](const auto&, size_t) {});
      });
    });
  }
};

// Guards against use of a destroyed client: calls start after Send has returned.
TEST(Http, ClientDestroyedBeforeCallStarts)
{
  auto call = Send("a");
  mClient.reset();
  RunUntil([&] { return mExchanges.size() == 1; });
  mExchanges[0]->Respond({});
  RunUntil([&] { return mResponses.size() == 1; });
}

// Guards against closing the connection of another call: the connection of a finished call is
// reused.
TEST(Http, CancelAfterResponseHasNoEffect)
{
  auto first = Send("first");
  RunUntil([&] { return mExchanges.size() == 1; });
  mExchanges[0]->Respond({});
  RunUntil([&] { return mResponses.size() == 1; });
  auto second = Send("second");
  RunUntil([&] { return mExchanges.size() == 2; });
  first->Cancel();
  HttpResponse response;
  response.mBody = "whole";
  mExchanges[1]->Respond(std::move(response));
  RunUntil([&] { return mResponses.size() == 2; });
  CHECK_EQUAL(std::string("whole"), mResponses[1]);
  CHECK_EQUAL(1, mServer->Connections());
}

// Guards against a reference cycle that leaked every request: the filter owned the caller's state,
// which owned the call.
TEST(Http, FinishedCallReleasesItsFilter)
{
  const auto state = std::make_shared<int>(0);
  const auto send = [&] {
    return mClient->Send(
      Post("a"), 5000ms, [this](const auto&) { mResponses.emplace_back(); },
      [state](const HttpResponse&) { return ResponseMatch::Own; });
  };
  const auto finished = send();
  RunUntil([&] { return mExchanges.size() == 1; });
  mExchanges[0]->Respond({});
  RunUntil([&] { return mResponses.size() == 1; });
  CHECK_EQUAL(1, state.use_count());

  const auto cancelled = send();
  RunUntil([&] { return mExchanges.size() == 2; });
  cancelled->Cancel();
  CHECK_EQUAL(1, state.use_count());
}

// Guards against surplus bytes after a response being read as the response to the next request.
TEST(Http, SurplusBytesAreNotTheNextResponse)
{
  tcp::acceptor acceptor(mContext, kAnyHttpPort);
  const std::string one = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
  const std::string two = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo";
  mClient = MakeClient(acceptor.local_endpoint().port());
  ServeRaw(acceptor, one + two);
  Send("a");
  RunUntil([&] { return mResponses.size() == 1; });
  ServeRaw(acceptor, one);
  Send("b");
  RunUntil([&] { return mResponses.size() == 2; });
  CHECK_EQUAL(std::string("one"), mResponses[1]);
}

// Guards against a truncated response being delivered as complete.
TEST(Http, TruncatedResponseIsConnectionLost)
{
  tcp::acceptor acceptor(mContext, kAnyHttpPort);
  mClient = MakeClient(acceptor.local_endpoint().port());
  ServeRaw(acceptor, "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nshort");
  Send("a");
  ServeRaw(acceptor, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nno length");
  Send("b");
  RunUntil([&] { return mResponses.size() == 2; });
  CHECK_EQUAL(std::string("connection lost before the whole answer"), mResponses[0]);
  CHECK_EQUAL(std::string("connection lost before the whole answer"), mResponses[1]);
}

// Guards against an interim response such as 100 Continue being taken for the final one.
TEST(Http, InterimResponsesAreSkipped)
{
  tcp::acceptor acceptor(mContext, kAnyHttpPort);
  mClient = MakeClient(acceptor.local_endpoint().port());
  ServeRaw(acceptor,
           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfinal");
  Send("a");
  RunUntil([&] { return mResponses.size() == 1; });
  CHECK_EQUAL(std::string("final"), mResponses[0]);
}

// Guards against work that continues after the client disconnects, because the cancel is lost.
TEST(Http, DisconnectCancelsTheExchange)
{
  bool cancelled = false;
  auto call = Send("a");
  RunUntil([&] { return mExchanges.size() == 1; });
  mExchanges[0]->OnCancel([&] { cancelled = true; });
  call->Cancel();
  RunUntil([&] { return cancelled; });
  CHECK(mResponses.empty());
  Echo("still served");
}

// Guards against a stop that interrupts a request in flight, including one that is still being
// read.
TEST(Http, StopFinishesRequestsInFlight)
{
  tcp::socket socket(mContext);
  socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
  boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost:")));
  RunUntil([&] { return mServer->Connections() == 1; });
  RunBriefly();
  mServer->Stop();
  RunBriefly();
  boost::asio::write(socket, boost::asio::buffer(std::string(" x\r\n\r\n")));
  RunUntil([&] { return mExchanges.size() == 1; });
  mExchanges[0]->Respond({});
  RunUntil([&] { return mServer->Connections() == 0; });
  std::string response(1000, '\0');
  boost::system::error_code error;
  response.resize(boost::asio::read(socket, boost::asio::buffer(response), error));
  CHECK(response.starts_with("HTTP/1.1 200"));
}

// Guards against a request that is dispatched but never answered, because it arrived while the
// response that closes the connection was being written. This happened in a rolling restart with
// pipelining clients.
TEST(Http, EveryDispatchedRequestIsAnswered)
{
  tcp::socket socket(mContext);
  socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
  const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(request));
  RunUntil([&] { return mExchanges.size() == 1; });
  mServer->CloseConnections();
  mExchanges[0]->Respond({});
  // Runs only the writer, so that it decides to close before the next request arrives.
  mContext.poll_one();
  boost::asio::write(socket, boost::asio::buffer(request));
  RunBriefly();
  for (size_t i = 1; i < mExchanges.size(); ++i) {
    mExchanges[i]->Respond({});
  }
  RunUntil([&] { return mServer->Connections() == 0 || mExchanges.size() > 1; });
  RunBriefly();
  std::string responses(4000, '\0');
  boost::system::error_code error;
  responses.resize(boost::asio::read(socket, boost::asio::buffer(responses), error));
  size_t count = 0;
  for (size_t position = responses.find("HTTP/1.1 200"); position != std::string::npos;
       position = responses.find("HTTP/1.1 200", position + 1)) {
    ++count;
  }
  CHECK_EQUAL(mExchanges.size(), count);
  CHECK(responses.find("Connection: close") != std::string::npos);
}

// Guards against pipelined requests that are answered out of order or run one after the other.
TEST(Http, PipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder)
{
  tcp::socket socket(mContext);
  socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
  std::string requests;
  for (const char* path : { "/1", "/2", "/3" }) {
    requests += std::string("GET ") + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
  }
  boost::asio::write(socket, boost::asio::buffer(requests));
  RunUntil([&] { return mExchanges.size() == 3; });
  for (const size_t index : { 2U, 0U, 1U }) {
    HttpResponse response;
    response.mBody = mExchanges[index]->Request().mTarget;
    mExchanges[index]->Respond(std::move(response));
  }
  RunBriefly();
  std::string responses(4000, '\0');
  responses.resize(socket.read_some(boost::asio::buffer(responses)));
  CHECK(responses.find("/1") < responses.find("/2"));
  CHECK(responses.find("/2") < responses.find("/3"));
  CHECK(responses.find("/3") != std::string::npos);
}

// Guards against requests that a proxy and a backend server could attribute to different hosts.
TEST(Http, AmbiguousHostIsRefused)
{
  for (const char* hosts : { "", "Host: a\r\nHost: b\r\n" }) {
    tcp::socket socket(mContext);
    socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
    boost::asio::write(socket,
                       boost::asio::buffer(std::string("GET / HTTP/1.1\r\n") + hosts + "\r\n"));
    RunBriefly();
    std::string response(1000, '\0');
    response.resize(socket.read_some(boost::asio::buffer(response)));
    CHECK(response.starts_with("HTTP/1.1 400"));
  }
  CHECK(mExchanges.empty());
}

// Guards against a late second response being taken for the response to the next request.
TEST(Http, MismatchedResponseIsDropped)
{
  tcp::acceptor acceptor(mContext, kAnyHttpPort);
  auto client = MakeClient(acceptor.local_endpoint().port());
  std::string response;
  client->Send(
    Post("a"), 5s, [&](auto aResult) { response = aResult ? aResult->mBody : "failed"; },
    [](const HttpResponse& aResponse) {
      return aResponse.mHeaders.Find("Id") == "mine" ? ResponseMatch::Own : ResponseMatch::Other;
    });
  tcp::socket socket(mContext);
  bool accepted = false;
  acceptor.async_accept(socket, [&](const auto&) { accepted = true; });
  RunUntil([&] { return accepted; });
  boost::asio::write(
    socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n"
                                            "\r\nxHTTP/1.1 200 OK\r\nId: mine\r\n"
                                            "Content-Length: 1\r\n\r\ny")));
  RunUntil([&] { return !response.empty(); });
  STRCMP_EQUAL("y", response.c_str());
}

// Guards against requests on connections that the server is about to close, and against keeping
// the idle connections that a load peak leaves behind.
TEST(Http, ExpiredIdleConnectionsAreClosed)
{
  HttpClientLimits limits;
  limits.mMaxIdleTime = 50ms;
  mClient = std::make_unique<HttpClient>(
    mContext, tcp::endpoint(kAnyHttpPort.address(), mServer->Port()), limits);
  Send("a");
  Send("b");
  RunUntil([&] { return mExchanges.size() == 2; });
  CHECK_EQUAL(2, mServer->Connections());
  mExchanges[0]->Respond({});
  mExchanges[1]->Respond({});
  RunUntil([&] { return mResponses.size() == 2; });
  mContext.run_for(60ms);
  Echo("c");
  RunUntil([&] { return mServer->Connections() == 1; });
}

// Guards against refused connections whose clients cannot tell whether their request was executed.
TEST(Http, ConnectionOverTheLimitIsRefused)
{
  HttpServerLimits limits;
  limits.mMaxConnections = 1;
  HttpServer limitedServer(
    mContext, kAnyHttpPort, limits, [this](std::shared_ptr<Exchange> aExchange) {
      mExchanges.push_back(std::static_pointer_cast<HttpExchange>(std::move(aExchange)));
    });
  CHECK(limitedServer.Start().has_value());
  mClient = MakeClient(limitedServer.Port());
  Send("first");
  RunUntil([&] { return mExchanges.size() == 1; });
  std::string outcome;
  mClient->Send(Post("second"), 5s, [&](const Result<HttpResponse>& aResult) {
    outcome = aResult ? aResult->mHeaders.Find("Balsam-Outcome") : "failed";
  });
  RunUntil([&] { return !outcome.empty(); });
  CHECK_EQUAL(std::string("not-run"), outcome);
  CHECK_EQUAL(1, mExchanges.size());
  mExchanges[0]->Respond({});
  RunUntil([&] { return mResponses.size() == 1; });
  Echo("third");
}

// Guards against a client that waits forever for 100 Continue before it sends its body.
TEST(Http, ExpectContinueIsAnswered)
{
  tcp::socket socket(mContext);
  socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
  boost::asio::write(
    socket, boost::asio::buffer(std::string("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
                                            "Expect: 100-continue\r\n\r\n")));
  RunUntil([&] { return socket.available() > 0; });
  boost::asio::write(socket, boost::asio::buffer(std::string("ok")));
  RunUntil([&] { return mExchanges.size() == 1; });
  CHECK_EQUAL(std::string("ok"), mExchanges[0]->Request().mBody);
  CHECK_FALSE(mExchanges[0]->Request().mHeaders.Has("Expect"));
}

// Guards against 100 Continue inside the body of an earlier response.
TEST(Http, ContinueFollowsTheEarlierResponse)
{
  const std::string body(7 * 1024 * 1024, 'a'); // more than the buffers of the sockets hold
  tcp::socket socket(mContext);
  socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
  boost::asio::write(socket, boost::asio::buffer(std::string(
                               "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nPOST /2 HTTP/1.1\r\nHost: x\r\n"
                               "Content-Length: 2\r\nExpect: 100-continue\r\n\r\n")));
  RunUntil([&] { return mExchanges.size() == 1; });
  HttpResponse response;
  response.mBody = body;
  mExchanges[0]->Respond(std::move(response));
  RunBriefly();
  std::string received;
  socket.non_blocking(true);
  const auto receive = [&] {
    std::string bytes(1024 * 1024, ' ');
    boost::system::error_code error;
    received.append(bytes, 0, socket.read_some(boost::asio::buffer(bytes), error));
    return received.ends_with("100 Continue\r\n\r\n");
  };
  RunUntil(receive);
  const size_t bodyStart = received.find("\r\n\r\n") + 4;
  CHECK(received.compare(bodyStart, body.size(), body) == 0);
  STRCMP_EQUAL("HTTP/1.1 100 Continue\r\n\r\n", received.substr(bodyStart + body.size()).c_str());
  boost::asio::write(socket, boost::asio::buffer(std::string("ok")));
  RunUntil([&] { return mExchanges.size() == 2; });
  CHECK_EQUAL(std::string("ok"), mExchanges[1]->Request().mBody);
}

// Guards against a client that sends a body for nothing, and against a request that runs although
// its expectation is not understood.
TEST(Http, NoContinueWithoutNeed)
{
  const auto statusLine = [this](const std::string& aVersion, const std::string& aFields,
                                 const std::string& aBody) {
    tcp::socket socket(mContext);
    socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
    boost::asio::write(socket, boost::asio::buffer("POST / HTTP/" + aVersion + "\r\nHost: x\r\n" +
                                                   aFields + "\r\n" + aBody));
    const size_t exchanges = mExchanges.size();
    RunUntil([&] { return socket.available() > 0 || mExchanges.size() > exchanges; });
    std::string response(socket.available(), ' ');
    boost::system::error_code error;
    socket.read_some(boost::asio::buffer(response), error);
    return response.substr(0, 12);
  };
  const std::string expect = "Expect: 100-continue\r\n";
  CHECK_EQUAL(std::string("HTTP/1.1 413"),
              statusLine("1.1", "Content-Length: 99999999\r\n" + expect, ""));
  CHECK_EQUAL(std::string("HTTP/1.1 400"),
              statusLine("1.1", "Host: y\r\nContent-Length: 2\r\n" + expect, ""));
  CHECK_EQUAL(std::string("HTTP/1.1 501"),
              statusLine("1.1", "Transfer-Encoding: gzip, chunked\r\n" + expect, ""));
  for (const char* unknown : { "Expect: 200-ok\r\n", "Expect:\r\n", "Expect: 100-continue, x\r\n",
                               "Expect: 100-continue\r\nExpect: x\r\n" }) {
    CHECK_EQUAL(std::string("HTTP/1.1 417"),
                statusLine("1.1", std::string("Content-Length: 2\r\n") + unknown, "ok"));
  }
  CHECK(mExchanges.empty());
  CHECK_EQUAL(std::string(), statusLine("1.1", "Content-Length: 2\r\n" + expect, "ok"));
  CHECK_EQUAL(std::string(), statusLine("1.0", "Content-Length: 2\r\n" + expect, "ok"));
  CHECK_EQUAL(2, mExchanges.size());
}

TEST_GROUP_BASE(HttpStream, TEST_GROUP_CppUTestGroupHttp)
{
  std::string mBody;
  std::string mEnd;

  std::shared_ptr<Call> Open(std::chrono::milliseconds aIdleTimeout = 5000ms)
  {
    StreamCallbacks callbacks;
    callbacks.mOnHead = [this](const HttpResponse& aHead) {
      mBody += std::to_string(aHead.mStatus) + " ";
    };
    callbacks.mOnData = [this](std::string_view aData) { mBody += aData; };
    callbacks.mOnEnd = [this](const Result<void>& aResult) {
      mEnd = aResult ? "complete" : aResult.error().mCode.message();
    };
    auto call = mClient->Stream(Post("watch"), aIdleTimeout, std::move(callbacks));
    RunUntil([&] { return mExchanges.size() == 1; });
    return call;
  }
};

// Guards against data that is held back until the end of the response, and against a lost end.
TEST(HttpStream, DeliversDataAsItArrives)
{
  auto call = Open();
  mExchanges[0]->StartStream({});
  CHECK(mExchanges[0]->WriteData("a"));
  RunUntil([&] { return mBody == "200 a"; });
  CHECK(mExchanges[0]->WriteData("b"));
  RunUntil([&] { return mBody == "200 ab"; });
  mExchanges[0]->EndStream();
  RunUntil([&] { return !mEnd.empty(); });
  CHECK_EQUAL(std::string("complete"), mEnd);
  CHECK_FALSE(mExchanges[0]->WriteData("c"));
}

// Guards against an aborted stream that appears complete, and against one that hangs forever.
TEST(HttpStream, ReportsConnectionLossAndIdleTimeout)
{
  auto call = Open();
  mExchanges[0]->StartStream({});
  mExchanges[0]->WriteData("a");
  RunUntil([&] { return mBody == "200 a"; });
  mExchanges[0]->Abort();
  RunUntil([&] { return !mEnd.empty(); });
  CHECK_EQUAL(std::string("connection lost before the whole answer"), mEnd);
  mExchanges.clear();
  mEnd.clear();
  call = Open(50ms);
  mExchanges[0]->StartStream({});
  RunUntil([&] { return !mEnd.empty(); });
  CHECK_EQUAL(std::string("no whole answer in time"), mEnd);
}

// Guards against streams that are kept after their client has disconnected.
TEST(HttpStream, DisconnectCancelsTheStream)
{
  bool cancelled = false;
  auto call = Open();
  mExchanges[0]->OnCancel([&] { cancelled = true; });
  mExchanges[0]->StartStream({});
  RunUntil([&] { return !mBody.empty(); });
  call->Cancel();
  RunUntil([&] { return cancelled; });
  CHECK(mEnd.empty());
}

// Guards against unbounded memory use for a client that does not read.
TEST(HttpStream, SlowReaderIsDisconnected)
{
  tcp::socket socket(mContext);
  socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
  boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
  RunUntil([&] { return mExchanges.size() == 1; });
  mExchanges[0]->StartStream({});
  size_t writes = 0;
  while (mExchanges[0]->WriteData(std::string(100'000, 'x')) && writes < 1000) {
    ++writes;
    mContext.run_one_for(1ms);
  }
  CHECK(writes < 1000);
  RunUntil([&] { return mServer->Connections() == 0; });
}

// Guards against chunked encoding for an HTTP/1.0 client, which would take it for the body.
TEST(HttpStream, Http10ClientIsRefused)
{
  tcp::socket socket(mContext);
  socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
  boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.0\r\n\r\n")));
  RunUntil([&] { return mExchanges.size() == 1; });
  mExchanges[0]->StartStream({});
  RunUntil([&] { return mServer->Connections() == 0; });
  std::string response(1000, '\0');
  boost::system::error_code error;
  response.resize(boost::asio::read(socket, boost::asio::buffer(response), error));
  CHECK(response.starts_with("HTTP/1.0 505"));
}

// Guards against an exception of a handler that stops the process, or that leaves its request and
// all others on the connection without a response.
TEST(Http, HandlerExceptionEndsOnlyItsRequest)
{
  const uint64_t before = UnhandledExceptions();
  bool fails = true;
  HttpServer server(mContext, kAnyHttpPort, {}, [&](const std::shared_ptr<Exchange>& aExchange) {
    if (std::exchange(fails, false)) {
      throw std::runtime_error("no such field");
    }
    HttpResponse response;
    response.mBody = "served";
    aExchange->Respond(std::move(response));
  });
  CHECK(server.Start().has_value());
  const auto client = MakeClient(server.Port());
  std::vector<unsigned> statuses;
  const auto send = [&] {
    return client->Send(Post("a"), 5s, [&](const Result<HttpResponse>& aResult) {
      statuses.push_back(aResult ? aResult->mStatus : 0);
      if (aResult && aResult->mStatus == 500) {
        STRCMP_EQUAL("unknown", std::string(aResult->mHeaders.Find("Balsam-Outcome")).c_str());
      }
    });
  };
  auto first = send();
  RunUntil([&] { return statuses.size() == 1; });
  auto second = send();
  RunUntil([&] { return statuses.size() == 2; });
  CHECK_EQUAL(500, statuses[0]);
  CHECK_EQUAL(200, statuses[1]);
  CHECK_EQUAL(before + 1, UnhandledExceptions());
  server.Stop();
}

// Guards against a call that never ends, or a process that does, because of an exception in the
// code of the caller.
TEST(Http, ExceptionOfFilterOrCallbackEndsOnlyItsCall)
{
  const uint64_t before = UnhandledExceptions();
  auto call = mClient->Send(
    Post("a"), 5s,
    [this](const Result<HttpResponse>& aResult) {
      mResponses.push_back(aResult ? "served" : aResult.error().mCode.message());
      throw std::runtime_error("callback");
    },
    [](const HttpResponse&) -> ResponseMatch { throw std::runtime_error("filter"); });
  RunUntil([&] { return mExchanges.size() == 1; });
  mExchanges[0]->Respond({});
  RunUntil([&] { return mResponses.size() == 1; });
  CHECK(mResponses[0] != "served");
  CHECK_EQUAL(before + 2, UnhandledExceptions());
  Echo("next");
}

// Guards against memory and processor time that a faulty server takes with bytes that never become
// a response.
TEST(Http, EndlessBytesEndTheConnection)
{
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const struct
  {
    std::string mStart;
    std::string mRepeated;
    TransportError mError = TransportError::TooLarge;
  } kCases[] = {
    { "", std::string(1000, 'x'), TransportError::InvalidResponse },
    { head, "X-Filler: " + std::string(1000, 'x') + "\r\n" },
    { head + "X-Filler: ", std::string(1000, 'x') },
    { head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + std::string(1024, 'x') + "\r\n" },
    { head + "Transfer-Encoding: chunked\r\n\r\n1;", std::string(1000, 'x') },
    { head + "\r\n", std::string(1000, 'x') },
    { head + "Content-Length: 99999999999999\r\n\r\n", std::string(1000, 'x') },
    { "", "HTTP/1.1 100 Continue\r\n\r\n" },
  };
  for (const auto& one : kCases) {
    tcp::acceptor acceptor(mContext, kAnyHttpPort);
    tcp::socket socket(mContext);
    EndlessSender sender{ socket, one.mRepeated };
    acceptor.async_accept(socket, [&](const auto&) {
      boost::asio::async_write(socket, boost::asio::buffer(one.mStart),
                               [&](const auto&, size_t) { sender.Send(); });
    });
    HttpClientLimits limits;
    limits.mMaxBodyBytes = 1024 * 1024;
    limits.mAcceptCloseDelimited = true;
    HttpClient client(mContext, { kAnyHttpPort.address(), acceptor.local_endpoint().port() },
                      limits);
    std::error_code error;
    auto call = client.Send(Post("a"), 30s, [&](const Result<HttpResponse>& aResult) {
      error = aResult ? std::error_code() : aResult.error().mCode;
    });
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!(error && sender.mClosed) && std::chrono::steady_clock::now() < end) {
      mContext.run_one_for(10ms);
    }
    CHECK_TEXT(error && sender.mClosed, (one.mStart + one.mRepeated.substr(0, 20)).c_str());
    // The socket buffers of both sides hold some megabytes.
    CHECK(sender.mSent < 64 * 1024 * 1024);
    CHECK_TEXT(error == one.mError, (one.mStart + one.mRepeated.substr(0, 20)).c_str());
  }
}

// Guards against memory that a client takes with bytes that never become a request.
TEST(Http, EndlessRequestEndsTheConnection)
{
  const std::string head = "POST / HTTP/1.1\r\nHost: x\r\n";
  for (const std::string& start :
       { head + "X-Filler: ", head + "Transfer-Encoding: chunked\r\n\r\n1;" }) {
    tcp::socket socket(mContext);
    socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
    EndlessSender sender{ socket, std::string(1000, 'x') };
    boost::asio::write(socket, boost::asio::buffer(start));
    std::string status(12, '\0');
    bool responded = false;
    boost::asio::async_read(socket, boost::asio::buffer(status),
                            [&](const auto&, size_t) { responded = true; });
    sender.Send();
    RunUntil([&] { return responded; });
    STRCMP_EQUAL("HTTP/1.1 431", status.c_str());
    CHECK(sender.mSent < 64 * 1024 * 1024);
    socket.close();
    RunUntil([&] { return sender.mClosed; });
  }
}

// Guards against many large responses that together exceed the memory of the process.
TEST(Http, ResponsesShareABudget)
{
  HttpClientLimits limits;
  SystemClock clock;
  limits.mBudget = std::make_shared<ResourceBudget>(ResourceLimits{ 4 * 1024 * 1024 }, clock);
  auto client = std::make_unique<HttpClient>(
    mContext, tcp::endpoint(kAnyHttpPort.address(), mServer->Port()), limits);
  std::vector<std::error_code> errors;
  std::vector<std::shared_ptr<Call>> calls;
  const auto send = [&] {
    calls.push_back(client->Send(Post("a"), 5s, [&](const Result<HttpResponse>& aResult) {
      errors.push_back(aResult ? std::error_code() : aResult.error().mCode);
    }));
  };
  send();
  send();
  RunUntil([&] { return mExchanges.size() == 2; });
  for (const auto& exchange : mExchanges) {
    // Streams without an end hold what has arrived.
    exchange->StartStream({});
    exchange->WriteData(std::string(1000 * 1024, 'x'));
  }
  RunUntil([&] { return limits.mBudget->UsedBytes() >= 2 * 1000 * 1024; });
  send();
  RunUntil([&] { return mExchanges.size() == 3; });
  HttpResponse large;
  large.mBody = std::string(2 * 1024 * 1024, 'x');
  mExchanges[2]->Respond(std::move(large));
  RunUntil([&] { return errors.size() == 1; });
  CHECK(errors[0] == TransportError::TooLarge);
  for (size_t i = 0; i < 2; ++i) {
    mExchanges[i]->EndStream();
  }
  RunUntil([&] { return errors.size() == 3; });
  CHECK_FALSE(errors[1] || errors[2]);
  client.reset(); // closes the idle connections, which hold some bytes too
  RunUntil([&] { return limits.mBudget->UsedBytes() == 0; });
  CHECK_EQUAL(0, limits.mBudget->UsedSockets());
}

// Guards against many large requests that together exceed the memory of the process. Those beyond
// the budget have not run.
TEST(Http, RequestsShareABudget)
{
  constexpr size_t kConnectionBytes = 64 * 1024; // less than this is held without a request
  HttpServerLimits limits;
  SystemClock clock;
  limits.mBudget = std::make_shared<ResourceBudget>(ResourceLimits{ 4 * 1024 * 1024 }, clock);
  mServer->SetLimits(limits);
  std::vector<unsigned> statuses;
  std::vector<std::shared_ptr<Call>> calls;
  const auto send = [&] {
    calls.push_back(mClient->Send(Post(std::string(2 * 1024 * 1024, 'x')), 5s,
                                  [&](const Result<HttpResponse>& aResult) {
                                    statuses.push_back(aResult ? aResult->mStatus : 0);
                                  }));
  };
  send();
  RunUntil([&] { return mExchanges.size() == 1; });
  send();
  RunUntil([&] { return statuses.size() == 1; });
  CHECK_EQUAL(503, statuses[0]);
  mExchanges[0]->Respond({});
  mExchanges.clear();
  RunUntil([&] { return statuses.size() == 2 && limits.mBudget->UsedBytes() < kConnectionBytes; });
  send();
  RunUntil([&] { return mExchanges.size() == 1; });
  mExchanges[0]->Respond({});
  RunUntil([&] { return statuses.size() == 3; });
  CHECK_EQUAL(200, statuses[2]);
  mExchanges.clear();
  mClient.reset();
  RunUntil([&] { return limits.mBudget->UsedBytes() == 0; });
  CHECK_EQUAL(0, limits.mBudget->UsedSockets());
}

// Guards against an upload that stops short of its end and keeps others out. Its client is told
// that the request has not run.
TEST(Http, StalledUploadYieldsToAnother)
{
  HttpServerLimits limits;
  ManualClock clock;
  limits.mBudget = std::make_shared<ResourceBudget>(ResourceLimits{ 4 * 1024 * 1024 }, clock);
  mServer->SetLimits(limits);
  tcp::socket socket(mContext);
  socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
  boost::asio::write(socket,
                     boost::asio::buffer(std::string(
                       "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\nxxxxxxxx")));
  RunUntil([&] { return limits.mBudget->UsedBytes() > 2'000'000; });
  clock.Advance(2s);
  Send(std::string(2'000'000, 'y'));
  RunUntil([&] { return mExchanges.size() == 1; });
  CHECK_EQUAL(2'000'000, mExchanges[0]->Request().mBody.size());
  std::string answer(12, '\0');
  bool answered = false;
  boost::asio::async_read(socket, boost::asio::buffer(answer),
                          [&](const auto&, size_t) { answered = true; });
  RunUntil([&] { return answered; });
  STRCMP_EQUAL("HTTP/1.1 503", answer.c_str());
  mExchanges[0]->Respond({});
  RunUntil([&] { return mResponses.size() == 1; });
  mExchanges.clear();
  mClient.reset();
  socket.close();
  RunUntil([&] { return limits.mBudget->UsedBytes() == 0; });
  CHECK_EQUAL(0, limits.mBudget->UsedSockets());
}

// Guards against a long answer that a client does not read and that keeps others out.
TEST(Http, AnswerThatIsNotReadYieldsToAnother)
{
  constexpr size_t kAnswerBytes = 7 * 1024 * 1024; // more than the buffers of the sockets hold
  HttpServerLimits limits;
  ManualClock clock;
  limits.mBudget = std::make_shared<ResourceBudget>(ResourceLimits{ 10 * 1024 * 1024 }, clock);
  mServer->SetLimits(limits);
  tcp::socket socket(mContext);
  socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
  boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
  RunUntil([&] { return mExchanges.size() == 1; });
  HttpResponse response;
  response.mBody = std::string(kAnswerBytes, 'a');
  mExchanges[0]->Respond(std::move(response));
  mExchanges.clear();
  RunBriefly();
  CHECK(limits.mBudget->UsedBytes() > kAnswerBytes);
  clock.Advance(2s);
  Send(std::string(2'000'000, 'y'));
  RunUntil([&] { return mExchanges.size() == 1; });
  RunUntil([&] { return limits.mBudget->UsedBytes() < kAnswerBytes; });
  CHECK_EQUAL(1, limits.mBudget->Yields());
  mExchanges[0]->Respond({});
  RunUntil([&] { return mResponses.size() == 1; });
  mExchanges.clear();
  mClient.reset();
  socket.close();
  RunUntil([&] { return limits.mBudget->UsedBytes() == 0; });
}
