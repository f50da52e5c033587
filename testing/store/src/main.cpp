#include "balsammount/store_standin.h"
#include "balsammount/test_program.h"

#include <iostream>

using namespace balsammount;

int main(int aCount, char** aArguments)
{
  namespace po = boost::program_options;
  po::options_description options("An in-memory store for tests");
  options.add_options()("listen", po::value<std::string>()->default_value("127.0.0.1:0"),
                        "IP:PORT to listen on");
  const SystemClock clock;
  std::unique_ptr<StoreStandin> standin;
  return RunProgram(
    aCount, aArguments, options,
    [&](boost::asio::io_context& aContext, const po::variables_map& aValues) -> Result<void> {
      const auto endpoint = ParseEndpoint(aValues["listen"].as<std::string>());
      standin = std::make_unique<StoreStandin>(aContext, endpoint, clock);
      auto started = standin->Start();
      if (started) {
        std::cout << "listening on " << endpoint.address().to_string() << ":" << standin->Port()
                  << std::endl;
      }
      return started;
    });
}
