// Option parsing and the event loop shared by the test programs.
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

// Parses IP:PORT or [IPv6]:PORT. Throws boost::program_options::error.
boost::asio::ip::tcp::endpoint ParseAddressOption(const std::string& aText);

std::vector<std::string> SplitList(const std::string& aText, char aSeparator = ',');

// Returns an object that owns the running program. It is destroyed after the event loop has stopped
// and before the io_context.
using StartProgram = std::function<Result<std::shared_ptr<void>>(
  boost::asio::io_context&, const boost::program_options::variables_map&)>;

// Parses the options, starts the program and runs its event loop until SIGTERM, SIGINT or a stop of
// the loop. Returns the exit status: 0, 1 when the start fails, or 2 for invalid options.
int RunProgram(int aCount, char** aArguments,
               const boost::program_options::options_description& aOptions,
               const StartProgram& aStart);

} // namespace balsammount
