// Format of the configuration value in the store, and the rules by which a node accepts a value.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/config_files.h"

#include <functional>
#include <optional>

namespace balsammount {

enum class RevisionError
{
  TooLarge = 1, // more than kMaxConfigBytes
  NotJson,      // syntax error or invalid UTF-8
  DuplicateKey,
  TooComplex, // too many levels or values
  MissingField,
  WrongType,
  OutOfRange,
  InvalidFileName,
  InvalidHistory, // unordered, too long, or not ending with the change of this revision
};

std::error_code make_error_code(RevisionError aError);

inline constexpr size_t kMaxHistory = 50;
// Keeps the history below a quarter of kMaxConfigBytes even if every push changes every file.
inline constexpr size_t kMaxRecordedFiles = 32;
// Not all JSON libraries represent integers above 2^53 - 1 exactly.
inline constexpr uint64_t kMaxRevision = (uint64_t(1) << 53) - 1;

struct ChangeRecord
{
  uint64_t mRevision = 0;
  std::string mChangeId;           // chosen by the writer and unique; 1 to 64 printable characters
  std::string mAuthor;             // at most 256 bytes
  WallTime mTime{};                // whole milliseconds
  uint64_t mFileCount = 0;         // number of changed files
  std::vector<std::string> mFiles; // the first kMaxRecordedFiles names

  bool operator==(const ChangeRecord&) const = default;
};

struct ConfigRevision
{
  uint64_t mRevision = 0; // from 1
  std::string mChangeId;
  uint64_t mBase = 0; // the revision that the change is based on; below mRevision
  FileMap mFiles;
  std::vector<ChangeRecord> mHistory; // oldest first; ends with the record of this revision

  bool operator==(const ConfigRevision&) const = default;
};

// JSON: {"revision", "change_id", "base", "files": {name: text}, "history": [{"revision",
// "change_id", "author", "time_ms" (since 1970), "file_count", "files": [name]}]}. Failures name
// the field. Unknown fields are ignored, so that later releases can add fields. EncodeRevision
// rejects whatever DecodeRevision rejects. CheckFiles validates the contents of the files; these
// functions do not.
Result<std::string> EncodeRevision(const ConfigRevision& aRevision);
Result<ConfigRevision> DecodeRevision(std::string_view aBytes);

// Author, id and time of a change.
struct ChangeAuthor
{
  std::string mChangeId;
  std::string mName;
  WallTime mTime{};
};

// Returns the successor of aPrevious, which is null for the first revision, with the given files.
// aBase is the revision that the change is based on.
ConfigRevision NextRevision(const ConfigRevision* aPrevious, uint64_t aBase, FileMap aFiles,
                            const ChangeAuthor& aAuthor);

// Returns the record of a change, or null if it is not in the history. A writer that lost the
// response to its write uses this to learn whether the write took effect. A missing record proves
// that it did not only if there have been fewer than kMaxHistory changes since the write.
const ChangeRecord* FindChange(const ConfigRevision& aRevision, std::string_view aChangeId);

enum class FileChangeKind
{
  Added,
  Changed,
  Removed,
};

struct FileChange
{
  std::string mFile;
  FileChangeKind mKind = FileChangeKind::Changed;

  bool operator==(const FileChange&) const = default;
};

std::vector<FileChange> DiffFiles(const FileMap& aFrom, const FileMap& aTo);

// A file that both sides changed to different contents.
struct MergeConflict
{
  std::string mFile;
  FileChangeKind mMine = FileChangeKind::Changed;
  FileChangeKind mTheirs = FileChangeKind::Changed;

  bool operator==(const MergeConflict&) const = default;
};

struct MergeResult
{
  FileMap mFiles; // conflicting files have the contents of aTheirs
  std::vector<MergeConflict> mConflicts;
};

// Merges whole files three-way. Even without conflicts the result can be an invalid configuration,
// so it has to be checked again.
MergeResult MergeFiles(const FileMap& aBase, const FileMap& aMine, const FileMap& aTheirs);

enum class OfferOutcome
{
  Applied,
  AlreadyKnown,
  RefusedLower,
  RefusedInvalid,
  RefusedConflicting, // same revision as the current one, but another change id or contents
};

struct OfferResult
{
  OfferOutcome mOutcome = OfferOutcome::RefusedInvalid;
  uint64_t mRevision = 0;               // of the offered value; 0 if decoding failed
  std::optional<Failure> mFailure;      // RefusedInvalid: decoding failed
  std::vector<Diagnostic> mDiagnostics; // RefusedInvalid: the files are invalid
};

// A configuration with its revision, decoded from a value in the store.
struct VersionedConfig
{
  uint64_t mRevision = 0; // from 1; a higher one is newer
  std::shared_ptr<const Config> mConfig;
};

// Decodes values of a format other than that of EncodeRevision, which is the default.
using ConfigDecoder = std::function<Result<VersionedConfig>(std::string_view aBytes)>;

// Holds the last valid configuration of a node. Its revision never decreases. Not thread safe; the
// returned shared values may be used on any thread.
class ConfigHolder
{
public:
  explicit ConfigHolder(ConfigDecoder aDecoder = nullptr)
    : mDecoder(std::move(aDecoder))
  {
  }

  // Applies or refuses a value from the store or a peer. Source() returns aSource if it is applied.
  OfferResult Offer(std::string_view aBytes, std::string_view aSource);

  // Null until a value has been applied.
  const std::shared_ptr<const Config>& Current() const { return mConfig; }
  // Null until a value has been applied, and always null with a decoder.
  const std::shared_ptr<const ConfigRevision>& CurrentRevision() const { return mRevision; }
  // The bytes as offered, for forwarding to peers.
  const std::shared_ptr<const std::string>& Value() const { return mValue; }

  // Hash of Value(); 0 until a value has been applied. Tells values of the same revision apart.
  uint64_t Digest() const { return mDigest; }

  // 0 until a value has been applied.
  uint64_t Revision() const { return mRevisionNumber; }
  // The source of the current value.
  const std::string& Source() const { return mSource; }

private:
  OfferResult OfferDecoded(std::string_view aBytes, std::string_view aSource);
  // Returns the result for a revision that is not above the current one. The text of a value with
  // the same contents replaces the one held, so that all nodes come to hold that of the store.
  OfferResult NotNewerResult(uint64_t aRevision, bool aIsSame, std::string_view aBytes);
  void SetValue(std::string_view aBytes);
  void Apply(uint64_t aRevision, std::shared_ptr<const Config> aConfig, std::string_view aBytes,
             std::string_view aSource);

  ConfigDecoder mDecoder;
  uint64_t mRevisionNumber = 0;
  std::shared_ptr<const Config> mConfig;
  std::shared_ptr<const ConfigRevision> mRevision;
  std::shared_ptr<const std::string> mValue;
  uint64_t mDigest = 0;
  std::string mSource;
};

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::RevisionError> : std::true_type
{
};
