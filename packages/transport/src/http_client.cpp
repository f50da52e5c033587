#include "balsammount/http_client.h"

#include "message_framing.h"
#include "message_reader.h"

#include "balsammount/endpoint.h"
#include "balsammount/response_check.h"
#include "balsammount/unhandled.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace balsammount {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Interim responses, and responses to other requests, that are skipped before the one that belongs
// to the request. A server that sends more is faulty, and may go on forever.
constexpr int kMaxSkippedResponses = 16;

// Memory of a connection without its read buffer and its messages.
constexpr size_t kConnectionBytes = 4 * 1024;

struct Connection
{
  Connection(const asio::any_io_executor& aExecutor, size_t aMaxHeaderBytes,
             std::shared_ptr<ResourceHolder> aHolder)
    : mStream(aExecutor)
    , mHolder(std::move(aHolder))
    , mHeldConnection(mHolder)
    , mBuffer(aMaxHeaderBytes, mHolder)
  {
    mHeldConnection.SetTo(kConnectionBytes);
  }
  beast::tcp_stream mStream;
  std::shared_ptr<ResourceHolder> mHolder; // null without a budget
  HeldSocket mHeldSocket;
  HeldBytes mHeldConnection;
  detail::ReadBuffer mBuffer;
  std::chrono::steady_clock::time_point mIdleSince;
  // Idle timeout that the server announced in a Keep-Alive header, less a margin.
  std::chrono::milliseconds mServerIdleTimeout = std::chrono::milliseconds::max();
};

// Returns the timeout parameter of a Keep-Alive header, or nullopt if there is none.
std::optional<std::chrono::seconds> KeepAliveTimeout(std::string_view aValue)
{
  constexpr std::string_view kName = "timeout=";
  const size_t start = aValue.find(kName);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  uint32_t seconds = 0;
  const char* first = aValue.data() + start + kName.size();
  const auto [end, error] = std::from_chars(first, aValue.data() + aValue.size(), seconds);
  return error == std::errc() ? std::optional(std::chrono::seconds(seconds)) : std::nullopt;
}

// Returns true if the server closed an idle connection or sent unexpected bytes on it.
bool IsStale(Connection& aConnection)
{
  beast::error_code error;
  char byte = 0;
  tcp::socket& socket = aConnection.mStream.socket();
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

using OutgoingMessage = http::request<http::span_body<const char>>;

// The message refers to the body of aRequest.
OutgoingMessage ToBeast(const HttpRequest& aRequest, const std::string& aHost)
{
  OutgoingMessage message;
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
  message.body() = { aRequest.mBody.data(), aRequest.mBody.size() };
  if (!aRequest.mBody.empty() || message.method() == http::verb::post ||
      message.method() == http::verb::put) {
    message.content_length(aRequest.mBody.size());
  }
  return message;
}

// Returns the response without its body.
HttpResponse FromBeast(const http::response_header<http::fields>& aHead)
{
  HttpResponse response;
  response.mStatus = aHead.result_int();
  for (const auto& field : aHead) {
    const std::string_view name(field.name_string().data(), field.name_string().size());
    if (!IsHopByHop(name)) {
      response.mHeaders.Add(name, std::string_view(field.value().data(), field.value().size()));
    }
  }
  for (const std::string& option : detail::ConnectionOptions(aHead)) {
    response.mHeaders.Remove(option);
  }
  return response;
}

// Returns why a whole response is not delivered.
const char* DescribeRejection(ResponseMatch aMatch)
{
  switch (aMatch) {
    case ResponseMatch::Other:
      return ": response to another request";
    case ResponseMatch::Ambiguous:
      return ": response without the id of its request";
    default:
      return ": response without a length, or reset before its end";
  }
}

class HttpCall final : public Call
{
public:
  HttpCall(ResponseCallback aCallback, ResponseFilter aFilter)
    : mCallback(std::move(aCallback))
    , mFilter(std::move(aFilter))
  {
  }

  // Closes the connection only while the call is active, as another call may use it afterwards.
  void Cancel() override
  {
    mFilter = nullptr;
    if (!std::exchange(mCallback, nullptr)) {
      return;
    }
    if (auto connection = mConnection.lock()) {
      connection->mStream.close();
    }
  }

  bool IsCancelled() const { return !mCallback; }
  const ResponseFilter& Filter() const { return mFilter; }
  void SetConnection(const std::shared_ptr<Connection>& aConnection) { mConnection = aConnection; }

  void Finish(Result<HttpResponse> aResult)
  {
    mConnection.reset();
    mFilter = nullptr;
    if (auto callback = std::exchange(mCallback, nullptr)) {
      RunGuarded("http-client", callback, std::move(aResult));
    }
  }

private:
  // Both may own state that in turn owns this call, so they are reset when the call ends.
  ResponseCallback mCallback;
  ResponseFilter mFilter;
  std::weak_ptr<Connection> mConnection;
};

class StreamCall final : public Call
{
public:
  explicit StreamCall(StreamCallbacks aCallbacks)
    : mCallbacks(std::move(aCallbacks))
  {
  }

  void Cancel() override
  {
    mDone = true;
    if (auto connection = mConnection.lock()) {
      connection->mStream.close();
    }
  }

  bool IsDone() const { return mDone; }
  void SetConnection(const std::shared_ptr<Connection>& aConnection) { mConnection = aConnection; }

  void DeliverHead(const HttpResponse& aHead)
  {
    if (!mDone && mCallbacks.mOnHead) {
      mCallbacks.mOnHead(aHead);
    }
  }
  void DeliverData(std::string_view aData)
  {
    if (!mDone && !aData.empty() && mCallbacks.mOnData) {
      mCallbacks.mOnData(aData);
    }
  }
  void Finish(Result<void> aResult)
  {
    if (!std::exchange(mDone, true) && mCallbacks.mOnEnd) {
      mCallbacks.mOnEnd(std::move(aResult));
    }
  }

private:
  StreamCallbacks mCallbacks;
  std::weak_ptr<Connection> mConnection;
  bool mDone = false;
};

TransportError ToTransportError(const beast::error_code& aError)
{
  if (aError == beast::error::timeout) {
    return TransportError::TimedOut;
  }
  if (aError == http::error::body_limit || aError == http::error::header_limit ||
      aError == http::error::buffer_overflow || aError == asio::error::no_memory) {
    return TransportError::TooLarge;
  }
  const bool isEnd = aError == http::error::end_of_stream || aError == http::error::partial_message;
  // All other errors of this category are those of the parser.
  const bool isParserError =
    !isEnd && aError.category() == make_error_code(http::error::bad_field).category();
  return isParserError ? TransportError::InvalidResponse : TransportError::ConnectionLost;
}

// Completion handler of a coroutine that runs on its own.
void ReportEnd(const std::exception_ptr& aException)
{
  if (aException) {
    ReportUnhandled("http-client", aException);
  }
}

// Completion handler of a coroutine that performs a call, whose callback must be called in any
// case.
template <class CallType>
auto FinishOnException(std::shared_ptr<CallType> aCall)
{
  return [call = std::move(aCall)](const std::exception_ptr& aException) {
    if (aException) {
      ReportUnhandled("http-client", aException);
      call->Finish(Failure{ TransportError::ConnectionLost, "internal error" });
    }
  };
}

} // namespace

struct HttpClient::State
{
  State(asio::io_context& aContext, tcp::endpoint aEndpoint, HttpClientLimits aLimits)
    : mExecutor(aContext.get_executor())
    , mEndpoint(std::move(aEndpoint))
    , mLimits(std::move(aLimits))
    , mHost(mEndpoint.address().to_string() + ":" + std::to_string(mEndpoint.port()))
  {
  }

  void DropExpiredIdle()
  {
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(mIdle, [&](const auto& aConnection) {
      return now - aConnection->mIdleSince >=
             std::min(mLimits.mMaxIdleTime, aConnection->mServerIdleTimeout);
    });
  }

  // Returns null if no socket is available.
  std::shared_ptr<Connection> MakeConnection() const
  {
    auto holder = mLimits.mBudget ? mLimits.mBudget->AddHolder(mHost) : nullptr;
    auto connection =
      std::make_shared<Connection>(mExecutor, mLimits.mMaxHeaderBytes, std::move(holder));
    return connection->mHeldSocket.Take(mLimits.mBudget) ? connection : nullptr;
  }

  Failure NoSocket() const { return { TransportError::NoResources, mHost }; }

  void PutIdle(std::shared_ptr<Connection> aConnection)
  {
    DropExpiredIdle();
    if (mIdle.size() < mLimits.mMaxIdleConnections) {
      aConnection->mStream.expires_never();
      aConnection->mIdleSince = std::chrono::steady_clock::now();
      mIdle.push_back(std::move(aConnection));
    }
  }

  std::shared_ptr<Connection> TakeIdle()
  {
    DropExpiredIdle();
    while (!mIdle.empty()) {
      auto connection = std::move(mIdle.back());
      mIdle.pop_back();
      if (!IsStale(*connection)) {
        return connection;
      }
    }
    return nullptr;
  }

  Failure MakeFailure(const beast::error_code& aCause) const
  {
    const TransportError error = ToTransportError(aCause);
    return error == TransportError::InvalidResponse ? InvalidResponse(mHost, aCause.message())
                                                    : MakeFailure(error, aCause);
  }

  Failure MakeFailure(TransportError aError, const beast::error_code& aCause) const
  {
    return Failure{ aError, mHost + ": " + aCause.message() };
  }

  Failure TooManyResponses() const
  {
    return { TransportError::TooLarge, mHost + ": too many unrelated responses" };
  }

  asio::awaitable<beast::error_code> Connect(Connection& aConnection,
                                             std::chrono::nanoseconds aTimeout)
  {
    aConnection.mStream.expires_after(
      std::min<std::chrono::nanoseconds>(mLimits.mConnectTimeout, aTimeout));
    auto [error] = co_await aConnection.mStream.async_connect(mEndpoint, kAwait);
    if (!error) {
      beast::error_code ignored;
      aConnection.mStream.socket().set_option(tcp::no_delay(true), ignored);
      // IsStale must not block.
      aConnection.mStream.socket().non_blocking(true, ignored);
      EnableTcpKeepAlive(aConnection.mStream.socket());
    }
    co_return error;
  }

  // The coroutines take a shared pointer to the state, because they start after the function that
  // spawns them has returned, and the client may be destroyed by then.
  static asio::awaitable<void> Run(std::shared_ptr<State> aState, HttpRequest aRequest,
                                   std::chrono::nanoseconds aTimeout,
                                   std::shared_ptr<HttpCall> aCall)
  {
    State& self = *aState;
    const auto deadline = std::chrono::steady_clock::now() + aTimeout;
    if (aCall->IsCancelled()) {
      co_return;
    }
    auto connection = self.TakeIdle();
    if (!connection) {
      connection = self.MakeConnection();
      if (!connection) {
        aCall->Finish(self.NoSocket());
        co_return;
      }
      aCall->SetConnection(connection);
      if (auto error = co_await self.Connect(*connection, aTimeout)) {
        aCall->Finish(self.MakeFailure(TransportError::ConnectFailed, error));
        co_return;
      }
    }
    aCall->SetConnection(connection);
    if (aCall->IsCancelled()) {
      co_return;
    }
    const auto holder = HolderOf(*connection, aRequest);
    auto outgoing = std::make_shared<OutgoingRequest>(std::move(aRequest), self.mHost);
    connection->mStream.expires_at(deadline);
    asio::co_spawn(self.mExecutor, Write(connection, outgoing), ReportEnd);
    std::optional<http::response_parser<http::string_body>> parser;
    HttpResponse response;
    bool mustClose = false;
    auto match = ResponseMatch::Other;
    bool isSelfDelimited = true;
    for (int skipped = 0; match == ResponseMatch::Other && isSelfDelimited; ++skipped) {
      if (skipped > kMaxSkippedResponses) {
        connection->mStream.close();
        aCall->Finish(self.TooManyResponses());
        co_return;
      }
      parser.emplace();
      parser->header_limit(static_cast<uint32_t>(self.mLimits.mMaxHeaderBytes));
      parser->body_limit(self.mLimits.mMaxBodyBytes);
      parser->skip(outgoing->mMessage.method() == http::verb::head);
      auto read = co_await self.ReadResponse(*connection, *parser, holder);
      if (!read) {
        connection->mStream.close();
        if (read.error().mCode == TransportError::TimedOut && self.mLimits.mDropIdleAfterTimeout) {
          self.mIdle.clear();
        }
        aCall->Finish(read.error());
        co_return;
      }
      if (IsInterim(*read)) {
        continue;
      }
      isSelfDelimited = parser->content_length() || parser->chunked() || !parser->need_eof();
      mustClose = mustClose || !parser->keep_alive();
      UpdateServerIdleTimeout(*connection, parser->get());
      response = std::move(*read);
      match = aCall->Filter() ? aCall->Filter()(response) : ResponseMatch::Own;
      mustClose = mustClose || match != ResponseMatch::Own;
    }
    // Bytes that follow the response would be read as the response to the next request. If the
    // response came before the request was fully sent, the rest of the request is still to be
    // written.
    const bool isReusable =
      isSelfDelimited && !mustClose && outgoing->mSent && connection->mBuffer.Size() == 0;
    if (isReusable && !aCall->IsCancelled()) {
      connection->mBuffer.Trim();
      self.PutIdle(std::move(connection));
    } else {
      connection->mStream.close();
    }
    const bool isComplete =
      isSelfDelimited || (self.mLimits.mAcceptCloseDelimited && !outgoing->mFailed);
    if (match != ResponseMatch::Own || !isComplete) {
      aCall->Finish(
        Failure{ TransportError::ConnectionLost, self.mHost + DescribeRejection(match) });
      co_return;
    }
    aCall->Finish(std::move(response));
  }

  using ResponseParser = http::response_parser<http::string_body>;

  // Reads the head of a response, which may be an interim one. The bytes are read here and not by
  // the parser, which hides folded lines.
  asio::awaitable<Result<HttpResponse>> ReadHead(Connection& aConnection,
                                                 ResponseParser& aParser) const
  {
    detail::ReadBuffer& buffer = aConnection.mBuffer;
    detail::FoldedLineFinder folded;
    size_t searched = 0; // bytes at the start of the buffer
    while (!aParser.is_header_done()) {
      if (searched == buffer.Size()) {
        if (const auto error = co_await buffer.ReadSome(aConnection.mStream)) {
          co_return MakeFailure(error);
        }
      }
      if (folded.Find(buffer.View().substr(searched))) {
        co_return InvalidResponse(mHost, "folded line in the head");
      }
      beast::error_code error;
      buffer.Consume(aParser.put(buffer.Data(), error));
      searched = buffer.Size();
      if (error && error != http::error::need_more) {
        co_return MakeFailure(error);
      }
    }
    // The parser adds the trailers to the head once it has read them.
    HttpResponse head = FromBeast(aParser.get());
    auto fault = detail::ResponseFramingFault(
      aParser.get(), { aParser.chunked(), aParser.content_length().has_value() });
    if (!fault) {
      fault = ResponseFault(head);
    }
    if (fault) {
      co_return InvalidResponse(mHost, *fault);
    }
    co_return std::move(head);
  }

  // Returns the holder that the response is charged to.
  static std::shared_ptr<ResourceHolder> HolderOf(const Connection& aConnection,
                                                  const HttpRequest& aRequest)
  {
    return aRequest.mHolder ? aRequest.mHolder : aConnection.mHolder;
  }

  // Fails with TooLarge if the budget does not allow the response.
  asio::awaitable<Result<HttpResponse>> ReadResponse(Connection& aConnection,
                                                     ResponseParser& aParser,
                                                     std::shared_ptr<ResourceHolder> aHolder) const
  {
    auto response = co_await ReadHead(aConnection, aParser);
    if (!response) {
      co_return response.error();
    }
    HeldBytes heldHead(aHolder);
    if (!heldHead.GrowTo(HeadBytes(response->mHeaders))) {
      co_return MakeFailure(asio::error::no_memory);
    }
    HeldBytes held(std::move(aHolder));
    if (const auto error = co_await detail::ReadBody(aParser, aConnection.mBuffer, held, [&] {
          return aConnection.mBuffer.ReadSome(aConnection.mStream);
        })) {
      co_return MakeFailure(error);
    }
    held.Merge(std::move(heldHead));
    response->mBody = Body(std::move(aParser.get().body()), std::move(held));
    co_return std::move(response);
  }

  // A request that is being written. Its response may arrive before the write has ended.
  struct OutgoingRequest
  {
    OutgoingRequest(HttpRequest aRequest, const std::string& aHost)
      : mRequest(std::move(aRequest))
      , mMessage(ToBeast(mRequest, aHost))
    {
    }
    HttpRequest mRequest; // owns the body of the message
    OutgoingMessage mMessage;
    bool mSent = false;
    bool mFailed = false;
  };

  static asio::awaitable<void> Write(std::shared_ptr<Connection> aConnection,
                                     std::shared_ptr<OutgoingRequest> aOutgoing)
  {
    auto [error, size] =
      co_await http::async_write(aConnection->mStream, aOutgoing->mMessage, kAwait);
    // After an error the reader gets the rest of what the server sent. The operating system reports
    // a reset only once, so the end that the reader then sees may not be an orderly one.
    aOutgoing->mSent = !error;
    aOutgoing->mFailed = static_cast<bool>(error);
  }

  static void UpdateServerIdleTimeout(Connection& aConnection,
                                      const http::response<http::string_body>& aMessage)
  {
    const auto value = aMessage[http::field::keep_alive];
    if (const auto timeout = KeepAliveTimeout({ value.data(), value.size() })) {
      // Avoids sending a request while the server closes the connection.
      constexpr std::chrono::milliseconds kMargin{ 500 };
      aConnection.mServerIdleTimeout =
        std::max(std::chrono::milliseconds(*timeout) - kMargin, std::chrono::milliseconds(0));
    }
  }

  static asio::awaitable<void> RunStream(std::shared_ptr<State> aState, HttpRequest aRequest,
                                         std::chrono::nanoseconds aIdleTimeout,
                                         std::shared_ptr<StreamCall> aCall)
  {
    State& self = *aState;
    if (aCall->IsDone()) {
      co_return;
    }
    auto connection = self.MakeConnection();
    if (!connection) {
      aCall->Finish(self.NoSocket());
      co_return;
    }
    aCall->SetConnection(connection);
    if (auto error = co_await self.Connect(*connection, aIdleTimeout)) {
      aCall->Finish(self.MakeFailure(TransportError::ConnectFailed, error));
      co_return;
    }
    auto message = ToBeast(aRequest, self.mHost);
    beast::tcp_stream& stream = connection->mStream;
    stream.expires_after(aIdleTimeout);
    auto [writeError, written] = co_await http::async_write(stream, message, kAwait);
    if (writeError) {
      aCall->Finish(self.MakeFailure(writeError));
      co_return;
    }
    std::optional<ResponseParser> parser;
    HttpResponse head;
    for (int skipped = 0; !parser || IsInterim(head); ++skipped) {
      if (skipped > kMaxSkippedResponses) {
        aCall->Finish(self.TooManyResponses());
        co_return;
      }
      parser.emplace();
      parser->body_limit(boost::none);
      auto read = co_await self.ReadHead(*connection, *parser);
      if (!read) {
        aCall->Finish(read.error());
        co_return;
      }
      head = std::move(*read);
    }
    const bool isSelfDelimited =
      parser->content_length() || parser->chunked() || !parser->need_eof();
    aCall->DeliverHead(head);
    while (!parser->is_done() && !aCall->IsDone()) {
      stream.expires_after(aIdleTimeout);
      auto [error, size] =
        co_await http::async_read_some(stream, connection->mBuffer.Buffer(), *parser, kAwait);
      aCall->DeliverData(std::exchange(parser->get().body(), {}));
      if (error) {
        aCall->Finish(self.MakeFailure(error));
        co_return;
      }
    }
    if (!isSelfDelimited) {
      aCall->Finish(
        Failure{ TransportError::ConnectionLost, self.mHost + ": answer without a length" });
      co_return;
    }
    aCall->Finish({});
  }

  asio::any_io_executor mExecutor;
  tcp::endpoint mEndpoint;
  HttpClientLimits mLimits;
  std::string mHost;
  std::vector<std::shared_ptr<Connection>> mIdle;
};

HttpClient::HttpClient(asio::io_context& aContext, tcp::endpoint aEndpoint,
                       HttpClientLimits aLimits)
  : mState(std::make_shared<State>(aContext, std::move(aEndpoint), std::move(aLimits)))
{
}

HttpClient::~HttpClient() = default;

std::shared_ptr<Call> HttpClient::Send(HttpRequest aRequest, std::chrono::nanoseconds aTimeout,
                                       ResponseCallback aCallback, ResponseFilter aFilter)
{
  auto call = std::make_shared<HttpCall>(std::move(aCallback), std::move(aFilter));
  asio::co_spawn(mState->mExecutor, State::Run(mState, std::move(aRequest), aTimeout, call),
                 FinishOnException(call));
  return call;
}

std::shared_ptr<Call> HttpClient::Stream(HttpRequest aRequest,
                                         std::chrono::nanoseconds aIdleTimeout,
                                         StreamCallbacks aCallbacks)
{
  auto call = std::make_shared<StreamCall>(std::move(aCallbacks));
  asio::co_spawn(mState->mExecutor,
                 State::RunStream(mState, std::move(aRequest), aIdleTimeout, call),
                 FinishOnException(call));
  return call;
}

} // namespace balsammount
