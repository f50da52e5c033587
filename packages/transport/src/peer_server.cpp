#include "balsammount/peer_server.h"

#include "h2_connection.h"
#include "message_reader.h"

#include "balsammount/endpoint.h"
#include "balsammount/unhandled.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <charconv>
#include <map>
#include <set>

namespace balsammount {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Delay before accepting again after a failure, such as running out of file descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 50 };

class ServerConnection;

constexpr unsigned kTooLarge = 413;
constexpr unsigned kUnavailable = 503;

// Memory of a stream without its message, here and in nghttp2.
constexpr size_t kStreamBytes = 2 * 1024;

class StreamExchange final
  : public Exchange
  , public std::enable_shared_from_this<StreamExchange>
{
public:
  StreamExchange(std::weak_ptr<ServerConnection> aConnection, int32_t aStreamId,
                 std::string aAddress)
    : mConnection(std::move(aConnection))
    , mStreamId(aStreamId)
    , mAddress(std::move(aAddress))
  {
  }

  void SetBudget(const std::shared_ptr<ResourceBudget>& aBudget)
  {
    mRequest.mHolder = aBudget->AddHolder(
      mAddress, CallbacksOf(std::make_shared<std::weak_ptr<StreamExchange>>(weak_from_this())));
    mHeldHead = HeldBytes(mRequest.mHolder);
    mHeldHead.SetTo(kStreamBytes);
    mHeldBody = HeldBytes(mRequest.mHolder);
    mHeldResponse = HeldBytes(mRequest.mHolder);
  }

  HolderActivity Activity() const
  {
    return mHandled && !mResponding ? HolderActivity::Working : HolderActivity::Waiting;
  }

  // Refuses a request that has not arrived as a whole, and resets the stream of a response.
  void Yield(YieldFor aNeed);

  // Drops what has arrived of the request and answers that it has not run.
  void Refuse(unsigned aStatus);

  const HttpRequest& Request() const override { return mRequest; }
  const std::string& RemoteAddress() const override { return mAddress; }
  void Respond(HttpResponse aResponse) override;
  void OnCancel(std::function<void()> aCallback) override { mOnCancel = std::move(aCallback); }

  void NotifyClosed()
  {
    mConnection.reset();
    if (auto callback = std::exchange(mOnCancel, nullptr)) {
      RunGuarded("peer-server", callback);
    }
  }

  HttpRequest mRequest;
  std::string mReceived; // body of the request
  HeldBytes mHeldHead;
  HeldBytes mHeldBody;
  HeldBytes mHeldResponse;
  detail::OutgoingBody mResponseBody;
  size_t mHeaderBytes = 0;
  unsigned mRefusal = 0; // status; answered once the head has arrived
  bool mHandled = false; // passed on or refused
  bool mResponding = false;

private:
  std::weak_ptr<ServerConnection> mConnection;
  int32_t mStreamId;
  std::string mAddress;
  std::function<void()> mOnCancel;
};

class ServerConnection final : public detail::H2Connection
{
public:
  ServerConnection(tcp::socket aSocket, std::string aAddress,
                   std::shared_ptr<ResourceHolder> aHolder, PeerServerLimits aLimits,
                   ExchangeHandler aHandler,
                   std::function<void(const std::shared_ptr<ServerConnection>&)> aOnClosed)
    : H2Connection(std::move(aSocket), std::move(aHolder))
    , mLimits(std::move(aLimits))
    , mHandler(std::move(aHandler))
    , mOnClosed(std::move(aOnClosed))
    , mAddress(std::move(aAddress))
  {
    boost::system::error_code ignored;
    Socket().set_option(tcp::no_delay(true), ignored);
    EnableTcpKeepAlive(Socket());
  }

  // A connection that has carried a request is that of another node. It is never idle here, because
  // a request that crosses its end would have an unknown outcome.
  HolderActivity Activity() const
  {
    return mHadStream ? HolderActivity::Working : HolderActivity::Idle;
  }

  void Yield(YieldFor /*aNeed*/)
  {
    Close();
    Holder()->ReturnSocket();
  }

  void ResetStream(int32_t aStreamId)
  {
    if (!IsClosed()) {
      nghttp2_submit_rst_stream(Session(), NGHTTP2_FLAG_NONE, aStreamId, NGHTTP2_INTERNAL_ERROR);
      FlushSoon();
    }
  }

  void Start()
  {
    Open(true, mLimits.mMaxConcurrentStreams, mLimits.mMaxHeaderBytes);
    Flush();
    Read();
  }

  // Tells the peer to open no further streams. Requests that it has already sent are answered.
  void GoAway()
  {
    if (!IsClosed()) {
      nghttp2_submit_shutdown_notice(Session());
      Flush();
    }
  }

  void Submit(int32_t aStreamId, StreamExchange& aExchange, HttpResponse aResponse)
  {
    detail::HeaderBlock block;
    block.Add(":status", std::to_string(aResponse.mStatus));
    block.AddAll(aResponse.mHeaders);
    block.Add("content-length", std::to_string(aResponse.mBody.size()));
    if (!aResponse.mBody.IsCharged()) {
      aExchange.mHeldResponse.SetTo(HeadBytes(aResponse.mHeaders) + aResponse.mBody.size());
    }
    if (aExchange.mRequest.mHolder) {
      aExchange.mRequest.mHolder->OnBegin();
    }
    aExchange.mResponding = true;
    aExchange.mResponseBody = { std::move(aResponse.mBody), 0, aExchange.mRequest.mHolder };
    const nghttp2_data_provider provider = detail::MakeDataProvider(aExchange.mResponseBody);
    const auto values = block.Values();
    nghttp2_submit_response(Session(), aStreamId, values.data(), values.size(), &provider);
    FlushSoon();
  }

private:
  // Defers sending, because handlers may respond from within nghttp2's receive callbacks, where
  // sending is not allowed.
  void FlushSoon()
  {
    if (mFlushPosted) {
      return;
    }
    mFlushPosted = true;
    asio::post(Socket().get_executor(),
               [self = std::static_pointer_cast<ServerConnection>(shared_from_this())] {
                 self->mFlushPosted = false;
                 self->Flush();
               });
  }

  void OnFrame(const nghttp2_frame& aFrame) override
  {
    if (aFrame.hd.type != NGHTTP2_HEADERS && aFrame.hd.type != NGHTTP2_DATA) {
      return;
    }
    const auto found = mStreams.find(aFrame.hd.stream_id);
    if (found == mStreams.end() || found->second->mHandled) {
      return;
    }
    const auto exchange = found->second;
    if (exchange->mRefusal != 0) {
      exchange->Refuse(exchange->mRefusal);
      return;
    }
    if ((aFrame.hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
      return;
    }
    exchange->mHandled = true;
    exchange->mRequest.mBody = Body(std::move(exchange->mReceived), std::move(exchange->mHeldBody));
    if (!RunGuarded("peer-server", mHandler, exchange)) {
      HttpResponse response;
      response.mStatus = 500;
      response.mHeaders.Set("bm-outcome", "unknown");
      exchange->Respond(std::move(response));
    }
  }

  void OnHeader(int32_t aStreamId, std::string_view aName, std::string_view aValue) override
  {
    auto& exchange = mStreams[aStreamId];
    if (!exchange) {
      exchange = std::make_shared<StreamExchange>(
        std::static_pointer_cast<ServerConnection>(shared_from_this()), aStreamId, mAddress);
      mHadStream = true;
      if (mLimits.mBudget) {
        exchange->SetBudget(mLimits.mBudget);
      }
    }
    if (exchange->mHandled || exchange->mRefusal != 0) {
      return;
    }
    exchange->mHeaderBytes += aName.size() + aValue.size();
    if (exchange->mHeaderBytes > mLimits.mMaxHeaderBytes) {
      exchange->mRefusal = kTooLarge;
      return;
    }
    if (!exchange->mHeldHead.GrowTo(exchange->mHeldHead.Bytes() +
                                    HeadFieldBytes(aName.size(), aValue.size()))) {
      exchange->mRefusal = kUnavailable;
      return;
    }
    HttpRequest& request = exchange->mRequest;
    if (aName == ":method") {
      request.mMethod = aValue;
    } else if (aName == ":path") {
      request.mTarget = aValue;
    } else if (aName == ":authority") {
      request.mHeaders.Add("Host", aValue);
    } else if (!aName.starts_with(':')) {
      request.mHeaders.Add(aName, aValue);
    }
  }

  void OnData(int32_t aStreamId, std::string_view aBytes) override
  {
    const auto found = mStreams.find(aStreamId);
    if (found == mStreams.end()) {
      return;
    }
    const auto exchange = found->second;
    if (exchange->mHandled) {
      return;
    }
    if (exchange->mReceived.size() + aBytes.size() > mLimits.mMaxBodyBytes) {
      exchange->Refuse(kTooLarge);
      return;
    }
    if (!detail::ReserveBody(exchange->mReceived, aBytes.size(), exchange->mHeldBody)) {
      exchange->Refuse(kUnavailable);
      return;
    }
    exchange->mReceived.append(aBytes);
    if (exchange->mRequest.mHolder) {
      exchange->mRequest.mHolder->OnProgress(aBytes.size());
    }
  }

  void OnStreamClosed(int32_t aStreamId, uint32_t /*aError*/) override
  {
    if (auto handle = mStreams.extract(aStreamId)) {
      handle.mapped()->NotifyClosed();
    }
  }

  void OnClosed() override
  {
    for (auto streams = std::exchange(mStreams, {}); auto& [streamId, exchange] : streams) {
      exchange->NotifyClosed();
    }
    mOnClosed(std::static_pointer_cast<ServerConnection>(shared_from_this()));
  }

  PeerServerLimits mLimits;
  ExchangeHandler mHandler;
  std::function<void(const std::shared_ptr<ServerConnection>&)> mOnClosed;
  std::string mAddress;
  std::map<int32_t, std::shared_ptr<StreamExchange>> mStreams;
  bool mHadStream = false;
  bool mFlushPosted = false;
};

void StreamExchange::Yield(YieldFor /*aNeed*/)
{
  if (!mHandled) {
    Refuse(kUnavailable);
  } else if (const auto connection = std::exchange(mConnection, {}).lock()) {
    connection->ResetStream(mStreamId);
  }
}

void StreamExchange::Refuse(unsigned aStatus)
{
  mHandled = true;
  mReceived = {};
  mRequest.mHeaders = {};
  mHeldBody.ShrinkTo(0);
  mHeldHead.ShrinkTo(kStreamBytes);
  HttpResponse response;
  response.mStatus = aStatus;
  response.mHeaders.Set("bm-outcome", "not-run");
  if (aStatus == kUnavailable) {
    response.mHeaders.Set("bm-reason", "overload");
  }
  Respond(std::move(response));
}

void StreamExchange::Respond(HttpResponse aResponse)
{
  mOnCancel = nullptr;
  if (auto connection = std::exchange(mConnection, {}).lock()) {
    connection->Submit(mStreamId, *this, std::move(aResponse));
  }
}

} // namespace

struct PeerServer::State : std::enable_shared_from_this<State>
{
  State(asio::io_context& aContext, tcp::endpoint aEndpoint, PeerServerLimits aLimits,
        ExchangeHandler aHandler)
    : mAcceptor(aContext)
    , mRetryTimer(aContext)
    , mEndpoint(std::move(aEndpoint))
    , mLimits(std::move(aLimits))
    , mHandler(std::move(aHandler))
  {
  }

  void Accept()
  {
    mAcceptor.async_accept([self = shared_from_this()](const auto& aError, tcp::socket aSocket) {
      if (self->mStopping || aError == asio::error::operation_aborted) {
        return;
      }
      if (aError) {
        self->mRetryTimer.expires_after(kAcceptRetryDelay);
        self->mRetryTimer.async_wait([self](const auto& aWaitError) {
          if (!aWaitError && !self->mStopping) {
            self->Accept();
          }
        });
        return;
      }
      self->Serve(std::move(aSocket));
      self->Accept();
    });
  }

  void Serve(tcp::socket aSocket)
  {
    boost::system::error_code ignored;
    const std::string address = aSocket.remote_endpoint(ignored).address().to_string();
    const auto owner = std::make_shared<std::weak_ptr<ServerConnection>>();
    std::shared_ptr<ResourceHolder> holder;
    if (mLimits.mBudget) {
      holder = mLimits.mBudget->AddHolder(address, CallbacksOf(owner));
      if (!holder->TryTakeSocket()) {
        return;
      }
    }
    std::weak_ptr<State> weak = shared_from_this();
    auto connection = std::make_shared<ServerConnection>(
      std::move(aSocket), address, std::move(holder), mLimits, mHandler,
      [weak](const std::shared_ptr<ServerConnection>& aConnection) {
        if (auto self = weak.lock()) {
          self->mConnections.erase(aConnection);
        }
      });
    *owner = connection;
    mConnections.insert(connection);
    connection->Start();
  }

  tcp::acceptor mAcceptor;
  asio::steady_timer mRetryTimer;
  tcp::endpoint mEndpoint;
  PeerServerLimits mLimits;
  ExchangeHandler mHandler;
  std::set<std::shared_ptr<ServerConnection>> mConnections;
  bool mStopping = false;
};

PeerServer::PeerServer(asio::io_context& aContext, tcp::endpoint aEndpoint,
                       PeerServerLimits aLimits, ExchangeHandler aHandler)
  : mState(std::make_shared<State>(aContext, std::move(aEndpoint), std::move(aLimits),
                                   std::move(aHandler)))
{
}

PeerServer::~PeerServer()
{
  PeerServer::Stop();
  for (auto connections = mState->mConnections; const auto& connection : connections) {
    connection->Close();
  }
}

Result<void> PeerServer::Start()
{
  if (auto result = Listen(mState->mAcceptor, mState->mEndpoint); !result) {
    return result;
  }
  mState->Accept();
  return {};
}

void PeerServer::Stop()
{
  mState->mStopping = true;
  boost::system::error_code ignored;
  mState->mAcceptor.close(ignored);
  mState->mRetryTimer.cancel();
  for (auto connections = mState->mConnections; const auto& connection : connections) {
    connection->GoAway();
  }
}

uint16_t PeerServer::Port() const
{
  boost::system::error_code ignored;
  return mState->mAcceptor.local_endpoint(ignored).port();
}

} // namespace balsammount
