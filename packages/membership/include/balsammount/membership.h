// Gossip-based cluster membership: SWIM with suspicion and indirect probes, and with Lifeguard's
// local health awareness. Performs no I/O. The caller sends the datagrams that Tick and Receive
// return.
//
// Differences from plain SWIM:
//
//  * Records are ordered by (start, incarnation, state). A restarted process has a higher start, so
//    its record replaces every record of the older process.
//  * A node accepts a claim that a member is dead only if it has suspected the member for at least
//    the shortest suspicion time. Otherwise it probes the member first and forwards the claim to
//    it. Without this rule, the two sides of a healed partition would declare each other's members
//    dead everywhere until each member had refuted the claim.
//  * A process whose own timers fire late abandons its current probe and extends its suspicions by
//    the delay, because the missing responses may be waiting in its own socket.
//  * Every datagram header contains the highest known configuration revision. A change of a node's
//    active revision is gossiped less often than other changes, because all nodes change it at the
//    same time.
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
  uint64_t mIncarnation = 0; // raised by the member to refute a claim or change attributes
  int64_t mStartMs = 0;      // wall clock at the start of the process; identifies the process
  Endpoint mPeer;            // UDP and TCP
  std::string mDataCentre;   // printable ASCII, up to 32 bytes
  std::string mService;      // printable ASCII, up to 64 bytes
  MemberState mState = MemberState::Alive;
  bool mLeaving = false;   // has announced its departure; kept when suspect or dead
  bool mAvailable = false; // its backend server accepts connections
  uint64_t mRevision = 0;  // active configuration revision

  bool operator==(const MemberRecord&) const = default;
};

inline constexpr size_t kMaxMembershipDatagram = 1200; // bytes

struct MembershipSettings
{
  std::string mCluster = "balsammount"; // datagrams of other clusters are dropped
  // Both probe times are multiplied by 1 + health score. After the timeout, indirect probes follow.
  Duration mProbePeriod = std::chrono::seconds(1);
  Duration mProbeTimeout = std::chrono::milliseconds(300);
  size_t mIndirectProbes = 3;
  uint32_t mMaxHealthScore = 8; // upper limit of the local health score; 0 is healthy
  Duration mTimerTolerance = std::chrono::milliseconds(400); // a later timer counts as a pause
  // The shortest suspicion takes this many probe periods times max(1, log10 of the member count).
  double mSuspicionFactor = 5;
  double mMaxSuspicionFactor = 3;      // longest suspicion as a multiple of the shortest
  uint32_t mRequiredConfirmations = 3; // independent ones for the shortest suspicion
  Duration mGossipInterval = std::chrono::milliseconds(200);
  size_t mGossipFanout = 3;
  double mRetransmitFactor = 4;        // times log10 of (members + 1), rounded up
  uint32_t mRevisionTransmissions = 3; // of a record with only a new revision
  double mGossipBytesPerSecond = 4096;
  double mGossipBurst = 24576;                      // bytes
  Duration mSyncInterval = std::chrono::seconds(2); // between requests for ranges of the list
  Duration mSyncCatchUpInterval = std::chrono::milliseconds(50); // while ranges differ
  double mSyncBytesPerSecond = 4096;
  double mSyncBurst = 40960; // bytes
  Duration mDeadProbeInterval = std::chrono::seconds(5);
  Duration mDeadRetention = std::chrono::hours(4);
  Duration mJoinInterval = std::chrono::seconds(1);
  size_t mMaxMembers = 8192; // that are not dead; further records are dropped
  size_t mMaxDead = 8192;
};

struct Datagram
{
  Endpoint mTo;
  std::vector<uint8_t> mBytes;
};

enum class MemberEventKind
{
  Joined,  // new, alive again after dead, or restarted (higher start)
  Changed, // new attributes, or no longer suspect
  Suspect,
  Dead,
  Left, // dead after it had announced its departure
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
  uint64_t mRejected = 0;       // datagrams that failed to decode
  uint64_t mLateTimers = 0;     // detected pauses of this process
  uint64_t mFutureStarts = 0;   // records dropped for a start over a day in the future
  uint64_t mDroppedRecords = 0; // records dropped at mMaxMembers or mMaxDead
  uint32_t mHealthScore = 0;    // 0 (healthy) to mMaxHealthScore
  size_t mPendingGossip = 0;    // records
};

// Not thread-safe. Call Tick at NextWake or earlier, and read NextWake again after every other
// call.
class Membership
{
public:
  // A start of 0 in aSelf is replaced by the wall clock time.
  Membership(const Clock& aClock, Random& aRandom, MembershipSettings aSettings,
             MemberRecord aSelf);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  std::vector<Datagram> Tick();

  // Accepts untrusted input. On an error, no member record has changed.
  Result<std::vector<Datagram>> Receive(const Endpoint& aFrom, std::span<const uint8_t> aBytes);

  SteadyTime NextWake() const;

  // Requests the member list from contacts that are not live members: a few times, and indefinitely
  // while no other live member is known. Replaces earlier contacts.
  void Join(std::vector<Endpoint> aContacts);

  // Announces that this node leaves. It still responds until the process ends.
  void Leave();

  void UpdateSelf(const SelfUpdate& aUpdate);

  const MemberRecord& Self() const;

  // Members that are not dead, this node included, ordered by the hash of the id.
  std::vector<MemberRecord> Members() const;

  // Number of members that are not dead, this node included.
  size_t Count() const;

  // Null if unknown. The member may be dead. Valid until the next call of a non-const method.
  const MemberRecord* Find(std::string_view aId) const;

  std::vector<MemberEvent> TakeEvents();

  // The holder is chosen at random among the members known to have the revision.
  RevisionHolder HighestRevision() const;

  // Whether this node is among the first aCount nodes of its data centre, ordered by the hash of
  // the id. Suspects count until they are dead, leaving nodes do not.
  bool IsContactCandidate(size_t aCount) const;

  // Whether the cluster has another process with this node's id, a later start or incarnation, and
  // another endpoint.
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
