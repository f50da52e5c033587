#include "balsammount/backend_standin.h"

#include "balsammount/test_program.h"

#include <iostream>

using namespace balsammount;
namespace po = boost::program_options;

namespace {

Distribution ParseDistribution(const std::string& aText)
{
  if (aText == "fixed") {
    return Distribution::Fixed;
  }
  if (aText == "exponential") {
    return Distribution::Exponential;
  }
  throw po::error("unknown distribution: " + aText);
}

BackendSettings ParseSettings(const po::variables_map& aValues)
{
  BackendSettings settings;
  settings.mListen = ParseAddressOption(aValues["listen"].as<std::string>());
  settings.mName = aValues["name"].as<std::string>();
  settings.mSlots = aValues["slots"].as<size_t>();
  settings.mServiceTime = std::chrono::duration_cast<std::chrono::microseconds>(
    std::chrono::duration<double, std::milli>(aValues["service-time-ms"].as<double>()));
  settings.mDistribution = ParseDistribution(aValues["distribution"].as<std::string>());
  settings.mSeed = aValues["seed"].as<uint64_t>();
  settings.mColdStart = std::chrono::milliseconds(aValues["cold-start-ms"].as<int64_t>());
  settings.mCalls = SplitList(aValues["calls"].as<std::string>());
  if (aValues.contains("egress")) {
    settings.mEgress = ParseAddressOption(aValues["egress"].as<std::string>());
  }
  if (!settings.mCalls.empty() && !settings.mEgress) {
    throw po::error("--calls needs --egress");
  }
  return settings;
}

} // namespace

int main(int aCount, char** aArguments)
{
  po::options_description options("A backend server for tests");
  // clang-format off
  options.add_options()
    ("listen", po::value<std::string>()->default_value("127.0.0.1:0"), "IP:PORT to listen on")
    ("name", po::value<std::string>()->default_value("backend"), "name in its responses")
    ("slots", po::value<size_t>()->default_value(10), "concurrent executions")
    ("service-time-ms", po::value<double>()->default_value(5), "mean service time")
    ("distribution", po::value<std::string>()->default_value("fixed"), "fixed or exponential")
    ("seed", po::value<uint64_t>()->default_value(1), "random seed of the service times")
    ("calls", po::value<std::string>()->default_value(""), "paths that each execution calls in sequence, PATH,PATH")
    ("egress", po::value<std::string>(), "IP:PORT that receives the calls")
    ("cold-start-ms", po::value<int64_t>()->default_value(0), "period after the start with longer service times");
  // clang-format on
  return RunProgram(aCount, aArguments, options,
                    [](boost::asio::io_context& aContext,
                       const po::variables_map& aValues) -> Result<std::shared_ptr<void>> {
                      const BackendSettings settings = ParseSettings(aValues);
                      auto standin = std::make_shared<BackendStandin>(aContext, settings);
                      if (auto started = standin->Start(); !started) {
                        return started.error();
                      }
                      std::cout << "listening on " << settings.mListen.address().to_string() << ":"
                                << standin->Port() << std::endl;
                      return std::shared_ptr<void>(std::move(standin));
                    });
}
