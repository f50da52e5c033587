// The state that a node publishes about itself and its backend server.
#pragma once

#include "balsammount/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsammount {

enum class DirectoryError
{
  Malformed = 1,
  MissingField,
  WrongType,
  BadValue,
};

std::error_code make_error_code(DirectoryError aError);

struct NodeRecord
{
  std::string mNodeId;
  uint64_t mStarted = 0;  // when the node's process started, wall clock in ms
  uint64_t mSequence = 0; // grows with each record of the process
  std::string mAddress;   // of the listener for other nodes
  uint16_t mPort = 0;
  std::string mService;
  std::string mDataCentre;
  std::string mServerId;         // of the backend server; empty when none has registered
  uint64_t mServerStarted = 0;   // wall clock in ms; the latest start that has left, if any has
  uint64_t mServerWarmUntil = 0; // end of the server's warm-up, wall clock in ms
  bool mServing = false;         // accepts new calls
  bool mServerLeft = false;      // the backend server has announced its shutdown
  bool mLeaving = false;         // the node is shutting down

  bool operator==(const NodeRecord&) const = default;

  bool IsNewerThan(const NodeRecord& aOther) const
  {
    return mStarted != aOther.mStarted ? mStarted > aOther.mStarted : mSequence > aOther.mSequence;
  }
};

// Encodes as JSON. Decoding ignores unknown fields; a failure names the field.
std::string EncodeNodeRecord(const NodeRecord& aRecord);
Result<NodeRecord> DecodeNodeRecord(std::string_view aText);
// A JSON array of records. Decoding skips malformed records and adds their number to aSkipped.
std::string EncodeNodeRecords(const std::vector<NodeRecord>& aRecords);
Result<std::vector<NodeRecord>> DecodeNodeRecords(std::string_view aText, size_t& aSkipped);

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::DirectoryError> : std::true_type
{
};
