// The configuration value kept in the store, and the decision of a node to accept one.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/config_files.h"

#include <functional>
#include <optional>

namespace balsammount {

enum class RevisionError
{
  TooLarge = 1, // more than kMaxConfigBytes
  NotJson,      // a syntax error, or text that is not UTF-8
  DuplicateKey,
  TooComplex, // too many nested levels or values
  MissingField,
  WrongType,
  OutOfRange,
  InvalidFileName,
  InvalidHistory, // not in order, too long, or not ending with the value's own change
};

std::error_code make_error_code(RevisionError aError);

inline constexpr size_t kMaxHistory = 50;
// Keeps the history under a quarter of the value when every push changes every file.
inline constexpr size_t kMaxRecordedFiles = 32;
// Integers above 2^53 - 1 are not exact in all JSON libraries.
inline constexpr uint64_t kMaxRevision = (uint64_t(1) << 53) - 1;

struct ChangeRecord
{
  uint64_t mRevision = 0;
  std::string mChangeId;   // chosen by the writer, unique per change; 1 to 64 printable characters
  std::string mAuthor;     // at most 256 bytes
  WallTime mTime{};        // whole milliseconds
  uint64_t mFileCount = 0; // number of changed files
  std::vector<std::string> mFiles; // names of the first kMaxRecordedFiles of them

  bool operator==(const ChangeRecord&) const = default;
};

struct ConfigRevision
{
  uint64_t mRevision = 0; // from 1
  std::string mChangeId;
  uint64_t mBase = 0; // the revision that the author had read; below mRevision
  FileMap mFiles;
  std::vector<ChangeRecord> mHistory; // the latest last, which is the record of this revision

  bool operator==(const ConfigRevision&) const = default;
};

// JSON: {"revision", "change_id", "base", "files": {name: text}, "history": [{"revision",
// "change_id", "author", "time_ms" (since 1970), "file_count", "files": [name]}]}. The failure
// names the field. Fields of other names are ignored, so that a later release can add some. Encode
// refuses what Decode would refuse. The files' contents are not checked; CheckFiles does that.
Result<std::string> EncodeRevision(const ConfigRevision& aRevision);
Result<ConfigRevision> DecodeRevision(std::string_view aBytes);

// The author of a change.
struct ChangeAuthor
{
  std::string mChangeId;
  std::string mName;
  WallTime mTime{};
};

// The revision that follows aPrevious (null for the first one) with the given files. aBase is the
// revision that the author had read.
ConfigRevision NextRevision(const ConfigRevision* aPrevious, uint64_t aBase, FileMap aFiles,
                            const ChangeAuthor& aAuthor);

// The record of a change, if it is in the history. A writer that lost the response to its write
// finds out with this whether it took effect. Absence proves that it did not only while fewer than
// kMaxHistory changes have been made since the write.
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

// The file was changed on both sides, to different contents.
struct MergeConflict
{
  std::string mFile;
  FileChangeKind mMine = FileChangeKind::Changed;
  FileChangeKind mTheirs = FileChangeKind::Changed;

  bool operator==(const MergeConflict&) const = default;
};

struct MergeResult
{
  FileMap mFiles; // with theirs where there is a conflict
  std::vector<MergeConflict> mConflicts;
};

// Three-way merge by whole files. The result of a merge without conflicts can still be invalid as
// a configuration, so callers check it again.
MergeResult MergeFiles(const FileMap& aBase, const FileMap& aMine, const FileMap& aTheirs);

enum class OfferOutcome
{
  Applied,
  AlreadyKnown,
  RefusedLower,
  RefusedInvalid,
  RefusedConflicting, // the revision in force, with another change id or other content
};

struct OfferResult
{
  OfferOutcome mOutcome = OfferOutcome::RefusedInvalid;
  uint64_t mRevision = 0;               // of the offered value; 0 when it could not be decoded
  std::optional<Failure> mFailure;      // RefusedInvalid: the value could not be decoded
  std::vector<Diagnostic> mDiagnostics; // RefusedInvalid: the files are not valid
};

// A configuration in force, as decoded from the value in the store.
struct VersionedConfig
{
  uint64_t mRevision = 0; // from 1; a higher one is newer
  std::shared_ptr<const Config> mConfig;
};

// Reads a value of another format than EncodeRevision's. Without it, values are ConfigRevision.
using ConfigDecoder = std::function<Result<VersionedConfig>(std::string_view aBytes)>;

// Keeps the last valid configuration of a node. The revision in force never decreases. Not
// synchronised; the shared values it returns may be used from any thread.
class ConfigHolder
{
public:
  explicit ConfigHolder(ConfigDecoder aDecoder = nullptr)
    : mDecoder(std::move(aDecoder))
  {
  }

  // Decides on a value from the store or a peer. aSource is kept for Source().
  OfferResult Offer(std::string_view aBytes, std::string_view aSource);

  // Null until a value has been applied.
  const std::shared_ptr<const Config>& Current() const { return mConfig; }
  // Null also with a decoder.
  const std::shared_ptr<const ConfigRevision>& CurrentRevision() const { return mRevision; }
  // The bytes as they were offered, to be passed on to peers.
  const std::shared_ptr<const std::string>& Value() const { return mValue; }

  // 0 until a value has been applied.
  uint64_t Revision() const { return mRevisionNumber; }
  // Where the value in force came from.
  const std::string& Source() const { return mSource; }

private:
  OfferResult OfferDecoded(std::string_view aBytes, std::string_view aSource);
  // The result for a revision that is not above the one in force.
  OfferResult NotNewerResult(uint64_t aRevision, bool aIsSame) const;
  void Apply(uint64_t aRevision, std::shared_ptr<const Config> aConfig, std::string_view aBytes,
             std::string_view aSource);

  ConfigDecoder mDecoder;
  uint64_t mRevisionNumber = 0;
  std::shared_ptr<const Config> mConfig;
  std::shared_ptr<const ConfigRevision> mRevision;
  std::shared_ptr<const std::string> mValue;
  std::string mSource;
};

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::RevisionError> : std::true_type
{
};
