#include "balsammount/ownership.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace std::chrono_literals;

namespace {

OwnershipTable SampleTable()
{
  const NodeIdentity a{ "a", 1 };
  const NodeIdentity b{ "b", 7 };
  const NodeIdentity c{ "c", 2 };
  return {
    "orders", 5, { { a, 3, 0 }, { b, 5, 99 }, { {}, 4, 0 } }, { a, b, c }, { { 4, { a } } }
  };
}

std::vector<OwnershipBody> SampleBodies()
{
  const auto table = std::make_shared<const OwnershipTable>(SampleTable());
  const auto response = std::make_shared<const RecordedResponse>(
    RecordedResponse{ 201, { { "x-id", "\xff" } }, std::string("a\0b", 3) });
  return { ConfirmRequest{ 3, 4, true },
           ConfirmResponse{ 3, ConfirmOutcome::Stale, 5, table },
           ReleaseRequest{ 5 },
           ReleaseResponse{ 6 },
           HandoverChunk{ 99,
                          1,
                          2,
                          true,
                          ShardCutoff{ WallTime(5s), 7ms },
                          { { "caller", "key", 1, KeyState::Completed, response, 9ms },
                            { "caller", "\xfe", 2, KeyState::Unknown, nullptr, 8ms } } },
           HandoverResponse{ 99, 1, 2, true },
           TableRequest{ 4 },
           TableResponse{ table } };
}

OwnershipMessage Message(OwnershipBody aBody)
{
  return { "orders", { "a", 1 }, 2, std::move(aBody) };
}

std::error_code TableError(std::string_view aText)
{
  return DecodeTable(aText).error().mCode;
}

} // namespace

TEST_GROUP(OwnershipTable){};

// Guards against a table that changes when it is encoded and decoded.
TEST(OwnershipTable, RoundTrip)
{
  const std::string text = EncodeTable(SampleTable()).value();
  CHECK(DecodeTable(text).value() == SampleTable());
}

// Guards against a corrupted or unrelated value that is decoded as a table.
TEST(OwnershipTable, ReportsTypedErrors)
{
  const std::string text = EncodeTable(SampleTable()).value();
  for (size_t length = 0; length < text.size(); ++length) {
    CHECK(TableError(text.substr(0, length)) == OwnershipError::Malformed);
  }
  const auto replaced = [&](std::string_view aOld, std::string_view aNew) {
    std::string changed = text;
    const size_t at = changed.find(aOld);
    CHECK(at != std::string::npos);
    return changed.replace(at, aOld.size(), aNew);
  };
  CHECK(TableError(replaced("\"format\":1", "\"format\":2")) == OwnershipError::UnsupportedFormat);
  CHECK(TableError(replaced("\"version\":5", "\"version\":2")) == OwnershipError::Malformed);
  CHECK(TableError(replaced("[\"b\",7]", "[\"b\",-7]")) == OwnershipError::Malformed);
  // A node with two votes could complete a majority that does not exist.
  CHECK(TableError(replaced("[\"b\",7]", "[\"a\",7]")) == OwnershipError::Malformed);
  CHECK(TableError(std::string(kMaxTableBytes + 1, ' ')) == OwnershipError::TooLarge);
  OwnershipTable table = SampleTable();
  table.mService.assign(kMaxTableBytes, 'x');
  CHECK(EncodeTable(table).error().mCode == OwnershipError::TooLarge);
}

TEST_GROUP(OwnershipMessage){};

// Guards against lost or swapped fields, the rejection of keys that are not UTF-8, and the
// acceptance of truncated messages.
TEST(OwnershipMessage, RoundTripAndTruncation)
{
  for (const OwnershipBody& body : SampleBodies()) {
    const std::string bytes = EncodeMessage(Message(body)).value();
    const OwnershipMessage decoded = DecodeMessage(bytes).value();
    CHECK(decoded.mBody.index() == body.index());
    CHECK(decoded.mFrom == (NodeIdentity{ "a", 1 }));
    LONGS_EQUAL(2, decoded.mToIncarnation);
    CHECK(EncodeMessage(decoded).value() == bytes);
    for (size_t length = 0; length < bytes.size(); ++length) {
      CHECK(DecodeMessage(bytes.substr(0, length)).error().mCode == OwnershipError::Malformed);
    }
  }
  const auto bytes = EncodeMessage(Message(SampleBodies()[4])).value();
  const auto message = DecodeMessage(bytes).value();
  const auto& chunk = std::get<HandoverChunk>(message.mBody);
  CHECK(*chunk.mRecords[0].mResponse ==
        (RecordedResponse{ 201, { { "x-id", "\xff" } }, std::string("a\0b", 3) }));
  CHECK(chunk.mCutoff == (ShardCutoff{ WallTime(5s), 7ms }));
}

// Guards against a crash or hang on corrupted bytes from a peer.
TEST(OwnershipMessage, HandlesCorruptedBytes)
{
  Random random(1);
  for (const OwnershipBody& body : SampleBodies()) {
    const std::string bytes = EncodeMessage(Message(body)).value();
    for (int i = 0; i < 500; ++i) {
      std::string corrupted = bytes;
      for (uint64_t j = 0; j <= random.Below(3); ++j) {
        corrupted[random.Below(corrupted.size())] = static_cast<char>(random.Below(256));
      }
      if (auto decoded = DecodeMessage(corrupted); decoded.has_value()) {
        CHECK(EncodeMessage(*decoded).has_value());
      }
    }
  }
  // Deeply nested arrays would exhaust the stack of a recursive parser.
  CHECK(DecodeMessage(std::string(kMaxMessageBytes, '\x91')).error().mCode ==
        OwnershipError::Malformed);
  CHECK(DecodeMessage(std::string(kMaxMessageBytes + 1, '\x91')).error().mCode ==
        OwnershipError::TooLarge);
  // The header of an array with 2^32 - 1 elements.
  CHECK(DecodeMessage("\xdd\xff\xff\xff\xff").error().mCode == OwnershipError::Malformed);
}

TEST_GROUP(OwnershipPolicy){};

// Guards against a takeover wait that is too short when one clock is 5% fast and another 5% slow.
TEST(OwnershipPolicy, WaitCoversClockDrift)
{
  CHECK(OwnershipPolicy().mClockFactor / 1.05 > 1 / 0.95);
}
