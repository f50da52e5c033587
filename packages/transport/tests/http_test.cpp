#include "balsammount/http_client.h"
#include "balsammount/http_server.h"

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

} // namespace

TEST_GROUP(Http)
{
  boost::asio::io_context mContext{ 1 };
  std::unique_ptr<HttpServer> mServer;
  std::unique_ptr<HttpClient> mClient;
  std::vector<std::shared_ptr<HttpExchange>> mHeld;
  std::vector<std::string> mAnswers;

  void setup() override
  {
    HttpServerLimits limits;
    limits.mMaxStreamBacklogBytes = 1024 * 1024;
    mServer = std::make_unique<HttpServer>(
      mContext, kAnyHttpPort, limits, [this](std::shared_ptr<Exchange> aExchange) {
        mHeld.push_back(std::static_pointer_cast<HttpExchange>(std::move(aExchange)));
      });
    CHECK(mServer->Start().has_value());
    mClient = ClientOf(mServer->Port());
  }

  void teardown() override
  {
    for (const auto& exchange : mHeld) {
      exchange->Abort();
    }
    mHeld.clear();
    mClient.reset();
    mServer.reset();
    mContext.run_for(20ms);
  }

  std::unique_ptr<HttpClient> ClientOf(uint16_t aPort)
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
      mAnswers.push_back(aResult ? aResult->mBody : aResult.error().mCode.message());
    });
  }

  // Sends a request and answers it with its own body.
  void Echo(const std::string& aBody)
  {
    const size_t answers = mAnswers.size();
    const size_t held = mHeld.size();
    auto call = Send(aBody);
    RunUntil([&] { return mHeld.size() > held; });
    HttpResponse response;
    response.mBody = mHeld.back()->Request().mBody;
    mHeld.back()->Respond(std::move(response));
    mHeld.pop_back();
    RunUntil([&] { return mAnswers.size() > answers; });
    CHECK_EQUAL(aBody, mAnswers.back());
  }

  // Runs what is ready, also when the machine is so busy that a fixed time would run nothing.
  void RunSome()
  {
    for (int i = 0; i < 20; ++i) {
      mContext.run_one_for(2ms);
    }
  }

  // Answers one connection with fixed bytes, whatever it is asked.
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

// Guards against use of a client's state after it: calls start after Send has returned.
TEST(Http, ClientDestroyedBeforeItsCallStarts)
{
  auto call = Send("a");
  mClient.reset();
  RunUntil([&] { return mHeld.size() == 1; });
  mHeld[0]->Respond({});
  RunUntil([&] { return mAnswers.size() == 1; });
}

// Guards against closing the connection of another call: a finished call's connection is pooled.
TEST(Http, CancelAfterTheAnswerHasNoEffect)
{
  auto first = Send("first");
  RunUntil([&] { return mHeld.size() == 1; });
  mHeld[0]->Respond({});
  RunUntil([&] { return mAnswers.size() == 1; });
  auto second = Send("second");
  RunUntil([&] { return mHeld.size() == 2; });
  first->Cancel();
  HttpResponse response;
  response.mBody = "whole";
  mHeld[1]->Respond(std::move(response));
  RunUntil([&] { return mAnswers.size() == 2; });
  CHECK_EQUAL(std::string("whole"), mAnswers[1]);
  CHECK_EQUAL(1, mServer->Connections());
}

// Guards against a leak of every request: the filter owned the caller's state, and that state owned
// the call.
TEST(Http, FinishedCallReleasesItsFilter)
{
  const auto state = std::make_shared<int>(0);
  const auto send = [&] {
    return mClient->Send(
      Post("a"), 5000ms, [this](const auto&) { mAnswers.emplace_back(); },
      [state](const HttpResponse&) { return true; });
  };
  const auto answered = send();
  RunUntil([&] { return mHeld.size() == 1; });
  mHeld[0]->Respond({});
  RunUntil([&] { return mAnswers.size() == 1; });
  CHECK_EQUAL(1, state.use_count());

  const auto cancelled = send();
  RunUntil([&] { return mHeld.size() == 2; });
  cancelled->Cancel();
  CHECK_EQUAL(1, state.use_count());
}

// Guards against handing surplus bytes of one answer to the next request as its answer.
TEST(Http, SurplusBytesAreNotTheNextAnswer)
{
  tcp::acceptor acceptor(mContext, kAnyHttpPort);
  const std::string one = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
  const std::string two = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo";
  mClient = ClientOf(acceptor.local_endpoint().port());
  ServeRaw(acceptor, one + two);
  Send("a");
  RunUntil([&] { return mAnswers.size() == 1; });
  ServeRaw(acceptor, one);
  Send("b");
  RunUntil([&] { return mAnswers.size() == 2; });
  CHECK_EQUAL(std::string("one"), mAnswers[1]);
}

// Guards against a truncated answer being delivered as a whole one.
TEST(Http, TruncatedAnswerIsLost)
{
  tcp::acceptor acceptor(mContext, kAnyHttpPort);
  mClient = ClientOf(acceptor.local_endpoint().port());
  ServeRaw(acceptor, "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nshort");
  Send("a");
  ServeRaw(acceptor, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nno length");
  Send("b");
  RunUntil([&] { return mAnswers.size() == 2; });
  CHECK_EQUAL(std::string("connection lost before the whole answer"), mAnswers[0]);
  CHECK_EQUAL(std::string("connection lost before the whole answer"), mAnswers[1]);
}

// Guards against an interim answer, such as 100 Continue, being taken for the final one.
TEST(Http, InterimAnswersAreSkipped)
{
  tcp::acceptor acceptor(mContext, kAnyHttpPort);
  mClient = ClientOf(acceptor.local_endpoint().port());
  ServeRaw(acceptor,
           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfinal");
  Send("a");
  RunUntil([&] { return mAnswers.size() == 1; });
  CHECK_EQUAL(std::string("final"), mAnswers[0]);
}

// Guards against work going on for a client that has gone, and against a lost cancel.
TEST(Http, DisconnectCancelsTheExchange)
{
  bool cancelled = false;
  auto call = Send("a");
  RunUntil([&] { return mHeld.size() == 1; });
  mHeld[0]->OnCancel([&] { cancelled = true; });
  call->Cancel();
  RunUntil([&] { return cancelled; });
  CHECK(mAnswers.empty());
  Echo("still served");
}

// Guards against a stop that interrupts a request in flight, also one that is still being read.
TEST(Http, StopFinishesRequestsInFlight)
{
  tcp::socket socket(mContext);
  socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
  boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost:")));
  RunUntil([&] { return mServer->Connections() == 1; });
  RunSome();
  mServer->Stop();
  RunSome();
  boost::asio::write(socket, boost::asio::buffer(std::string(" x\r\n\r\n")));
  RunUntil([&] { return mHeld.size() == 1; });
  mHeld[0]->Respond({});
  RunUntil([&] { return mServer->Connections() == 0; });
  std::string answer(1000, '\0');
  boost::system::error_code error;
  answer.resize(boost::asio::read(socket, boost::asio::buffer(answer), error));
  CHECK(answer.starts_with("HTTP/1.1 200"));
}

// Guards against a request that is handed on and never answered, because it came while the answer
// that closes the connection was being written. Seen on a rolling restart with pipelining clients.
TEST(Http, EveryRequestThatIsHandedOnIsAnswered)
{
  tcp::socket socket(mContext);
  socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
  const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(request));
  RunUntil([&] { return mHeld.size() == 1; });
  mServer->CloseConnections();
  mHeld[0]->Respond({});
  // Runs the writer only, so that it has decided to close when the next request arrives.
  mContext.poll_one();
  boost::asio::write(socket, boost::asio::buffer(request));
  RunSome();
  for (size_t i = 1; i < mHeld.size(); ++i) {
    mHeld[i]->Respond({});
  }
  RunUntil([&] { return mServer->Connections() == 0 || mHeld.size() > 1; });
  RunSome();
  std::string answers(4000, '\0');
  boost::system::error_code error;
  answers.resize(boost::asio::read(socket, boost::asio::buffer(answers), error));
  size_t count = 0;
  for (size_t at = answers.find("HTTP/1.1 200"); at != std::string::npos;
       at = answers.find("HTTP/1.1 200", at + 1)) {
    ++count;
  }
  CHECK_EQUAL(mHeld.size(), count);
  CHECK(answers.find("Connection: close") != std::string::npos);
}

// Guards against pipelined answers that are out of order, or requests that wait for each other.
TEST(Http, PipelinedRequestsRunTogetherAndAreAnsweredInOrder)
{
  tcp::socket socket(mContext);
  socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
  std::string requests;
  for (const char* path : { "/1", "/2", "/3" }) {
    requests += std::string("GET ") + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
  }
  boost::asio::write(socket, boost::asio::buffer(requests));
  RunUntil([&] { return mHeld.size() == 3; });
  for (const size_t index : { 2U, 0U, 1U }) {
    HttpResponse response;
    response.mBody = mHeld[index]->Request().mTarget;
    mHeld[index]->Respond(std::move(response));
  }
  RunSome();
  std::string answers(4000, '\0');
  answers.resize(socket.read_some(boost::asio::buffer(answers)));
  CHECK(answers.find("/1") < answers.find("/2"));
  CHECK(answers.find("/2") < answers.find("/3"));
  CHECK(answers.find("/3") != std::string::npos);
}

// Guards against requests that a proxy and a backend server could take for different hosts.
TEST(Http, AmbiguousHostIsRefused)
{
  for (const char* hosts : { "", "Host: a\r\nHost: b\r\n" }) {
    tcp::socket socket(mContext);
    socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
    boost::asio::write(socket,
                       boost::asio::buffer(std::string("GET / HTTP/1.1\r\n") + hosts + "\r\n"));
    RunSome();
    std::string answer(1000, '\0');
    answer.resize(socket.read_some(boost::asio::buffer(answer)));
    CHECK(answer.starts_with("HTTP/1.1 400"));
  }
  CHECK(mHeld.empty());
}

// Guards against a second, late answer that is taken for the answer to the next request.
TEST(Http, AnswerToAnotherRequestIsDropped)
{
  tcp::acceptor acceptor(mContext, kAnyHttpPort);
  auto client = ClientOf(acceptor.local_endpoint().port());
  std::string answer;
  client->Send(
    Post("a"), 5s, [&](auto aResult) { answer = aResult ? aResult->mBody : "failed"; },
    [](const HttpResponse& aResponse) { return aResponse.mHeaders.Find("Id") == "mine"; });
  tcp::socket socket(mContext);
  bool accepted = false;
  acceptor.async_accept(socket, [&](const auto&) { accepted = true; });
  RunUntil([&] { return accepted; });
  boost::asio::write(
    socket, boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n"
                                            "\r\nxHTTP/1.1 200 OK\r\nId: mine\r\n"
                                            "Content-Length: 1\r\n\r\ny")));
  RunUntil([&] { return !answer.empty(); });
  STRCMP_EQUAL("y", answer.c_str());
}

// Guards against requests on connections that their server is about to close, and against keeping
// the connections that a peak has left.
TEST(Http, OldIdleConnectionsAreDropped)
{
  HttpClientLimits limits;
  limits.mMaxIdleTime = 50ms;
  mClient = std::make_unique<HttpClient>(
    mContext, tcp::endpoint(kAnyHttpPort.address(), mServer->Port()), limits);
  Send("a");
  Send("b");
  RunUntil([&] { return mHeld.size() == 2; });
  CHECK_EQUAL(2, mServer->Connections());
  mHeld[0]->Respond({});
  mHeld[1]->Respond({});
  RunUntil([&] { return mAnswers.size() == 2; });
  mContext.run_for(60ms);
  Echo("c");
  RunUntil([&] { return mServer->Connections() == 1; });
}

// Guards against a connection limit that leaves clients in doubt whether their request ran.
TEST(Http, ConnectionOverTheLimitIsRefused)
{
  HttpServerLimits limits;
  limits.mMaxConnections = 1;
  HttpServer small(mContext, kAnyHttpPort, limits, [this](std::shared_ptr<Exchange> aExchange) {
    mHeld.push_back(std::static_pointer_cast<HttpExchange>(std::move(aExchange)));
  });
  CHECK(small.Start().has_value());
  mClient = ClientOf(small.Port());
  Send("first");
  RunUntil([&] { return mHeld.size() == 1; });
  std::string outcome;
  mClient->Send(Post("second"), 5s, [&](const Result<HttpResponse>& aResult) {
    outcome = aResult ? aResult->mHeaders.Find("Balsam-Outcome") : "failed";
  });
  RunUntil([&] { return !outcome.empty(); });
  CHECK_EQUAL(std::string("not-run"), outcome);
  CHECK_EQUAL(1, mHeld.size());
  mHeld[0]->Respond({});
  RunUntil([&] { return mAnswers.size() == 1; });
  Echo("third");
}

// Guards against a client that waits for 100 Continue before it sends its body.
TEST(Http, ExpectationIsAnswered)
{
  tcp::socket socket(mContext);
  socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
  boost::asio::write(
    socket, boost::asio::buffer(std::string("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
                                            "Expect: 100-continue\r\n\r\n")));
  RunUntil([&] { return socket.available() > 0; });
  boost::asio::write(socket, boost::asio::buffer(std::string("ok")));
  RunUntil([&] { return mHeld.size() == 1; });
  CHECK_EQUAL(std::string("ok"), mHeld[0]->Request().mBody);
  CHECK_FALSE(mHeld[0]->Request().mHeaders.Has("Expect"));
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
    callbacks.mOnPiece = [this](std::string_view aPiece) { mBody += aPiece; };
    callbacks.mOnEnd = [this](const Result<void>& aResult) {
      mEnd = aResult ? "complete" : aResult.error().mCode.message();
    };
    auto call = mClient->Stream(Post("watch"), aIdleTimeout, std::move(callbacks));
    RunUntil([&] { return mHeld.size() == 1; });
    return call;
  }
};

// Guards against pieces that wait for the end of the answer, and against a lost end.
TEST(HttpStream, DeliversPiecesAsTheyCome)
{
  auto call = Open();
  mHeld[0]->StartStream({});
  CHECK(mHeld[0]->WritePiece("a"));
  RunUntil([&] { return mBody == "200 a"; });
  CHECK(mHeld[0]->WritePiece("b"));
  RunUntil([&] { return mBody == "200 ab"; });
  mHeld[0]->EndStream();
  RunUntil([&] { return !mEnd.empty(); });
  CHECK_EQUAL(std::string("complete"), mEnd);
  CHECK_FALSE(mHeld[0]->WritePiece("c"));
}

// Guards against a cut stream that looks complete, and against one that is silent for ever.
TEST(HttpStream, CutAndSilence)
{
  auto call = Open();
  mHeld[0]->StartStream({});
  mHeld[0]->WritePiece("a");
  RunUntil([&] { return mBody == "200 a"; });
  mHeld[0]->Abort();
  RunUntil([&] { return !mEnd.empty(); });
  CHECK_EQUAL(std::string("connection lost before the whole answer"), mEnd);
  mHeld.clear();
  mEnd.clear();
  call = Open(50ms);
  mHeld[0]->StartStream({});
  RunUntil([&] { return !mEnd.empty(); });
  CHECK_EQUAL(std::string("no whole answer in time"), mEnd);
}

// Guards against watchers that are kept for clients that have gone.
TEST(HttpStream, DisconnectCancelsTheStream)
{
  bool cancelled = false;
  auto call = Open();
  mHeld[0]->OnCancel([&] { cancelled = true; });
  mHeld[0]->StartStream({});
  RunUntil([&] { return !mBody.empty(); });
  call->Cancel();
  RunUntil([&] { return cancelled; });
  CHECK(mEnd.empty());
}

// Guards against unbounded memory for a client that does not read.
TEST(HttpStream, SlowReaderIsCutOff)
{
  tcp::socket socket(mContext);
  socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
  boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
  RunUntil([&] { return mHeld.size() == 1; });
  mHeld[0]->StartStream({});
  size_t pieces = 0;
  while (mHeld[0]->WritePiece(std::string(100'000, 'x')) && pieces < 1000) {
    ++pieces;
    mContext.run_one_for(1ms);
  }
  CHECK(pieces < 1000);
  RunUntil([&] { return mServer->Connections() == 0; });
}

// Guards against chunks sent to a client of HTTP/1.0, which would take them for the body.
TEST(HttpStream, OldClientIsRefused)
{
  tcp::socket socket(mContext);
  socket.connect(tcp::endpoint(kAnyHttpPort.address(), mServer->Port()));
  boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.0\r\n\r\n")));
  RunUntil([&] { return mHeld.size() == 1; });
  mHeld[0]->StartStream({});
  RunUntil([&] { return mServer->Connections() == 0; });
  std::string answer(1000, '\0');
  boost::system::error_code error;
  answer.resize(boost::asio::read(socket, boost::asio::buffer(answer), error));
  CHECK(answer.starts_with("HTTP/1.0 505"));
}
