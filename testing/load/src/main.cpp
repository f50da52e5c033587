#include "balsammount/load_generator.h"

#include "balsammount/test_program.h"

#include <iostream>

using namespace balsammount;
namespace po = boost::program_options;

namespace {

LoadSettings ParseSettings(const po::variables_map& aValues)
{
  LoadSettings settings;
  for (const std::string& list : aValues["target"].as<std::vector<std::string>>()) {
    for (const std::string& target : SplitList(list)) {
      settings.mTargets.push_back(ParseAddressOption(target));
    }
  }
  try {
    for (const std::string& flow : aValues["flow"].as<std::vector<std::string>>()) {
      settings.mFlows.push_back(ParseFlow(flow));
    }
  } catch (const std::invalid_argument& error) {
    throw po::error(error.what());
  }
  settings.mDuration = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::duration<double>(aValues["seconds"].as<double>()));
  settings.mSeed = aValues["seed"].as<uint64_t>();
  return settings;
}

} // namespace

int main(int aCount, char** aArguments)
{
  po::options_description options("An open-loop load generator");
  // clang-format off
  options.add_options()
    ("target", po::value<std::vector<std::string>>()->required(), "IP:PORT,... of the nodes; may be repeated")
    ("flow", po::value<std::vector<std::string>>()->required(),
     "name=,path=,method=,rate=,callers=,deadline_ms=,retries=,backoff_ms=,key=yes|no,body_bytes=,from_ms=,until_ms=; may be repeated")
    ("seconds", po::value<double>()->default_value(10), "duration of sending")
    ("seed", po::value<uint64_t>()->default_value(1), "random seed of arrivals, callers and targets")
    ("json", "print JSON instead of a table");
  // clang-format on
  return RunProgram(aCount, aArguments, options,
                    [](boost::asio::io_context& aContext,
                       const po::variables_map& aValues) -> Result<std::shared_ptr<void>> {
                      auto generator =
                        std::make_shared<LoadGenerator>(aContext, ParseSettings(aValues));
                      const bool json = aValues.contains("json");
                      generator->Start([&aContext, json](const LoadReport& aReport) {
                        std::cout << (json ? FormatJson(aReport) + "\n" : FormatTable(aReport))
                                  << std::flush;
                        aContext.stop();
                      });
                      return std::shared_ptr<void>(std::move(generator));
                    });
}
