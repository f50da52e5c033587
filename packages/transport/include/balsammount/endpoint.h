// Parsing and formatting of TCP endpoints, and socket setup.
#pragma once

#include "balsammount/error.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <string_view>

namespace balsammount {

// Parses "ADDRESS:PORT" or "[IPV6]:PORT". Does not resolve names. Fails with BadAddress.
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(std::string_view aText);

// Returns the format that ParseEndpoint accepts.
std::string ToText(const boost::asio::ip::tcp::endpoint& aEndpoint);

// Opens and binds the acceptor and starts to listen. Fails with ListenFailed, for example if the
// port is in use.
Result<void> Listen(boost::asio::ip::tcp::acceptor& aAcceptor,
                    const boost::asio::ip::tcp::endpoint& aEndpoint);

// Makes the operating system close the connection within about 3 s after the peer stops responding,
// whether it is idle or not. Otherwise a connection whose state was lost in the network, such as in
// a firewall, stays open for hours.
void EnableTcpKeepAlive(boost::asio::ip::tcp::socket& aSocket);

} // namespace balsammount
