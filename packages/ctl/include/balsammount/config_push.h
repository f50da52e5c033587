// Writing of the operators' directory to the store.
#pragma once

#include "balsammount/blocking_store.h"
#include "balsammount/config_revision.h"

namespace balsammount {

inline constexpr const char* kConfigKey = "/balsammount/config";

enum class PushError
{
  Unreachable = 1, // the store could not be read or written; nothing was changed
  UnknownOutcome,  // the write may have taken effect
  NoBase,          // the store has a configuration that the directory is not based on
  Conflict,        // the same file was changed by someone else
  InvalidFiles,
  InvalidStore, // the value in the store cannot be decoded
  RolledBack,   // the store has no value, or a lower revision than the one read before
  Contended,    // others kept changing the configuration
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
  std::optional<ConfigRevision> mBase; // what the author had read
  ChangeAuthor mAuthor;                // with a change id that no other push uses
  // Replaces whatever the store has, after the store lost data. The revision is then above those of
  // the store, the base and mAbove, because nodes refuse a lower one.
  bool mRestore = false;
  uint64_t mAboveRevision = 0;
};

struct PushResult
{
  ConfigRevision mRevision; // the revision of this change, or the store's when nothing changed
  bool mChanged = false;
  bool mMerged = false; // the files contain changes of others since the base
};

struct StoredConfig
{
  std::optional<ConfigRevision> mRevision; // nothing when the store has no value
  Revision mModRevision = kAbsent;
};

// Reads the configuration value, with a few retries.
PushOutcome<StoredConfig> FetchConfig(BlockingStore& aStore);

// Validates, merges with changes made since the base and writes, guarded by compare-and-swap. A
// write whose answer is lost is settled by looking for its change id in the value read back; it is
// repeated only while its first attempt cannot take effect a second time.
PushOutcome<PushResult> PushConfig(BlockingStore& aStore, const PushRequest& aRequest);

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::PushError> : std::true_type
{
};
