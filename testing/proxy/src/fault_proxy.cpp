#include "balsammount/fault_proxy.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <deque>
#include <list>
#include <string>

namespace balsammount {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::steady_clock;

namespace {

constexpr size_t kReadBytes = 16 * 1024;
// Limit of the bytes queued per direction. At the limit the proxy stops reading, which fills the
// sender's TCP window.
constexpr size_t kMaxQueuedBytes = 256 * 1024;

void Reset(tcp::socket& aSocket)
{
  error_code error;
  aSocket.set_option(asio::socket_base::linger(true, 0), error);
  aSocket.close(error);
}

} // namespace

// A client connection and the matching connection to the target.
class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection>
{
public:
  ProxiedConnection(tcp::socket aClient, const LinkFaults& aFaults)
    : mFaults(aFaults)
    , mClient(std::move(aClient))
    , mServer(mClient.get_executor())
    , mToServer(mClient, mServer)
    , mToClient(mServer, mClient)
    , mResetTimer(mClient.get_executor())
  {
  }

  void Connect(const tcp::endpoint& aTarget)
  {
    mServer.async_connect(aTarget, [self = shared_from_this()](const error_code& aError) {
      if (aError) {
        self->ResetBoth();
        return;
      }
      self->Read(self->mToServer);
      self->Read(self->mToClient);
    });
  }

  void ResetBoth()
  {
    mClosed = true;
    mResetTimer.cancel();
    mToServer.mTimer.cancel();
    mToClient.mTimer.cancel();
    Reset(mClient);
    Reset(mServer);
  }

  void Blackhole(std::chrono::milliseconds aResetDelay)
  {
    mBlackholed = true;
    mResetTimer.expires_after(aResetDelay);
    mResetTimer.async_wait([self = shared_from_this()](const error_code& aError) {
      if (!aError) {
        self->ResetBoth();
      }
    });
  }

  void OnFaultsChanged()
  {
    Write(mToServer);
    Write(mToClient);
  }

  bool IsClosed() const { return mClosed; }

private:
  struct Chunk
  {
    std::string mBytes; // empty at the end of the stream
    steady_clock::time_point mSendTime;
  };

  struct Direction
  {
    Direction(tcp::socket& aSource, tcp::socket& aTarget)
      : mSource(aSource)
      , mTarget(aTarget)
      , mTimer(aSource.get_executor())
    {
    }
    tcp::socket& mSource;
    tcp::socket& mTarget;
    asio::steady_timer mTimer;
    std::array<char, kReadBytes> mBuffer{};
    std::deque<Chunk> mChunks;
    size_t mQueuedBytes = 0;
    bool mReading = false;
    bool mWriting = false;
    bool mEof = false;
  };

  bool IsHeld(const Direction& aDirection) const
  {
    return mBlackholed ||
           (&aDirection == &mToServer ? mFaults.mHoldToServer : mFaults.mHoldToClient);
  }

  void Read(Direction& aDirection)
  {
    if (mClosed || aDirection.mEof || aDirection.mReading ||
        aDirection.mQueuedBytes >= kMaxQueuedBytes) {
      return;
    }
    aDirection.mReading = true;
    aDirection.mSource.async_read_some(
      asio::buffer(aDirection.mBuffer),
      [self = shared_from_this(), &aDirection](const error_code& aError, size_t aBytes) {
        aDirection.mReading = false;
        self->OnRead(aDirection, aError, aBytes);
      });
  }

  void OnRead(Direction& aDirection, const error_code& aError, size_t aBytes)
  {
    if (mClosed) {
      return;
    }
    if (aError && aError != asio::error::eof) {
      ResetBoth();
      return;
    }
    aDirection.mEof = static_cast<bool>(aError);
    aDirection.mQueuedBytes += aBytes;
    aDirection.mChunks.push_back(
      { std::string(aDirection.mBuffer.data(), aBytes), steady_clock::now() + mFaults.mDelay });
    Write(aDirection);
    Read(aDirection);
  }

  void Write(Direction& aDirection)
  {
    if (mClosed || aDirection.mWriting || aDirection.mChunks.empty() || IsHeld(aDirection)) {
      return;
    }
    const Chunk& chunk = aDirection.mChunks.front();
    if (chunk.mSendTime > steady_clock::now()) {
      aDirection.mTimer.expires_at(chunk.mSendTime);
      aDirection.mTimer.async_wait(
        [self = shared_from_this(), &aDirection](const error_code& aError) {
          if (!aError) {
            self->Write(aDirection);
          }
        });
      return;
    }
    if (chunk.mBytes.empty()) {
      error_code error;
      aDirection.mTarget.shutdown(tcp::socket::shutdown_send, error);
      aDirection.mChunks.pop_front();
      // Both directions have ended.
      if (mToServer.mEof && mToClient.mEof && mToServer.mChunks.empty() &&
          mToClient.mChunks.empty()) {
        ResetBoth();
      }
      return;
    }
    aDirection.mWriting = true;
    asio::async_write(
      aDirection.mTarget, asio::buffer(chunk.mBytes),
      [self = shared_from_this(), &aDirection](const error_code& aError, size_t aBytes) {
        aDirection.mWriting = false;
        if (self->mClosed) {
          return;
        }
        if (aError) {
          self->ResetBoth();
          return;
        }
        aDirection.mQueuedBytes -= aBytes;
        aDirection.mChunks.pop_front();
        self->Write(aDirection);
        self->Read(aDirection);
      });
  }

  const LinkFaults& mFaults;
  tcp::socket mClient;
  tcp::socket mServer;
  Direction mToServer;
  Direction mToClient;
  asio::steady_timer mResetTimer;
  bool mBlackholed = false;
  bool mClosed = false;
};

struct FaultProxy::State : std::enable_shared_from_this<State>
{
  State(asio::io_context& aContext, const tcp::endpoint& aListen, const tcp::endpoint& aTarget)
    : mAcceptor(aContext)
    , mListen(aListen)
    , mTarget(aTarget)
  {
  }

  void Accept()
  {
    mAcceptor.async_accept(
      [weak = weak_from_this()](const error_code& aError, tcp::socket aClient) {
        auto self = weak.lock();
        if (!self || aError == asio::error::operation_aborted) {
          return;
        }
        if (!aError) {
          self->OnAccepted(std::move(aClient));
        }
        self->Accept();
      });
  }

  void OnAccepted(tcp::socket aClient)
  {
    if (mFaults.mRefuse) {
      Reset(aClient);
      return;
    }
    error_code error;
    aClient.set_option(tcp::no_delay(true), error);
    mConnections.remove_if([](const auto& aConnection) { return aConnection->IsClosed(); });
    mConnections.push_back(std::make_shared<ProxiedConnection>(std::move(aClient), mFaults));
    mConnections.back()->Connect(mTarget);
  }

  tcp::acceptor mAcceptor;
  tcp::endpoint mListen;
  tcp::endpoint mTarget;
  LinkFaults mFaults;
  std::list<std::shared_ptr<ProxiedConnection>> mConnections;
};

FaultProxy::FaultProxy(asio::io_context& aContext, const tcp::endpoint& aListen,
                       const tcp::endpoint& aTarget)
  : mState(std::make_shared<State>(aContext, aListen, aTarget))
{
}

FaultProxy::~FaultProxy()
{
  error_code error;
  mState->mAcceptor.close(error);
  ResetConnections();
}

Result<void> FaultProxy::Start()
{
  error_code error;
  tcp::acceptor& acceptor = mState->mAcceptor;
  acceptor.open(mState->mListen.protocol(), error);
  acceptor.set_option(asio::socket_base::reuse_address(true), error);
  acceptor.bind(mState->mListen, error);
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Failure{ error, "fault proxy" };
  }
  mState->Accept();
  return {};
}

tcp::endpoint FaultProxy::Endpoint() const
{
  error_code error;
  return mState->mAcceptor.local_endpoint(error);
}

size_t FaultProxy::Connections() const
{
  size_t open = 0;
  for (const auto& connection : mState->mConnections) {
    open += connection->IsClosed() ? 0 : 1;
  }
  return open;
}

void FaultProxy::SetFaults(const LinkFaults& aFaults)
{
  mState->mFaults = aFaults;
  for (const auto& connection : mState->mConnections) {
    connection->OnFaultsChanged();
  }
}

const LinkFaults& FaultProxy::Faults() const
{
  return mState->mFaults;
}

void FaultProxy::BlackholeConnections(std::chrono::milliseconds aResetDelay)
{
  for (const auto& connection : mState->mConnections) {
    if (!connection->IsClosed()) {
      connection->Blackhole(aResetDelay);
    }
  }
}

void FaultProxy::ResetConnections()
{
  for (const auto& connection : std::exchange(mState->mConnections, {})) {
    connection->ResetBoth();
  }
}

} // namespace balsammount
