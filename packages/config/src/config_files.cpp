#include "balsammount/config_files.h"

#include "settings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace balsammount {

namespace {

using detail::JsonKind;
using detail::JsonNode;
using detail::Position;
using detail::Quoted;

struct Location
{
  std::string mFile;
  Position mPosition;
};

struct LocatedValue
{
  Location mLocation;
  JsonNode mNode;
};

struct Entry
{
  Location mLocation; // of the first definition
  std::map<std::string, LocatedValue> mSettings;
};

using Entries = std::map<std::string, Entry>;

struct Section
{
  std::string_view mName;
  std::span<const std::string_view> mSettings;
};

template <class T, size_t N>
constexpr std::array<std::string_view, N> SettingNames(const detail::Setting<T> (&aSettings)[N])
{
  std::array<std::string_view, N> names;
  for (size_t i = 0; i < N; ++i) {
    names[i] = aSettings[i].mInfo.mName;
  }
  return names;
}

constexpr auto kServiceSettingNames = SettingNames(detail::kServiceSettings);
constexpr auto kRankSettingNames = SettingNames(detail::kRankSettings);
constexpr auto kRuleSettingNames = SettingNames(detail::kRuleSettings);
constexpr auto kRouteSettingNames = SettingNames(detail::kRouteSettings);
constexpr auto kLimitSettingNames = SettingNames(detail::kLimitSettings);
constexpr auto kRetrySettingNames = SettingNames(detail::kRetrySettings);

constexpr Section kSections[] = {
  { "services", kServiceSettingNames }, { "ranks", kRankSettingNames },
  { "rules", kRuleSettingNames },       { "limits", kLimitSettingNames },
  { "retries", kRetrySettingNames },    { "routes", kRouteSettingNames },
};

size_t EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<size_t> row(aRight.size() + 1);
  for (size_t j = 0; j < row.size(); ++j) {
    row[j] = j;
  }
  for (size_t i = 1; i <= aLeft.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j < row.size(); ++j) {
      const size_t substituted = diagonal + (aLeft[i - 1] == aRight[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({ substituted, row[j] + 1, row[j - 1] + 1 });
    }
  }
  return row.back();
}

// Returns "; did you mean X?" for the most similar name, or an empty string if there are no names.
// Only the beginning of a long name is compared, which bounds the cost.
template <class Names>
std::string Suggestion(std::string_view aName, const Names& aKnown)
{
  constexpr size_t kMaxCompared = 64;
  std::string_view nearest;
  size_t best = std::string_view::npos;
  for (const auto& known : aKnown) {
    const size_t distance = EditDistance(aName.substr(0, kMaxCompared), known);
    if (distance < best) {
      best = distance;
      nearest = known;
    }
  }
  return nearest.empty() ? "" : "; did you mean " + Quoted(nearest) + "?";
}

std::vector<std::string_view> KeysOf(const Entries& aEntries)
{
  std::vector<std::string_view> keys;
  for (const auto& [name, entry] : aEntries) {
    keys.push_back(name);
  }
  return keys;
}

class ConfigChecker
{
public:
  ConfigCheckResult Run(const FileMap& aFiles)
  {
    size_t bytes = 0;
    for (const auto& [name, text] : aFiles) {
      bytes += name.size() + text.size();
    }
    if (bytes > kMaxConfigBytes) {
      AddDiagnostic({}, "",
                    "the files have " + std::to_string(bytes) + " bytes; expected at most " +
                      std::to_string(kMaxConfigBytes));
    } else {
      for (const auto& [name, text] : aFiles) {
        MergeFile(name, text);
      }
      ParseAll();
    }
    return Finish();
  }

private:
  void AddDiagnostic(const Location& aLocation, std::string aPath, std::string aMessage)
  {
    // More than the reported number is kept, because the order is known only at the end.
    if (mResult.mDiagnostics.size() < 2 * kMaxDiagnostics) {
      mResult.mDiagnostics.push_back({ aLocation.mFile, aLocation.mPosition.mLine,
                                       aLocation.mPosition.mColumn, std::move(aPath),
                                       std::move(aMessage) });
    }
  }

  void MergeFile(const std::string& aFile, const std::string& aText)
  {
    if (!IsConfigFileName(aFile)) {
      AddDiagnostic(
        { aFile, {} }, "",
        "expected a file name of letters, digits, '_', '-' and '.' that ends in \".json\"");
      return;
    }
    const detail::JsonParseResult parsed = detail::ParseJson(aText, detail::JsonComments::Ignore);
    for (const detail::JsonError& jsonError : parsed.mErrors) {
      AddDiagnostic({ aFile, jsonError.mPosition }, "", jsonError.mMessage);
    }
    if (!parsed.mRoot) {
      return;
    }
    if (parsed.mRoot->mKind != JsonKind::Object) {
      AddDiagnostic({ aFile, parsed.mRoot->mPosition }, "", "expected an object of sections");
      return;
    }
    for (const JsonNode& member : parsed.mRoot->mItems) {
      MergeSection(aFile, member);
    }
  }

  void MergeSection(const std::string& aFile, const JsonNode& aMember)
  {
    const auto* section = std::ranges::find(kSections, aMember.mName, &Section::mName);
    if (section == std::end(kSections)) {
      std::vector<std::string_view> names;
      for (const Section& known : kSections) {
        names.push_back(known.mName);
      }
      AddDiagnostic({ aFile, aMember.mNamePosition }, "",
                    "unknown section " + Quoted(aMember.mName) + Suggestion(aMember.mName, names));
      return;
    }
    if (aMember.mKind != JsonKind::Object) {
      AddDiagnostic({ aFile, aMember.mPosition }, aMember.mName,
                    "expected an object of entries by name");
      return;
    }
    for (const JsonNode& entry : aMember.mItems) {
      MergeEntry(aFile, *section, entry);
    }
  }

  void MergeEntry(const std::string& aFile, const Section& aSection, const JsonNode& aMember)
  {
    Entries& entries = mSections[std::string(aSection.mName)];
    const std::string section(aSection.mName);
    if (!detail::IsName(aMember.mName)) {
      AddDiagnostic({ aFile, aMember.mNamePosition }, section,
                    "name " + Quoted(aMember.mName) + ": expected " +
                      std::string(detail::kNameFormat.mDescription));
      return;
    }
    const std::string path = section + "." + aMember.mName;
    if (aMember.mKind == JsonKind::Null) {
      if (entries.erase(aMember.mName) == 0) {
        AddDiagnostic({ aFile, aMember.mNamePosition }, path,
                      "null removes an entry, but no earlier file has one of this name" +
                        Suggestion(aMember.mName, KeysOf(entries)));
      }
      return;
    }
    if (aMember.mKind != JsonKind::Object) {
      AddDiagnostic({ aFile, aMember.mPosition }, path,
                    "expected an object of settings, or null to remove the entry");
      return;
    }
    Entry& entry = entries.try_emplace(aMember.mName, Entry{ { aFile, aMember.mNamePosition }, {} })
                     .first->second;
    for (const JsonNode& setting : aMember.mItems) {
      MergeSetting(aFile, aSection, path, setting, entry);
    }
  }

  void MergeSetting(const std::string& aFile, const Section& aSection, const std::string& aPath,
                    const JsonNode& aMember, Entry& aEntry)
  {
    if (std::ranges::find(aSection.mSettings, aMember.mName) == aSection.mSettings.end()) {
      AddDiagnostic({ aFile, aMember.mNamePosition }, aPath,
                    "unknown setting " + Quoted(aMember.mName) +
                      Suggestion(aMember.mName, aSection.mSettings));
    } else if (aMember.mKind == JsonKind::Null) {
      aEntry.mSettings.erase(aMember.mName);
    } else {
      aEntry.mSettings.insert_or_assign(aMember.mName,
                                        LocatedValue{ { aFile, aMember.mPosition }, aMember });
    }
  }

  // Fills an object from an entry, or else a fallback entry, or else the defaults of the table.
  template <class T>
  void Fill(const std::string& aPath, std::span<const detail::Setting<T>> aSettings,
            const Entry* aEntry, const Entry* aFallback, T& aObject)
  {
    detail::ForEachSetting(aSettings, aObject, [&](const auto& aInfo, auto& aValue) {
      const std::string name(aInfo.mName);
      const std::string path = std::string(aPath).append(".").append(name);
      for (const Entry* entry : { aEntry, aFallback }) {
        if (!entry) {
          continue;
        }
        if (const auto found = entry->mSettings.find(name); found != entry->mSettings.end()) {
          const Location& location = found->second.mLocation;
          if (auto expected = detail::ReadValue(found->second.mNode, aInfo, aValue)) {
            AddDiagnostic(location, path, std::move(*expected));
          }
          mResult.mOrigins[path] = { location.mFile, location.mPosition.mLine,
                                     location.mPosition.mColumn };
          return;
        }
      }
      if (std::holds_alternative<detail::Required>(aInfo.mDefault)) {
        AddDiagnostic(aEntry->mLocation, aPath, "setting " + Quoted(name) + " is required");
      } else {
        detail::AssignDefault(aInfo, aValue);
      }
    });
  }

  template <class T>
  std::vector<T> ParseSection(std::string_view aSection,
                              std::span<const detail::Setting<T>> aSettings)
  {
    std::vector<T> objects;
    for (const auto& [name, entry] : mSections[std::string(aSection)]) {
      T object;
      object.mName = name;
      Fill<T>(std::string(aSection) + "." + name, aSettings, &entry, nullptr, object);
      objects.push_back(std::move(object));
    }
    return objects;
  }

  // Fills a policy of every service from a section whose entries are named after services.
  template <class T>
  void ParsePerService(std::string_view aSection, std::span<const detail::Setting<T>> aSettings,
                       T ServicePolicy::*aMember)
  {
    const Entries& entries = mSections[std::string(aSection)];
    const auto fallback = entries.find(std::string(detail::kDefaultEntry));
    for (const auto& [name, entry] : entries) {
      T unused;
      const std::string path = std::string(aSection) + "." + name;
      if (name == detail::kDefaultEntry) {
        Fill<T>(path, aSettings, &entry, nullptr, unused);
        std::erase_if(mResult.mOrigins,
                      [&](const auto& aOrigin) { return aOrigin.first.starts_with(path + "."); });
      } else if (!mSections["services"].contains(name)) {
        AddDiagnostic(entry.mLocation, path,
                      "expected the name of a service or \"default\"" +
                        Suggestion(name, KeysOf(mSections["services"])));
      }
    }
    for (ServicePolicy& service : mValues.mServices) {
      const auto own = entries.find(service.mName);
      Fill<T>(std::string(aSection) + "." + service.mName, aSettings,
              own == entries.end() ? nullptr : &own->second,
              fallback == entries.end() ? nullptr : &fallback->second, service.*aMember);
    }
  }

  void ParseAll()
  {
    mValues.mServices = ParseSection<ServicePolicy>("services", detail::kServiceSettings);
    mValues.mRanks = ParseSection<RankPolicy>("ranks", detail::kRankSettings);
    mValues.mRules = ParseSection<RankRule>("rules", detail::kRuleSettings);
    mValues.mRoutes = ParseSection<RoutePolicy>("routes", detail::kRouteSettings);
    ParsePerService<LimitPolicy>("limits", detail::kLimitSettings, &ServicePolicy::mLimits);
    ParsePerService<RetryPolicy>("retries", detail::kRetrySettings, &ServicePolicy::mRetries);
    CheckServices();
    CheckRanks();
    CheckRules();
    CheckRoutes();
  }

  // Returns the location of a setting, or of its entry if the setting has its default.
  Location LocationOf(const std::string& aSection, const std::string& aEntry,
                      const std::string& aSetting) const
  {
    const std::string path = aSection + "." + aEntry + "." + aSetting;
    if (const auto found = mResult.mOrigins.find(path); found != mResult.mOrigins.end()) {
      return { found->second.mFile, { found->second.mLine, found->second.mColumn } };
    }
    const auto section = mSections.find(aSection);
    if (section != mSections.end()) {
      if (const auto entry = section->second.find(aEntry); entry != section->second.end()) {
        return entry->second.mLocation;
      }
    }
    return {};
  }

  void AddSettingDiagnostic(const std::string& aSection, const std::string& aEntry,
                            const std::string& aSetting, std::string aMessage)
  {
    AddDiagnostic(LocationOf(aSection, aEntry, aSetting), aSection + "." + aEntry + "." + aSetting,
                  std::move(aMessage));
  }

  void CheckServices()
  {
    if (mValues.mServices.empty()) {
      // An empty directory is more likely a wrong argument than an intent to stop all services.
      AddDiagnostic({}, "services", "expected at least one service");
    }
    std::map<std::string, std::string> owners;
    for (const ServicePolicy& service : mValues.mServices) {
      if (service.mName == detail::kDefaultEntry) {
        AddDiagnostic(LocationOf("services", service.mName, ""), "services.default",
                      "expected another name: \"default\" is reserved for limits and retries");
      }
      for (const std::string& path : service.mPaths) {
        const auto [owner, added] = owners.emplace(path, service.mName);
        if (!added) {
          AddSettingDiagnostic("services", service.mName, "paths",
                               "expected unique paths: " + Quoted(path) +
                                 " also belongs to service " + Quoted(owner->second));
        }
      }
      if (service.mSlots > service.mMaxConnections && service.mMaxConnections > 0) {
        AddSettingDiagnostic("services", service.mName, "slots",
                             "expected at most max_connections (" +
                               std::to_string(service.mMaxConnections) +
                               "): every running request holds a connection");
      }
      if (service.mLimits.mMinConcurrency > service.mSlots && service.mSlots > 0) {
        AddSettingDiagnostic("limits", service.mName, "min_concurrency",
                             "expected at most the slots of the service (" +
                               std::to_string(service.mSlots) + ")");
      }
    }
  }

  void CheckRanks()
  {
    if (mValues.mRanks.empty()) {
      AddDiagnostic({}, "ranks", "expected at least one rank");
    }
    // Allows for rounding in sums such as 0.7 + 0.2 + 0.1.
    constexpr double kTolerance = 1e-9;
    double sum = 0;
    std::map<uint32_t, std::string> ranks;
    for (const RankPolicy& rank : mValues.mRanks) {
      sum += rank.mFloor;
      const auto [other, added] = ranks.emplace(rank.mWorth, rank.mName);
      if (!added && mResult.mOrigins.contains("ranks." + rank.mName + ".worth")) {
        AddSettingDiagnostic("ranks", rank.mName, "worth",
                             "expected a unique worth: rank " + Quoted(other->second) +
                               " has the same");
      }
    }
    if (sum > 1 + kTolerance) {
      for (const RankPolicy& rank : mValues.mRanks) {
        if (rank.mFloor > 0) {
          AddSettingDiagnostic("ranks", rank.mName, "floor",
                               "expected floors that sum to at most 1, but they sum to " +
                                 nlohmann::json(sum).dump());
        }
      }
    }
  }

  void CheckRules()
  {
    const Entries& services = mSections["services"];
    const Entries& ranks = mSections["ranks"];
    for (const RankRule& rule : mValues.mRules) {
      if (!rule.mRank.empty() && !ranks.contains(rule.mRank)) {
        AddSettingDiagnostic("rules", rule.mName, "rank",
                             "unknown rank " + Quoted(rule.mRank) +
                               Suggestion(rule.mRank, KeysOf(ranks)));
      }
      if (rule.mService.empty()) {
        continue;
      }
      const auto service =
        std::ranges::find(mValues.mServices, rule.mService, &ServicePolicy::mName);
      if (service == mValues.mServices.end()) {
        AddSettingDiagnostic("rules", rule.mName, "service",
                             "unknown service " + Quoted(rule.mService) +
                               Suggestion(rule.mService, KeysOf(services)));
      } else if (!service->mPaths.empty() &&
                 std::ranges::none_of(service->mPaths, [&](const std::string& aPath) {
                   return MatchesPrefix(aPath, rule.mPathPrefix) ||
                          MatchesPrefix(rule.mPathPrefix, aPath);
                 })) {
        AddSettingDiagnostic("rules", rule.mName, "path",
                             "expected a path under or above one of service " +
                               Quoted(rule.mService) + "; no request of it can match " +
                               Quoted(rule.mPathPrefix));
      }
    }
  }

  void CheckRoutes()
  {
    const Entries& services = mSections["services"];
    const Entries& ranks = mSections["ranks"];
    std::map<std::pair<std::string, std::string>, std::string> owners;
    for (const RoutePolicy& route : mValues.mRoutes) {
      if (!route.mRank.empty() && !ranks.contains(route.mRank)) {
        AddSettingDiagnostic("routes", route.mName, "rank",
                             "unknown rank " + Quoted(route.mRank) +
                               Suggestion(route.mRank, KeysOf(ranks)));
      }
      uint64_t weights = 0;
      for (const RouteTarget& target : route.mTargets) {
        weights += target.mWeight;
        if (!services.contains(target.mService)) {
          AddSettingDiagnostic("routes", route.mName, "targets",
                               "unknown service " + Quoted(target.mService) +
                                 Suggestion(target.mService, KeysOf(services)));
        }
      }
      if (!route.mTargets.empty() && weights == 0) {
        AddSettingDiagnostic("routes", route.mName, "targets", "expected a weight above 0");
      }
      const auto [owner, added] =
        owners.emplace(std::make_pair(route.mHost, route.mPrefix), route.mName);
      if (!added) {
        AddSettingDiagnostic("routes", route.mName, "prefix",
                             "expected a unique host and prefix: route " + Quoted(owner->second) +
                               " has the same");
      }
    }
  }

  ConfigCheckResult Finish()
  {
    auto& diagnostics = mResult.mDiagnostics;
    const auto key = [](const Diagnostic& aDiagnostic) {
      return std::tie(aDiagnostic.mFile, aDiagnostic.mLine, aDiagnostic.mColumn, aDiagnostic.mPath,
                      aDiagnostic.mMessage);
    };
    std::ranges::sort(diagnostics, {}, key);
    diagnostics.erase(std::unique(diagnostics.begin(), diagnostics.end()), diagnostics.end());
    if (diagnostics.size() > kMaxDiagnostics) {
      diagnostics.resize(kMaxDiagnostics);
      diagnostics.push_back({ "", 0, 0, "", "further diagnostics are not shown" });
    }
    if (diagnostics.empty()) {
      mResult.mConfig = std::make_shared<const Config>(std::move(mValues));
    }
    return std::move(mResult);
  }

  std::map<std::string, Entries, std::less<>> mSections;
  ConfigValues mValues;
  ConfigCheckResult mResult;
};

} // namespace

std::string Describe(const Diagnostic& aDiagnostic)
{
  std::string text = aDiagnostic.mFile.empty() ? "(directory)" : aDiagnostic.mFile;
  if (aDiagnostic.mLine > 0) {
    text += ":" + std::to_string(aDiagnostic.mLine) + ":" + std::to_string(aDiagnostic.mColumn);
  }
  text += ": ";
  if (!aDiagnostic.mPath.empty()) {
    text += aDiagnostic.mPath + ": ";
  }
  return text + aDiagnostic.mMessage;
}

ConfigCheckResult CheckFiles(const FileMap& aFiles)
{
  return ConfigChecker().Run(aFiles);
}

bool IsConfigFileName(std::string_view aName)
{
  constexpr size_t kMaxLength = 128;
  constexpr std::string_view kSuffix = ".json";
  return aName.size() > kSuffix.size() && aName.size() <= kMaxLength && aName.front() != '.' &&
         aName.ends_with(kSuffix) && std::ranges::all_of(aName, [](char aByte) {
           return (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z') ||
                  (aByte >= '0' && aByte <= '9') || aByte == '_' || aByte == '-' || aByte == '.';
         });
}

Result<FileMap> ReadConfigDirectory(const std::filesystem::path& aDirectory)
{
  namespace fs = std::filesystem;
  std::error_code error;
  if (!fs::is_directory(aDirectory, error)) {
    return Failure{ ConfigError::NotADirectory, aDirectory.string() };
  }
  FileMap files;
  size_t bytes = 0;
  fs::directory_iterator entry(aDirectory, error);
  for (; !error && entry != fs::directory_iterator(); entry.increment(error)) {
    const std::string name = entry->path().filename().string();
    if (name.starts_with('.')) {
      continue;
    }
    std::error_code ignored;
    if (!entry->is_regular_file(ignored)) {
      files.emplace(name + "/", "");
      continue;
    }
    bytes += entry->file_size(ignored);
    if (bytes > kMaxConfigBytes) {
      return Failure{ ConfigError::TooLarge, aDirectory.string() + " has over " +
                                               std::to_string(kMaxConfigBytes) + " bytes" };
    }
    std::ifstream stream(entry->path(), std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    if (!stream || (text.fail() && entry->file_size(ignored) > 0)) {
      return Failure{ ConfigError::Unreadable, entry->path().string() };
    }
    files.emplace(name, text.str());
    if (files.size() > kMaxConfigFiles) {
      return Failure{ ConfigError::TooLarge, aDirectory.string() + " has over " +
                                               std::to_string(kMaxConfigFiles) + " files" };
    }
  }
  if (error) {
    return Failure{ ConfigError::Unreadable, aDirectory.string() + ": " + error.message() };
  }
  return files;
}

} // namespace balsammount
