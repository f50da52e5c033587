#include "balsammount/endpoint.h"

#include "balsammount/exchange.h"

#include <charconv>

#include <netinet/tcp.h>

namespace balsammount {

namespace asio = boost::asio;
using asio::ip::tcp;

Result<tcp::endpoint> ParseEndpoint(std::string_view aText)
{
  const Failure malformed{ TransportError::BadAddress, "\"" + std::string(aText) + "\"" };
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return malformed;
  }
  std::string host(aText.substr(0, colon));
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto [parsed, portError] = std::from_chars(aText.data() + colon + 1, end, port);
  boost::system::error_code error;
  const auto address = asio::ip::make_address(host, error);
  if (error || portError != std::errc() || parsed != end) {
    return malformed;
  }
  return tcp::endpoint(address, port);
}

std::string ToText(const tcp::endpoint& aEndpoint)
{
  const auto address = aEndpoint.address();
  const std::string host = address.is_v6() ? "[" + address.to_string() + "]" : address.to_string();
  return host + ":" + std::to_string(aEndpoint.port());
}

Result<void> Listen(tcp::acceptor& aAcceptor, const tcp::endpoint& aEndpoint)
{
  boost::system::error_code error;
  aAcceptor.open(aEndpoint.protocol(), error);
  if (!error) {
    aAcceptor.set_option(asio::socket_base::reuse_address(true), error);
    aAcceptor.bind(aEndpoint, error);
  }
  if (!error) {
    aAcceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Failure{ TransportError::ListenFailed, ToText(aEndpoint) + ": " + error.message() };
  }
  return {};
}

void EnableTcpKeepAlive(tcp::socket& aSocket)
{
  // The first probe is sent after one idle second, and the connection is closed after two probes at
  // an interval of one second. Unacknowledged data gets the same time.
  constexpr int kIdleSeconds = 1;
  constexpr int kIntervalSeconds = 1;
  constexpr int kProbes = 2;
  constexpr unsigned kUnacknowledgedMs = 3000;
  const int socket = aSocket.native_handle();
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kIdleSeconds, sizeof(kIdleSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kIntervalSeconds, sizeof(kIntervalSeconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedMs, sizeof(kUnacknowledgedMs));
}

} // namespace balsammount
