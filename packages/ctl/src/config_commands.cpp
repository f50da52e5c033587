#include "output.h"

#include <ostream>

namespace balsammount {

namespace {

namespace po = boost::program_options;
using detail::Json;
using detail::ReportFailure;

struct CheckedDirectory
{
  FileMap mFiles;
  ConfigCheckResult mResult;
};

PushOutcome<CheckedDirectory> CheckDirectory(const std::string& aDirectory)
{
  auto files = ReadConfigDirectory(aDirectory);
  if (!files) {
    return PushFailure(files.error().mCode, files.error().mDetail);
  }
  CheckedDirectory checked{ std::move(*files), {} };
  checked.mResult = CheckFiles(checked.mFiles);
  if (!checked.mResult.mConfig) {
    PushFailure failure(PushError::InvalidFiles, aDirectory);
    failure.mDiagnostics = std::move(checked.mResult.mDiagnostics);
    return failure;
  }
  return checked;
}

ExitCode Check(const CtlContext& aContext)
{
  const auto checked = CheckDirectory(aContext.mArguments[0]);
  if (!checked) {
    return ReportFailure(aContext, checked.error());
  }
  const Config& config = *checked->mResult.mConfig;
  if (aContext.mJson) {
    aContext.Out() << detail::ToText({ { "valid", true },
                                       { "services", config.Services().size() },
                                       { "ranks", config.Ranks().size() },
                                       { "rules", config.Rules().size() } })
                   << '\n';
  } else {
    aContext.Out() << "valid: " << config.Services().size() << " services, "
                   << config.Ranks().size() << " ranks, " << config.Rules().size() << " rules\n";
  }
  return ExitCode::Ok;
}

ExitCode Diff(const CtlContext& aContext)
{
  const auto from = CheckDirectory(aContext.mArguments[0]);
  const auto to = CheckDirectory(aContext.mArguments[1]);
  if (!from || !to) {
    return ReportFailure(aContext, from ? to.error() : from.error());
  }
  const auto files = DiffFiles(from->mFiles, to->mFiles);
  const auto before = Flatten(*from->mResult.mConfig);
  const auto after = Flatten(*to->mResult.mConfig);
  // The settings of both sides; a missing value is null.
  std::map<std::string, std::pair<Json, Json>> settings;
  for (const auto& [path, value] : before) {
    settings[path].first = Json::parse(value);
  }
  for (const auto& [path, value] : after) {
    settings[path].second = Json::parse(value);
  }
  std::erase_if(
    settings, [](const auto& aSetting) { return aSetting.second.first == aSetting.second.second; });
  if (aContext.mJson) {
    Json list = Json::array();
    for (const auto& [path, values] : settings) {
      list.push_back({ { "path", path }, { "from", values.first }, { "to", values.second } });
    }
    aContext.Out() << detail::ToText(
                        { { "files", detail::ToJson(files) }, { "settings", std::move(list) } })
                   << '\n';
    return ExitCode::Ok;
  }
  for (const FileChange& change : files) {
    aContext.Out() << change.mFile << ": " << detail::NameOf(change.mKind) << '\n';
  }
  for (const auto& [path, values] : settings) {
    const auto text = [](const Json& aValue) { return aValue.is_null() ? "-" : aValue.dump(); };
    aContext.Out() << path << ": " << text(values.first) << " -> " << text(values.second) << '\n';
  }
  return ExitCode::Ok;
}

ExitCode Show(const CtlContext& aContext)
{
  const auto checked = CheckDirectory(aContext.mArguments[0]);
  if (!checked) {
    return ReportFailure(aContext, checked.error());
  }
  const bool showOrigin = aContext.mOptions.count("origin") > 0;
  const Origins& origins = checked->mResult.mOrigins;
  Json all = Json::object();
  for (const auto& [path, value] : Flatten(*checked->mResult.mConfig)) {
    const auto origin = origins.find(path);
    Json entry = { { "value", Json::parse(value) } };
    std::string place = "default";
    if (origin != origins.end()) {
      place = origin->second.mFile + ":" + std::to_string(origin->second.mLine) + ":" +
              std::to_string(origin->second.mColumn);
    }
    if (showOrigin) {
      entry["origin"] = place;
    }
    all[path] = std::move(entry);
    if (!aContext.mJson) {
      aContext.Out() << path << " = " << value << (showOrigin ? "  (" + place + ")" : "") << '\n';
    }
  }
  if (aContext.mJson) {
    aContext.Out() << detail::ToText(all) << '\n';
  }
  return ExitCode::Ok;
}

void AddShowOptions(po::options_description& aOptions)
{
  aOptions.add_options()("origin", "print the file, line and column of each value");
}

constexpr CtlCommand kCommands[] = {
  { "config check", "DIR", "Validate a directory and print all errors", nullptr, Check },
  { "config diff", "DIR1 DIR2", "Print the changed files and effective settings", nullptr, Diff },
  { "config show", "DIR", "Print the effective value of every setting", AddShowOptions, Show },
};

} // namespace

std::span<const CtlCommand> ConfigCommands()
{
  return kCommands;
}

} // namespace balsammount
