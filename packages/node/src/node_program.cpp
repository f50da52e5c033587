#include "balsammount/node_program.h"

#include "balsammount/event.h"
#include "balsammount/log.h"
#include "balsammount/unhandled.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace balsammount {

namespace asio = boost::asio;
namespace po = boost::program_options;

namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

constexpr const char* kHelp =
  "Runs a node beside one backend server. The node receives requests from callers and other\n"
  "nodes, admits as many as the backend server can handle and refuses the rest before they run.\n\n"
  "Signals: SIGTERM or SIGINT drains the node and stops it; a second one stops it at once. SIGHUP\n"
  "reloads the settings.\n"
  "Exit codes: 0 normal stop, 1 failure, 2 invalid usage or settings.\n\n";

// Reloads the settings on every SIGHUP. Invalid settings are reported and change nothing.
void ReloadOnHangup(asio::signal_set& aSignals, const NodeProgram& aProgram,
                    const std::string& aPath, Node& aNode)
{
  aSignals.async_wait([&aSignals, &aProgram, aPath, &aNode](const auto& aError, int) {
    if (aError) {
      return;
    }
    if (const auto settings = ReadNodeSettings(aPath, aProgram.mParseSettings)) {
      aNode.Reload(*settings);
    } else {
      Event("node", "reload-failed").Add("error", Describe(settings.error()));
    }
    ReloadOnHangup(aSignals, aProgram, aPath, aNode);
  });
}

// An exception ends the handler that threw it, not the event loop.
void RunEventLoop(asio::io_context& aContext)
{
  while (!RunGuarded("node", [&] { aContext.run(); })) {
  }
}

// Leaves further stop signals pending until the process has ended. Without handlers they would end
// it with their default action instead, which looks like a crash.
void BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : { SIGTERM, SIGINT, SIGHUP }) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int Run(const NodeProgram& aProgram, const std::string& aPath, const NodeSettings& aSettings)
{
  SetLogFormat(aSettings.mLogFormat);
  SetLogLevel(aSettings.mLogLevel);
  asio::io_context context(1);
  // Signals that arrive during the start are handled once the event loop runs.
  asio::signal_set hangups(context, SIGHUP);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  Node node(context, aSettings, aProgram.mMakeDeploymentOptions(aSettings));
  if (auto result = node.Start(); !result) {
    Event("node", "start-failed").Add("error", Describe(result.error()));
    return kExitFailure;
  }
  const auto extension =
    aProgram.mMakeExtension ? aProgram.mMakeExtension(context, aSettings, node) : nullptr;
  if (extension) {
    if (auto result = extension->Start(); !result) {
      Event("node", "start-failed").Add("error", Describe(result.error()));
      return kExitFailure;
    }
  }
  Event("node", "start")
    .Add("node", aSettings.mNodeId)
    .Add("service", aSettings.mService)
    .Add("data_centre", aSettings.mDataCentre)
    .Add("version", BM_VERSION);

  const auto stop = [&] {
    Event("node", "stop").Add("node", aSettings.mNodeId);
    if (extension) {
      extension->Stop();
    }
    node.Stop();
    context.stop();
  };
  node.SetDrainRequestCallback([&] { node.Drain(stop); });
  ReloadOnHangup(hangups, aProgram, aPath, node);
  signals.async_wait([&](const auto& aError, int) {
    if (aError) {
      return;
    }
    Event("node", "drain").Add("node", aSettings.mNodeId);
    node.Drain(stop);
    signals.async_wait([&](const auto& aSecondError, int) {
      if (!aSecondError) {
        stop();
      }
    });
  });
  RunEventLoop(context);
  BlockStopSignals();
  return kExitSuccess;
}

} // namespace

int RunNodeProgram(const NodeProgram& aProgram, int aArgc, char** aArgv)
{
  po::options_description options("Options");
  options.add_options()("settings", po::value<std::string>(), "path of the settings file")(
    "check", "check the settings and exit")("help", "print this help")("version",
                                                                       "print the version");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aArgc, aArgv, options), values);
  } catch (const po::error& error) {
    std::cerr << aProgram.mName << ": " << error.what() << "; see --help\n";
    return kExitUsage;
  }
  if (values.contains("help")) {
    std::cout << kHelp << options;
    return kExitSuccess;
  }
  if (values.contains("version")) {
    std::cout << aProgram.mName << " " << BM_VERSION << "\n";
    return kExitSuccess;
  }
  if (!values.contains("settings")) {
    std::cerr << aProgram.mName << ": --settings FILE is required; see --help\n";
    return kExitUsage;
  }
  const std::string path = values["settings"].as<std::string>();
  const auto settings = ReadNodeSettings(path, aProgram.mParseSettings);
  if (!settings) {
    std::cerr << aProgram.mName << ": " << Describe(settings.error()) << "\n";
    return kExitUsage;
  }
  if (values.contains("check")) {
    std::cout << "settings are valid\n";
    return kExitSuccess;
  }
  std::signal(SIGPIPE, SIG_IGN);
  return Run(aProgram, path, *settings);
}

} // namespace balsammount
