#include "node_query.h"

#include "output.h"
#include "working_copy.h"

#include <cstdlib>
#include <ctime>
#include <iomanip>
#include <ostream>
#include <random>
#include <sstream>
#include <thread>

namespace balsammount {

namespace {

namespace po = boost::program_options;
using detail::Json;
using detail::ReportFailure;

std::string FromEnvironment(const char* aName, const char* aDefault)
{
  const char* value = std::getenv(aName); // NOLINT(concurrency-mt-unsafe)
  return value ? value : aDefault;
}

void AddStoreOptions(po::options_description& aOptions)
{
  aOptions.add_options()(
    "store", po::value<std::string>()->default_value(FromEnvironment("BALSAMCTL_STORE", "")),
    "IP:PORT[,IP:PORT...] of the store; default from BALSAMCTL_STORE");
}

void AddPushOptions(po::options_description& aOptions)
{
  AddStoreOptions(aOptions);
  aOptions.add_options()(
    "author", po::value<std::string>()->default_value(FromEnvironment("USER", "unknown")),
    "author of the change in the history")(
    "restore", "overwrite the store's value, after the store lost data")(
    "above", po::value<uint64_t>()->default_value(0),
    "with --restore: the highest revision on any node; the new revision is above it");
}

void AddPullOptions(po::options_description& aOptions)
{
  AddStoreOptions(aOptions);
  aOptions.add_options()("force", "discard local changes of the directory");
}

void AddMergeOptions(po::options_description& aOptions)
{
  AddStoreOptions(aOptions);
  aOptions.add_options()("prefer", po::value<std::string>()->default_value(""),
                         "\"mine\" or \"theirs\": the side to keep of a file that both changed");
}

// 128 random bits, so that no two pushes share an ID.
std::string NewChangeId()
{
  std::random_device device;
  std::ostringstream text;
  for (int i = 0; i < 4; ++i) {
    text << std::hex << std::setw(8) << std::setfill('0') << device();
  }
  return text.str();
}

std::string FormatTime(WallTime aTime)
{
  const std::time_t seconds = std::chrono::system_clock::to_time_t(aTime);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
  return text.str();
}

PushOutcome<std::shared_ptr<BlockingStore>> Connect(const CtlContext& aContext)
{
  auto store = aContext.mEnvironment.mOpenStore(aContext.mOptions["store"].as<std::string>());
  if (!store) {
    return PushFailure(store.error().mCode, store.error().mDetail);
  }
  return *store;
}

// Reads the stored revision. Fails with NoConfig if there is none.
PushOutcome<ConfigRevision> FetchRevision(const CtlContext& aContext)
{
  auto store = Connect(aContext);
  if (!store) {
    return store.error();
  }
  auto stored = FetchConfig(**store);
  if (!stored) {
    return stored.error();
  }
  if (!stored->mRevision) {
    return PushFailure(PushError::NoConfig, kConfigKey);
  }
  return std::move(*stored->mRevision);
}

void PrintRevision(const CtlContext& aContext, std::string_view aAction,
                   const ConfigRevision& aRevision, const std::vector<FileChange>& aChanges)
{
  if (aContext.mJson) {
    aContext.Out() << detail::ToText({ { "result", aAction },
                                       { "revision", aRevision.mRevision },
                                       { "change_id", aRevision.mChangeId },
                                       { "files", detail::ToJson(aChanges) } })
                   << '\n';
    return;
  }
  aContext.Out() << aAction << ": revision " << aRevision.mRevision << ", change "
                 << aRevision.mChangeId << '\n';
  for (const FileChange& change : aChanges) {
    aContext.Out() << "  " << change.mFile << ": " << detail::NameOf(change.mKind) << '\n';
  }
}

// Whether the store has a lower revision than the directory's base. Nodes reject revisions below
// their own, so a directory takes over a lower one only with pull --force.
bool IsRolledBack(const detail::WorkingCopy& aWorkingCopy, const ConfigRevision& aStored)
{
  return aWorkingCopy.mBase && aStored.mRevision < aWorkingCopy.mBase->mRevision;
}

PushFailure RolledBack(const detail::WorkingCopy& aWorkingCopy, const ConfigRevision& aStored)
{
  return { PushError::RolledBack, "the store has revision " + std::to_string(aStored.mRevision) +
                                    ", the directory " +
                                    std::to_string(aWorkingCopy.mBase->mRevision) };
}

ExitCode RunPush(const CtlContext& aContext)
{
  auto workingCopy = detail::ReadWorkingCopy(aContext.mArguments[0]);
  if (!workingCopy) {
    return ReportFailure(aContext, workingCopy.error());
  }
  auto store = Connect(aContext);
  if (!store) {
    return ReportFailure(aContext, store.error());
  }
  const PushRequest request{ workingCopy->mFiles,
                             workingCopy->mBase,
                             { NewChangeId(), aContext.mOptions["author"].as<std::string>(),
                               aContext.mEnvironment.mNow() },
                             aContext.mOptions.count("restore") > 0,
                             aContext.mOptions["above"].as<uint64_t>() };
  auto pushed = PushConfig(**store, request);
  if (!pushed) {
    if (pushed.error().mCode == PushError::UnknownOutcome) {
      pushed.error().mDetail += " (change " + request.mAuthor.mChangeId + ")";
    }
    return ReportFailure(aContext, pushed.error());
  }
  const ConfigRevision& revision = pushed->mRevision;
  const std::string_view action = !pushed->mChanged ? "nothing to push"
                                  : pushed->mMerged ? "pushed and merged"
                                                    : "pushed";
  PrintRevision(
    aContext, action, revision,
    DiffFiles(workingCopy->mBase ? workingCopy->mBase->mFiles : FileMap(), revision.mFiles));
  if (auto updated = detail::UpdateWorkingCopy(*workingCopy, revision.mFiles, revision); !updated) {
    // Only a warning, because the push itself has succeeded.
    aContext.Err() << "balsamctl: pushed, but the directory was not updated: "
                   << detail::Printable(Describe(updated.error())) << '\n';
  }
  return ExitCode::Ok;
}

ExitCode RunPull(const CtlContext& aContext)
{
  auto workingCopy = detail::ReadWorkingCopy(aContext.mArguments[0]);
  if (!workingCopy) {
    return ReportFailure(aContext, workingCopy.error());
  }
  const FileMap baseFiles = workingCopy->mBase ? workingCopy->mBase->mFiles : FileMap();
  const auto revision = FetchRevision(aContext);
  if (!revision) {
    return ReportFailure(aContext, revision.error());
  }
  const bool isForced = aContext.mOptions.count("force") > 0;
  if (!isForced && IsRolledBack(*workingCopy, *revision)) {
    return ReportFailure(aContext, RolledBack(*workingCopy, *revision));
  }
  if (!isForced && workingCopy->mFiles != baseFiles && workingCopy->mFiles != revision->mFiles) {
    return ReportFailure(
      aContext, PushFailure(PushError::LocalChanges, "use config merge, or config pull --force"));
  }
  if (auto updated = detail::UpdateWorkingCopy(*workingCopy, revision->mFiles, *revision);
      !updated) {
    return ReportFailure(aContext, updated.error());
  }
  PrintRevision(aContext, "pulled", *revision, DiffFiles(workingCopy->mFiles, revision->mFiles));
  return ExitCode::Ok;
}

ExitCode RunMerge(const CtlContext& aContext)
{
  const auto prefer = aContext.mOptions["prefer"].as<std::string>();
  if (!prefer.empty() && prefer != "mine" && prefer != "theirs") {
    aContext.Err() << "balsamctl: --prefer: expected \"mine\" or \"theirs\"\n";
    return ExitCode::Usage;
  }
  auto workingCopy = detail::ReadWorkingCopy(aContext.mArguments[0]);
  if (!workingCopy) {
    return ReportFailure(aContext, workingCopy.error());
  }
  const auto revision = FetchRevision(aContext);
  if (!revision) {
    return ReportFailure(aContext, revision.error());
  }
  if (IsRolledBack(*workingCopy, *revision)) {
    return ReportFailure(aContext, RolledBack(*workingCopy, *revision));
  }
  const FileMap base = workingCopy->mBase ? workingCopy->mBase->mFiles : FileMap();
  // MergeFiles resolves a conflict in favour of its third argument.
  MergeResult merged = prefer == "mine" ? MergeFiles(base, revision->mFiles, workingCopy->mFiles)
                                        : MergeFiles(base, workingCopy->mFiles, revision->mFiles);
  if (!merged.mConflicts.empty() && prefer.empty()) {
    PushFailure failure(PushError::Conflict, "choose a side with --prefer");
    failure.mConflicts = std::move(merged.mConflicts);
    return ReportFailure(aContext, failure);
  }
  if (auto updated = detail::UpdateWorkingCopy(*workingCopy, merged.mFiles, *revision); !updated) {
    return ReportFailure(aContext, updated.error());
  }
  ConfigCheckResult checked = CheckFiles(merged.mFiles);
  if (!checked.mConfig) {
    PushFailure failure(PushError::InvalidFiles,
                        "the merged files are invalid; correct them in the directory");
    failure.mDiagnostics = std::move(checked.mDiagnostics);
    return ReportFailure(aContext, failure);
  }
  PrintRevision(aContext, "synced", *revision, DiffFiles(workingCopy->mFiles, merged.mFiles));
  return ExitCode::Ok;
}

void AddSyncOptions(po::options_description& aOptions)
{
  AddPushOptions(aOptions);
  aOptions.add_options()("node", po::value<std::string>()->default_value(""),
                         "admin address of a node, to report when a change is in force on "
                         "all nodes")("interval-ms", po::value<uint32_t>()->default_value(500),
                                      "time between checks of the directory in milliseconds")(
    "count", po::value<uint32_t>()->default_value(0),
    "number of checks of the directory; 0 means until interrupted");
}

// Waits until all members have the same revision or the timeout expires, and prints the number of
// nodes on each revision.
void PrintRollout(const CtlContext& aContext, const std::string& aNode)
{
  constexpr std::chrono::seconds kRolloutTimeout{ 30 };
  const auto end = std::chrono::steady_clock::now() + kRolloutTimeout;
  auto counts = detail::CountRevisions(aNode);
  while (counts && counts->size() > 1 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    counts = detail::CountRevisions(aNode);
  }
  if (!counts) {
    ReportFailure(aContext, counts.error());
    return;
  }
  for (const auto& [revision, nodes] : *counts) {
    aContext.Out() << "revision " << revision << " is in force on " << nodes
                   << (counts->size() == 1 ? " nodes (all)\n" : " nodes\n");
  }
  aContext.Out().flush();
}

// Pushes the directory whenever its files change. A failed push is reported once and retried only
// after the next edit.
ExitCode RunSync(const CtlContext& aContext)
{
  const auto count = aContext.mOptions["count"].as<uint32_t>();
  const std::chrono::milliseconds interval(aContext.mOptions["interval-ms"].as<uint32_t>());
  const auto node = aContext.mOptions["node"].as<std::string>();
  std::optional<FileMap> tried;
  ExitCode last = ExitCode::Ok;
  for (uint32_t i = 0; count == 0 || i < count; ++i) {
    if (i > 0) {
      std::this_thread::sleep_for(interval);
    }
    const auto workingCopy = detail::ReadWorkingCopy(aContext.mArguments[0]);
    if (!workingCopy) {
      return ReportFailure(aContext, workingCopy.error());
    }
    const bool isPushed = workingCopy->mBase && workingCopy->mBase->mFiles == workingCopy->mFiles;
    if (isPushed || tried == workingCopy->mFiles) {
      continue;
    }
    tried = workingCopy->mFiles;
    last = RunPush(aContext);
    if (last == ExitCode::Ok && !node.empty()) {
      PrintRollout(aContext, node);
    }
  }
  return last;
}

ExitCode RunHistory(const CtlContext& aContext)
{
  const auto revision = FetchRevision(aContext);
  if (!revision) {
    return ReportFailure(aContext, revision.error());
  }
  Json list = Json::array();
  for (const ChangeRecord& record : revision->mHistory) {
    list.push_back({ { "revision", record.mRevision },
                     { "change_id", record.mChangeId },
                     { "author", record.mAuthor },
                     { "time", FormatTime(record.mTime) },
                     { "file_count", record.mFileCount },
                     { "files", record.mFiles } });
    if (aContext.mJson) {
      continue;
    }
    aContext.Out() << record.mRevision << "  " << FormatTime(record.mTime) << "  "
                   << detail::Printable(record.mAuthor) << "  " << record.mChangeId << " ";
    for (const std::string& file : record.mFiles) {
      aContext.Out() << " " << file;
    }
    if (record.mFileCount > record.mFiles.size()) {
      aContext.Out() << " and " << record.mFileCount - record.mFiles.size() << " more";
    }
    aContext.Out() << '\n';
  }
  if (aContext.mJson) {
    aContext.Out() << detail::ToText(list) << '\n';
  }
  return ExitCode::Ok;
}

constexpr CtlCommand kCommands[] = {
  { "config push", "DIR", "Push a directory to the store, merged with newer changes",
    AddPushOptions, RunPush },
  { "config pull", "DIR", "Replace a directory's files by the store's", AddPullOptions, RunPull },
  { "config merge", "DIR", "Merge the store's files into a directory", AddMergeOptions, RunMerge },
  { "config sync", "DIR", "Watch a directory and push every change", AddSyncOptions, RunSync },
  { "config history", "", "Print the latest changes of the configuration", AddStoreOptions,
    RunHistory },
};

} // namespace

std::span<const CtlCommand> SyncCommands()
{
  return kCommands;
}

} // namespace balsammount
