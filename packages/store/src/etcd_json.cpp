#include "etcd_json.h"

#include "balsammount/base64.h"

#include <charconv>

namespace balsammount::etcd {

namespace {
const Json kEmptyObject = Json::object();
}

Json ParseObject(std::string_view aText)
{
  Json message = Json::parse(aText, nullptr, false);
  if (!message.is_object()) {
    throw MalformedMessage("not a JSON object");
  }
  return message;
}

const Json& Field(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return kEmptyObject;
  }
  if (!found->is_object()) {
    throw MalformedMessage(std::string(aName) + " is not an object");
  }
  return *found;
}

int64_t Integer(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return 0;
  }
  if (found->is_number_integer()) {
    return found->get<int64_t>();
  }
  int64_t value = 0;
  if (const auto* text = found->get_ptr<const std::string*>()) {
    const char* end = text->data() + text->size();
    const auto [rest, error] = std::from_chars(text->data(), end, value);
    if (error == std::errc() && rest == end) {
      return value;
    }
  }
  throw MalformedMessage(std::string(aName) + " is not an integer");
}

bool Boolean(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  return found != aObject.end() && found->is_boolean() && found->get<bool>();
}

std::string Bytes(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return {};
  }
  if (const auto* text = found->get_ptr<const std::string*>()) {
    if (auto bytes = DecodeBase64(*text)) {
      return std::move(*bytes);
    }
  }
  throw MalformedMessage(std::string(aName) + " is not base64");
}

std::string ErrorText(std::string_view aBody)
{
  const Json message = Json::parse(aBody, nullptr, false);
  if (!message.is_object() || !message.contains("error")) {
    return std::string(aBody.substr(0, 200));
  }
  const Json& error = message["error"];
  const Json& container = error.is_object() ? error : message;
  const auto text = container.find(error.is_object() ? "message" : "error");
  return text != container.end() && text->is_string() ? text->get<std::string>()
                                                      : std::string(aBody.substr(0, 200));
}

Json RangeRequest(const std::string& aKey)
{
  return { { "key", EncodeBase64(aKey) } };
}

Json PrefixRequest(const std::string& aPrefix)
{
  return { { "key", EncodeBase64(aPrefix) }, { "range_end", EncodeBase64(PrefixEnd(aPrefix)) } };
}

namespace {

Json Transaction(const std::string& aKey, Revision aExpected, Json aOperation)
{
  const std::string key = EncodeBase64(aKey);
  return { { "compare", Json::array({ { { "key", key },
                                        { "target", "MOD" },
                                        { "result", "EQUAL" },
                                        { "mod_revision", std::to_string(aExpected) } } }) },
           { "success", Json::array({ std::move(aOperation) }) },
           { "failure", Json::array({ { { "request_range", { { "key", key } } } } }) } };
}

} // namespace

Json PutTransaction(const std::string& aKey, Revision aExpected, const std::string& aValue,
                    LeaseId aLease)
{
  Json put = { { "key", EncodeBase64(aKey) }, { "value", EncodeBase64(aValue) } };
  if (aLease != kNoLease) {
    put["lease"] = std::to_string(aLease);
  }
  return Transaction(aKey, aExpected, { { "request_put", std::move(put) } });
}

Json DeleteTransaction(const std::string& aKey, Revision aExpected)
{
  return Transaction(aKey, aExpected,
                     { { "request_delete_range", { { "key", EncodeBase64(aKey) } } } });
}

Json WatchRequest(const std::string& aKey, const std::string& aEnd, Revision aFrom)
{
  Json create = { { "key", EncodeBase64(aKey) }, { "progress_notify", true } };
  if (!aEnd.empty()) {
    create["range_end"] = EncodeBase64(aEnd);
  }
  if (aFrom > 0) {
    create["start_revision"] = std::to_string(aFrom);
  }
  return { { "create_request", std::move(create) } };
}

Revision HeaderRevision(const Json& aMessage)
{
  const Revision revision = Integer(Field(aMessage, "header"), "revision");
  if (revision <= 0) {
    throw MalformedMessage("response without a revision");
  }
  return revision;
}

StoreRange ParseRange(const Json& aRangeResponse)
{
  StoreRange range;
  range.mRevision = HeaderRevision(aRangeResponse);
  const auto entries = aRangeResponse.find("kvs");
  if (entries == aRangeResponse.end()) {
    return range;
  }
  if (!entries->is_array()) {
    throw MalformedMessage("kvs is not an array of objects");
  }
  for (const Json& entry : *entries) {
    if (!entry.is_object()) {
      throw MalformedMessage("kvs is not an array of objects");
    }
    StoreItem item{ Bytes(entry, "key"),
                    { Bytes(entry, "value"), Integer(entry, "mod_revision"),
                      Integer(entry, "lease") } };
    if (item.mEntry.mModRevision <= 0) {
      throw MalformedMessage("entry without a mod revision");
    }
    range.mItems.push_back(std::move(item));
  }
  return range;
}

std::optional<StoreEntry> ParseEntry(const Json& aRangeResponse)
{
  const auto entries = aRangeResponse.find("kvs");
  if (entries == aRangeResponse.end() || entries->empty()) {
    return std::nullopt;
  }
  if (!entries->is_array() || !entries->front().is_object()) {
    throw MalformedMessage("kvs is not an array of objects");
  }
  const Json& entry = entries->front();
  StoreEntry result{ Bytes(entry, "value"), Integer(entry, "mod_revision"),
                     Integer(entry, "lease") };
  if (result.mModRevision <= 0) {
    throw MalformedMessage("entry without a mod revision");
  }
  return result;
}

StoreResult<Revision> ParseTransactionResult(const Json& aMessage, const std::string& aKey)
{
  const Revision revision = HeaderRevision(aMessage);
  if (Boolean(aMessage, "succeeded")) {
    return revision;
  }
  const auto responses = aMessage.find("responses");
  if (responses == aMessage.end() || !responses->is_array() || responses->size() != 1 ||
      !responses->front().is_object()) {
    throw MalformedMessage("failed transaction without the current entry");
  }
  return StoreFailure(StoreError::Conflict, aKey,
                      ParseEntry(Field(responses->front(), "response_range")));
}

WatchMessage ParseWatchMessage(std::string_view aLine)
{
  const Json message = ParseObject(aLine);
  if (message.contains("error")) {
    throw MalformedMessage(ErrorText(aLine));
  }
  const Json& result = Field(message, "result");
  WatchMessage parsed;
  parsed.mRevision = HeaderRevision(result);
  parsed.mCreated = Boolean(result, "created");
  parsed.mCancelled = Boolean(result, "canceled");
  const auto events = result.find("events");
  if (events == result.end()) {
    return parsed;
  }
  for (const Json& event : *events) {
    const Json& entry = Field(event, "kv");
    const bool isDelete = event.value("type", Json("PUT")) == "DELETE";
    const Revision revision = Integer(entry, "mod_revision");
    if (revision <= 0) {
      throw MalformedMessage("event without a mod revision");
    }
    parsed.mEvents.push_back({ isDelete ? std::nullopt : std::optional(Bytes(entry, "value")),
                               revision, Bytes(entry, "key") });
  }
  return parsed;
}

} // namespace balsammount::etcd
