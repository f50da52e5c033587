#include "balsammount/config_revision.h"

#include "json_tree.h"

#include "balsammount/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace balsammount {

namespace {

using detail::JsonKind;
using detail::JsonNode;
using Milliseconds = std::chrono::milliseconds;

// End of 9999-12-31, the last date with a four-digit year in ISO 8601.
constexpr uint64_t kMaxTimeMs = 253'402'300'799'999;
constexpr size_t kMaxChangeIdBytes = 64;
constexpr size_t kMaxAuthorBytes = 256;

RevisionError ErrorOf(detail::JsonErrorKind aErrorKind)
{
  switch (aErrorKind) {
    case detail::JsonErrorKind::DuplicateKey:
      return RevisionError::DuplicateKey;
    case detail::JsonErrorKind::TooDeep:
    case detail::JsonErrorKind::TooManyValues:
      return RevisionError::TooComplex;
    case detail::JsonErrorKind::Syntax:
      break;
  }
  return RevisionError::NotJson;
}

// Reads the fields of an object. After the first failure, which is kept, reads have no effect.
class FieldReader
{
public:
  FieldReader(const JsonNode& aObject, std::string aPath, std::optional<Failure>& aFailure)
    : mObject(aObject)
    , mPath(std::move(aPath))
    , mFailure(aFailure)
  {
    if (aObject.mKind != JsonKind::Object) {
      Fail(RevisionError::WrongType, "expected an object");
    }
  }

  uint64_t Integer(std::string_view aName, uint64_t aMin, uint64_t aMax)
  {
    const JsonNode* node = Field(aName, JsonKind::Number, "expected an integer");
    if (!node) {
      return aMin;
    }
    if (!node->mIsInteger || node->mNumber < static_cast<double>(aMin) ||
        node->mNumber > static_cast<double>(aMax)) {
      Fail(RevisionError::OutOfRange, std::string(aName) + ": expected an integer from " +
                                        std::to_string(aMin) + " to " + std::to_string(aMax));
      return aMin;
    }
    return static_cast<uint64_t>(node->mNumber);
  }

  std::string Text(std::string_view aName)
  {
    const JsonNode* node = Field(aName, JsonKind::String, "expected a string");
    return node ? node->mString : std::string();
  }

  const std::vector<JsonNode>& Items(std::string_view aName)
  {
    static const std::vector<JsonNode> sEmpty;
    const JsonNode* node = Field(aName, JsonKind::Array, "expected an array");
    return node ? node->mItems : sEmpty;
  }

  std::vector<std::string> Names(std::string_view aName)
  {
    std::vector<std::string> names;
    for (const JsonNode& item : Items(aName)) {
      if (item.mKind != JsonKind::String) {
        Fail(RevisionError::WrongType, std::string(aName) + ": expected strings");
      }
      names.push_back(item.mString);
    }
    return names;
  }

  FileMap Files(std::string_view aName)
  {
    FileMap files;
    if (const JsonNode* node = Field(aName, JsonKind::Object, "expected an object")) {
      for (const JsonNode& member : node->mItems) {
        if (member.mKind != JsonKind::String) {
          Fail(RevisionError::WrongType,
               std::string(aName) + ": expected a string for " + detail::Quoted(member.mName));
        }
        files.emplace(member.mName, member.mString);
      }
    }
    return files;
  }

private:
  void Fail(RevisionError aError, const std::string& aDetail)
  {
    if (!mFailure) {
      mFailure = Failure{ aError, mPath.empty() ? aDetail : mPath + ": " + aDetail };
    }
  }

  const JsonNode* Field(std::string_view aName, JsonKind aKind, const char* aExpected)
  {
    if (mFailure) {
      return nullptr;
    }
    const JsonNode* node = mObject.Find(aName);
    if (!node) {
      Fail(RevisionError::MissingField, std::string(aName));
    } else if (node->mKind != aKind) {
      Fail(RevisionError::WrongType, std::string(aName) + ": " + aExpected);
      return nullptr;
    }
    return node;
  }

  const JsonNode& mObject;
  std::string mPath;
  std::optional<Failure>& mFailure;
};

bool IsChangeId(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxChangeIdBytes &&
         std::ranges::all_of(aText, [](char aByte) { return aByte > ' ' && aByte < '\x7F'; });
}

std::optional<Failure> CheckFileName(const std::string& aName)
{
  if (!IsConfigFileName(aName)) {
    return Failure{ RevisionError::InvalidFileName, detail::Quoted(aName) };
  }
  return std::nullopt;
}

std::optional<Failure> CheckRecord(const ChangeRecord& aRecord)
{
  if (aRecord.mRevision == 0 || aRecord.mRevision > kMaxRevision) {
    return Failure{ RevisionError::OutOfRange, "history: revision" };
  }
  if (!IsChangeId(aRecord.mChangeId)) {
    return Failure{ RevisionError::OutOfRange,
                    "change_id: expected 1 to 64 printable characters without spaces" };
  }
  if (aRecord.mAuthor.size() > kMaxAuthorBytes) {
    return Failure{ RevisionError::OutOfRange, "author: expected at most 256 bytes" };
  }
  const auto time = std::chrono::floor<Milliseconds>(aRecord.mTime.time_since_epoch());
  if (time.count() < 0 || static_cast<uint64_t>(time.count()) > kMaxTimeMs ||
      time != aRecord.mTime.time_since_epoch()) {
    return Failure{ RevisionError::OutOfRange, "time_ms: expected whole milliseconds since 1970" };
  }
  if (aRecord.mFiles.size() > kMaxRecordedFiles || aRecord.mFileCount < aRecord.mFiles.size() ||
      aRecord.mFileCount > 2 * kMaxConfigFiles) {
    return Failure{ RevisionError::OutOfRange, "history: number of files" };
  }
  for (const std::string& file : aRecord.mFiles) {
    if (auto failure = CheckFileName(file)) {
      return failure;
    }
  }
  return std::nullopt;
}

std::optional<Failure> CheckHistory(const ConfigRevision& aRevision)
{
  const auto& history = aRevision.mHistory;
  if (history.empty() || history.size() > kMaxHistory) {
    return Failure{ RevisionError::InvalidHistory,
                    "expected 1 to " + std::to_string(kMaxHistory) + " records" };
  }
  std::set<std::string_view> ids;
  uint64_t previous = 0;
  for (const ChangeRecord& record : history) {
    if (auto failure = CheckRecord(record)) {
      return failure;
    }
    if (record.mRevision <= previous) {
      return Failure{ RevisionError::InvalidHistory, "expected ascending revisions" };
    }
    if (!ids.insert(record.mChangeId).second) {
      return Failure{ RevisionError::InvalidHistory, "expected unique change ids" };
    }
    previous = record.mRevision;
  }
  if (history.back().mRevision != aRevision.mRevision ||
      history.back().mChangeId != aRevision.mChangeId) {
    return Failure{ RevisionError::InvalidHistory,
                    "expected the last record to describe this revision" };
  }
  return std::nullopt;
}

// Checks the requirements that the encoder and the decoder share.
std::optional<Failure> CheckRevision(const ConfigRevision& aRevision)
{
  if (aRevision.mRevision == 0 || aRevision.mRevision > kMaxRevision ||
      aRevision.mBase >= aRevision.mRevision) {
    return Failure{ RevisionError::OutOfRange, "revision: expected a revision above its base" };
  }
  if (aRevision.mFiles.size() > kMaxConfigFiles) {
    return Failure{ RevisionError::OutOfRange,
                    "files: expected at most " + std::to_string(kMaxConfigFiles) };
  }
  for (const auto& [name, text] : aRevision.mFiles) {
    if (auto failure = CheckFileName(name)) {
      return failure;
    }
  }
  return CheckHistory(aRevision);
}

Failure TooLarge(size_t aBytes)
{
  return { RevisionError::TooLarge,
           std::to_string(aBytes) + " bytes; expected at most " + std::to_string(kMaxConfigBytes) };
}

const std::string* FindFile(const FileMap& aFiles, const std::string& aName)
{
  const auto found = aFiles.find(aName);
  return found == aFiles.end() ? nullptr : &found->second;
}

bool SameFile(const std::string* aLeft, const std::string* aRight)
{
  return aLeft && aRight ? *aLeft == *aRight : aLeft == aRight;
}

FileChangeKind KindOf(const std::string* aFrom, const std::string* aTo)
{
  if (!aFrom) {
    return FileChangeKind::Added;
  }
  return aTo ? FileChangeKind::Changed : FileChangeKind::Removed;
}

std::set<std::string> NamesOf(std::initializer_list<const FileMap*> aMaps)
{
  std::set<std::string> names;
  for (const FileMap* files : aMaps) {
    for (const auto& [name, text] : *files) {
      names.insert(name);
    }
  }
  return names;
}

} // namespace

std::error_code make_error_code(RevisionError aError)
{
  static constexpr std::array<const char*, 10> kMessages = {
    "success",
    "configuration value is too large",
    "configuration value is not valid JSON",
    "duplicate key in the configuration value",
    "configuration value is too complex",
    "field is missing",
    "field has the wrong type",
    "field is out of range",
    "invalid file name",
    "invalid change history",
  };
  static const EnumCategory sCategory("balsammount.config_revision", kMessages);
  return { static_cast<int>(aError), sCategory };
}

Result<std::string> EncodeRevision(const ConfigRevision& aRevision)
{
  if (auto failure = CheckRevision(aRevision)) {
    return *failure;
  }
  nlohmann::json history = nlohmann::json::array();
  for (const ChangeRecord& record : aRevision.mHistory) {
    const auto time = std::chrono::floor<Milliseconds>(record.mTime.time_since_epoch());
    history.push_back({ { "revision", record.mRevision },
                        { "change_id", record.mChangeId },
                        { "author", record.mAuthor },
                        { "time_ms", time.count() },
                        { "file_count", record.mFileCount },
                        { "files", record.mFiles } });
  }
  const nlohmann::json value = { { "revision", aRevision.mRevision },
                                 { "change_id", aRevision.mChangeId },
                                 { "base", aRevision.mBase },
                                 { "files", aRevision.mFiles },
                                 { "history", std::move(history) } };
  std::string bytes;
  try {
    bytes = value.dump();
  } catch (const nlohmann::json::type_error&) {
    return Failure{ RevisionError::NotJson, "expected UTF-8 in file contents and author" };
  }
  if (bytes.size() > kMaxConfigBytes) {
    return TooLarge(bytes.size());
  }
  return bytes;
}

Result<ConfigRevision> DecodeRevision(std::string_view aBytes)
{
  if (aBytes.size() > kMaxConfigBytes) {
    return TooLarge(aBytes.size());
  }
  const detail::JsonParseResult parsed = detail::ParseJson(aBytes, detail::JsonComments::Reject);
  if (!parsed.mErrors.empty()) {
    const detail::JsonError& jsonError = parsed.mErrors.front();
    return Failure{ ErrorOf(jsonError.mErrorKind),
                    "line " + std::to_string(jsonError.mPosition.mLine) + ", column " +
                      std::to_string(jsonError.mPosition.mColumn) + ": " + jsonError.mMessage };
  }
  std::optional<Failure> failure;
  FieldReader fields(*parsed.mRoot, "", failure);
  ConfigRevision revision;
  revision.mRevision = fields.Integer("revision", 1, kMaxRevision);
  revision.mChangeId = fields.Text("change_id");
  revision.mBase = fields.Integer("base", 0, kMaxRevision);
  revision.mFiles = fields.Files("files");
  for (const JsonNode& item : fields.Items("history")) {
    FieldReader record(item, "history", failure);
    revision.mHistory.push_back(
      { record.Integer("revision", 1, kMaxRevision), record.Text("change_id"),
        record.Text("author"), WallTime(Milliseconds(record.Integer("time_ms", 0, kMaxTimeMs))),
        record.Integer("file_count", 0, 2 * kMaxConfigFiles), record.Names("files") });
  }
  if (!failure) {
    failure = CheckRevision(revision);
  }
  if (failure) {
    return *failure;
  }
  return revision;
}

ConfigRevision NextRevision(const ConfigRevision* aPrevious, uint64_t aBase, FileMap aFiles,
                            const ChangeAuthor& aAuthor)
{
  ConfigRevision next;
  next.mRevision = aPrevious ? aPrevious->mRevision + 1 : 1;
  next.mChangeId = aAuthor.mChangeId;
  next.mBase = aBase;
  if (aPrevious) {
    const size_t dropped =
      aPrevious->mHistory.size() - std::min(aPrevious->mHistory.size(), kMaxHistory - 1);
    next.mHistory.assign(aPrevious->mHistory.begin() + static_cast<ptrdiff_t>(dropped),
                         aPrevious->mHistory.end());
  }
  const auto changes = DiffFiles(aPrevious ? aPrevious->mFiles : FileMap(), aFiles);
  ChangeRecord record;
  record.mRevision = next.mRevision;
  record.mChangeId = aAuthor.mChangeId;
  record.mAuthor = aAuthor.mName;
  record.mTime = WallTime(std::chrono::floor<Milliseconds>(aAuthor.mTime.time_since_epoch()));
  record.mFileCount = changes.size();
  for (size_t i = 0; i < std::min(changes.size(), kMaxRecordedFiles); ++i) {
    record.mFiles.push_back(changes[i].mFile);
  }
  next.mHistory.push_back(std::move(record));
  next.mFiles = std::move(aFiles);
  return next;
}

const ChangeRecord* FindChange(const ConfigRevision& aRevision, std::string_view aChangeId)
{
  const auto found = std::ranges::find(aRevision.mHistory, aChangeId, &ChangeRecord::mChangeId);
  return found == aRevision.mHistory.end() ? nullptr : &*found;
}

std::vector<FileChange> DiffFiles(const FileMap& aFrom, const FileMap& aTo)
{
  std::vector<FileChange> changes;
  for (const std::string& name : NamesOf({ &aFrom, &aTo })) {
    const std::string* from = FindFile(aFrom, name);
    const std::string* to = FindFile(aTo, name);
    if (!SameFile(from, to)) {
      changes.push_back({ name, KindOf(from, to) });
    }
  }
  return changes;
}

MergeResult MergeFiles(const FileMap& aBase, const FileMap& aMine, const FileMap& aTheirs)
{
  MergeResult result;
  for (const std::string& name : NamesOf({ &aBase, &aMine, &aTheirs })) {
    const std::string* base = FindFile(aBase, name);
    const std::string* mine = FindFile(aMine, name);
    const std::string* theirs = FindFile(aTheirs, name);
    const bool mineChanged = !SameFile(base, mine);
    const bool theirsChanged = !SameFile(base, theirs);
    if (mineChanged && theirsChanged && !SameFile(mine, theirs)) {
      result.mConflicts.push_back({ name, KindOf(base, mine), KindOf(base, theirs) });
    }
    if (const std::string* kept = theirsChanged ? theirs : mine) {
      result.mFiles.emplace(name, *kept);
    }
  }
  return result;
}

OfferResult ConfigHolder::Offer(std::string_view aBytes, std::string_view aSource)
{
  if (mValue && *mValue == aBytes) {
    return { OfferOutcome::AlreadyKnown, Revision(), {}, {} };
  }
  if (mDecoder) {
    return OfferDecoded(aBytes, aSource);
  }
  auto decoded = DecodeRevision(aBytes);
  if (!decoded) {
    return { OfferOutcome::RefusedInvalid, 0, decoded.error(), {} };
  }
  const uint64_t revision = decoded->mRevision;
  if (revision <= Revision()) {
    // Equal contents are the same value even if the JSON text differs.
    return NotNewerResult(revision, *decoded == *mRevision, aBytes);
  }
  ConfigCheckResult checked = CheckFiles(decoded->mFiles);
  if (!checked.mConfig) {
    return { OfferOutcome::RefusedInvalid, revision, {}, std::move(checked.mDiagnostics) };
  }
  mRevision = std::make_shared<const ConfigRevision>(std::move(*decoded));
  Apply(revision, std::move(checked.mConfig), aBytes, aSource);
  return { OfferOutcome::Applied, revision, {}, {} };
}

OfferResult ConfigHolder::NotNewerResult(uint64_t aRevision, bool aIsSame, std::string_view aBytes)
{
  OfferOutcome outcome = OfferOutcome::RefusedLower;
  if (aRevision == Revision()) {
    outcome = aIsSame ? OfferOutcome::AlreadyKnown : OfferOutcome::RefusedConflicting;
    if (aIsSame) {
      SetValue(aBytes);
    }
  }
  return { outcome, aRevision, {}, {} };
}

OfferResult ConfigHolder::OfferDecoded(std::string_view aBytes, std::string_view aSource)
{
  auto decoded = mDecoder(aBytes);
  if (!decoded) {
    return { OfferOutcome::RefusedInvalid, 0, decoded.error(), {} };
  }
  const uint64_t revision = decoded->mRevision;
  if (revision == 0) {
    return { OfferOutcome::RefusedInvalid,
             0,
             Failure{ RevisionError::OutOfRange, "the revision must be above 0" },
             {} };
  }
  if (revision <= Revision()) {
    return NotNewerResult(revision, *decoded->mConfig == *mConfig, aBytes);
  }
  Apply(revision, std::move(decoded->mConfig), aBytes, aSource);
  return { OfferOutcome::Applied, revision, {}, {} };
}

void ConfigHolder::Apply(uint64_t aRevision, std::shared_ptr<const Config> aConfig,
                         std::string_view aBytes, std::string_view aSource)
{
  mRevisionNumber = aRevision;
  mConfig = std::move(aConfig);
  SetValue(aBytes);
  mSource = aSource;
}

void ConfigHolder::SetValue(std::string_view aBytes)
{
  mValue = std::make_shared<const std::string>(aBytes);
  mDigest = Hash64(aBytes);
}

} // namespace balsammount
