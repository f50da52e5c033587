#include "virtual_network.h"
#include "wire.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;
using namespace balsammount::detail;
using namespace balsammount::testing;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t kCluster = 7;

std::vector<Message> SampleMessages()
{
  std::vector<Message> samples;
  for (uint64_t type = 1; type <= 7; ++type) {
    Message message;
    message.mType = static_cast<MessageType>(type);
    message.mSequence = type << 40U;
    message.mFrom = "shop-1";
    message.mRevision = UINT64_MAX;
    message.mHolder = type % 2 == 0 ? "" : "shop-2";
    samples.push_back(message);
  }
  samples[0].mTarget = "shop-3";
  samples[1].mTarget = "shop-3";
  samples[1].mTargetEndpoint = { "fd00::1", 65535 };
  samples[5].mHigh = UINT64_MAX;
  samples[5].mDigest = { { 1, 2 }, { UINT64_MAX, UINT32_MAX } };
  samples[6].mThrough = 5;
  samples[6].mRequested = { 0, UINT64_MAX };
  for (uint64_t i = 0; i < 6; ++i) {
    RecordUpdate update;
    update.mRecord = VirtualNetwork::RecordOf(i);
    update.mRecord.mStartMs = 1'700'000'000'000;
    update.mRecord.mIncarnation = uint64_t{ 1 } << (8 * i);
    update.mRecord.mLeaving = i >= 3;
    update.mRecord.mState = i % 3 == 0   ? (i >= 3 ? MemberState::Leaving : MemberState::Alive)
                            : i % 3 == 1 ? MemberState::Suspect
                                         : MemberState::Dead;
    update.mReporter = i % 3 == 1 ? UINT32_MAX : 0;
    update.mDeadAtMs = i % 3 == 2 ? 1'700'000'000'001 : 0;
    samples[i].mRecords.push_back(update);
    RecordUpdate shortUpdate;
    shortUpdate.mIdHash = UINT64_MAX - i;
    shortUpdate.mRecord.mStartMs = UINT32_MAX;
    shortUpdate.mRecord.mRevision = i << 30U;
    shortUpdate.mRecord.mState = update.mRecord.mState;
    shortUpdate.mRecord.mLeaving = update.mRecord.mLeaving;
    shortUpdate.mReporter = update.mReporter;
    shortUpdate.mDeadAtMs = update.mDeadAtMs;
    samples[4].mRecords.push_back(shortUpdate);
    samples[4].mRecords.push_back(update);
  }
  return samples;
}

} // namespace

TEST_GROUP(Wire){};

TEST(Wire, MessagesRoundTrip)
{
  for (const Message& sample : SampleMessages()) {
    const auto decoded = Decode(Encode(sample, kCluster), kCluster);
    CHECK(decoded.has_value());
    CHECK(*decoded == sample);
  }
}

// Guards against a size that is too small, with which a datagram would exceed its limit.
TEST(Wire, EncodedSizeIsExact)
{
  const auto samples = SampleMessages();
  for (const RecordUpdate& update : samples[4].mRecords) {
    Message message;
    message.mFrom = "a";
    const size_t empty = Encode(message, kCluster).size();
    message.mRecords.push_back(update);
    CHECK_EQUAL(Encode(message, kCluster).size() - empty, EncodedSize(update));
  }
}

TEST(Wire, DecodingErrorsAreSpecific)
{
  const auto bytes = Encode(SampleMessages()[0], kCluster);
  const auto errorOf = [](std::span<const uint8_t> aBytes, uint32_t aCluster) {
    return Decode(aBytes, aCluster).error().mCode;
  };
  CHECK(errorOf(bytes, kCluster + 1) == MembershipError::WrongCluster);
  CHECK(errorOf(std::span(bytes).first(bytes.size() - 1), kCluster) ==
        MembershipError::BadEncoding);
  CHECK(errorOf({}, kCluster) == MembershipError::BadEncoding);
  CHECK(errorOf(std::vector<uint8_t>(1201, 0x90), kCluster) == MembershipError::TooLarge);
  CHECK(errorOf(std::vector<uint8_t>{ 0x90 }, kCluster) == MembershipError::Malformed);
  CHECK(errorOf(std::vector<uint8_t>{ 0x91, 0x02 }, kCluster) == MembershipError::BadVersion);
  Message message = SampleMessages()[0];
  message.mFrom = "line\nbreak";
  CHECK(errorOf(Encode(message, kCluster), kCluster) == MembershipError::Malformed);
}

// Guards against mutated datagrams that crash the decoder or the core, and against accepted
// messages that do not survive a round trip.
TEST(Wire, MutatedDatagramsAreHandled)
{
  Random random(42);
  const auto samples = SampleMessages();
  VirtualNetwork net(1);
  net.StartAll(4);
  net.Run(5s);
  const uint32_t cluster = ClusterHash("balsammount");
  size_t accepted = 0;
  for (int round = 0; round < 100'000; ++round) {
    auto bytes = Encode(samples[random.Below(samples.size())], cluster);
    for (uint64_t changes = 1 + random.Below(4); changes > 0 && !bytes.empty(); --changes) {
      const size_t offset = random.Below(bytes.size());
      switch (random.Below(4)) {
        case 0:
          bytes[offset] = static_cast<uint8_t>(random.Next());
          break;
        case 1:
          bytes[offset] ^= static_cast<uint8_t>(1U << random.Below(8));
          break;
        case 2:
          bytes.resize(offset);
          break;
        default:
          bytes.insert(bytes.begin() + static_cast<ptrdiff_t>(offset),
                       static_cast<uint8_t>(random.Next()));
      }
    }
    const auto decoded = Decode(bytes, cluster);
    if (decoded.has_value()) {
      ++accepted;
      const auto reencoded = Decode(Encode(*decoded, cluster), cluster);
      CHECK(reencoded.has_value() && *reencoded == *decoded);
    }
    const auto result = net.Core(0).Receive(VirtualNetwork::EndpointOf(1), bytes);
    CHECK_EQUAL(decoded.has_value(), result.has_value());
    if (result.has_value()) {
      for (const Datagram& datagram : *result) {
        CHECK(datagram.mBytes.size() <= kMaxMembershipDatagram);
      }
    }
  }
  CHECK(accepted > 1000);
}

TEST(Wire, RandomBytesAreRejected)
{
  Random random(7);
  for (int round = 0; round < 50'000; ++round) {
    std::vector<uint8_t> bytes(random.Below(1300));
    for (uint8_t& byte : bytes) {
      byte = static_cast<uint8_t>(random.Next());
    }
    CHECK(Decode(bytes, kCluster).has_error());
  }
  // The deepest nesting and the largest array length that a datagram can contain.
  CHECK(Decode(std::vector<uint8_t>(1200, 0x91), kCluster).has_error());
  CHECK(Decode(std::vector<uint8_t>{ 0xdd, 0xff, 0xff, 0xff, 0xff }, kCluster).has_error());
}
