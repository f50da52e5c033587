#include "balsammount/test_program.h"

#include "balsammount/endpoint.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <sstream>

namespace balsammount {

namespace asio = boost::asio;
namespace po = boost::program_options;

asio::ip::tcp::endpoint ParseAddressOption(const std::string& aText)
{
  const auto endpoint = ParseEndpoint(aText);
  if (!endpoint) {
    throw po::error(Describe(endpoint.error()));
  }
  return *endpoint;
}

std::vector<std::string> SplitList(const std::string& aText, char aSeparator)
{
  std::vector<std::string> items;
  std::istringstream stream(aText);
  for (std::string item; std::getline(stream, item, aSeparator);) {
    if (!item.empty()) {
      items.push_back(item);
    }
  }
  return items;
}

int RunProgram(int aCount, char** aArguments, const po::options_description& aOptions,
               const StartProgram& aStart)
{
  asio::io_context context(1);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](const boost::system::error_code& aError, int) {
    if (!aError) {
      context.stop();
    }
  });
  std::shared_ptr<void> program;
  try {
    po::options_description all(aOptions);
    all.add_options()("help", "print this text");
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aArguments, all), values);
    if (values.contains("help")) {
      std::cout << all;
      return 0;
    }
    po::notify(values);
    auto started = aStart(context, values);
    if (!started) {
      std::cerr << Describe(started.error()) << "\n";
      return 1;
    }
    program = std::move(*started);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  context.run();
  return 0;
}

} // namespace balsammount
