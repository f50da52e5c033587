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
  return RunProgram(aCount, aArguments, options,
                    [&](boost::asio::io_context& aContext,
                        const po::variables_map& aValues) -> Result<std::shared_ptr<void>> {
                      const auto endpoint = ParseAddressOption(aValues["listen"].as<std::string>());
                      auto standin = std::make_shared<StoreStandin>(aContext, endpoint, clock);
                      if (auto started = standin->Start(); !started) {
                        return started.error();
                      }
                      std::cout << "listening on " << endpoint.address().to_string() << ":"
                                << standin->Port() << std::endl;
                      return std::shared_ptr<void>(std::move(standin));
                    });
}
