// Reading and validation of the operators' directory of JSON files.
//
// Files are merged in the order of their names, one setting at a time; null removes an entry, or a
// setting, that an earlier file made. Comments (// and /* */) are allowed.
#pragma once

#include "balsammount/config.h"

#include <filesystem>
#include <memory>

namespace balsammount {

// File name to text.
using FileMap = std::map<std::string, std::string>;

// The store holds values up to 1 MB; the lower of the two customary readings is safe.
inline constexpr size_t kMaxConfigBytes = 1'000'000;
inline constexpr size_t kMaxConfigFiles = 1'000;
// Diagnostics after these are dropped, so that a garbage file gives a bounded report.
inline constexpr size_t kMaxDiagnostics = 500;

// One fault. Line and column count from 1, columns in characters; both are 0 for a fault of the
// file as a whole, and the file is empty for a fault of the directory.
struct Diagnostic
{
  std::string mFile;
  size_t mLine = 0;
  size_t mColumn = 0;
  std::string mPath; // setting path such as "services.orders.slots"
  std::string mMessage;

  bool operator==(const Diagnostic&) const = default;
};

// "file:line:column: path: message".
std::string Describe(const Diagnostic& aDiagnostic);

struct Origin
{
  std::string mFile;
  size_t mLine = 0;
  size_t mColumn = 0;

  bool operator==(const Origin&) const = default;
};

// Setting path, as in Flatten(), to the place of its value. Settings at their default are absent.
using Origins = std::map<std::string, Origin>;

struct ConfigCheckResult
{
  std::shared_ptr<const Config> mConfig; // null when there are diagnostics
  std::vector<Diagnostic> mDiagnostics;  // ordered by file, line and column
  Origins mOrigins;
};

// Merges and validates. Never fails otherwise than by diagnostics.
ConfigCheckResult CheckFiles(const FileMap& aFiles);

// A plain name of letters, digits, '_', '-' and '.' that ends in ".json" and is not hidden; at most
// 128 bytes. Files of such names can be written to a directory without leaving it.
bool IsConfigFileName(std::string_view aName);

// Reads the files of a directory, except hidden ones. Names that CheckFiles refuses are returned as
// well, directories with a '/' at the end, so that it reports them. Errors: NotAFolder, Unreadable,
// TooLarge (more than kMaxConfigBytes in total).
Result<FileMap> ReadConfigDirectory(const std::filesystem::path& aDirectory);

} // namespace balsammount
