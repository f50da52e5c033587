// JSON messages of the etcd gateway. It encodes 64-bit integers as strings and bytes as base64, and
// omits fields with a zero value.
#pragma once

#include "balsammount/store.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace balsammount::etcd {

using Json = nlohmann::json;

// Thrown while a message is parsed. EtcdStore catches it.
class MalformedMessage final : public std::runtime_error
{
  using std::runtime_error::runtime_error;
};

Json ParseObject(std::string_view aText);

// These functions return a field, or the zero value of its type if it is omitted; Field returns an
// empty object. If the type is wrong, Boolean returns false and the others throw MalformedMessage.
const Json& Field(const Json& aObject, const char* aName);
int64_t Integer(const Json& aObject, const char* aName);
bool Boolean(const Json& aObject, const char* aName);
std::string Bytes(const Json& aObject, const char* aName);
// Returns the text of an error response, or the start of the body if the format is unknown.
std::string ErrorText(std::string_view aBody);

Json RangeRequest(const std::string& aKey);
Json PrefixRequest(const std::string& aPrefix);
Json PutTransaction(const std::string& aKey, Revision aExpected, const std::string& aValue,
                    LeaseId aLease);
Json DeleteTransaction(const std::string& aKey, Revision aExpected);
// Watches aKey if aEnd is empty, otherwise the range aKey <= key < aEnd.
Json WatchRequest(const std::string& aKey, const std::string& aEnd, Revision aFrom);

Revision HeaderRevision(const Json& aMessage);
// Returns the first entry of a range response, or nullopt if the key does not exist.
std::optional<StoreEntry> ParseEntry(const Json& aRangeResponse);
StoreRange ParseRange(const Json& aRangeResponse);
// Returns the revision of a successful transaction, or a failure with Conflict.
StoreResult<Revision> ParseTransactionResult(const Json& aMessage, const std::string& aKey);

struct WatchMessage
{
  Revision mRevision = 0;
  bool mCreated = false;
  bool mCancelled = false;
  std::vector<WatchEvent> mEvents;
};

WatchMessage ParseWatchMessage(std::string_view aLine);

} // namespace balsammount::etcd
