#include "balsammount/peer_client.h"

#include "h2_connection.h"
#include "message_reader.h"

#include "balsammount/endpoint.h"
#include "balsammount/response_check.h"
#include "balsammount/unhandled.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <charconv>
#include <map>
#include <optional>

namespace balsammount {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

class ClientConnection;

class StreamCall final
  : public Call
  , public std::enable_shared_from_this<StreamCall>
{
public:
  StreamCall(const asio::any_io_executor& aExecutor, HttpRequest aRequest,
             ResponseCallback aCallback)
    : mRequest(std::move(aRequest))
    , mHeldHead(mRequest.mHolder)
    , mHeldBody(mRequest.mHolder)
    , mTimer(aExecutor)
    , mCallback(std::move(aCallback))
  {
  }

  void StartTimer(std::chrono::nanoseconds aTimeout)
  {
    mTimer.expires_after(aTimeout);
    mTimer.async_wait([weak = weak_from_this()](const auto& aError) {
      if (auto self = weak.lock(); self && !aError) {
        self->OnTimeout();
      }
    });
  }

  void Cancel() override
  {
    mCallback = nullptr;
    Reset();
  }

  void Finish(Result<HttpResponse> aResult)
  {
    mTimer.cancel();
    mConnection.reset();
    if (auto callback = std::exchange(mCallback, nullptr)) {
      RunGuarded("peer-client", callback, std::move(aResult));
    }
  }

  void Fail(TransportError aError) { Finish(Failure{ aError, {} }); }
  bool IsDone() const { return !mCallback; }

  HttpRequest mRequest;
  detail::OutgoingBody mRequestBody;
  HttpResponse mResponse;
  std::string mReceived; // body of the response
  HeldBytes mHeldHead;
  HeldBytes mHeldBody;
  std::weak_ptr<ClientConnection> mConnection;
  int32_t mStreamId = -1;
  size_t mHeadBytes = 0;
  bool mHeadDone = false; // the head of the final response has arrived
  bool mComplete = false; // the stream ended with END_STREAM
  bool mTooLarge = false;

private:
  void OnTimeout()
  {
    const bool sent = mStreamId > 0;
    auto self = shared_from_this();
    Reset();
    Fail(sent ? TransportError::TimedOut : TransportError::ConnectFailed);
  }
  void Reset();

  asio::steady_timer mTimer;
  ResponseCallback mCallback;
};

class ClientConnection final : public detail::H2Connection
{
  using TimePoint = std::chrono::steady_clock::time_point;

public:
  ClientConnection(const asio::any_io_executor& aExecutor, PeerClientLimits aLimits,
                   const std::string& aPeer)
    : H2Connection(tcp::socket(aExecutor),
                   aLimits.mBudget ? aLimits.mBudget->AddHolder(aPeer) : nullptr)
    , mLimits(std::move(aLimits))
    , mPeer(aPeer)
    , mTimer(aExecutor)
  {
  }

  void Connect(const tcp::endpoint& aEndpoint)
  {
    auto self = SharedSelf();
    if (!mHeldSocket.Take(mLimits.mBudget)) {
      asio::post(Socket().get_executor(), [self] { self->Close(); });
      return;
    }
    mTimer.expires_after(mLimits.mConnectTimeout);
    mTimer.async_wait([self](const auto& aError) {
      if (!aError && !self->mConnected) {
        self->Close();
      }
    });
    Socket().async_connect(aEndpoint, [self](const auto& aError) { self->OnConnected(aError); });
  }

  void Send(const std::shared_ptr<StreamCall>& aCall)
  {
    aCall->mConnection = SharedSelf();
    if (!mConnected) {
      mPendingCalls.push_back(aCall);
      return;
    }
    Submit(aCall);
    FlushSoon();
  }

  // The call stays in mCalls until nghttp2 reports that the stream is closed, because nghttp2 may
  // still read its request body.
  void ResetStream(int32_t aStreamId)
  {
    if (!IsClosed()) {
      nghttp2_submit_rst_stream(Session(), NGHTTP2_FLAG_NONE, aStreamId, NGHTTP2_CANCEL);
      FlushSoon();
    }
  }

  // Returns false once the connection is closed or the peer has sent GOAWAY.
  bool IsUsable() const { return !IsClosed() && !mGoingAway; }

private:
  std::shared_ptr<ClientConnection> SharedSelf()
  {
    return std::static_pointer_cast<ClientConnection>(shared_from_this());
  }

  void OnConnected(const boost::system::error_code& aError)
  {
    if (aError || IsClosed()) {
      Close();
      return;
    }
    mConnected = true;
    boost::system::error_code ignored;
    Socket().set_option(tcp::no_delay(true), ignored);
    EnableTcpKeepAlive(Socket());
    Open(false, 0, 64 * 1024);
    for (const auto& call : std::exchange(mPendingCalls, {})) {
      if (!call->IsDone()) {
        Submit(call);
      }
    }
    Flush();
    Read();
    ScheduleCheck();
  }

  void Submit(const std::shared_ptr<StreamCall>& aCall)
  {
    detail::HeaderBlock block;
    block.Add(":method", aCall->mRequest.mMethod);
    block.Add(":scheme", "http");
    const std::string_view host = aCall->mRequest.mHeaders.Find("Host");
    block.Add(":authority", host.empty() ? "node" : host);
    block.Add(":path", aCall->mRequest.mTarget);
    block.AddAll(aCall->mRequest.mHeaders);
    block.Add("content-length", std::to_string(aCall->mRequest.mBody.size()));
    aCall->mRequestBody = { std::move(aCall->mRequest.mBody), 0 };
    const nghttp2_data_provider provider = detail::MakeDataProvider(aCall->mRequestBody);
    const auto values = block.Values();
    const int32_t streamId =
      nghttp2_submit_request(Session(), nullptr, values.data(), values.size(), &provider, nullptr);
    if (streamId < 0) {
      aCall->Fail(TransportError::NotProcessed);
      return;
    }
    aCall->mStreamId = streamId;
    const bool wasIdle = mCalls.empty();
    mCalls.emplace(streamId, aCall);
    if (wasIdle) {
      mWaitingSince = std::chrono::steady_clock::now();
      if (mTimer.expiry() > NextCheck()) {
        ScheduleCheck();
      }
    }
  }

  void FlushSoon()
  {
    if (mFlushPosted) {
      return;
    }
    mFlushPosted = true;
    asio::post(Socket().get_executor(), [self = SharedSelf()] {
      self->mFlushPosted = false;
      self->Flush();
    });
  }

  // Returns when Check may have something to do. A node has a connection to every other node, so an
  // unused connection must not cost any processor time.
  TimePoint NextCheck() const
  {
    if (mPingSent) {
      return *mPingSent + mLimits.mPingTimeout;
    }
    const auto lastActivity = std::max(LastReceived(), mWaitingSince);
    return lastActivity + (mCalls.empty() ? mLimits.mMaxIdleTime : mLimits.mPingAfter);
  }

  void ScheduleCheck()
  {
    mTimer.expires_at(NextCheck());
    mTimer.async_wait([self = SharedSelf()](const auto& aError) {
      if (!aError && !self->IsClosed()) {
        self->Check();
      }
    });
  }

  // Sends a PING if nothing has arrived while requests are in flight. Closes the connection if the
  // PING is not answered, if it has not been used for long, or if the peer has sent GOAWAY and no
  // request is in flight.
  void Check()
  {
    const auto now = std::chrono::steady_clock::now();
    if (mPingSent && LastReceived() >= *mPingSent) {
      mPingSent.reset();
    }
    if (now >= NextCheck()) {
      if (mPingSent || mCalls.empty()) {
        Close();
        return;
      }
      mPingSent = now;
      nghttp2_submit_ping(Session(), NGHTTP2_FLAG_NONE, nullptr);
      Flush();
    }
    if (!CloseIfGone() && !IsClosed()) {
      ScheduleCheck();
    }
  }

  bool CloseIfGone()
  {
    const bool isGone = mGoingAway && mCalls.empty();
    if (isGone) {
      Close();
    }
    return isGone;
  }

  void OnFrame(const nghttp2_frame& aFrame) override
  {
    if (aFrame.hd.type == NGHTTP2_GOAWAY) {
      mGoingAway = true;
      // The connection must not be closed from within a callback of nghttp2.
      asio::post(Socket().get_executor(), [self = SharedSelf()] { self->CloseIfGone(); });
      return;
    }
    const auto found = mCalls.find(aFrame.hd.stream_id);
    if (found == mCalls.end() ||
        (aFrame.hd.type != NGHTTP2_HEADERS && aFrame.hd.type != NGHTTP2_DATA)) {
      return;
    }
    StreamCall& call = *found->second;
    if (aFrame.hd.type == NGHTTP2_HEADERS && !call.mHeadDone) {
      OnHeadDone(call);
    }
    call.mComplete = (aFrame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  }

  // Drops the head of an interim response, which precedes the final one.
  static void OnHeadDone(StreamCall& aCall)
  {
    aCall.mHeadDone = !IsInterim(aCall.mResponse);
    if (!aCall.mHeadDone) {
      aCall.mResponse = {};
      aCall.mHeldHead.ShrinkTo(0);
    }
  }

  void OnHeader(int32_t aStreamId, std::string_view aName, std::string_view aValue) override
  {
    const auto found = mCalls.find(aStreamId);
    if (found == mCalls.end()) {
      return;
    }
    StreamCall& call = *found->second;
    if (call.mHeadDone || call.mTooLarge) {
      return; // a trailer, or a response that is not delivered
    }
    call.mHeadBytes += aName.size() + aValue.size();
    if (call.mHeadBytes > mLimits.mMaxHeaderBytes ||
        !call.mHeldHead.GrowTo(call.mHeldHead.Bytes() +
                               HeadFieldBytes(aName.size(), aValue.size()))) {
      OnTooLarge(call);
      return;
    }
    HttpResponse& response = call.mResponse;
    if (aName == ":status") {
      std::from_chars(aValue.data(), aValue.data() + aValue.size(), response.mStatus);
    } else if (!IsHopByHop(aName)) {
      response.mHeaders.Add(aName, aValue);
    }
  }

  void OnData(int32_t aStreamId, std::string_view aBytes) override
  {
    const auto found = mCalls.find(aStreamId);
    if (found == mCalls.end()) {
      return;
    }
    StreamCall& call = *found->second;
    if (call.mTooLarge) {
      return;
    }
    if (call.mReceived.size() + aBytes.size() > mLimits.mMaxBodyBytes ||
        !detail::ReserveBody(call.mReceived, aBytes.size(), call.mHeldBody)) {
      OnTooLarge(call);
      return;
    }
    call.mReceived.append(aBytes);
    if (call.mRequest.mHolder) {
      call.mRequest.mHolder->OnProgress(aBytes.size());
    }
  }

  // Drops what has arrived of a response. The rest does not need to be sent.
  void OnTooLarge(StreamCall& aCall)
  {
    aCall.mTooLarge = true;
    aCall.mReceived = {};
    aCall.mResponse = {};
    aCall.mHeldHead.ShrinkTo(0);
    aCall.mHeldBody.ShrinkTo(0);
    ResetStream(aCall.mStreamId);
  }

  void OnStreamClosed(int32_t aStreamId, uint32_t aError) override
  {
    auto handle = mCalls.extract(aStreamId);
    if (!handle) {
      return;
    }
    // The callback may send another request, which nghttp2 does not allow from within its
    // callbacks.
    asio::post(Socket().get_executor(), [self = SharedSelf(), call = handle.mapped(), aError] {
      if (call->IsDone()) {
        return;
      }
      if (aError == NGHTTP2_REFUSED_STREAM) {
        call->Fail(TransportError::NotProcessed);
      } else if (call->mTooLarge) {
        call->Fail(TransportError::TooLarge);
      } else if (aError != NGHTTP2_NO_ERROR || !call->mComplete || !call->mHeadDone) {
        call->Fail(TransportError::ConnectionLost);
      } else if (const auto fault = ResponseFault(call->mResponse)) {
        call->Finish(InvalidResponse(self->mPeer, *fault));
      } else {
        call->mHeldBody.Merge(std::move(call->mHeldHead));
        call->mResponse.mBody = Body(std::move(call->mReceived), std::move(call->mHeldBody));
        call->Finish(std::move(call->mResponse));
      }
    });
  }

  void OnClosed() override
  {
    mTimer.cancel();
    for (auto waiting = std::exchange(mPendingCalls, {}); const auto& call : waiting) {
      call->Fail(TransportError::ConnectFailed);
    }
    for (auto calls = std::exchange(mCalls, {}); const auto& [streamId, call] : calls) {
      call->Fail(TransportError::ConnectionLost);
    }
  }

  PeerClientLimits mLimits;
  std::string mPeer; // address
  HeldSocket mHeldSocket;
  asio::steady_timer mTimer;
  std::vector<std::shared_ptr<StreamCall>> mPendingCalls;
  std::map<int32_t, std::shared_ptr<StreamCall>> mCalls;
  std::optional<TimePoint> mPingSent;
  TimePoint mWaitingSince; // when the last call was sent while none was in flight
  bool mConnected = false;
  bool mGoingAway = false;
  bool mFlushPosted = false;
};

void StreamCall::Reset()
{
  mTimer.cancel();
  auto connection = std::exchange(mConnection, {}).lock();
  if (connection && mStreamId > 0) {
    connection->ResetStream(mStreamId);
  }
}

} // namespace

struct PeerClient::State
{
  State(asio::io_context& aContext, tcp::endpoint aEndpoint, PeerClientLimits aLimits)
    : mExecutor(aContext.get_executor())
    , mEndpoint(std::move(aEndpoint))
    , mLimits(std::move(aLimits))
  {
  }

  asio::any_io_executor mExecutor;
  tcp::endpoint mEndpoint;
  PeerClientLimits mLimits;
  std::shared_ptr<ClientConnection> mConnection;
};

PeerClient::PeerClient(asio::io_context& aContext, tcp::endpoint aEndpoint,
                       PeerClientLimits aLimits)
  : mState(std::make_shared<State>(aContext, std::move(aEndpoint), std::move(aLimits)))
{
}

PeerClient::~PeerClient()
{
  if (mState->mConnection) {
    mState->mConnection->Close();
  }
}

std::shared_ptr<Call> PeerClient::Send(HttpRequest aRequest, std::chrono::nanoseconds aTimeout,
                                       ResponseCallback aCallback)
{
  auto call =
    std::make_shared<StreamCall>(mState->mExecutor, std::move(aRequest), std::move(aCallback));
  call->StartTimer(aTimeout);
  auto& connection = mState->mConnection;
  if (!connection || !connection->IsUsable()) {
    connection = std::make_shared<ClientConnection>(mState->mExecutor, mState->mLimits,
                                                    ToText(mState->mEndpoint));
    connection->Connect(mState->mEndpoint);
  }
  connection->Send(call);
  return call;
}

} // namespace balsammount
