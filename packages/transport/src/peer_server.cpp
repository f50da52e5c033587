#include "balsammount/peer_server.h"

#include "h2_connection.h"

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

class StreamExchange final : public Exchange
{
public:
  StreamExchange(std::weak_ptr<ServerConnection> aConnection, int32_t aStreamId,
                 std::string aAddress)
    : mConnection(std::move(aConnection))
    , mStreamId(aStreamId)
    , mAddress(std::move(aAddress))
  {
  }

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
  detail::OutgoingBody mResponseBody;
  size_t mHeaderBytes = 0;
  bool mTooLarge = false;
  bool mHandled = false;

private:
  std::weak_ptr<ServerConnection> mConnection;
  int32_t mStreamId;
  std::string mAddress;
  std::function<void()> mOnCancel;
};

class ServerConnection final : public detail::H2Connection
{
public:
  ServerConnection(tcp::socket aSocket, PeerServerLimits aLimits, ExchangeHandler aHandler,
                   std::function<void(const std::shared_ptr<ServerConnection>&)> aOnClosed)
    : H2Connection(std::move(aSocket))
    , mLimits(aLimits)
    , mHandler(std::move(aHandler))
    , mOnClosed(std::move(aOnClosed))
  {
    boost::system::error_code ignored;
    Socket().set_option(tcp::no_delay(true), ignored);
    EnableTcpKeepAlive(Socket());
    mAddress = Socket().remote_endpoint(ignored).address().to_string();
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
    aExchange.mResponseBody = { std::move(aResponse.mBody), 0 };
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
    const int32_t streamId = aFrame.hd.stream_id;
    if ((aFrame.hd.flags & NGHTTP2_FLAG_END_STREAM) == 0 ||
        (aFrame.hd.type != NGHTTP2_HEADERS && aFrame.hd.type != NGHTTP2_DATA)) {
      return;
    }
    const auto found = mStreams.find(streamId);
    if (found == mStreams.end() || found->second->mHandled) {
      return;
    }
    const auto exchange = found->second;
    exchange->mHandled = true;
    exchange->mRequest.mBody = std::move(exchange->mReceived);
    if (exchange->mTooLarge) {
      HttpResponse response;
      response.mStatus = 413;
      response.mHeaders.Set("bm-outcome", "not-run");
      exchange->Respond(std::move(response));
      return;
    }
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
    }
    exchange->mHeaderBytes += aName.size() + aValue.size();
    if (exchange->mHeaderBytes > mLimits.mMaxHeaderBytes) {
      exchange->mTooLarge = true;
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
    StreamExchange& exchange = *found->second;
    if (exchange.mReceived.size() + aBytes.size() > mLimits.mMaxBodyBytes) {
      exchange.mTooLarge = true;
      exchange.mReceived.clear();
    }
    if (!exchange.mTooLarge) {
      exchange.mReceived.append(aBytes);
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
  bool mFlushPosted = false;
};

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
    , mLimits(aLimits)
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
    std::weak_ptr<State> weak = shared_from_this();
    auto connection = std::make_shared<ServerConnection>(
      std::move(aSocket), mLimits, mHandler,
      [weak](const std::shared_ptr<ServerConnection>& aConnection) {
        if (auto self = weak.lock()) {
          self->mConnections.erase(aConnection);
        }
      });
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
  : mState(std::make_shared<State>(aContext, std::move(aEndpoint), aLimits, std::move(aHandler)))
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
