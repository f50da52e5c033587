#include "output.h"

#include <ostream>

namespace balsammount {

namespace {

namespace po = boost::program_options;
using detail::Json;
using detail::Refuse;

struct Checked
{
  FileMap mFiles;
  ConfigCheckResult mResult;
};

PushOutcome<Checked> CheckFolder(const std::string& aFolder)
{
  auto files = ReadConfigDirectory(aFolder);
  if (!files) {
    return PushFailure(files.error().mCode, files.error().mDetail);
  }
  Checked checked{ std::move(*files), {} };
  checked.mResult = CheckFiles(checked.mFiles);
  if (!checked.mResult.mConfig) {
    PushFailure failure(PushError::InvalidFiles, aFolder);
    failure.mDiagnostics = std::move(checked.mResult.mDiagnostics);
    return failure;
  }
  return checked;
}

ExitCode Check(const CtlCall& aCall)
{
  const auto checked = CheckFolder(aCall.mArguments[0]);
  if (!checked) {
    return Refuse(aCall, checked.error());
  }
  const Config& config = *checked->mResult.mConfig;
  if (aCall.mJson) {
    aCall.Out() << detail::ToText({ { "valid", true },
                                    { "services", config.Services().size() },
                                    { "ranks", config.Ranks().size() },
                                    { "rules", config.Rules().size() } })
                << '\n';
  } else {
    aCall.Out() << "valid: " << config.Services().size() << " services, " << config.Ranks().size()
                << " ranks, " << config.Rules().size() << " rules\n";
  }
  return ExitCode::Ok;
}

ExitCode Diff(const CtlCall& aCall)
{
  const auto from = CheckFolder(aCall.mArguments[0]);
  const auto to = CheckFolder(aCall.mArguments[1]);
  if (!from || !to) {
    return Refuse(aCall, from ? to.error() : from.error());
  }
  const auto files = DiffFiles(from->mFiles, to->mFiles);
  const auto before = Flatten(*from->mResult.mConfig);
  const auto after = Flatten(*to->mResult.mConfig);
  // Every setting of either side; an absent one is null.
  std::map<std::string, std::pair<Json, Json>> settings;
  for (const auto& [path, value] : before) {
    settings[path].first = Json::parse(value);
  }
  for (const auto& [path, value] : after) {
    settings[path].second = Json::parse(value);
  }
  std::erase_if(
    settings, [](const auto& aSetting) { return aSetting.second.first == aSetting.second.second; });
  if (aCall.mJson) {
    Json list = Json::array();
    for (const auto& [path, values] : settings) {
      list.push_back({ { "path", path }, { "from", values.first }, { "to", values.second } });
    }
    aCall.Out() << detail::ToText(
                     { { "files", detail::ToJson(files) }, { "settings", std::move(list) } })
                << '\n';
    return ExitCode::Ok;
  }
  for (const FileChange& change : files) {
    aCall.Out() << change.mFile << ": " << detail::NameOf(change.mKind) << '\n';
  }
  for (const auto& [path, values] : settings) {
    const auto text = [](const Json& aValue) { return aValue.is_null() ? "-" : aValue.dump(); };
    aCall.Out() << path << ": " << text(values.first) << " -> " << text(values.second) << '\n';
  }
  return ExitCode::Ok;
}

ExitCode Show(const CtlCall& aCall)
{
  const auto checked = CheckFolder(aCall.mArguments[0]);
  if (!checked) {
    return Refuse(aCall, checked.error());
  }
  const bool showOrigin = aCall.mOptions.count("origin") > 0;
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
    if (!aCall.mJson) {
      aCall.Out() << path << " = " << value << (showOrigin ? "  (" + place + ")" : "") << '\n';
    }
  }
  if (aCall.mJson) {
    aCall.Out() << detail::ToText(all) << '\n';
  }
  return ExitCode::Ok;
}

void AddShowOptions(po::options_description& aOptions)
{
  aOptions.add_options()("origin", "print the file, line and column of each value");
}

constexpr CtlCommand kCommands[] = {
  { "config check", "DIR", "Check a directory and print all faults", nullptr, Check },
  { "config diff", "DIR1 DIR2", "Print changed files and effective settings", nullptr, Diff },
  { "config show", "DIR", "Print the effective value of every setting", AddShowOptions, Show },
};

} // namespace

std::span<const CtlCommand> ConfigCommands()
{
  return kCommands;
}

} // namespace balsammount
