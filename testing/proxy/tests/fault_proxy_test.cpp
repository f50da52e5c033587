#include "balsammount/fault_proxy.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

TEST_GROUP(FaultProxy)
{
  asio::io_context mContext{ 1 };
  tcp::acceptor mTarget{ mContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0) };
  std::unique_ptr<FaultProxy> mProxy;
  tcp::socket mClient{ mContext };
  tcp::socket mServer{ mContext };

  void setup() override
  {
    mProxy = std::make_unique<FaultProxy>(
      mContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0), mTarget.local_endpoint());
    CHECK(mProxy->Start().has_value());
  }

  void teardown() override
  {
    mProxy.reset();
    mClient.close();
    mServer.close();
    mTarget.close();
    mContext.restart();
    mContext.run_for(20ms);
  }

  template <class Condition>
  bool RunUntil(Condition aCondition, std::chrono::milliseconds aTimeout = 10s)
  {
    const auto end = std::chrono::steady_clock::now() + aTimeout;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      mContext.restart();
      mContext.run_one_for(5ms);
    }
    return aCondition();
  }

  void Connect()
  {
    bool accepted = false;
    mTarget.async_accept(mServer, [&](const error_code& aError) { accepted = !aError; });
    mClient.connect(mProxy->Endpoint());
    CHECK(RunUntil([&] { return accepted; }));
  }

  // Returns whether bytes written to aSource arrive at aDestination within the timeout.
  bool ForwardsBytes(tcp::socket & aSource, tcp::socket & aDestination,
                     std::chrono::milliseconds aTimeout = 10s)
  {
    asio::write(aSource, asio::buffer("ping", 4));
    char buffer[4] = {};
    bool done = false;
    aDestination.async_read_some(
      asio::buffer(buffer),
      [&](const error_code& aError, size_t aBytes) { done = !aError && aBytes > 0; });
    const bool passed = RunUntil([&] { return done; }, aTimeout);
    if (!passed) {
      aDestination.cancel();
      mContext.restart();
      mContext.run_for(20ms);
    }
    return passed;
  }

  bool IsReset(tcp::socket & aSocket)
  {
    char byte = 0;
    error_code readError;
    aSocket.async_read_some(asio::buffer(&byte, 1),
                            [&](const error_code& aError, size_t) { readError = aError; });
    RunUntil([&] { return static_cast<bool>(readError); });
    return readError == asio::error::connection_reset;
  }
};

TEST(FaultProxy, ForwardsBothDirections)
{
  Connect();
  CHECK(ForwardsBytes(mClient, mServer));
  CHECK(ForwardsBytes(mServer, mClient));
  CHECK_EQUAL(1, mProxy->Connections());
}

TEST(FaultProxy, HoldsOneDirectionUntilCleared)
{
  Connect();
  mProxy->SetFaults({ .mHoldToClient = true });
  CHECK(ForwardsBytes(mClient, mServer));
  CHECK_FALSE(ForwardsBytes(mServer, mClient, 50ms));
  mProxy->SetFaults({});
  char buffer[4] = {};
  bool arrived = false;
  asio::async_read(mClient, asio::buffer(buffer),
                   [&](const error_code& aError, size_t) { arrived = !aError; });
  CHECK(RunUntil([&] { return arrived; }));
}

TEST(FaultProxy, BlackholesThenResetsConnections)
{
  Connect();
  mProxy->BlackholeConnections(100ms);
  CHECK_FALSE(ForwardsBytes(mClient, mServer, 30ms));
  CHECK(IsReset(mClient));
  mClient.close();
  mServer.close();
  Connect();
  CHECK(ForwardsBytes(mClient, mServer));
}

TEST(FaultProxy, ResetsBothSides)
{
  Connect();
  mProxy->ResetConnections();
  CHECK(IsReset(mClient));
  CHECK(IsReset(mServer));
}

TEST(FaultProxy, RefusesNewConnections)
{
  mProxy->SetFaults({ .mRefuse = true });
  mClient.connect(mProxy->Endpoint());
  CHECK(IsReset(mClient));
}

// Guards against an orderly shutdown of one side that does not reach the other.
TEST(FaultProxy, ForwardsHalfClose)
{
  Connect();
  mClient.shutdown(tcp::socket::shutdown_send);
  char byte = 0;
  error_code readError;
  mServer.async_read_some(asio::buffer(&byte, 1),
                          [&](const error_code& aError, size_t) { readError = aError; });
  CHECK(RunUntil([&] { return static_cast<bool>(readError); }));
  CHECK(readError == asio::error::eof);
}
