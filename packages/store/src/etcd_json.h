// The JSON messages of the store's gateway: 64-bit integers are strings, bytes are base64, and
// fields with a zero value are left out.
#pragma once

#include "balsammount/store.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace balsammount::etcd {

using Json = nlohmann::json;

// Thrown while a message is read; never leaves the adapter.
class MalformedMessage final : public std::runtime_error
{
  using std::runtime_error::runtime_error;
};

Json ParseObject(std::string_view aText);
const Json& Field(const Json& aObject, const char* aName); // an empty object when it is left out
int64_t Integer(const Json& aObject, const char* aName);
bool Boolean(const Json& aObject, const char* aName);
std::string Bytes(const Json& aObject, const char* aName);
// The text of an error answer, whatever its form.
std::string ErrorText(std::string_view aBody);

Json RangeRequest(const std::string& aKey);
Json PrefixRequest(const std::string& aPrefix);
Json PutTransaction(const std::string& aKey, Revision aExpected, const std::string& aValue,
                    LeaseId aLease);
Json DeleteTransaction(const std::string& aKey, Revision aExpected);
// Without aEnd a single key is watched, otherwise aKey <= key < aEnd.
Json WatchRequest(const std::string& aKey, const std::string& aEnd, Revision aFrom);

Revision HeaderRevision(const Json& aMessage);
// The entry of a range answer, or nothing when the key does not exist.
std::optional<StoreEntry> ParseEntry(const Json& aRangeResponse);
StoreRange ParseRange(const Json& aRangeResponse);
// The revision of a transaction that succeeded, or the conflict.
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
