#include "balsammount/config_push.h"

#include <algorithm>
#include <array>

namespace balsammount {

namespace {

// A store call takes at most 2 s, so a push ends within about 30 s.
constexpr int kMaxAttempts = 8;
constexpr Duration kRetryDelay = std::chrono::milliseconds(250);

PushOutcome<StoredConfig> Decode(const std::optional<StoreEntry>& aEntry)
{
  if (!aEntry) {
    return StoredConfig{};
  }
  auto revision = DecodeRevision(aEntry->mValue);
  if (!revision) {
    return PushFailure(PushError::InvalidStore, Describe(revision.error()));
  }
  return StoredConfig{ std::move(*revision), aEntry->mModRevision };
}

PushOutcome<StoreRead> Read(BlockingStore& aStore)
{
  for (int attempt = 1;; ++attempt) {
    auto read = aStore.Get(kConfigKey);
    if (read) {
      return std::move(*read);
    }
    if (attempt == kMaxAttempts) {
      return PushFailure(PushError::Unreachable, Describe(read.error()));
    }
    aStore.Pause(kRetryDelay);
  }
}

std::string NamesOf(const std::vector<MergeConflict>& aConflicts)
{
  std::string names;
  for (const MergeConflict& conflict : aConflicts) {
    names += (names.empty() ? "" : ", ") + conflict.mFile;
  }
  return names;
}

// One push. Tracks the last known value of the store and any write of uncertain outcome.
class Push
{
public:
  Push(BlockingStore& aStore, const PushRequest& aRequest)
    : mStore(aStore)
    , mRequest(aRequest)
  {
  }

  PushOutcome<PushResult> Run()
  {
    // Validated before any store call, so that errors in the files are reported without a store.
    if (auto failure = Check(mRequest.mFiles)) {
      return *failure;
    }
    if (auto failure = ReadStored()) {
      return *failure;
    }
    std::string lastError;
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      if (const auto resolved = ResolveUncertainWrite()) {
        return *resolved;
      }
      auto next = Prepare();
      if (!next) {
        return next.error();
      }
      if (!next->mChanged) {
        return std::move(*next);
      }
      auto bytes = EncodeRevision(next->mRevision);
      if (!bytes) {
        return PushFailure(PushError::InvalidFiles, Describe(bytes.error()));
      }
      const auto written = mStore.CompareAndSwap(kConfigKey, mStored.mModRevision, *bytes);
      if (written) {
        return std::move(*next);
      }
      lastError = Describe(written.error());
      if (auto failure = OnWriteFailed(written.error(), *next)) {
        return *failure;
      }
    }
    if (const auto resolved = ResolveUncertainWrite()) {
      return *resolved;
    }
    const PushError error = mUncertainRevision > 0 ? PushError::UnknownOutcome
                            : mWasUnavailable      ? PushError::Unreachable
                                                   : PushError::Contended;
    return PushFailure(error, lastError);
  }

private:
  static std::optional<PushFailure> Check(const FileMap& aFiles)
  {
    ConfigCheckResult checked = CheckFiles(aFiles);
    if (checked.mConfig) {
      return std::nullopt;
    }
    PushFailure failure(PushError::InvalidFiles,
                        std::to_string(checked.mDiagnostics.size()) + " errors");
    failure.mDiagnostics = std::move(checked.mDiagnostics);
    return failure;
  }

  std::optional<PushFailure> ReadStored()
  {
    auto read = Read(mStore);
    if (!read) {
      return mUncertainRevision > 0 ? PushFailure(PushError::UnknownOutcome, read.error().mDetail)
                                    : read.error();
    }
    return UpdateStored(read->mEntry);
  }

  std::optional<PushFailure> UpdateStored(const std::optional<StoreEntry>& aEntry)
  {
    auto stored = Decode(aEntry);
    if (!stored) {
      if (!mRequest.mRestore) {
        return stored.error();
      }
      stored = StoredConfig{ std::nullopt, aEntry->mModRevision };
    }
    mStored = std::move(*stored);
    return std::nullopt;
  }

  // Returns the result of an uncertain write once the store's value decides it.
  std::optional<PushOutcome<PushResult>> ResolveUncertainWrite()
  {
    if (mUncertainRevision == 0 || !mStored.mRevision) {
      return std::nullopt;
    }
    const ConfigRevision& stored = *mStored.mRevision;
    if (FindChange(stored, mRequest.mAuthor.mChangeId)) {
      return PushOutcome<PushResult>(mUncertainResult);
    }
    if (stored.mRevision >= mUncertainRevision + kMaxHistory) {
      return PushOutcome<PushResult>(
        PushFailure(PushError::UnknownOutcome, "the store's history no longer covers the write"));
    }
    if (mStored.mModRevision != mUncertainExpected) {
      // Another write came first, so this one's compare can no longer succeed.
      mUncertainRevision = 0;
    }
    return std::nullopt;
  }

  PushOutcome<PushResult> Prepare() const
  {
    const auto& base = mRequest.mBase;
    const auto& theirs = mStored.mRevision;
    const uint64_t baseRevision = base ? base->mRevision : 0;
    PushResult result;
    FileMap files = mRequest.mFiles;
    if (!mRequest.mRestore) {
      if ((theirs ? theirs->mRevision : 0) < baseRevision) {
        return PushFailure(PushError::RolledBack, "the store has revision " +
                                                    std::to_string(theirs ? theirs->mRevision : 0) +
                                                    ", revision " + std::to_string(baseRevision) +
                                                    " was read earlier");
      }
      if (theirs && !base) {
        return PushFailure(PushError::NoBase,
                           "the store has revision " + std::to_string(theirs->mRevision));
      }
      if (theirs && theirs->mFiles != base->mFiles) {
        MergeResult merged = MergeFiles(base->mFiles, files, theirs->mFiles);
        if (!merged.mConflicts.empty()) {
          PushFailure failure(PushError::Conflict, NamesOf(merged.mConflicts));
          failure.mConflicts = std::move(merged.mConflicts);
          return failure;
        }
        files = std::move(merged.mFiles);
        result.mMerged = files != mRequest.mFiles;
        if (auto failure = Check(files)) {
          return *failure;
        }
      }
      if (theirs && theirs->mFiles == files) {
        result.mRevision = *theirs;
        return result;
      }
    }
    ConfigRevision previous = theirs ? *theirs : base ? *base : ConfigRevision();
    previous.mRevision = std::max(previous.mRevision, baseRevision);
    if (mRequest.mRestore) {
      previous.mRevision = std::max(previous.mRevision, mRequest.mAboveRevision);
    }
    result.mRevision = NextRevision(&previous, baseRevision, std::move(files), mRequest.mAuthor);
    result.mChanged = true;
    return result;
  }

  std::optional<PushFailure> OnWriteFailed(const StoreFailure& aFailure,
                                           const PushResult& aAttempted)
  {
    if (aFailure.mCode == StoreError::Conflict) {
      return UpdateStored(aFailure.mCurrent);
    }
    if (aFailure.mCode == StoreError::Unknown) {
      mUncertainRevision = aAttempted.mRevision.mRevision;
      mUncertainExpected = mStored.mModRevision;
      mUncertainResult = aAttempted;
    } else if (aFailure.mCode == StoreError::Unavailable) {
      mWasUnavailable = true;
    } else {
      return PushFailure(PushError::InvalidFiles, Describe(aFailure));
    }
    mStore.Pause(kRetryDelay);
    return ReadStored();
  }

  BlockingStore& mStore;
  const PushRequest& mRequest;
  StoredConfig mStored;
  uint64_t mUncertainRevision = 0; // revision of a write of uncertain outcome; 0: none
  Revision mUncertainExpected = kAbsent;
  PushResult mUncertainResult; // the last write of uncertain outcome
  bool mWasUnavailable = false;
};

} // namespace

std::error_code make_error_code(PushError aError)
{
  static constexpr std::array<const char*, 12> kMessages = {
    "success",
    "the store is unreachable; nothing was changed",
    "the outcome of the write is unknown; look for its change ID in the history",
    "the directory is not based on the store's configuration; run config merge first",
    "the same files were also changed in the store",
    "the files are invalid",
    "the store's configuration cannot be decoded",
    "the store has lost revisions; see config push --restore",
    "too many concurrent changes to the configuration; try again",
    "the store has no configuration",
    "the directory cannot be read or written",
    "the directory has local changes",
  };
  static const EnumCategory sCategory("balsammount.push", kMessages);
  return { static_cast<int>(aError), sCategory };
}

PushOutcome<StoredConfig> FetchConfig(BlockingStore& aStore)
{
  auto read = Read(aStore);
  if (!read) {
    return read.error();
  }
  return Decode(read->mEntry);
}

PushOutcome<PushResult> PushConfig(BlockingStore& aStore, const PushRequest& aRequest)
{
  return Push(aStore, aRequest).Run();
}

} // namespace balsammount
