// Pushes an operator's configuration directory to the store.
#pragma once

#include "balsammount/blocking_store.h"
#include "balsammount/config_revision.h"

namespace balsammount {

inline constexpr const char* kConfigKey = "/balsammount/config";

enum class PushError
{
  Unreachable = 1, // the store could not be read or written; nothing was changed
  UnknownOutcome,  // the write may have taken effect
  NoBase,          // the directory has no base, but the store has a configuration
  Conflict,        // the same file was changed in the directory and in the store
  InvalidFiles,
  InvalidStore, // the value in the store cannot be decoded
  RolledBack,   // the store has no value, or a lower revision than the one read before
  Contended,    // concurrent changes made every attempt fail
  NoConfig,     // the store has no configuration
  LocalIo,      // a file of the directory cannot be read or written
  LocalChanges, // the directory has changes that would be overwritten
};

std::error_code make_error_code(PushError aError);

struct PushFailure : Failure
{
  PushFailure() = default;
  PushFailure(std::error_code aCode, std::string aDetail)
    : Failure{ aCode, std::move(aDetail) }
  {
  }

  std::vector<MergeConflict> mConflicts;
  std::vector<Diagnostic> mDiagnostics;
};

template <class T>
using PushOutcome = boost::system::result<T, PushFailure>;

struct PushRequest
{
  FileMap mFiles;
  std::optional<ConfigRevision> mBase; // the revision that the author edited
  ChangeAuthor mAuthor;                // its change ID must be unique to this push
  // Overwrites the store's value, after the store lost data. The new revision is above those of the
  // store, of the base and mAboveRevision, because nodes reject lower revisions.
  bool mRestore = false;
  uint64_t mAboveRevision = 0;
};

struct PushResult
{
  ConfigRevision mRevision; // the pushed revision, or the stored one if nothing changed
  bool mChanged = false;
  bool mMerged = false; // the files include changes that others made since the base
};

struct StoredConfig
{
  std::optional<ConfigRevision> mRevision; // nullopt if the store has no value
  Revision mModRevision = kAbsent;
};

// Reads the stored configuration; retries if the store is unavailable.
PushOutcome<StoredConfig> FetchConfig(BlockingStore& aStore);

// Validates the files, merges them with the changes made since the base and writes the result by
// compare-and-swap. When the response to a write is lost, the value is read back and searched for
// the change ID; the write is repeated only if the change cannot be applied twice.
PushOutcome<PushResult> PushConfig(BlockingStore& aStore, const PushRequest& aRequest);

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::PushError> : std::true_type
{
};
