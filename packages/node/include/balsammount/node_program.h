// The command line, signals and exit codes of a program that runs one node.
#pragma once

#include "balsammount/node.h"

#include <functional>
#include <memory>
#include <string>

namespace balsammount {

struct NodeProgram
{
  std::string mName;
  // Called once, with the parsed settings.
  std::function<DeploymentOptions(const NodeSettings&)> mMakeDeploymentOptions =
    [](const NodeSettings&) { return DeploymentOptions{}; };
  // Makes a service that is started after the node and stopped before it; null: none.
  std::function<std::shared_ptr<Service>(boost::asio::io_context&, const NodeSettings&, Node&)>
    mMakeExtension;

  SettingsParser mParseSettings = ParseNodeSettings;
};

// Runs until the node has stopped; returns the exit code.
int RunNodeProgram(const NodeProgram& aProgram, int aArgc, char** aArgv);

} // namespace balsammount
