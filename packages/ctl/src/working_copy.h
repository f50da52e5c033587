// An operator's configuration directory and the revision that it is based on.
#pragma once

#include "balsammount/config_push.h"

#include <filesystem>

namespace balsammount::detail {

// A file in the directory that holds the encoded base revision. ReadConfigDirectory ignores it.
inline constexpr const char* kBaseFileName = ".balsammount-base";

struct WorkingCopy
{
  std::filesystem::path mPath;
  FileMap mFiles;
  std::optional<ConfigRevision> mBase; // nullopt before the first pull or push
};

PushOutcome<WorkingCopy> ReadWorkingCopy(const std::filesystem::path& aPath);

// Writes aFiles to the directory and then records aBase as its base. An interrupted call leaves the
// older base, with which a merge has the same result. Fails with LocalChanges if a file was
// modified since the directory was read.
PushOutcome<void> UpdateWorkingCopy(const WorkingCopy& aWorkingCopy, const FileMap& aFiles,
                                    const ConfigRevision& aBase);

} // namespace balsammount::detail
