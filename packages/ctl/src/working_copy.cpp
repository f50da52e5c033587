#include "working_copy.h"

#include <fstream>
#include <sstream>

namespace balsammount::detail {

namespace {

namespace fs = std::filesystem;

PushFailure LocalFailure(const fs::path& aPath, const std::string& aWhat)
{
  return { PushError::LocalIo, aPath.string() + ": " + aWhat };
}

// Replaces a file atomically, so that readers see either the old or the new content.
PushOutcome<void> WriteFile(const fs::path& aPath, const std::string& aText)
{
  const fs::path temporary = aPath.parent_path() / ("." + aPath.filename().string() + ".tmp");
  std::ofstream stream(temporary, std::ios::binary | std::ios::trunc);
  stream << aText;
  stream.close();
  std::error_code error;
  if (stream) {
    fs::rename(temporary, aPath, error);
  }
  if (!stream || error) {
    std::error_code ignored;
    fs::remove(temporary, ignored);
    return LocalFailure(aPath, error ? error.message() : "cannot be written");
  }
  return {};
}

} // namespace

PushOutcome<WorkingCopy> ReadWorkingCopy(const fs::path& aPath)
{
  auto files = ReadConfigDirectory(aPath);
  if (!files) {
    return PushFailure(PushError::LocalIo, Describe(files.error()));
  }
  WorkingCopy workingCopy{ aPath, std::move(*files), std::nullopt };
  const fs::path base = aPath / kBaseFileName;
  std::error_code error;
  if (!fs::exists(base, error) && !error) {
    return workingCopy;
  }
  std::ifstream stream(base, std::ios::binary);
  std::ostringstream text;
  text << stream.rdbuf();
  auto decoded = DecodeRevision(text.str());
  if (!stream || !decoded) {
    return LocalFailure(base, decoded ? "cannot be read" : Describe(decoded.error()));
  }
  workingCopy.mBase = std::move(*decoded);
  return workingCopy;
}

PushOutcome<void> UpdateWorkingCopy(const WorkingCopy& aWorkingCopy, const FileMap& aFiles,
                                    const ConfigRevision& aBase)
{
  const auto now = ReadConfigDirectory(aWorkingCopy.mPath);
  if (!now) {
    return PushFailure(PushError::LocalIo, Describe(now.error()));
  }
  if (*now != aWorkingCopy.mFiles) {
    return PushFailure(PushError::LocalChanges,
                       "files were modified during the command; run config merge");
  }
  for (const auto& [name, text] : aWorkingCopy.mFiles) {
    if (!IsConfigFileName(name)) {
      // The directory may have been named by mistake, so none of its other files is removed.
      return LocalFailure(aWorkingCopy.mPath / name,
                          "not a \".json\" file; the directory may hold no other files");
    }
  }
  for (const FileChange& change : DiffFiles(aWorkingCopy.mFiles, aFiles)) {
    const fs::path path = aWorkingCopy.mPath / change.mFile;
    if (change.mKind == FileChangeKind::Removed) {
      std::error_code error;
      if (!fs::remove(path, error) && error) {
        return LocalFailure(path, error.message());
      }
    } else if (auto written = WriteFile(path, aFiles.at(change.mFile)); !written) {
      return written;
    }
  }
  const auto bytes = EncodeRevision(aBase);
  if (!bytes) {
    return PushFailure(PushError::InvalidStore, Describe(bytes.error()));
  }
  return WriteFile(aWorkingCopy.mPath / kBaseFileName, *bytes);
}

} // namespace balsammount::detail
