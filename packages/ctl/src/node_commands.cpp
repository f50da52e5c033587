// Commands that query or control a running node through its admin listener.

#include "balsammount/ctl.h"

#include "node_query.h"

#include <iomanip>
#include <map>
#include <ostream>
#include <thread>

namespace balsammount {

namespace {

using detail::Json;
namespace po = boost::program_options;
using namespace std::chrono_literals;

Result<Json> Get(const CtlContext& aContext, const std::string& aTarget)
{
  HttpRequest request;
  request.mTarget = aTarget;
  return detail::QueryNode(aContext.mArguments[0], std::move(request));
}

// Prints a list of objects as a table; the fields of the first object are the columns.
void PrintTable(std::ostream& aOut, const Json& aRows)
{
  if (aRows.empty()) {
    aOut << "(none)\n";
    return;
  }
  const auto text = [](const Json& aValue) {
    return detail::Printable(aValue.is_string() ? aValue.get<std::string>() : aValue.dump());
  };
  std::map<std::string, size_t> widths;
  for (const Json& row : aRows) {
    for (const auto& [name, value] : row.items()) {
      widths[name] = std::max({ widths[name], name.size(), text(value).size() });
    }
  }
  for (const auto& [name, value] : aRows.front().items()) {
    aOut << std::left << std::setw(static_cast<int>(widths[name]) + 2) << name;
  }
  aOut << '\n';
  for (const Json& row : aRows) {
    for (const auto& [name, value] : row.items()) {
      aOut << std::left << std::setw(static_cast<int>(widths[name]) + 2) << text(value);
    }
    aOut << '\n';
  }
}

ExitCode PrintRows(const CtlContext& aContext, const Result<Json>& aRows)
{
  if (!aRows) {
    return detail::ReportFailure(aContext, aRows.error());
  }
  if (aContext.mJson) {
    aContext.Out() << detail::ToText(*aRows) << '\n';
  } else {
    PrintTable(aContext.Out(), *aRows);
  }
  return ExitCode::Ok;
}

ExitCode RunState(const CtlContext& aContext)
{
  const auto state = Get(aContext, "/state");
  if (!state) {
    return detail::ReportFailure(aContext, state.error());
  }
  aContext.Out() << (aContext.mJson ? detail::ToText(*state) : state->dump(2)) << '\n';
  return ExitCode::Ok;
}

ExitCode RunServices(const CtlContext& aContext)
{
  const auto services = Get(aContext, "/services");
  if (!services || aContext.mJson) {
    return PrintRows(aContext, services);
  }
  for (const auto& [name, upstreams] : services->items()) {
    aContext.Out() << name << ":\n";
    PrintTable(aContext.Out(), upstreams);
  }
  return ExitCode::Ok;
}

ExitCode RunMembers(const CtlContext& aContext)
{
  return PrintRows(aContext, Get(aContext, "/members"));
}

ExitCode RunQuarantine(const CtlContext& aContext)
{
  return PrintRows(aContext, Get(aContext, "/quarantine"));
}

ExitCode RunRelease(const CtlContext& aContext)
{
  HttpRequest request;
  request.mMethod = "DELETE";
  request.mTarget = "/quarantine";
  request.mBody = aContext.mArguments[1];
  const auto response = detail::QueryNode(aContext.mArguments[0], std::move(request));
  if (!response) {
    return detail::ReportFailure(aContext, response.error());
  }
  aContext.Out() << (aContext.mJson ? detail::ToText(*response)
                                    : "released " + aContext.mArguments[1])
                 << '\n';
  return ExitCode::Ok;
}

ExitCode RunDrain(const CtlContext& aContext)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/drain";
  const auto response = detail::QueryNode(aContext.mArguments[0], std::move(request));
  if (!response) {
    return detail::ReportFailure(aContext, response.error());
  }
  aContext.Out() << (aContext.mJson ? detail::ToText(*response)
                                    : "draining " + aContext.mArguments[0])
                 << '\n';
  return ExitCode::Ok;
}

ExitCode RunLogLevel(const CtlContext& aContext)
{
  HttpRequest request;
  request.mMethod = "PUT";
  request.mTarget = "/log-level";
  request.mBody = aContext.mArguments[1];
  const auto response = detail::QueryNode(aContext.mArguments[0], std::move(request));
  if (!response) {
    return detail::ReportFailure(aContext, response.error());
  }
  aContext.Out() << (aContext.mJson ? detail::ToText(*response)
                                    : "log level " + aContext.mArguments[1])
                 << '\n';
  return ExitCode::Ok;
}

Result<Json> RolloutRows(const CtlContext& aContext)
{
  const auto counts = detail::CountRevisions(aContext.mArguments[0]);
  if (!counts) {
    return counts.error();
  }
  Json rows = Json::array();
  for (const auto& [revision, nodes] : *counts) {
    rows.push_back({ { "revision", revision }, { "nodes", nodes } });
  }
  return rows;
}

void AddRolloutOptions(po::options_description& aOptions)
{
  aOptions.add_options()("wait", po::value<uint32_t>(),
                         "wait up to this many seconds until all nodes have the same revision");
}

ExitCode RunRollout(const CtlContext& aContext)
{
  const auto seconds =
    aContext.mOptions.count("wait") > 0 ? aContext.mOptions["wait"].as<uint32_t>() : 0;
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
  auto rows = RolloutRows(aContext);
  while (rows && rows->size() > 1 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(250ms);
    rows = RolloutRows(aContext);
  }
  const ExitCode printed = PrintRows(aContext, rows);
  return rows && rows->size() > 1 && seconds > 0 ? ExitCode::Failed : printed;
}

void AddTopOptions(po::options_description& aOptions)
{
  aOptions.add_options()("count", po::value<uint32_t>()->default_value(0),
                         "number of updates to print; 0 means until interrupted")(
    "interval-ms", po::value<uint32_t>()->default_value(1000),
    "time between updates in milliseconds");
}

void PrintTopView(const CtlContext& aContext, const Json& aState)
{
  const Json& admission = aState.at("admission");
  aContext.Out() << aState.value("node", "") << "  service " << aState.value("service", "")
                 << "  in flight " << admission.value("in_flight", 0) << " of "
                 << admission.value("limit", 0) << "  queued " << admission.value("queued", 0)
                 << "  shed level " << admission.value("shed_level", 0) << '\n';
  PrintTable(aContext.Out(), admission.at("ranks"));
  aContext.Out() << std::endl;
}

ExitCode RunTop(const CtlContext& aContext)
{
  const auto count = aContext.mOptions["count"].as<uint32_t>();
  const std::chrono::milliseconds interval(aContext.mOptions["interval-ms"].as<uint32_t>());
  for (uint32_t i = 0; count == 0 || i < count; ++i) {
    if (i > 0) {
      std::this_thread::sleep_for(interval);
    }
    const auto state = Get(aContext, "/state");
    if (!state) {
      return detail::ReportFailure(aContext, state.error());
    }
    if (aContext.mJson) {
      aContext.Out() << detail::ToText(*state) << std::endl;
    } else {
      PrintTopView(aContext, *state);
    }
  }
  return ExitCode::Ok;
}

} // namespace

std::span<const CtlCommand> NodeCommands()
{
  static constexpr CtlCommand kCommands[] = {
    { "state", "NODE", "Print the state of the node with this admin address", nullptr, RunState },
    { "services", "NODE", "List the services and upstreams known to a node", nullptr, RunServices },
    { "members", "NODE", "List the nodes known to a node", nullptr, RunMembers },
    { "top", "NODE", "Print the load and ranks of a node periodically", AddTopOptions, RunTop },
    { "rollout", "NODE", "Count the nodes by configuration revision", AddRolloutOptions,
      RunRollout },
    { "drain", "NODE", "Make a node finish its requests and stop", nullptr, RunDrain },
    { "quarantine", "NODE", "List requests suspected of crashing servers", nullptr, RunQuarantine },
    { "quarantine release", "NODE FINGERPRINT", "Release a request from quarantine", nullptr,
      RunRelease },
    { "log-level", "NODE LEVEL", "Change the log level of a node", nullptr, RunLogLevel },
  };
  return kCommands;
}

} // namespace balsammount
