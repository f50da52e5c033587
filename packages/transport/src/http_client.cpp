#include "balsammount/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace balsammount {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

struct Connection
{
  explicit Connection(const asio::any_io_executor& aExecutor)
    : mStream(aExecutor)
  {
  }
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
};

// True when the server has closed an idle connection or sent bytes that nobody asked for.
bool IsStale(Connection& aConnection)
{
  beast::error_code error;
  char byte = 0;
  tcp::socket& socket = aConnection.mStream.socket();
  socket.non_blocking(true, error);
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

http::request<http::string_body> ToBeast(HttpRequest&& aRequest, const std::string& aHost)
{
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(aRequest.mMethod);
  message.target(aRequest.mTarget);
  for (const Header& header : aRequest.mHeaders.All()) {
    if (!IsHopByHop(header.mName)) {
      message.insert(header.mName, header.mValue);
    }
  }
  if (message.find(http::field::host) == message.end()) {
    message.set(http::field::host, aHost);
  }
  message.body() = std::move(aRequest.mBody);
  if (!message.body().empty() || message.method() == http::verb::post ||
      message.method() == http::verb::put) {
    message.content_length(message.body().size());
  }
  return message;
}

HttpResponse FromBeast(http::response<http::string_body>&& aMessage)
{
  HttpResponse response;
  response.mStatus = aMessage.result_int();
  for (const auto& field : aMessage) {
    const std::string_view name(field.name_string().data(), field.name_string().size());
    if (!IsHopByHop(name)) {
      response.mHeaders.Add(name, std::string_view(field.value().data(), field.value().size()));
    }
  }
  response.mBody = std::move(aMessage.body());
  return response;
}

class HttpCall final : public Call
{
public:
  explicit HttpCall(ResponseCallback aCallback)
    : mCallback(std::move(aCallback))
  {
  }

  void Cancel() override
  {
    mCallback = nullptr;
    if (auto connection = mConnection.lock()) {
      connection->mStream.close();
    }
  }

  bool IsCancelled() const { return !mCallback; }
  void Use(const std::shared_ptr<Connection>& aConnection) { mConnection = aConnection; }

  void Finish(Result<HttpResponse> aResult)
  {
    if (auto callback = std::exchange(mCallback, nullptr)) {
      callback(std::move(aResult));
    }
  }

private:
  ResponseCallback mCallback;
  std::weak_ptr<Connection> mConnection;
};

TransportError ToTransportError(const beast::error_code& aError)
{
  if (aError == beast::error::timeout) {
    return TransportError::TimedOut;
  }
  return aError == http::error::body_limit ? TransportError::TooLarge : TransportError::Lost;
}

} // namespace

struct HttpClient::State : std::enable_shared_from_this<State>
{
  State(asio::io_context& aContext, tcp::endpoint aEndpoint, HttpClientLimits aLimits)
    : mExecutor(aContext.get_executor())
    , mEndpoint(std::move(aEndpoint))
    , mLimits(aLimits)
    , mHost(mEndpoint.address().to_string() + ":" + std::to_string(mEndpoint.port()))
  {
  }

  std::shared_ptr<Connection> TakeIdle()
  {
    while (!mIdle.empty()) {
      auto connection = std::move(mIdle.back());
      mIdle.pop_back();
      if (!IsStale(*connection)) {
        return connection;
      }
    }
    return nullptr;
  }

  asio::awaitable<void> Run(HttpRequest aRequest, std::chrono::nanoseconds aTimeout,
                            std::shared_ptr<HttpCall> aCall)
  {
    auto self = shared_from_this();
    const auto deadline = std::chrono::steady_clock::now() + aTimeout;
    auto connection = TakeIdle();
    if (!connection) {
      connection = std::make_shared<Connection>(mExecutor);
      aCall->Use(connection);
      connection->mStream.expires_after(
        std::min<std::chrono::nanoseconds>(mLimits.mConnectTimeout, aTimeout));
      auto [error] = co_await connection->mStream.async_connect(mEndpoint, kAwait);
      if (error) {
        aCall->Finish(Failure{ TransportError::ConnectFailed, mHost + ": " + error.message() });
        co_return;
      }
      beast::error_code ignored;
      connection->mStream.socket().set_option(tcp::no_delay(true), ignored);
    }
    aCall->Use(connection);
    if (aCall->IsCancelled()) {
      co_return;
    }
    auto message = ToBeast(std::move(aRequest), mHost);
    connection->mStream.expires_at(deadline);
    {
      auto [error, size] = co_await http::async_write(connection->mStream, message, kAwait);
      if (error) {
        aCall->Finish(Failure{ ToTransportError(error), mHost + ": " + error.message() });
        co_return;
      }
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(mLimits.mMaxBodyBytes);
    parser.skip(message.method() == http::verb::head);
    auto [error, size] =
      co_await http::async_read(connection->mStream, connection->mBuffer, parser, kAwait);
    if (error) {
      aCall->Finish(Failure{ ToTransportError(error), mHost + ": " + error.message() });
      co_return;
    }
    // Without a length or chunks the end of the answer is the end of the connection, and a
    // truncated answer cannot be told from a whole one.
    const bool isFramed = parser.content_length() || parser.chunked() || !parser.need_eof();
    const bool keepAlive = parser.keep_alive();
    if (keepAlive && !aCall->IsCancelled() && mIdle.size() < mLimits.mMaxIdleConnections) {
      connection->mStream.expires_never();
      mIdle.push_back(std::move(connection));
    }
    if (!isFramed) {
      aCall->Finish(Failure{ TransportError::Lost, mHost + ": answer without a length" });
      co_return;
    }
    aCall->Finish(FromBeast(parser.release()));
  }

  asio::any_io_executor mExecutor;
  tcp::endpoint mEndpoint;
  HttpClientLimits mLimits;
  std::string mHost;
  std::vector<std::shared_ptr<Connection>> mIdle;
};

HttpClient::HttpClient(asio::io_context& aContext, tcp::endpoint aEndpoint,
                       HttpClientLimits aLimits)
  : mState(std::make_shared<State>(aContext, std::move(aEndpoint), aLimits))
{
}

HttpClient::~HttpClient() = default;

std::shared_ptr<Call> HttpClient::Send(HttpRequest aRequest, std::chrono::nanoseconds aTimeout,
                                       ResponseCallback aCallback)
{
  auto call = std::make_shared<HttpCall>(std::move(aCallback));
  asio::co_spawn(mState->mExecutor, mState->Run(std::move(aRequest), aTimeout, call),
                 asio::detached);
  return call;
}

} // namespace balsammount
