// Membership of the fleet by gossip: SWIM with suspicion, indirect probes and Lifeguard's
// self-awareness, without I/O. The caller sends the datagrams that Tick and Receive return.
//
// Rules that differ from plain SWIM:
//
//  * A record is ordered by (start, incarnation, state). A restarted process has a higher start and
//    replaces every record of the older process.
//  * A claim that a member is dead is believed only by those that have suspected it for the
//    shortest suspicion. Others probe the member first and pass the claim on to it. Otherwise the
//    two sides of a healed partition would declare each other's members dead everywhere until each
//    member had refuted.
//  * A process that finds its own timers late gives up its probe and extends its suspicions by the
//    delay, because the missing answers may wait in its own socket.
//  * The highest configuration revision travels in the header of every datagram. A node's own
//    revision in force is repeated less often than other changes, because all nodes change theirs
//    at the same time.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/error.h"
#include "balsammount/random.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace balsammount {

enum class MembershipError
{
  BadEncoding = 1,
  Malformed,
  BadVersion,
  TooLarge,
  WrongCluster,
};

std::error_code make_error_code(MembershipError aError);

// IP address as text and port.
struct Endpoint
{
  std::string mAddress;
  uint16_t mPort = 0;

  bool operator==(const Endpoint&) const = default;
  bool operator<(const Endpoint& aOther) const
  {
    return std::tie(mAddress, mPort) < std::tie(aOther.mAddress, aOther.mPort);
  }
};

enum class MemberState : uint8_t
{
  Alive,
  Suspect,
  Leaving,
  Dead,
};

std::string_view ToString(MemberState aState);

struct MemberRecord
{
  std::string mId;           // printable ASCII, 1 to 64 bytes
  uint64_t mIncarnation = 0; // raised by the member to refute a claim or to change its attributes
  int64_t mStartMs = 0;      // start of the process on the wall clock; identifies the process
  Endpoint mPeer;            // UDP and TCP
  std::string mDataCentre;   // printable ASCII, up to 32 bytes
  std::string mService;      // printable ASCII, up to 64 bytes
  MemberState mState = MemberState::Alive;
  bool mLeaving = false;   // has announced that it leaves; kept when suspect or dead
  bool mAvailable = false; // its backend server takes connections
  uint64_t mRevision = 0;  // configuration revision in force

  bool operator==(const MemberRecord&) const = default;
};

inline constexpr size_t kMaxMembershipDatagram = 1200; // bytes

struct MembershipSettings
{
  std::string mCluster = "balsammount";            // datagrams of other clusters are dropped
  Duration mProbePeriod = std::chrono::seconds(1); // times 1 to 1 + mMaxHealth
  Duration mProbeTimeout = std::chrono::milliseconds(300); // before indirect probes; scales as well
  size_t mIndirectProbes = 3;
  uint32_t mMaxHealthScore = 8; // upper end of the local health score; 0 is healthy
  Duration mTimerTolerance = std::chrono::milliseconds(400); // of own timers
  // The shortest suspicion is this times max(1, log10 of the number of members) probe periods.
  double mSuspicionFactor = 5;
  double mMaxSuspicionFactor = 3;      // the longest suspicion in shortest ones
  uint32_t mRequiredConfirmations = 3; // independent ones, to come down to the shortest
  Duration mGossipInterval = std::chrono::milliseconds(200);
  size_t mGossipFanout = 3;
  double mRetransmitFactor = 4;        // times log10 of the number of members, rounded up
  uint32_t mRevisionTransmissions = 3; // of a record of which only the revision has changed
  double mGossipBytesPerSecond = 4096;
  double mGossipBurst = 24576;                      // bytes
  Duration mSyncInterval = std::chrono::seconds(2); // between chunks of the member list
  Duration mSyncCatchUpInterval = std::chrono::milliseconds(50); // between chunks while they differ
  double mSyncBytesPerSecond = 4096;
  double mSyncBurst = 40960; // bytes
  Duration mDeadProbeInterval = std::chrono::seconds(5);
  Duration mDeadRetention = std::chrono::hours(4);
  Duration mJoinInterval = std::chrono::seconds(1);
  size_t mMaxMembers = 8192; // alive ones; records of further ones are dropped
  size_t mMaxDead = 8192;
};

struct Datagram
{
  Endpoint mTo;
  std::vector<uint8_t> mBytes;
};

enum class MemberEventKind
{
  Joined,  // new, back from the dead, or restarted (higher start)
  Changed, // attributes, or no longer suspect
  Suspect,
  Dead,
  Left, // dead after it had announced to leave
};

struct MemberEvent
{
  MemberEventKind mKind{};
  MemberRecord mRecord;
};

struct SelfUpdate
{
  std::optional<bool> mAvailable;
  std::optional<uint64_t> mRevision;
};

struct RevisionHolder
{
  uint64_t mRevision = 0;
  std::optional<MemberRecord> mHolder; // a live member other than this one
};

struct MembershipStats
{
  uint64_t mProbes = 0;
  uint64_t mFailedProbes = 0;
  uint64_t mRefutations = 0;
  uint64_t mRejected = 0;       // datagrams that could not be decoded
  uint64_t mLateTimers = 0;     // pauses noticed
  uint64_t mFutureStarts = 0;   // records dropped that start over a day ahead of the wall clock
  uint64_t mDroppedRecords = 0; // records dropped at mMaxMembers or mMaxDead
  uint32_t mHealthScore = 0;    // 0 healthy to mMaxHealth
  size_t mPendingGossip = 0;    // records
};

// Not thread-safe. The caller calls Tick at NextWake or earlier, and reads NextWake again after
// every other call.
class Membership
{
public:
  // aSelf's start is set to the wall clock when it is 0.
  Membership(const Clock& aClock, Random& aRandom, MembershipSettings aSettings,
             MemberRecord aSelf);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  std::vector<Datagram> Tick();

  // aBytes may be anything. On a failure nothing has changed.
  Result<std::vector<Datagram>> Receive(const Endpoint& aFrom, std::span<const uint8_t> aBytes);

  SteadyTime NextWake() const;

  // Contacts that are not live members are asked for the member list, a few times each, and without
  // end while no other live member is known. Replaces earlier contacts.
  void Join(std::vector<Endpoint> aContacts);

  // Announces that this node leaves. It goes on answering until the process ends.
  void Leave();

  void UpdateSelf(const SelfUpdate& aUpdate);

  const MemberRecord& Self() const;

  // Members that are not dead, this node included, ordered by the hash of the id.
  std::vector<MemberRecord> Members() const;

  // Number of members that are not dead, this node included.
  size_t Count() const;

  // Null when unknown; may be dead. Valid until the next call that is not const.
  const MemberRecord* Find(std::string_view aId) const;

  std::vector<MemberEvent> TakeEvents();

  // The holder is a random one among those known to have the revision.
  RevisionHolder HighestRevision() const;

  // Whether this node ranks among the first aCount nodes of its data centre by the hash of the id.
  // Suspects keep their rank until they are dead; leaving nodes have none.
  bool IsContactCandidate(size_t aCount) const;

  // Another process with this node's id, a later start and another endpoint is in the fleet.
  bool Superseded() const;

  MembershipStats Stats() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::MembershipError> : std::true_type
{
};
