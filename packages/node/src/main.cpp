// balsammountd: the node that runs beside a backend server.

#include "balsammount/log.h"

#include "balsammount/node.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace balsammount;
namespace po = boost::program_options;

constexpr int kOk = 0;
constexpr int kFailed = 1;
constexpr int kUsage = 2;

constexpr const char* kHelp =
  "balsammountd runs beside one backend server. It takes requests of callers and of other nodes,\n"
  "admits what the backend server can carry, and refuses the rest before it runs.\n\n"
  "Signals: SIGTERM or SIGINT drains and stops; a second one stops at once.\n"
  "Exit codes: 0 stopped as asked, 1 failed, 2 wrong usage or settings.\n\n";

int Run(const NodeSettings& aSettings)
{
  SetLogFormat(aSettings.mLogFormat);
  SetLogLevel(aSettings.mLogLevel);
  boost::asio::io_context context(1);
  Node node(context, aSettings);
  if (auto result = node.Start(); !result) {
    Log("node").error("cannot start: {}", Describe(result.error()));
    return kFailed;
  }
  Log("node").info("{} serves {} in {}", aSettings.mNodeId, aSettings.mService,
                   aSettings.mDataCentre);

  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  const auto stop = [&] {
    node.Stop();
    context.stop();
  };
  node.SetDrainRequestCallback([&] { node.Drain(stop); });
  signals.async_wait([&](const auto& aError, int) {
    if (aError) {
      return;
    }
    node.Drain(stop);
    signals.async_wait([&](const auto& aSecondError, int) {
      if (!aSecondError) {
        Log("node").warn("stopping at once");
        stop();
      }
    });
  });
  context.run();
  return kOk;
}

} // namespace

int main(int aCount, char** aArguments)
{
  po::options_description options("Options");
  options.add_options()("settings", po::value<std::string>(), "file with this node's settings")(
    "check", "check the settings and exit")("help", "print this text")("version",
                                                                       "print the version");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aCount, aArguments, options), values);
  } catch (const po::error& error) {
    std::cerr << "balsammountd: " << error.what() << "; see --help\n";
    return kUsage;
  }
  if (values.contains("help")) {
    std::cout << kHelp << options;
    return kOk;
  }
  if (values.contains("version")) {
    std::cout << "balsammountd " << BM_VERSION << "\n";
    return kOk;
  }
  if (!values.contains("settings")) {
    std::cerr << "balsammountd: --settings FILE is required; see --help\n";
    return kUsage;
  }
  const auto settings = ReadNodeSettings(values["settings"].as<std::string>());
  if (!settings) {
    std::cerr << "balsammountd: " << Describe(settings.error()) << "\n";
    return kUsage;
  }
  if (values.contains("check")) {
    std::cout << "settings are valid\n";
    return kOk;
  }
  std::signal(SIGPIPE, SIG_IGN);
  return Run(*settings);
}
