// TCP endpoints as text, and listening on them.
#pragma once

#include "balsammount/error.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace balsammount {

// "ADDRESS:PORT" or "[IPV6]:PORT"; names are not resolved. Fails with BadAddress.
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view aText);

std::string ToText(const boost::asio::ip::tcp::endpoint& aEndpoint);

// Opens, binds and listens. Fails with ListenFailed, for example when the port is taken.
Result<void> Listen(boost::asio::ip::tcp::acceptor& aAcceptor,
                    const boost::asio::ip::tcp::endpoint& aEndpoint);

// Makes the kernel close a connection whose other side has gone silent, idle or not, within about
// 3 s. Without this, a connection whose state was lost on the way stays open for hours.
void EnableTcpKeepAlive(boost::asio::ip::tcp::socket& aSocket);

} // namespace balsammount
