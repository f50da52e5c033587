#include "balsammount/http_server.h"

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

class HttpExchange final : public Exchange
{
public:
  HttpExchange(const asio::any_io_executor& aExecutor, HttpRequest aRequest, std::string aAddress)
    : mRequest(std::move(aRequest))
    , mAddress(std::move(aAddress))
    , mAnswered(aExecutor, asio::steady_timer::time_point::max())
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
    mOnCancel = nullptr;
    mAnswered.cancel();
  }

  void OnCancel(std::function<void()> aCallback) override { mOnCancel = std::move(aCallback); }

  void NotifyGone()
  {
    if (mResponse || mGone) {
      return;
    }
    mGone = true;
    mAnswered.cancel();
    if (auto callback = std::exchange(mOnCancel, nullptr)) {
      callback();
    }
  }

  // Waits for the answer; nothing when the other side went away first.
  asio::awaitable<std::optional<HttpResponse>> WaitForResponse()
  {
    if (!mResponse && !mGone) {
      co_await mAnswered.async_wait(kAwait);
    }
    co_return std::move(mResponse);
  }

private:
  HttpRequest mRequest;
  std::string mAddress;
  asio::steady_timer mAnswered;
  std::optional<HttpResponse> mResponse;
  std::function<void()> mOnCancel;
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
  };

  State(asio::io_context& aContext, tcp::endpoint aEndpoint, HttpServerLimits aLimits,
        ExchangeHandler aHandler)
    : mAcceptor(aContext)
    , mEndpoint(std::move(aEndpoint))
    , mLimits(aLimits)
    , mHandler(std::move(aHandler))
  {
  }

  asio::awaitable<void> Accept()
  {
    auto self = shared_from_this();
    asio::steady_timer pause(mAcceptor.get_executor());
    while (!mStopping) {
      auto [error, socket] = co_await mAcceptor.async_accept(kAwait);
      if (error == asio::error::operation_aborted || mStopping) {
        break;
      }
      if (error || mSessions.size() >= mLimits.mMaxConnections) {
        // Out of descriptors or of the connection limit: let others finish first.
        pause.expires_after(std::chrono::milliseconds(error ? 50 : 1));
        co_await pause.async_wait(kAwait);
        continue;
      }
      asio::co_spawn(mAcceptor.get_executor(), Serve(std::move(socket)), asio::detached);
    }
  }

  asio::awaitable<void> Serve(tcp::socket aSocket)
  {
    auto self = shared_from_this();
    beast::error_code ignored;
    aSocket.set_option(tcp::no_delay(true), ignored);
    const auto remote = aSocket.remote_endpoint(ignored);
    const std::string address = remote.address().to_string();
    auto session = std::make_shared<Session>(std::move(aSocket));
    mSessions.insert(session);
    beast::flat_buffer buffer;
    while (!mStopping && co_await ServeOne(*session, buffer, address)) {
    }
    session->mStream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    session->mStream.close();
    mSessions.erase(session);
  }

  // Serves one request; false when the connection has to close.
  asio::awaitable<bool> ServeOne(Session& aSession, beast::flat_buffer& aBuffer,
                                 const std::string& aAddress)
  {
    beast::tcp_stream& stream = aSession.mStream;
    if (aBuffer.size() == 0) {
      // The idle timeout ends with the first byte of the request.
      stream.expires_after(mLimits.mIdleTimeout);
      auto [waitError, count] = co_await stream.async_read_some(aBuffer.prepare(4096), kAwait);
      if (waitError) {
        co_return false;
      }
      aBuffer.commit(count);
    }
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<uint32_t>(mLimits.mMaxHeaderBytes));
    parser.body_limit(mLimits.mMaxBodyBytes);
    stream.expires_after(mLimits.mReadTimeout);
    auto [error, size] = co_await http::async_read(stream, aBuffer, parser, kAwait);
    if (error) {
      if (auto response = ReadErrorResponse(error)) {
        co_await Write(stream, std::move(*response), 11, false, false);
      }
      co_return false;
    }
    const bool keepAlive = parser.get().keep_alive();
    const unsigned version = parser.get().version();
    const bool isHead = parser.get().method() == http::verb::head;
    auto exchange =
      std::make_shared<HttpExchange>(stream.get_executor(), FromBeast(parser.release()), aAddress);
    aSession.mBusy = true;
    stream.expires_never();
    WatchForDisconnect(stream, exchange);
    mHandler(exchange);
    auto response = co_await exchange->WaitForResponse();
    stream.socket().cancel();
    aSession.mBusy = false;
    if (!response) {
      co_return false;
    }
    const bool written =
      co_await Write(stream, std::move(*response), version, keepAlive && !mStopping, isHead);
    co_return written&& keepAlive;
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
  // of a pipelined request end the watch.
  static void WatchForDisconnect(beast::tcp_stream& aStream,
                                 const std::shared_ptr<HttpExchange>& aExchange)
  {
    aStream.socket().async_wait(
      tcp::socket::wait_read, [&aStream, aExchange](const beast::error_code& aError) {
        if (aError) {
          return;
        }
        char byte = 0;
        beast::error_code error;
        const size_t count =
          aStream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
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
  beast::error_code error;
  tcp::acceptor& acceptor = mState->mAcceptor;
  acceptor.open(mState->mEndpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(mState->mEndpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Failure{ TransportError::ListenFailed, mState->mEndpoint.address().to_string() + ":" +
                                                    std::to_string(mState->mEndpoint.port()) +
                                                    ": " + error.message() };
  }
  asio::co_spawn(acceptor.get_executor(), mState->Accept(), asio::detached);
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
