// Reads and validates the operators' directory of JSON configuration files.
//
// Files are merged in the order of their names, one setting at a time; null removes an entry, or a
// setting, that an earlier file defined. Comments (// and /* */) are allowed.
#pragma once

#include "balsammount/config.h"

#include <filesystem>
#include <memory>

namespace balsammount {

// Maps file names to contents.
using FileMap = std::map<std::string, std::string>;

// The store accepts values of up to 1 MB, which may mean 10^6 or 2^20 bytes; the smaller is safe.
inline constexpr size_t kMaxConfigBytes = 1'000'000;
inline constexpr size_t kMaxConfigFiles = 1'000;
// Further diagnostics are dropped, so that the report on an invalid file is bounded.
inline constexpr size_t kMaxDiagnostics = 500;

// An error in the configuration. Line and column start at 1, and columns count characters. Both are
// 0 for an error that concerns the whole file; the file name is empty if it concerns the directory.
struct Diagnostic
{
  std::string mFile;
  size_t mLine = 0;
  size_t mColumn = 0;
  std::string mPath; // setting path such as "services.orders.slots"
  std::string mMessage;

  bool operator==(const Diagnostic&) const = default;
};

// Returns "file:line:column: path: message".
std::string Describe(const Diagnostic& aDiagnostic);

struct Origin
{
  std::string mFile;
  size_t mLine = 0;
  size_t mColumn = 0;

  bool operator==(const Origin&) const = default;
};

// Maps setting paths, as in Flatten(), to the locations of their values. Settings that have their
// default are absent.
using Origins = std::map<std::string, Origin>;

struct ConfigCheckResult
{
  std::shared_ptr<const Config> mConfig; // null when there are diagnostics
  std::vector<Diagnostic> mDiagnostics;  // ordered by file, line and column
  Origins mOrigins;
};

// Merges and validates the files. Reports every error as a diagnostic.
ConfigCheckResult CheckFiles(const FileMap& aFiles);

// Returns true for a name of letters, digits, '_', '-' and '.' that ends in ".json", does not start
// with '.' and has at most 128 bytes. Such a name is safe to create inside a directory.
bool IsConfigFileName(std::string_view aName);

// Reads the files of a directory, except hidden ones. The result includes names that CheckFiles
// rejects, so that it reports them; subdirectories end with '/'. Errors: NotADirectory, Unreadable,
// TooLarge (more than kMaxConfigBytes in total, or more than kMaxConfigFiles).
Result<FileMap> ReadConfigDirectory(const std::filesystem::path& aDirectory);

} // namespace balsammount
