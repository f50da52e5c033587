#include "balsammount/http_server.h"

#include "message_framing.h"
#include "message_reader.h"

#include "balsammount/endpoint.h"
#include "balsammount/event.h"
#include "balsammount/unhandled.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <deque>
#include <optional>
#include <set>
#include <tuple>

namespace balsammount {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Connections over the limit that are accepted and refused with a response. If a connection is
// closed without a response, the client cannot tell whether its request was executed.
constexpr size_t kMaxRefusedConnections = 256;

// Unanswered requests that are read from one connection, to limit the memory that a client can
// occupy. Further requests stay in the socket buffer.
constexpr size_t kMaxPipelinedRequests = 16;

// Memory of a connection without its read buffer and its messages: the objects of the session and
// the frames of its coroutines.
constexpr size_t kConnectionBytes = 12 * 1024;

// How long a connection is read after its last response, so that a reset does not discard that
// response.
constexpr std::chrono::milliseconds kLingerTimeout{ 1000 };

class ServerExchange final : public HttpExchange
{
public:
  ServerExchange(const asio::any_io_executor& aExecutor, HttpRequest aRequest, std::string aAddress,
                 size_t aMaxBacklog, HeldBytes aHeldHead = HeldBytes())
    : mRequest(std::move(aRequest))
    , mHeldHead(std::move(aHeldHead))
    , mHeldResponse(mRequest.mHolder)
    , mHeldData(mRequest.mHolder)
    , mAddress(std::move(aAddress))
    , mMaxBacklog(aMaxBacklog)
    , mWake(aExecutor, asio::steady_timer::time_point::max())
  {
  }

  const HttpRequest& Request() const override { return mRequest; }
  const std::string& RemoteAddress() const override { return mAddress; }

  void Respond(HttpResponse aResponse) override
  {
    if (mResponse || mClosed) {
      return;
    }
    // The response of a backend server has been charged while it was read.
    if (!aResponse.mBody.IsCharged()) {
      mHeldResponse.SetTo(HeadBytes(aResponse.mHeaders) + aResponse.mBody.size());
    }
    mResponse = std::move(aResponse);
    mEnded = true;
    mOnCancel = nullptr;
    mWake.cancel();
  }

  void OnCancel(std::function<void()> aCallback) override { mOnCancel = std::move(aCallback); }

  void StartStream(HttpResponse aHead) override
  {
    if (mResponse || mClosed) {
      return;
    }
    mResponse = std::move(aHead);
    mStreaming = true;
    mWake.cancel();
  }

  bool WriteData(std::string_view aData) override
  {
    if (!mStreaming || mEnded || mClosed) {
      return false;
    }
    const size_t unsentBytes = mUnsentData.size() + aData.size();
    if (unsentBytes > mMaxBacklog || !mHeldData.GrowTo(unsentBytes)) {
      Abort();
      return false;
    }
    mUnsentData += aData;
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
    mClosed = true;
    mOnCancel = nullptr;
    mWake.cancel();
  }

  void NotifyClosed()
  {
    if (mEnded || mClosed) {
      return;
    }
    mClosed = true;
    mWake.cancel();
    if (auto callback = std::exchange(mOnCancel, nullptr)) {
      RunGuarded("http-server", callback);
    }
  }

  // Waits for the response or its head. Returns nullopt if the exchange ended without one.
  asio::awaitable<std::optional<HttpResponse>> WaitForResponse()
  {
    while (!mResponse && !mClosed) {
      co_await mWake.async_wait(kAwait);
    }
    co_return mClosed ? std::nullopt : std::exchange(mResponse, HttpResponse{});
  }

  // Waits for data to stream. Returns an empty string if the stream has ended.
  asio::awaitable<std::string> WaitForData()
  {
    while (mUnsentData.empty() && !mEnded && !mClosed) {
      co_await mWake.async_wait(kAwait);
    }
    // The data stays charged while it is written.
    mHeldData.ShrinkTo(mUnsentData.size());
    co_return mClosed ? std::string() : std::exchange(mUnsentData, {});
  }

  bool IsStreaming() const { return mStreaming; }
  bool IsClosed() const { return mClosed; }
  bool IsAwaitingEnd() const { return !mEnded && !mClosed; }

private:
  HttpRequest mRequest;
  HeldBytes mHeldHead;
  HeldBytes mHeldResponse;
  HeldBytes mHeldData; // of a stream
  std::string mAddress;
  size_t mMaxBacklog;
  asio::steady_timer mWake;
  std::optional<HttpResponse> mResponse;
  std::string mUnsentData;
  std::function<void()> mOnCancel;
  bool mStreaming = false;
  bool mEnded = false;
  bool mClosed = false;
};

HttpRequest FromBeast(http::request<http::string_body>&& aMessage, HeldBytes aHeldBody,
                      std::shared_ptr<ResourceHolder> aHolder)
{
  HttpRequest request;
  request.mHolder = std::move(aHolder);
  request.mMethod = std::string(aMessage.method_string());
  request.mTarget = std::string(aMessage.target());
  for (const auto& field : aMessage) {
    request.mHeaders.Add(std::string_view(field.name_string().data(), field.name_string().size()),
                         std::string_view(field.value().data(), field.value().size()));
  }
  for (const std::string& option : detail::ConnectionOptions(aMessage)) {
    if (!EqualsIgnoringCase(option, "host")) {
      request.mHeaders.Remove(option);
    }
  }
  // The server has already sent 100 Continue.
  request.mHeaders.Remove("Expect");
  request.mBody = Body(std::move(aMessage.body()), std::move(aHeldBody));
  return request;
}

// Returns the memory that the head takes in this node.
size_t HeadBytes(const http::fields& aFields)
{
  size_t bytes = 0;
  for (const auto& field : aFields) {
    bytes += HeadFieldBytes(field.name_string().size(), field.value().size());
  }
  return bytes;
}

using OutgoingResponse = http::response<http::span_body<const char>>;

// The message refers to the body of aResponse.
OutgoingResponse ToBeast(const HttpResponse& aResponse, unsigned aVersion, bool aKeepAlive,
                         bool aIsHead)
{
  OutgoingResponse message;
  message.version(aVersion);
  message.result(aResponse.mStatus);
  for (const Header& header : aResponse.mHeaders.All()) {
    if (!IsHopByHop(header.mName)) {
      message.insert(header.mName, header.mValue);
    }
  }
  message.keep_alive(aKeepAlive);
  const bool hasNoContent = aResponse.mStatus == 204 || aResponse.mStatus == 304;
  if (!hasNoContent) {
    message.content_length(aResponse.mBody.size());
  }
  if (!aIsHead && !hasNoContent) {
    message.body() = { aResponse.mBody.data(), aResponse.mBody.size() };
  }
  return message;
}

HttpResponse MakeErrorResponse(unsigned aStatus, std::string_view aText,
                               std::string_view aOutcome = "not-run")
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mHeaders.Set("Content-Type", "text/plain");
  response.mHeaders.Set("Balsam-Outcome", aOutcome);
  response.mBody = std::string(aText) + "\n";
  return response;
}

// Returns the response to a request that could not be read, or nullopt if the client disconnected.
std::optional<HttpResponse> ResponseToReadError(const beast::error_code& aError)
{
  if (aError == http::error::body_limit) {
    return MakeErrorResponse(413, "request body too large");
  }
  if (aError == http::error::header_limit || aError == http::error::buffer_overflow) {
    return MakeErrorResponse(431, "request headers too large");
  }
  if (aError == beast::error::timeout) {
    return MakeErrorResponse(408, "request not received in time");
  }
  if (aError == asio::error::no_memory) {
    auto response = MakeErrorResponse(503, "too many bytes are held for callers");
    response.mHeaders.Set("Retry-After", "1");
    return response;
  }
  if (aError.category() == make_error_code(http::error::bad_method).category() &&
      aError != http::error::end_of_stream && aError != http::error::partial_message) {
    return MakeErrorResponse(400, "malformed request: " + aError.message());
  }
  return std::nullopt;
}

// Returns true if the read error means that the client closed its side of the connection.
bool IsDisconnect(const beast::error_code& aError)
{
  return aError == http::error::partial_message || aError == http::error::end_of_stream ||
         (aError.category() == asio::error::get_system_category() &&
          aError != asio::error::operation_aborted && aError != asio::error::no_memory);
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<State>
{
  // A response that has not been written yet.
  struct Pending
  {
    std::shared_ptr<ServerExchange> mExchange; // null: 100 Continue for the request being read
    unsigned mVersion = 11;
    bool mKeepAlive = true;
    bool mIsHead = false;
  };

  // A connection with a reader and a writer that run concurrently. Requests are read ahead, and the
  // responses are written in the order of the requests.
  struct Session
  {
    Session(tcp::socket aSocket, std::string aAddress, size_t aMaxHeaderBytes,
            std::shared_ptr<ResourceHolder> aHolder)
      : mStream(std::move(aSocket))
      , mAddress(std::move(aAddress))
      , mHolder(std::move(aHolder))
      , mHeldConnection(mHolder)
      , mBuffer(aMaxHeaderBytes, mHolder)
      , mChanged(mStream.get_executor(), asio::steady_timer::time_point::max())
      , mTimer(mStream.get_executor())
    {
    }

    bool IsIdle() const { return mPending.empty() && !mReadingRequest; }

    HolderActivity Activity() const
    {
      if (mAwaitsBytes || mWriting) {
        return HolderActivity::Waiting;
      }
      return IsIdle() ? HolderActivity::Idle : HolderActivity::Working;
    }

    // Refuses the request that is being read if that is enough. Otherwise the connection is closed.
    void Yield(YieldFor aNeed)
    {
      mYielded = true;
      if (aNeed == YieldFor::Bytes && mAwaitsBytes && !mWriting) {
        beast::error_code ignored;
        mStream.socket().cancel(ignored);
        return;
      }
      Close();
    }

    void Close()
    {
      mStream.close();
      if (mHolder) {
        mHolder->ReturnSocket();
      }
    }

    void OnProgress(size_t aBytes)
    {
      if (mHolder) {
        mHolder->OnProgress(aBytes);
      }
    }
    void OnBegin()
    {
      if (mHolder) {
        mHolder->OnBegin();
      }
    }

    void NotifyClosed()
    {
      for (auto pending = std::exchange(mPending, {}); const Pending& one : pending) {
        if (one.mExchange) {
          one.mExchange->NotifyClosed();
        }
      }
      mChanged.cancel();
    }

    beast::tcp_stream mStream;
    std::string mAddress;
    std::shared_ptr<ResourceHolder> mHolder; // null without a budget
    HeldBytes mHeldConnection;
    detail::ReadBuffer mBuffer;
    std::deque<Pending> mPending;
    asio::steady_timer mChanged; // cancelled to wake the reader and the writer
    asio::steady_timer mTimer;   // limits idle time, reading a request, or lingering
    bool mReadingRequest = false;
    bool mAwaitsBytes = false; // of the request that is being read
    bool mWriting = false;     // a response that the client is to read
    bool mYielded = false;
    bool mTimedOut = false;
    bool mOverLimit = false;      // refuses one request, then closes
    bool mNoMoreRequests = false; // no further request is read from this connection
    bool mDisconnected = false;   // the client closed its side; nothing more can be read
    bool mReaderDone = false;
    bool mWriterDone = false;
  };

  State(asio::io_context& aContext, tcp::endpoint aEndpoint, HttpServerLimits aLimits,
        ExchangeHandler aHandler)
    : mAcceptor(aContext)
    , mEndpoint(std::move(aEndpoint))
    , mLimits(std::move(aLimits))
    , mHandler(std::move(aHandler))
  {
  }

  // The coroutines take a shared pointer to the state, because they start after the function that
  // spawns them has returned, and the server may be destroyed by then.
  static asio::awaitable<void> Accept(std::shared_ptr<State> aState)
  {
    co_await aState->AcceptLoop();
  }

  asio::awaitable<void> AcceptLoop()
  {
    asio::steady_timer retryTimer(mAcceptor.get_executor());
    while (!mStopping) {
      auto [error, socket] = co_await mAcceptor.async_accept(kAwait);
      if (error == asio::error::operation_aborted || mStopping) {
        break;
      }
      if (error || mSessions.size() >= mLimits.mMaxConnections + kMaxRefusedConnections) {
        // Out of file descriptors, or too many connections to refuse. Waits for some to end.
        retryTimer.expires_after(std::chrono::milliseconds(error ? 50 : 1));
        co_await retryTimer.async_wait(kAwait);
        continue;
      }
      RunGuarded("http-server", [this, &accepted = socket] { StartSession(std::move(accepted)); });
    }
  }

  void StartSession(tcp::socket aSocket)
  {
    beast::error_code ignored;
    aSocket.set_option(tcp::no_delay(true), ignored);
    EnableTcpKeepAlive(aSocket);
    const std::string address = aSocket.remote_endpoint(ignored).address().to_string();
    auto session = MakeSession(std::move(aSocket), address);
    if (!session) {
      return;
    }
    mSessions.insert(session);
    const auto onEnd = [self = shared_from_this(), session](const std::exception_ptr& aException) {
      if (aException) {
        ReportUnhandled("http-server", aException);
        self->AbortSession(session);
      }
    };
    asio::co_spawn(mAcceptor.get_executor(), ReadLoop(shared_from_this(), session), onEnd);
    asio::co_spawn(mAcceptor.get_executor(), WriteLoop(shared_from_this(), session), onEnd);
  }

  // Returns null if the budget does not allow another connection. Its client sees that no request
  // was read.
  std::shared_ptr<Session> MakeSession(tcp::socket aSocket, const std::string& aAddress)
  {
    if (!mLimits.mBudget) {
      auto session =
        std::make_shared<Session>(std::move(aSocket), aAddress, mLimits.mMaxHeaderBytes, nullptr);
      session->mOverLimit = mSessions.size() >= mLimits.mMaxConnections;
      return session;
    }
    auto owner = std::make_shared<std::weak_ptr<Session>>();
    auto holder = mLimits.mBudget->AddHolder(aAddress, CallbacksOf(owner));
    if (!holder->TryTakeSocket()) {
      return nullptr;
    }
    auto session = std::make_shared<Session>(std::move(aSocket), aAddress, mLimits.mMaxHeaderBytes,
                                             std::move(holder));
    *owner = session;
    return session->mHeldConnection.GrowTo(kConnectionBytes) ? session : nullptr;
  }

  static asio::awaitable<void> ReadLoop(std::shared_ptr<State> aState,
                                        std::shared_ptr<Session> aSession)
  {
    bool more = true;
    while (more && !aState->mStopping && !aSession->mNoMoreRequests) {
      more = co_await aState->ReadNextRequest(aSession);
    }
    aSession->mNoMoreRequests = true;
    aSession->mReadingRequest = false;
    aSession->mChanged.cancel();
    if (aSession->mWriterDone) {
      // The reader may have replaced the timer that the writer started.
      StartTimer(aSession, kLingerTimeout);
    }
    co_await aState->WaitForDisconnect(aSession);
    aSession->mReaderDone = true;
    // The client disconnected, or the linger timeout after the last response has expired.
    aSession->NotifyClosed();
    aState->EndSession(aSession);
  }

  // Reads until the client closes its side. This detects a disconnect, which cancels the requests
  // in flight, and leaves no unread bytes, which would make close() reset the connection before the
  // last response has arrived.
  asio::awaitable<void> WaitForDisconnect(std::shared_ptr<Session> aSession)
  {
    Session& session = *aSession;
    while (!session.mDisconnected && (!session.mWriterDone || !session.mTimedOut)) {
      session.mBuffer.Consume(session.mBuffer.Size());
      session.mBuffer.Trim();
      session.mStream.expires_never();
      const auto error = co_await session.mBuffer.ReadSome(session.mStream);
      // The timer of an earlier phase may still cancel this read.
      session.mDisconnected = error && error != asio::error::operation_aborted;
    }
  }

  // Limits the current phase of the connection: cancels the operations of the socket after
  // aTimeout.
  static void StartTimer(const std::shared_ptr<Session>& aSession,
                         std::chrono::milliseconds aTimeout)
  {
    aSession->mTimedOut = false;
    aSession->mTimer.expires_after(aTimeout);
    aSession->mTimer.async_wait([weak = std::weak_ptr(aSession)](const beast::error_code& aError) {
      const auto session = weak.lock();
      if (aError || !session) {
        return;
      }
      session->mTimedOut = true;
      beast::error_code ignored;
      session->mStream.socket().cancel(ignored);
    });
  }

  void StartIdleTimer(const std::shared_ptr<Session>& aSession)
  {
    StartTimer(aSession, aSession->mOverLimit ? mLimits.mReadTimeout : mLimits.mIdleTimeout);
  }

  // Reads and dispatches one request. Returns false if no further request is to be read.
  asio::awaitable<bool> ReadNextRequest(std::shared_ptr<Session> aSession)
  {
    Session& session = *aSession;
    while (session.mPending.size() >= kMaxPipelinedRequests) {
      co_await session.mChanged.async_wait(kAwait);
    }
    if (session.mBuffer.Size() == 0) {
      if (session.mPending.empty()) {
        StartIdleTimer(aSession);
      }
      session.mBuffer.Trim();
      session.mStream.expires_never();
      const auto waitError = co_await session.mBuffer.ReadSome(session.mStream);
      if (waitError) {
        session.mDisconnected = waitError != asio::error::operation_aborted;
        co_return false;
      }
    }
    session.OnBegin();
    // From its first byte on, a request counts as in flight, and Stop lets it finish.
    session.mReadingRequest = true;
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<uint32_t>(mLimits.mMaxHeaderBytes));
    parser.body_limit(mLimits.mMaxBodyBytes);
    HeldBytes heldHead(session.mHolder);
    HeldBytes heldBody(session.mHolder);
    const auto error = co_await ReadRequest(aSession, parser, heldHead, heldBody);
    session.mAwaitsBytes = false;
    session.mTimer.cancel();
    if (auto refusal = RefusalOfHeader(parser)) {
      RespondAndClose(aSession, std::move(*refusal));
      co_return false;
    }
    if (error) {
      session.mDisconnected = IsDisconnect(error);
      if (auto response = ResponseToReadError(session.mTimedOut ? beast::error::timeout : error)) {
        RespondAndClose(aSession, std::move(*response));
      }
      co_return false;
    }
    if (session.mOverLimit) {
      HttpResponse refusal = MakeErrorResponse(503, "too many connections");
      refusal.mHeaders.Set("Retry-After", "1");
      RespondAndClose(aSession, std::move(refusal));
      co_return false;
    }
    auto message = parser.release();
    const bool more =
      co_await Dispatch(aSession, std::move(message), std::move(heldHead), std::move(heldBody));
    co_return more;
  }

  // Passes a request to the handler. Only requests with a safe method run while earlier ones on the
  // connection are unanswered, because a client resends the requests that follow a response that
  // closes the connection.
  asio::awaitable<bool> Dispatch(std::shared_ptr<Session> aSession,
                                 http::request<http::string_body> aMessage, HeldBytes aHeldHead,
                                 HeldBytes aHeldBody)
  {
    const bool isHead = aMessage.method() == http::verb::head;
    const bool isSafe = isHead || aMessage.method() == http::verb::get;
    while (!isSafe && !aSession->mPending.empty()) {
      co_await aSession->mChanged.async_wait(kAwait);
    }
    if (aSession->mWriterDone || aSession->mNoMoreRequests) {
      // The writer has announced the end of the connection in the meantime, so the client assumes
      // that this request was not read and sends it again.
      co_return false;
    }
    const bool keepAlive = aMessage.keep_alive();
    const unsigned version = aMessage.version();
    auto exchange = std::make_shared<ServerExchange>(
      aSession->mStream.get_executor(),
      FromBeast(std::move(aMessage), std::move(aHeldBody), aSession->mHolder), aSession->mAddress,
      mLimits.mMaxStreamBacklogBytes, std::move(aHeldHead));
    aSession->mPending.push_back({ exchange, version, keepAlive, isHead });
    aSession->mNoMoreRequests = !keepAlive;
    aSession->mReadingRequest = false;
    aSession->mChanged.cancel();
    if (!RunGuarded("http-server", mHandler, exchange)) {
      // The handler may have dispatched the request before it failed.
      exchange->Respond(MakeErrorResponse(500, "internal error", "unknown"));
    }
    co_return keepAlive;
  }

  // Queues a response of the server itself behind the pending ones. A refusal for lack of capacity
  // is not logged.
  void RespondAndClose(const std::shared_ptr<Session>& aSession, HttpResponse aResponse)
  {
    if (aResponse.mStatus != 503) {
      Event("http-server", "bad-request")
        .Add("status", aResponse.mStatus)
        .Add(
          "reason",
          std::string_view(aResponse.mBody.Bytes()).substr(0, aResponse.mBody.Bytes().find('\n')))
        .Add("client", aSession->mAddress);
    }
    auto exchange =
      std::make_shared<ServerExchange>(aSession->mStream.get_executor(), HttpRequest{},
                                       aSession->mAddress, mLimits.mMaxStreamBacklogBytes);
    exchange->Respond(std::move(aResponse));
    aSession->mPending.push_back({ std::move(exchange), 11, false, false });
  }

  using RequestParser = http::request_parser<http::string_body>;

  // Returns the response to a request that is refused whatever its body is.
  static std::optional<HttpResponse> RefusalOfHeader(RequestParser& aParser)
  {
    if (!aParser.is_header_done()) {
      return std::nullopt;
    }
    const auto& header = aParser.get();
    const unsigned status = detail::StatusOfRequestFraming(
      header, header.version(), { aParser.chunked(), aParser.content_length().has_value() });
    if (status != 0) {
      return MakeErrorResponse(status, "the end of the body is unknown");
    }
    const auto hosts = header.count(http::field::host);
    // The parser joins folded lines by spaces, so a field after Host may have become part of it.
    const bool hasSpace = header[http::field::host].find_first_of(" \t") != std::string::npos;
    if (hosts > 1 || hasSpace || (hosts == 0 && header.version() >= 11)) {
      return MakeErrorResponse(400, "exactly one Host header is expected");
    }
    if (header.version() >= 11 && header.count(http::field::expect) > 0 &&
        !ExpectsContinue(aParser)) {
      return MakeErrorResponse(417, "the expectation is not supported");
    }
    return std::nullopt;
  }

  // HTTP/1.0 has no interim responses; a client of that version does not wait for one.
  static bool ExpectsContinue(RequestParser& aParser)
  {
    const auto& header = aParser.get();
    return header.version() >= 11 && header.count(http::field::expect) == 1 &&
           beast::iequals(header[http::field::expect], "100-continue");
  }

  // Has 100 Continue written when the earlier responses have been. Returns false if the connection
  // ends before.
  static asio::awaitable<bool> SendContinue(std::shared_ptr<Session> aSession)
  {
    Session& session = *aSession;
    session.mTimer.cancel();
    session.mPending.emplace_back();
    session.mChanged.cancel();
    while (!session.mPending.empty() && !session.mWriterDone) {
      co_await session.mChanged.async_wait(kAwait);
    }
    co_return !session.mWriterDone;
  }

  // Reads more bytes of a request.
  static asio::awaitable<beast::error_code> ReadMore(Session& aSession)
  {
    // The writer may have set a time limit for a response.
    aSession.mStream.expires_never();
    aSession.mAwaitsBytes = true;
    const size_t before = aSession.mBuffer.Size();
    const auto error = co_await aSession.mBuffer.ReadSome(aSession.mStream);
    aSession.mAwaitsBytes = false;
    aSession.OnProgress(aSession.mBuffer.Size() - before);
    // The bytes may have arrived before the read could be cancelled.
    co_return aSession.mYielded ? beast::error_code(asio::error::no_memory) : error;
  }

  static asio::awaitable<beast::error_code> ReadHead(Session& aSession, RequestParser& aParser)
  {
    bool needsMore = aSession.mBuffer.Size() == 0;
    while (!aParser.is_header_done()) {
      beast::error_code error;
      if (needsMore) {
        error = co_await ReadMore(aSession);
      }
      if (!error) {
        aSession.mBuffer.Consume(aParser.put(aSession.mBuffer.Data(), error));
        needsMore = error == http::error::need_more;
        if (needsMore) {
          error = {};
        }
      }
      if (error) {
        co_return error == asio::error::eof ? http::error::partial_message : error;
      }
    }
    co_return beast::error_code{};
  }

  // Reads no body if the request is refused because of its header. Fails with no_memory if the
  // budget does not allow the request.
  asio::awaitable<beast::error_code> ReadRequest(std::shared_ptr<Session> aSession,
                                                 RequestParser& aParser, HeldBytes& aHeldHead,
                                                 HeldBytes& aHeldBody)
  {
    Session& session = *aSession;
    StartTimer(aSession, mLimits.mHeaderTimeout);
    if (const auto error = co_await ReadHead(session, aParser)) {
      co_return error;
    }
    if (!aHeldHead.GrowTo(HeadBytes(aParser.get()))) {
      co_return asio::error::no_memory;
    }
    const bool isRefused =
      RefusalOfHeader(aParser) || (session.mOverLimit && ExpectsContinue(aParser));
    if (aParser.is_done() || isRefused) {
      co_return beast::error_code{};
    }
    // A client that has sent a part of the body does not wait.
    const bool isAwaited = ExpectsContinue(aParser) && session.mBuffer.Size() == 0;
    if (isAwaited && !co_await SendContinue(aSession)) {
      co_return asio::error::operation_aborted;
    }
    StartTimer(aSession, mLimits.mReadTimeout);
    co_return co_await detail::ReadBody(aParser, session.mBuffer, aHeldBody,
                                        [&session] { return ReadMore(session); });
  }

  static asio::awaitable<void> WriteLoop(std::shared_ptr<State> aState,
                                         std::shared_ptr<Session> aSession)
  {
    bool more = true;
    while (more) {
      more = co_await aState->WriteNextResponse(aSession);
    }
    aSession->mWriterDone = true;
    aSession->mNoMoreRequests = true;
    // Requests that follow a response that closes the connection count as not read.
    aSession->NotifyClosed();
    beast::error_code ignored;
    aSession->mStream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    StartTimer(aSession, kLingerTimeout);
    aState->EndSession(aSession);
  }

  void EndSession(const std::shared_ptr<Session>& aSession)
  {
    if (aSession->mReaderDone && aSession->mWriterDone) {
      aSession->mTimer.cancel();
      aSession->Close();
      mSessions.erase(aSession);
    }
  }

  void AbortSession(const std::shared_ptr<Session>& aSession)
  {
    aSession->mNoMoreRequests = true;
    aSession->mReaderDone = true;
    aSession->mWriterDone = true;
    aSession->NotifyClosed();
    EndSession(aSession);
  }

  // Writes the next response. Returns false if the connection has to be closed.
  asio::awaitable<bool> WriteNextResponse(std::shared_ptr<Session> aSession)
  {
    Session& session = *aSession;
    while (session.mPending.empty()) {
      if (session.mNoMoreRequests && !session.mReadingRequest) {
        co_return false;
      }
      co_await session.mChanged.async_wait(kAwait);
    }
    const Pending pending = session.mPending.front();
    if (!pending.mExchange) {
      static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      session.mStream.expires_after(mLimits.mWriteTimeout);
      auto [error, size] =
        co_await asio::async_write(session.mStream, asio::buffer(kContinue), kAwait);
      co_return !error && Pop(aSession, true);
    }
    auto response = co_await pending.mExchange->WaitForResponse();
    if (!response) {
      co_return false;
    }
    if (pending.mExchange->IsStreaming()) {
      if (pending.mVersion < 11) {
        pending.mExchange->NotifyClosed();
        response = MakeErrorResponse(505, "a streamed answer needs HTTP/1.1", "unknown");
        co_await Write(session, std::move(*response), pending.mVersion, false, false);
        co_return false;
      }
      const bool streamed = co_await WriteStream(session, *pending.mExchange, std::move(*response));
      co_return streamed&& Pop(aSession, pending.mKeepAlive);
    }
    // While the server drains, the connection is closed after the last request that was read.
    const bool isLastResponse = (mClosing || mStopping) && session.mPending.size() == 1 &&
                                !session.mReadingRequest && session.mBuffer.Size() == 0;
    session.mNoMoreRequests = session.mNoMoreRequests || isLastResponse;
    const bool keepAlive = pending.mKeepAlive && !isLastResponse;
    const bool written =
      co_await Write(session, std::move(*response), pending.mVersion, keepAlive, pending.mIsHead);
    co_return written&& Pop(aSession, keepAlive);
  }

  bool Pop(const std::shared_ptr<Session>& aSession, bool aKeepAlive)
  {
    if (!aSession->mPending.empty()) {
      aSession->mPending.pop_front();
    }
    aSession->mChanged.cancel();
    if (aKeepAlive && aSession->IsIdle()) {
      StartIdleTimer(aSession);
    }
    return aKeepAlive;
  }

  // Writes a streamed response to its end. Returns false if the connection has to be closed.
  asio::awaitable<bool> WriteStream(Session& aSession, ServerExchange& aExchange,
                                    HttpResponse aHead)
  {
    beast::tcp_stream& stream = aSession.mStream;
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
    stream.expires_after(mLimits.mWriteTimeout);
    auto [headError, headSize] = co_await http::async_write_header(stream, serializer, kAwait);
    if (headError) {
      aExchange.NotifyClosed();
      co_return false;
    }
    for (;;) {
      stream.expires_never();
      aSession.mWriting = false;
      const std::string bytes = co_await aExchange.WaitForData();
      if (aExchange.IsClosed()) {
        co_return false;
      }
      BeginWrite(aSession);
      stream.expires_after(mLimits.mWriteTimeout);
      if (bytes.empty()) {
        auto [error, size] = co_await asio::async_write(stream, http::make_chunk_last(), kAwait);
        co_return !error;
      }
      auto [error, size] =
        co_await asio::async_write(stream, http::make_chunk(asio::buffer(bytes)), kAwait);
      if (error) {
        aExchange.NotifyClosed();
        co_return false;
      }
    }
  }

  static void BeginWrite(Session& aSession)
  {
    aSession.mWriting = true;
    aSession.OnBegin();
  }

  asio::awaitable<bool> Write(Session& aSession, HttpResponse aResponse, unsigned aVersion,
                              bool aKeepAlive, bool aIsHead)
  {
    const auto message = ToBeast(aResponse, aVersion, aKeepAlive, aIsHead);
    http::response_serializer<http::span_body<const char>> serializer(message);
    serializer.split(false);
    aSession.mStream.expires_after(mLimits.mWriteTimeout);
    BeginWrite(aSession);
    beast::error_code error;
    while (!serializer.is_done() && !error) {
      size_t count = 0;
      std::tie(error, count) =
        co_await http::async_write_some(aSession.mStream, serializer, kAwait);
      aSession.OnProgress(count);
    }
    aSession.mWriting = false;
    co_return !error;
  }

  tcp::acceptor mAcceptor;
  tcp::endpoint mEndpoint;
  HttpServerLimits mLimits;
  ExchangeHandler mHandler;
  std::set<std::shared_ptr<Session>> mSessions;
  bool mClosing = false;
  bool mStopping = false;
};

HttpServer::HttpServer(asio::io_context& aContext, tcp::endpoint aEndpoint,
                       HttpServerLimits aLimits, ExchangeHandler aHandler)
  : mState(std::make_shared<State>(aContext, std::move(aEndpoint), std::move(aLimits),
                                   std::move(aHandler)))
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
  asio::co_spawn(mState->mAcceptor.get_executor(), State::Accept(mState),
                 [](const std::exception_ptr& aException) {
                   if (aException) {
                     ReportUnhandled("http-server", aException);
                   }
                 });
  return {};
}

void HttpServer::Stop()
{
  mState->mStopping = true;
  beast::error_code ignored;
  mState->mAcceptor.close(ignored);
  for (const auto& session : mState->mSessions) {
    if (session->IsIdle()) {
      session->mNoMoreRequests = true;
      session->mStream.socket().cancel(ignored);
      session->mChanged.cancel();
    }
  }
}

void HttpServer::CloseConnections()
{
  mState->mClosing = true;
}

void HttpServer::SetLimits(const HttpServerLimits& aLimits)
{
  mState->mLimits = aLimits;
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
