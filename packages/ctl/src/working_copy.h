// An operator's directory together with the revision that it is based on.
#pragma once

#include "balsammount/config_push.h"

#include <filesystem>

namespace balsammount::detail {

// Kept in the directory itself, hidden from ReadConfigDirectory, and holds the encoded revision.
inline constexpr const char* kBaseFileName = ".balsammount-base";

struct WorkingCopy
{
  std::filesystem::path mPath;
  FileMap mFiles;
  std::optional<ConfigRevision> mBase; // nothing before the first pull or push
};

PushOutcome<WorkingCopy> ReadWorkingCopy(const std::filesystem::path& aPath);

// Makes the directory's files those of aRevision, or aFiles where given, and records the revision
// as the base, last, so that an interrupted call leaves the older base, from which a merge gives
// the same result. Refuses with LocalChanges when a file is no longer as it was read.
PushOutcome<void> UpdateWorkingCopy(const WorkingCopy& aWorkingCopy, const FileMap& aFiles,
                                    const ConfigRevision& aBase);

} // namespace balsammount::detail
