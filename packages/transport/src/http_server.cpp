#include "balsammount/http_server.h"

#include "balsammount/endpoint.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <set>

namespace balsammount {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Connections over the limit that are told so. A connection that is closed without an answer leaves
// its client in doubt whether its request ran.
constexpr size_t kRefusalConnections = 256;

class ServerExchange final : public HttpExchange
{
public:
  ServerExchange(const asio::any_io_executor& aExecutor, HttpRequest aRequest, std::string aAddress,
                 size_t aMaxBacklog)
    : mRequest(std::move(aRequest))
    , mAddress(std::move(aAddress))
    , mMaxBacklog(aMaxBacklog)
    , mWake(aExecutor, asio::steady_timer::time_point::max())
  {
  }

  const HttpRequest& Request() const override { return mRequest; }
  const std::string& RemoteAddress() const override { return mAddress; }

  void Respond(HttpResponse aResponse) override
  {
    if (mResponse || mGone) {
      return;
    }
    mResponse = std::move(aResponse);
    mEnded = true;
    mOnCancel = nullptr;
    mWake.cancel();
  }

  void OnCancel(std::function<void()> aCallback) override { mOnCancel = std::move(aCallback); }

  void StartStream(HttpResponse aHead) override
  {
    if (mResponse || mGone) {
      return;
    }
    mResponse = std::move(aHead);
    mStreaming = true;
    mWake.cancel();
  }

  bool WritePiece(std::string_view aPiece) override
  {
    if (!mStreaming || mEnded || mGone) {
      return false;
    }
    if (mPieces.size() + aPiece.size() > mMaxBacklog) {
      Abort();
      return false;
    }
    mPieces += aPiece;
    mWake.cancel();
    return true;
  }

  void EndStream() override
  {
    mEnded = true;
    mOnCancel = nullptr;
    mWake.cancel();
  }

  void Abort() override
  {
    mGone = true;
    mOnCancel = nullptr;
    mWake.cancel();
  }

  void NotifyGone()
  {
    if (mEnded || mGone) {
      return;
    }
    mGone = true;
    mWake.cancel();
    if (auto callback = std::exchange(mOnCancel, nullptr)) {
      callback();
    }
  }

  // Waits for the answer or the head of a streamed one; nothing when the exchange is over without.
  asio::awaitable<std::optional<HttpResponse>> WaitForResponse()
  {
    while (!mResponse && !mGone) {
      co_await mWake.async_wait(kAwait);
    }
    co_return mGone ? std::nullopt : std::exchange(mResponse, HttpResponse{});
  }

  // Waits for bytes to stream; empty when the stream is over.
  asio::awaitable<std::string> WaitForPieces()
  {
    while (mPieces.empty() && !mEnded && !mGone) {
      co_await mWake.async_wait(kAwait);
    }
    co_return mGone ? std::string() : std::exchange(mPieces, {});
  }

  bool IsStreaming() const { return mStreaming; }
  bool IsGone() const { return mGone; }
  bool IsAwaitingEnd() const { return !mEnded && !mGone; }

private:
  HttpRequest mRequest;
  std::string mAddress;
  size_t mMaxBacklog;
  asio::steady_timer mWake;
  std::optional<HttpResponse> mResponse;
  std::string mPieces;
  std::function<void()> mOnCancel;
  bool mStreaming = false;
  bool mEnded = false;
  bool mGone = false;
};

HttpRequest FromBeast(http::request<http::string_body>&& aMessage)
{
  HttpRequest request;
  request.mMethod = std::string(aMessage.method_string());
  request.mTarget = std::string(aMessage.target());
  for (const auto& field : aMessage) {
    request.mHeaders.Add(std::string_view(field.name_string().data(), field.name_string().size()),
                         std::string_view(field.value().data(), field.value().size()));
  }
  // The expectation of 100 Continue has been met here.
  request.mHeaders.Remove("Expect");
  request.mBody = std::move(aMessage.body());
  return request;
}

http::response<http::string_body> ToBeast(HttpResponse&& aResponse, unsigned aVersion,
                                          bool aKeepAlive, bool aIsHead)
{
  http::response<http::string_body> message;
  message.version(aVersion);
  message.result(aResponse.mStatus);
  for (const Header& header : aResponse.mHeaders.All()) {
    if (!IsHopByHop(header.mName)) {
      message.insert(header.mName, header.mValue);
    }
  }
  message.keep_alive(aKeepAlive);
  const bool noContent = aResponse.mStatus == 204 || aResponse.mStatus == 304;
  message.body() = std::move(aResponse.mBody);
  if (!noContent) {
    message.content_length(message.body().size());
  }
  if (aIsHead || noContent) {
    message.body().clear();
  }
  return message;
}

HttpResponse StatusOnly(unsigned aStatus, std::string_view aText)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mHeaders.Set("Content-Type", "text/plain");
  response.mHeaders.Set("Balsam-Outcome", "not-run");
  response.mBody = std::string(aText) + "\n";
  return response;
}

// The answer to a request that could not be read, or nothing when the client just went away.
std::optional<HttpResponse> ReadErrorResponse(const beast::error_code& aError)
{
  if (aError == http::error::body_limit) {
    return StatusOnly(413, "request body too large");
  }
  if (aError == http::error::header_limit) {
    return StatusOnly(431, "request headers too large");
  }
  if (aError == beast::error::timeout) {
    return StatusOnly(408, "request not received in time");
  }
  if (aError.category() == make_error_code(http::error::bad_method).category() &&
      aError != http::error::end_of_stream && aError != http::error::partial_message) {
    return StatusOnly(400, "malformed request: " + aError.message());
  }
  return std::nullopt;
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<State>
{
  struct Session
  {
    explicit Session(tcp::socket aSocket)
      : mStream(std::move(aSocket))
    {
    }
    beast::tcp_stream mStream;
    bool mBusy = false;
    bool mOverLimit = false; // answers one request with a refusal, then closes
  };

  State(asio::io_context& aContext, tcp::endpoint aEndpoint, HttpServerLimits aLimits,
        ExchangeHandler aHandler)
    : mAcceptor(aContext)
    , mEndpoint(std::move(aEndpoint))
    , mLimits(aLimits)
    , mHandler(std::move(aHandler))
  {
  }

  // The coroutines take the state by shared pointer: they start after the call that spawns them
  // returned, and the server may be gone by then.
  static asio::awaitable<void> Accept(std::shared_ptr<State> aState)
  {
    co_await aState->AcceptLoop();
  }

  asio::awaitable<void> AcceptLoop()
  {
    asio::steady_timer pause(mAcceptor.get_executor());
    while (!mStopping) {
      auto [error, socket] = co_await mAcceptor.async_accept(kAwait);
      if (error == asio::error::operation_aborted || mStopping) {
        break;
      }
      if (error || mSessions.size() >= mLimits.mMaxConnections + kRefusalConnections) {
        // Out of descriptors or of room for refusals: let others finish first.
        pause.expires_after(std::chrono::milliseconds(error ? 50 : 1));
        co_await pause.async_wait(kAwait);
        continue;
      }
      asio::co_spawn(mAcceptor.get_executor(), Serve(shared_from_this(), std::move(socket)),
                     asio::detached);
    }
  }

  static asio::awaitable<void> Serve(std::shared_ptr<State> aState, tcp::socket aSocket)
  {
    beast::error_code ignored;
    aSocket.set_option(tcp::no_delay(true), ignored);
    const auto remote = aSocket.remote_endpoint(ignored);
    const std::string address = remote.address().to_string();
    auto session = std::make_shared<Session>(std::move(aSocket));
    session->mOverLimit = aState->mSessions.size() >= aState->mLimits.mMaxConnections;
    aState->mSessions.insert(session);
    beast::flat_buffer buffer;
    while (!aState->mStopping && co_await aState->ServeOne(session, buffer, address)) {
    }
    session->mStream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    session->mStream.close();
    aState->mSessions.erase(session);
  }

  // Serves one request; false when the connection has to close.
  asio::awaitable<bool> ServeOne(std::shared_ptr<Session> aSession, beast::flat_buffer& aBuffer,
                                 const std::string& aAddress)
  {
    beast::tcp_stream& stream = aSession->mStream;
    if (aBuffer.size() == 0) {
      // The idle timeout ends with the first byte of the request.
      stream.expires_after(aSession->mOverLimit ? mLimits.mReadTimeout : mLimits.mIdleTimeout);
      auto [waitError, count] = co_await stream.async_read_some(aBuffer.prepare(4096), kAwait);
      if (waitError) {
        co_return false;
      }
      aBuffer.commit(count);
    }
    // A request whose first byte has arrived is in flight: Stop lets it finish.
    aSession->mBusy = true;
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<uint32_t>(mLimits.mMaxHeaderBytes));
    parser.body_limit(mLimits.mMaxBodyBytes);
    stream.expires_after(mLimits.mReadTimeout);
    const auto error = co_await ReadRequest(stream, aBuffer, parser);
    if (error) {
      if (auto response = ReadErrorResponse(error)) {
        co_await Write(stream, std::move(*response), 11, false, false);
      }
      co_return false;
    }
    if (aSession->mOverLimit) {
      HttpResponse refusal = StatusOnly(503, "too many connections");
      refusal.mHeaders.Set("Retry-After", "1");
      co_await Write(stream, std::move(refusal), 11, false, false);
      co_return false;
    }
    const bool keepAlive = parser.get().keep_alive();
    const unsigned version = parser.get().version();
    const bool isHead = parser.get().method() == http::verb::head;
    auto exchange = std::make_shared<ServerExchange>(
      stream.get_executor(), FromBeast(parser.release()), aAddress, mLimits.mMaxStreamBacklogBytes);
    stream.expires_never();
    WatchForDisconnect(aSession, exchange);
    mHandler(exchange);
    auto response = co_await exchange->WaitForResponse();
    if (response && exchange->IsStreaming()) {
      if (version < 11) {
        exchange->NotifyGone();
        response = StatusOnly(505, "a streamed answer needs HTTP/1.1");
        response->mHeaders.Set("Balsam-Outcome", "unknown");
      } else {
        const bool streamed = co_await WriteStream(stream, *exchange, std::move(*response));
        stream.socket().cancel();
        aSession->mBusy = false;
        co_return streamed&& keepAlive;
      }
    }
    stream.socket().cancel();
    aSession->mBusy = false;
    if (!response) {
      co_return false;
    }
    const bool written =
      co_await Write(stream, std::move(*response), version, keepAlive && !mStopping, isHead);
    co_return written&& keepAlive;
  }

  static asio::awaitable<beast::error_code> ReadRequest(
    beast::tcp_stream& aStream, beast::flat_buffer& aBuffer,
    http::request_parser<http::string_body>& aParser)
  {
    auto [error, size] = co_await http::async_read_header(aStream, aBuffer, aParser, kAwait);
    if (error || aParser.is_done()) {
      co_return error;
    }
    if (beast::iequals(aParser.get()[http::field::expect], "100-continue")) {
      // The client holds the body back until it is asked for.
      static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      auto [writeError, written] =
        co_await asio::async_write(aStream, asio::buffer(kContinue), kAwait);
      if (writeError) {
        co_return writeError;
      }
    }
    auto [bodyError, bodySize] = co_await http::async_read(aStream, aBuffer, aParser, kAwait);
    co_return bodyError;
  }

  // Writes a streamed answer until its end; false when the connection has to close.
  asio::awaitable<bool> WriteStream(beast::tcp_stream& aStream, ServerExchange& aExchange,
                                    HttpResponse aHead)
  {
    http::response<http::empty_body> head;
    head.version(11);
    head.result(aHead.mStatus);
    for (const Header& header : aHead.mHeaders.All()) {
      if (!IsHopByHop(header.mName)) {
        head.insert(header.mName, header.mValue);
      }
    }
    head.chunked(true);
    http::response_serializer<http::empty_body> serializer(head);
    aStream.expires_after(mLimits.mWriteTimeout);
    auto [headError, headSize] = co_await http::async_write_header(aStream, serializer, kAwait);
    if (headError) {
      aExchange.NotifyGone();
      co_return false;
    }
    for (;;) {
      aStream.expires_never();
      const std::string pieces = co_await aExchange.WaitForPieces();
      if (aExchange.IsGone()) {
        co_return false;
      }
      aStream.expires_after(mLimits.mWriteTimeout);
      if (pieces.empty()) {
        auto [error, size] = co_await asio::async_write(aStream, http::make_chunk_last(), kAwait);
        co_return !error;
      }
      auto [error, size] =
        co_await asio::async_write(aStream, http::make_chunk(asio::buffer(pieces)), kAwait);
      if (error) {
        aExchange.NotifyGone();
        co_return false;
      }
    }
  }

  asio::awaitable<bool> Write(beast::tcp_stream& aStream, HttpResponse aResponse, unsigned aVersion,
                              bool aKeepAlive, bool aIsHead)
  {
    auto message = ToBeast(std::move(aResponse), aVersion, aKeepAlive, aIsHead);
    http::response_serializer<http::string_body> serializer(message);
    serializer.split(false);
    aStream.expires_after(mLimits.mWriteTimeout);
    auto [error, size] = co_await http::async_write(aStream, serializer, kAwait);
    co_return !error;
  }

  // A client that closes its connection while its request is in flight cancels the request. Bytes
  // of a pipelined request end the watch. The wait can complete just before the answer and its
  // handler run after the next request was read, so the handler checks the exchange first and never
  // blocks.
  static void WatchForDisconnect(const std::shared_ptr<Session>& aSession,
                                 const std::shared_ptr<ServerExchange>& aExchange)
  {
    tcp::socket& socket = aSession->mStream.socket();
    beast::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.async_wait(
      tcp::socket::wait_read, [aSession, aExchange](const beast::error_code& aError) {
        if (aError || !aExchange->IsAwaitingEnd()) {
          return;
        }
        char byte = 0;
        beast::error_code error;
        const size_t count = aSession->mStream.socket().receive(asio::buffer(&byte, 1),
                                                                tcp::socket::message_peek, error);
        if ((error && error != asio::error::would_block) || (!error && count == 0)) {
          aExchange->NotifyGone();
        }
      });
  }

  tcp::acceptor mAcceptor;
  tcp::endpoint mEndpoint;
  HttpServerLimits mLimits;
  ExchangeHandler mHandler;
  std::set<std::shared_ptr<Session>> mSessions;
  bool mStopping = false;
};

HttpServer::HttpServer(asio::io_context& aContext, tcp::endpoint aEndpoint,
                       HttpServerLimits aLimits, ExchangeHandler aHandler)
  : mState(std::make_shared<State>(aContext, std::move(aEndpoint), aLimits, std::move(aHandler)))
{
}

HttpServer::~HttpServer()
{
  HttpServer::Stop();
}

Result<void> HttpServer::Start()
{
  if (auto result = Listen(mState->mAcceptor, mState->mEndpoint); !result) {
    return result;
  }
  asio::co_spawn(mState->mAcceptor.get_executor(), State::Accept(mState), asio::detached);
  return {};
}

void HttpServer::Stop()
{
  mState->mStopping = true;
  beast::error_code ignored;
  mState->mAcceptor.close(ignored);
  for (const auto& session : mState->mSessions) {
    if (!session->mBusy) {
      session->mStream.socket().shutdown(tcp::socket::shutdown_receive, ignored);
    }
  }
}

uint16_t HttpServer::Port() const
{
  beast::error_code ignored;
  return mState->mAcceptor.local_endpoint(ignored).port();
}

size_t HttpServer::Connections() const
{
  return mState->mSessions.size();
}

} // namespace balsammount
