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
  // Fits the node to the deployment; called once, with the settings that were read.
  std::function<DeploymentOptions(const NodeSettings&)> mMakeDeploymentOptions =
    [](const NodeSettings&) { return DeploymentOptions{}; };
  // Started after the node, and stopped before it; null: nothing.
  std::function<std::shared_ptr<Service>(boost::asio::io_context&, const NodeSettings&, Node&)>
    mMakeExtension;
  // Parses the text of the settings file.
  SettingsParser mParseSettings = ParseNodeSettings;
};

// Runs until the node has stopped; returns the exit code.
int RunNodeProgram(const NodeProgram& aProgram, int aArgc, char** aArgv);

} // namespace balsammount
