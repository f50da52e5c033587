// What the test programs share: options, addresses and the event loop.
#pragma once

#include "balsammount/error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/program_options.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace balsammount {

// Reads IP:PORT or [IPv6]:PORT. Throws boost::program_options::error.
boost::asio::ip::tcp::endpoint ParseAddressOption(const std::string& aText);

std::vector<std::string> SplitList(const std::string& aText, char aSeparator = ',');

// Returns what the program keeps until its end; destroyed before the event loop is.
using StartProgram = std::function<Result<std::shared_ptr<void>>(
  boost::asio::io_context&, const boost::program_options::variables_map&)>;

// Parses the options, starts the program and runs its event loop until SIGTERM or SIGINT (status 0)
// or until the loop is stopped. Returns 2 for wrong options and 1 when the start fails.
int RunProgram(int aCount, char** aArguments,
               const boost::program_options::options_description& aOptions,
               const StartProgram& aStart);

} // namespace balsammount
