#include "h2_connection.h"

#include "balsammount/peer_client.h"
#include "balsammount/peer_server.h"
#include "balsammount/unhandled.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <optional>
#include <vector>

using namespace balsammount;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const tcp::endpoint kLoopback(asio::ip::address_v4::loopback(), 0);

HttpRequest Post(std::string aBody)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/echo";
  request.mHeaders.Add("Bm-Rank", "2");
  request.mBody = std::move(aBody);
  return request;
}

using Fields = std::vector<Header>;

// The frames of a response.
struct RawResponse
{
  std::vector<Fields> mInterim; // header blocks before that of the response
  Fields mHead;
  std::string mBody;
  Fields mTrailers;
};

// A peer that answers each request with the same frames, whether they are valid or not.
class RawPeer final : public detail::H2Connection
{
public:
  RawPeer(tcp::socket aSocket, RawResponse aResponse)
    : H2Connection(std::move(aSocket))
    , mResponse(std::move(aResponse))
  {
  }

  void Start()
  {
    Open(true, 10, 64 * 1024);
    Flush();
    Read();
  }

private:
  void OnFrame(const nghttp2_frame& aFrame) override
  {
    if (aFrame.hd.type != NGHTTP2_HEADERS && aFrame.hd.type != NGHTTP2_DATA) {
      return;
    }
    if ((aFrame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
      Answer(aFrame.hd.stream_id);
    }
  }
  void OnHeader(int32_t, std::string_view, std::string_view) override {}
  void OnData(int32_t, std::string_view) override {}
  void OnStreamClosed(int32_t, uint32_t) override {}
  void OnClosed() override {}

  static detail::HeaderBlock Block(const Fields& aFields)
  {
    detail::HeaderBlock block;
    for (const Header& field : aFields) {
      block.Add(field.mName, field.mValue);
    }
    return block;
  }

  void Answer(int32_t aStreamId)
  {
    for (const Fields& fields : mResponse.mInterim) {
      auto interim = Block(fields);
      const auto values = interim.Values();
      nghttp2_submit_headers(Session(), NGHTTP2_FLAG_NONE, aStreamId, nullptr, values.data(),
                             values.size(), nullptr);
    }
    auto head = Block(mResponse.mHead);
    const auto values = head.Values();
    mBody = { mResponse.mBody, 0 };
    auto provider = detail::MakeDataProvider(mBody);
    if (!mResponse.mTrailers.empty()) {
      provider.read_callback = ReadBeforeTrailers;
    }
    nghttp2_submit_response(Session(), aStreamId, values.data(), values.size(), &provider);
  }

  // Ends the body with the trailers.
  static ssize_t ReadBeforeTrailers(nghttp2_session* aSession, int32_t aStreamId, uint8_t* aBuffer,
                                    size_t aLength, uint32_t* aFlags, nghttp2_data_source* aSource,
                                    void* aUserData)
  {
    auto& self = static_cast<RawPeer&>(*static_cast<H2Connection*>(aUserData));
    const auto read = detail::MakeDataProvider(self.mBody).read_callback;
    const ssize_t count = read(aSession, aStreamId, aBuffer, aLength, aFlags, aSource, aUserData);
    auto trailers = Block(self.mResponse.mTrailers);
    const auto values = trailers.Values();
    nghttp2_submit_trailer(aSession, aStreamId, values.data(), values.size());
    *aFlags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
    return count;
  }

  RawResponse mResponse;
  detail::OutgoingBody mBody;
};

void Echo(const std::shared_ptr<Exchange>& aExchange)
{
  HttpResponse response;
  response.mBody = aExchange->Request().mBody;
  response.mHeaders.Add("bm-rank", aExchange->Request().mHeaders.Find("bm-rank"));
  aExchange->Respond(std::move(response));
}

} // namespace

TEST_GROUP(Peer)
{
  asio::io_context mContext;

  std::unique_ptr<PeerServer> MakeServer(ExchangeHandler aHandler,
                                         const PeerServerLimits& aLimits = {})
  {
    auto server = std::make_unique<PeerServer>(mContext, kLoopback, aLimits, std::move(aHandler));
    CHECK(server->Start().has_value());
    return server;
  }
  tcp::endpoint EndpointOf(const PeerServer& aServer) const
  {
    return { asio::ip::address_v4::loopback(), aServer.Port() };
  }
  // Runs the context until the condition holds. The deadline only ends a hanging test.
  void RunUntil(const std::function<bool()>& aCondition)
  {
    const auto deadline = std::chrono::steady_clock::now() + 30s;
    while (!aCondition() && std::chrono::steady_clock::now() < deadline) {
      mContext.run_one_for(50ms);
    }
    CHECK(aCondition());
  }
  // Calls a peer that answers with aResponse.
  Result<HttpResponse> CallRawPeer(const RawResponse& aResponse)
  {
    tcp::acceptor acceptor(mContext, kLoopback);
    std::shared_ptr<RawPeer> peer;
    acceptor.async_accept([&](const auto&, tcp::socket aSocket) {
      peer = std::make_shared<RawPeer>(std::move(aSocket), aResponse);
      peer->Start();
    });
    PeerClient client(mContext, acceptor.local_endpoint());
    std::optional<Result<HttpResponse>> result;
    client.Send(Post("x"), 20s, [&](Result<HttpResponse> aResult) { result = std::move(aResult); });
    RunUntil([&] { return result.has_value(); });
    peer->Close();
    return std::move(*result);
  }
};

// Guards against mixed-up or truncated responses on a shared connection, with 200 bodies of
// different sizes.
TEST(Peer, MatchesResponsesToRequests)
{
  const auto server = MakeServer(Echo);
  PeerClient client(mContext, EndpointOf(*server));
  size_t matchCount = 0;
  size_t doneCount = 0;
  for (size_t i = 0; i < 200; ++i) {
    const std::string body(i * 997, static_cast<char>('a' + i % 26));
    client.Send(Post(body), 20s, [&matchCount, &doneCount, body](Result<HttpResponse> aResult) {
      ++doneCount;
      matchCount +=
        aResult.has_value() && aResult->mBody == body && aResult->mHeaders.Find("bm-rank") == "2";
    });
  }
  RunUntil([&] { return doneCount == 200; });
  CHECK_EQUAL(200, matchCount);
}

// Guards against a hop that refuses a body that the entry node has accepted.
TEST(Peer, CarriesLargestBody)
{
  const auto server = MakeServer(Echo);
  PeerClient client(mContext, EndpointOf(*server));
  const std::string body(kMaxBodyBytes, 'x');
  std::optional<Result<HttpResponse>> result;
  client.Send(Post(body), 20s, [&](Result<HttpResponse> aResult) { result = std::move(aResult); });
  RunUntil([&] { return result.has_value(); });
  CHECK(result->has_value());
  CHECK(result->value().mBody == body);
}

// Guards against reporting a request as possibly executed when nothing was sent.
TEST(Peer, ConnectFailureProvesNotRun)
{
  const auto endpoint = [this] {
    const auto server = MakeServer(Echo);
    return EndpointOf(*server);
  }();
  PeerClient client(mContext, endpoint);
  std::optional<Result<HttpResponse>> result;
  client.Send(Post("x"), 5s, [&](Result<HttpResponse> aResult) { result = std::move(aResult); });
  RunUntil([&] { return result.has_value(); });
  CHECK(ProvesNotRun(result->error().mCode));
}

// Guards against waiting forever on a connection that a middlebox has dropped: the server accepts
// it and never sends a byte. The error must not claim that the request was not processed.
TEST(Peer, SilentConnectionIsReportedAsLost)
{
  tcp::acceptor acceptor(mContext, kLoopback);
  tcp::socket silent(mContext);
  acceptor.async_accept(silent, [](const auto&) {});
  PeerClient client(mContext, acceptor.local_endpoint());
  std::optional<Result<HttpResponse>> result;
  client.Send(Post("x"), 20s, [&](Result<HttpResponse> aResult) { result = std::move(aResult); });
  RunUntil([&] { return result.has_value(); });
  CHECK(result->error().mCode == TransportError::ConnectionLost);
}

// Guards against a server that keeps working on a cancelled request.
TEST(Peer, CancelReachesServer)
{
  bool cancelled = false;
  std::shared_ptr<Exchange> held;
  const auto server = MakeServer([&](const std::shared_ptr<Exchange>& aExchange) {
    held = aExchange;
    aExchange->OnCancel([&] { cancelled = true; });
  });
  PeerClient client(mContext, EndpointOf(*server));
  const auto call = client.Send(Post("x"), 20s, [](const Result<HttpResponse>&) {
    FAIL("a cancelled call must not call back");
  });
  RunUntil([&] { return held != nullptr; });
  call->Cancel();
  RunUntil([&] { return cancelled; });
}

// Guards against aborting requests in flight when a server stops: the stream in flight is answered,
// and a later request goes to a new connection, which is refused.
TEST(Peer, StopFinishesStreamsInFlight)
{
  std::shared_ptr<Exchange> held;
  const auto server =
    MakeServer([&](const std::shared_ptr<Exchange>& aExchange) { held = aExchange; });
  PeerClient client(mContext, EndpointOf(*server));
  std::optional<Result<HttpResponse>> first;
  client.Send(Post("first"), 20s,
              [&](Result<HttpResponse> aResult) { first = std::move(aResult); });
  RunUntil([&] { return held != nullptr; });
  server->Stop();
  Echo(held);
  RunUntil([&] { return first.has_value(); });
  CHECK(first->has_value());
  STRCMP_EQUAL("first", first->value().mBody.c_str());
  std::optional<Result<HttpResponse>> second;
  client.Send(Post("second"), 20s,
              [&](Result<HttpResponse> aResult) { second = std::move(aResult); });
  RunUntil([&] { return second.has_value(); });
  CHECK(ProvesNotRun(second->error().mCode));
}

// Guards against unbounded memory use: a body above the limit is refused and reported as not run.
TEST(Peer, RejectsOversizedBody)
{
  PeerServerLimits limits;
  limits.mMaxBodyBytes = 1000;
  bool handled = false;
  const auto server = MakeServer([&](const std::shared_ptr<Exchange>&) { handled = true; }, limits);
  PeerClient client(mContext, EndpointOf(*server));
  std::optional<Result<HttpResponse>> result;
  client.Send(Post(std::string(5000, 'x')), 20s,
              [&](Result<HttpResponse> aResult) { result = std::move(aResult); });
  RunUntil([&] { return result.has_value(); });
  CHECK_EQUAL(413, result->value().mStatus);
  STRCMP_EQUAL("not-run", std::string(result->value().mHeaders.Find("bm-outcome")).c_str());
  CHECK_FALSE(handled);
}

// Guards against an exception that passes through nghttp2 and ends the process, or that takes the
// other requests of the connection with it.
TEST(Peer, ExceptionsEndOnlyTheirRequest)
{
  const uint64_t before = UnhandledExceptions();
  const auto server = MakeServer([](const std::shared_ptr<Exchange>& aExchange) {
    if (aExchange->Request().mBody == "bad") {
      throw std::runtime_error("no such field");
    }
    Echo(aExchange);
  });
  PeerClient client(mContext, EndpointOf(*server));
  std::vector<std::string> results;
  const auto send = [&](const std::string& aBody, bool aThrows) {
    return client.Send(Post(aBody), 20s, [&results, aThrows](const Result<HttpResponse>& aResult) {
      results.push_back(aResult ? std::to_string(aResult->mStatus) + aResult->mBody : "failed");
      if (aThrows) {
        throw std::runtime_error("callback");
      }
    });
  };
  const std::vector<std::shared_ptr<Call>> calls = { send("bad", false), send("a", true),
                                                     send("b", false) };
  RunUntil([&] { return results.size() == 3; });
  std::sort(results.begin(), results.end());
  STRCMP_EQUAL("200a", results[0].c_str());
  STRCMP_EQUAL("200b", results[1].c_str());
  STRCMP_EQUAL("500", results[2].c_str());
  CHECK_EQUAL(before + 2, UnhandledExceptions());
}

// Guards against processor time and memory for connections to nodes that are rarely called: a node
// tells every other node of its changes.
TEST(Peer, UnusedConnectionIsClosedAndOpenedAgain)
{
  std::vector<std::shared_ptr<Exchange>> exchanges;
  const auto server =
    MakeServer([&](const std::shared_ptr<Exchange>& aExchange) { exchanges.push_back(aExchange); });
  PeerClientLimits limits;
  limits.mMaxIdleTime = 100ms;
  limits.mPingAfter = 20ms;
  PeerClient client(mContext, EndpointOf(*server), limits);
  size_t served = 0;
  const auto send = [&] {
    return client.Send(Post("a"), 20s, [&](const Result<HttpResponse>& aResult) {
      served += aResult.has_value() ? 1 : 0;
    });
  };
  auto first = send();
  RunUntil([&] { return exchanges.size() == 1; });
  // A request in flight keeps the connection open; the server answers pings meanwhile.
  mContext.run_for(300ms);
  exchanges[0]->Respond({});
  RunUntil([&] { return served == 1; });
  // Without a request, the timers of the connection end with it.
  size_t handlers = 0;
  const auto end = std::chrono::steady_clock::now() + 1s;
  while (std::chrono::steady_clock::now() < end) {
    handlers += mContext.run_one_for(20ms);
  }
  CHECK(handlers < 20);
  auto second = send();
  RunUntil([&] { return exchanges.size() == 2; });
  exchanges[1]->Respond({});
  RunUntil([&] { return served == 2; });
}

// Guards against fields of an interim response in the response, and against an interim response
// that counts as the response.
TEST(Peer, InterimResponsesAreSkipped)
{
  const Fields hints = { { ":status", "103" }, { "bm-rank", "1" }, { "link", "a" } };
  const auto result = CallRawPeer({ { hints, hints }, { { ":status", "200" } }, "hello", {} });
  CHECK(result.has_value());
  CHECK_EQUAL(200, result->mStatus);
  CHECK(result->mHeaders.All().empty());
  CHECK_EQUAL(std::string("hello"), result->mBody);
  CHECK_FALSE(CallRawPeer({ {}, { { ":status", "103" } }, "", {} }).has_value());
}

// Guards against a trailer field that counts as one of the head, such as the claim that a request
// did not run.
TEST(Peer, TrailersAreNotPartOfTheHead)
{
  const auto result =
    CallRawPeer({ {}, { { ":status", "200" }, { "a", "1" } }, "hello", { { "b", "2" } } });
  CHECK(result.has_value());
  CHECK_EQUAL(std::string("hello"), result->mBody);
  CHECK(result->mHeaders.Has("a"));
  CHECK_FALSE(result->mHeaders.Has("b"));
}

// Guards against a response that lacks a field because its name or value is not valid.
TEST(Peer, ResponseWithAnInvalidFieldFails)
{
  using namespace std::string_literals;
  const auto call = [&](const std::string& aName, const std::string& aValue) {
    return CallRawPeer({ {}, { { ":status", "200" }, { aName, aValue } }, "hello", {} });
  };
  CHECK(call("name", "a\tb \xe9").has_value());
  for (const std::string& name : { "na me"s, "na\x01me"s, "na\0me"s, "na\x7fme"s, ""s }) {
    CHECK_FALSE_TEXT(call(name, "v").has_value(), name.c_str());
  }
  for (const std::string& value : { "a\x01z"s, "a\0z"s, "a\rz"s, "a\nz"s, "a\x7fz"s }) {
    CHECK_FALSE_TEXT(call("name", value).has_value(), value.c_str());
  }
}

// Guards against a status that is none reaching the caller as an answer.
TEST(Peer, ResponseWithoutAValidStatusFails)
{
  for (const char* status : { "200", "404", "599" }) {
    const auto result = CallRawPeer({ {}, { { ":status", status } }, "hello", {} });
    CHECK_TRUE_TEXT(result.has_value(), status);
    CHECK_EQUAL(std::string(status), std::to_string(result->mStatus));
    CHECK_EQUAL(std::string("hello"), result->mBody);
  }
  for (const char* status : { "000", "001", "099", "101", "600", "999", "20", "2000", "+20" }) {
    const auto result = CallRawPeer({ {}, { { ":status", status } }, "hello", {} });
    CHECK_FALSE_TEXT(result.has_value(), status);
    CHECK_FALSE_TEXT(ProvesNotRun(result.error().mCode), status);
  }
}

// Guards against requests of other nodes that together exceed the memory of the process. Those
// beyond the budget have not run.
TEST(Peer, RequestsShareABudget)
{
  SystemClock clock;
  PeerServerLimits limits;
  limits.mBudget = std::make_shared<ResourceBudget>(ResourceLimits{ 4 * 1024 * 1024 }, clock);
  std::vector<std::shared_ptr<Exchange>> exchanges;
  auto server = MakeServer(
    [&](const std::shared_ptr<Exchange>& aExchange) { exchanges.push_back(aExchange); }, limits);
  PeerClient client(mContext, EndpointOf(*server));
  std::vector<Result<HttpResponse>> results;
  const auto send = [&](size_t aBytes) {
    return client.Send(Post(std::string(aBytes, 'x')), 5s, [&](Result<HttpResponse> aResult) {
      results.push_back(std::move(aResult));
    });
  };
  const auto first = send(2 * 1024 * 1024);
  RunUntil([&] { return exchanges.size() == 1; });
  const auto second = send(2 * 1024 * 1024);
  RunUntil([&] { return results.size() == 1; });
  CHECK_EQUAL(503, results[0]->mStatus);
  CHECK(results[0]->mHeaders.Find("bm-outcome") == "not-run");
  CHECK_EQUAL(1, exchanges.size());
  const auto small = send(1000);
  RunUntil([&] { return exchanges.size() == 2; });
  for (const auto& exchange : exchanges) {
    exchange->Respond({});
  }
  exchanges.clear();
  RunUntil([&] { return results.size() == 3; });
  CHECK_EQUAL(200, results[1]->mStatus);
  CHECK_EQUAL(200, results[2]->mStatus);
  RunUntil([&] { return limits.mBudget->UsedBytes() < 64 * 1024; }); // that of the connection
}

// Guards against responses of other nodes that together exceed the memory of the process. They are
// charged to the holder for which the request was sent.
TEST(Peer, ResponsesShareABudget)
{
  auto server = MakeServer([](const std::shared_ptr<Exchange>& aExchange) {
    HttpResponse response;
    response.mBody = std::string(2 * 1024 * 1024, 'a');
    aExchange->Respond(std::move(response));
  });
  SystemClock clock;
  const auto budget = std::make_shared<ResourceBudget>(ResourceLimits{ 4 * 1024 * 1024 }, clock);
  PeerClient client(mContext, EndpointOf(*server));
  std::vector<Result<HttpResponse>> results;
  for (size_t i = 0; i < 2; ++i) {
    HttpRequest request = Post("a");
    request.mHolder = budget->AddHolder("caller");
    client.Send(std::move(request), 5s,
                [&](Result<HttpResponse> aResult) { results.push_back(std::move(aResult)); });
    RunUntil([&] { return results.size() == i + 1; });
  }
  CHECK_EQUAL(2 * 1024 * 1024, results[0]->mBody.size());
  CHECK(results[1].error().mCode == TransportError::TooLarge);
  CHECK(budget->UsedBytes() >= 2 * 1024 * 1024);
  results.clear();
  RunUntil([&] { return budget->UsedBytes() == 0; });
}
