// Admission control for one backend server: a bounded priority queue with floors per rank and
// fairness among callers, a deadline check before dispatch, an adaptive concurrency limit and a
// shed level.
//
// Usage: pass each request to Offer(). After each call of Offer, Complete, Cancel or Set..., and
// when NextDeadline() is reached, call Poll() until it returns fewer actions than the span holds.
// Not thread safe. Allocates only in the constructor and in SetPolicy().
#pragma once

#include "balsammount/clock.h"
#include "balsammount/concurrency_limit.h"
#include "balsammount/shed_level.h"
#include "balsammount/slot_limit.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace balsammount {

struct AdmissionRank
{
  double mWorth = 0; // ranks of greater worth are served first; ties go to the lower index
  double mFloor = 0; // guaranteed share of the server's time, 0 to 1

  bool operator==(const AdmissionRank&) const = default;
};

struct AdmissionPolicy
{
  std::array<AdmissionRank, kMaxRanks> mRanks{};
  size_t mRankCount = 1;
  uint32_t mSlots = 50; // upper bound of the concurrency limit
  // Without the adaptive limit: leaves some slots free if that raises the throughput.
  bool mSearchSlots = false;
  uint32_t mMinConcurrency = 2;
  uint32_t mMaxQueue = 100;
  // Standing queue delay above which the shed level rises.
  Duration mQueueTarget = std::chrono::milliseconds(10);
  Duration mInitialServiceTime = std::chrono::milliseconds(10); // used until there are samples
  // Experiments disable these mechanisms one at a time.
  bool mAdaptiveLimit = true;
  bool mFloors = true;
  bool mDeadlineCheck = true;
  bool mShedLevel = true;

  bool operator==(const AdmissionPolicy&) const = default;
};

// Non-zero and unique among the requests that are queued or in flight. A value is reused only after
// its entry has been used 2^32 times.
using AdmissionId = uint64_t;

struct Offer
{
  size_t mRank = 0; // index into the policy's ranks; out-of-range values mean the last rank
  uint64_t mCallerHash = 0;
  uint64_t mRequestHash = 0;
  SteadyTime mDeadline = SteadyTime::max();
  uint64_t mContext = 0; // returned unchanged with the actions of this request
};

// A refused request has not run, whatever the reason.
enum class RefusalReason : uint8_t
{
  None,
  QueueFull,        // the queue is full and holds no request to displace
  Displaced,        // removed from the queue in favour of another request
  DeadlineTooClose, // cannot finish before its deadline
  Draining,         // the backend server is being drained
  Unavailable,      // the backend server is down
};
const char* ToString(RefusalReason aReason);

enum class Decision : uint8_t
{
  Dispatch,
  Queued,
  Refused,
};

struct AdmissionResult
{
  Decision mDecision = Decision::Refused;
  AdmissionId mId = 0; // 0 if refused
  RefusalReason mReason = RefusalReason::None;
  Duration mRetryAfter{}; // 0: may be sent to another upstream at once
};

// A decision of Poll() about a queued request.
struct AdmissionAction
{
  Decision mDecision = Decision::Refused; // Dispatch or Refused
  AdmissionId mId = 0;                    // no longer valid if refused
  uint64_t mContext = 0;
  RefusalReason mReason = RefusalReason::None;
  Duration mRetryAfter{};
};

enum class Outcome : uint8_t
{
  Success,    // complete response with any status
  Overloaded, // refused by the backend server because of overload
  TimedOut,   // no response before the deadline
  Failed,     // lost connection or immediate failure
  Cancelled,
};

struct RankStats
{
  uint64_t mOffered = 0;
  uint64_t mDispatched = 0;
  uint64_t mRefused = 0; // including displaced requests
  uint64_t mCancelled = 0;
  uint64_t mCompleted = 0;
  uint32_t mQueued = 0;
  Duration mMeanServiceTime{};
};

struct AdmissionStats
{
  std::array<RankStats, kMaxRanks> mRanks{};
  size_t mRankCount = 0;
  uint32_t mInFlight = 0;
  uint32_t mQueued = 0;
  uint32_t mLimit = 0;
  uint32_t mShedLevel = 0;
  Duration mQueueDelay{}; // estimated time to drain the queue
};

class AdmissionController
{
public:
  AdmissionController(const Clock& aClock, const AdmissionPolicy& aPolicy);

  AdmissionResult Offer(const balsammount::Offer& aOffer);

  // Dispatches or refuses queued requests and returns the number of actions written. Fewer than the
  // size of the span means that no decision is pending.
  size_t Poll(std::span<AdmissionAction> aActions);

  // Returns the time at which Poll() must be called even if nothing else happens, or max().
  SteadyTime NextDeadline() const;

  // Reports the end of a dispatched request. The service time defaults to the time since dispatch.
  // Returns false if the id is not in flight.
  bool Complete(AdmissionId aId, Outcome aOutcome, std::optional<Duration> aServiceTime = {});

  // Removes a queued request, or ends one in flight as Outcome::Cancelled. Returns false if the id
  // is unknown.
  bool Cancel(AdmissionId aId);

  // Takes effect at once; queued requests and those in flight are kept. Requests beyond a smaller
  // queue bound stay queued; requests of a removed rank move to the last rank.
  void SetPolicy(const AdmissionPolicy& aPolicy);

  // While draining, new requests are refused; queued requests and those in flight finish.
  void SetDraining(bool aDraining) { mDraining = aDraining; }

  // Refuses all queued requests; Poll() reports them.
  void RefuseAllQueued(RefusalReason aReason);

  // While unavailable, new and queued requests are refused. The concurrency limit is reset when the
  // server becomes available again.
  void SetAvailable(bool aAvailable);

  // Sets the number of requests in flight that the server does not hold. They take no slot.
  void SetLost(uint32_t aLost) { mLost = aLost; }

  // Sets the shed level of a downstream service that most requests depend on. ShedLevel() is at
  // least this level for 1 s.
  void ReportDownstreamLevel(uint32_t aLevel);

  uint32_t ShedLevel() const;
  uint32_t InFlight() const { return mInFlight; }
  uint32_t QueueLength() const { return mQueued; }
  uint32_t Limit() const;
  bool Draining() const { return mDraining; }
  // Returns the number of ranks of less worth, for IsShed().
  uint32_t RanksBelow(size_t aRank) const;
  const AdmissionPolicy& Policy() const { return mPolicy; }
  AdmissionStats Stats() const;

private:
  static constexpr uint32_t kNone = UINT32_MAX;
  static constexpr size_t kBuckets = 64; // queues per rank; callers are hashed to them

  enum class State : uint8_t
  {
    Free,
    Queued,
    InFlight,
    Refusing, // refused, but not yet reported by Poll()
  };

  struct Entry
  {
    uint32_t mNext = kNone;
    uint32_t mPrevious = kNone;
    uint32_t mGeneration = 1;
    uint32_t mHeapIndex = kNone;
    State mState = State::Free;
    RefusalReason mReason = RefusalReason::None;
    uint8_t mRank = 0;
    uint8_t mBucket = 0;
    uint64_t mContext = 0;
    SteadyTime mDeadline{};
    double mInitialTimeLeft = 0; // seconds to the deadline at Offer()
    SteadyTime mLatestStart{};
    SteadyTime mDispatched{};
  };

  // Doubly linked list through Entry::mNext and mPrevious.
  struct List
  {
    uint32_t mHead = kNone;
    uint32_t mTail = kNone;
    uint32_t mCount = 0;
  };

  struct Rank
  {
    std::array<List, kBuckets> mBuckets{};
    std::array<uint8_t, kBuckets> mActive{}; // ring of non-empty buckets
    uint32_t mActiveHead = 0;
    uint32_t mActiveCount = 0;
    uint32_t mQueued = 0;
    uint32_t mReservedPlaces = 0;     // queue positions that other ranks cannot use
    uint32_t mRanksBelow = 0;         // number of ranks of less worth
    double mFloor = 0;                // normalised to a sum of at most 1 over the ranks
    double mCredit = 0;               // floor share not yet used, in requests of mean service time
    double mMeanServiceTime = 0;      // seconds, moving average
    double mServiceTimeDeviation = 0; // seconds, moving average of the absolute deviation
    SteadyTime mLastDispatch{};
    RankStats mStats;
  };

  // Entry pool and lists.
  AdmissionId IdOf(uint32_t aIndex) const;
  uint32_t Find(AdmissionId aId) const;
  uint32_t Allocate();
  void Release(uint32_t aIndex);
  void PushBack(List& aList, uint32_t aIndex);
  void Unlink(List& aList, uint32_t aIndex);

  // Queue.
  void Enqueue(uint32_t aIndex);
  void Dequeue(uint32_t aIndex);
  void DeactivateBucket(Rank& aRank, uint8_t aBucket);
  uint32_t NextRequest(Rank& aRank) const;
  uint32_t FindVictim(size_t aRank, uint8_t aBucket) const;
  bool MakeRoom(size_t aRank, uint8_t aBucket);
  void RefuseQueued(uint32_t aIndex, RefusalReason aReason);
  void RefuseExpired(SteadyTime aNow);
  size_t NextRank() const;

  // Min-heap of queued requests by latest start.
  void HeapInsert(uint32_t aIndex);
  void HeapRemove(uint32_t aIndex);
  void SiftUp(size_t aPosition);
  void SiftDown(size_t aPosition);
  void HeapSet(size_t aPosition, uint32_t aIndex);

  // Requests in flight that take a slot of the server.
  uint32_t InSlots() const { return mInFlight > mLost ? mInFlight - mLost : 0; }

  // Estimates, in seconds.
  bool CanFinish(const Rank& aRank, SteadyTime aNow, double aRequired, SteadyTime aDeadline) const;
  static double RequiredTime(const Rank& aRank, double aInitialTimeLeft);
  double RelativeCost(const Rank& aRank) const;
  double SecondsPerDispatch() const;
  double QueueWait(size_t aRank) const;
  Duration RetryAfter(size_t aRank) const;

  void ApplyPolicy(SteadyTime aNow);
  void StartDispatch(uint32_t aIndex, SteadyTime aNow);
  void End(uint32_t aIndex, Outcome aOutcome, std::optional<Duration> aServiceTime);
  AdmissionResult Refuse(size_t aRank, RefusalReason aReason);
  void CountRefusal(size_t aRank, RefusalReason aReason);
  AdmissionAction MakeAction(uint32_t aIndex);

  // Shed level.
  Duration LevelInterval() const;
  void UpdateLevel(SteadyTime aNow);
  void RaiseLevel(double aShare);
  void LowerLevel();

  const Clock& mClock;
  AdmissionPolicy mPolicy;
  std::vector<Entry> mEntries;
  std::vector<uint32_t> mHeap;
  size_t mHeapSize = 0;
  List mFree;
  List mRefusing;
  std::array<Rank, kMaxRanks> mRanks{};
  std::array<uint8_t, kMaxRanks> mByWorth{}; // rank indices in descending order of worth
  ConcurrencyLimit mLimit;
  SlotLimit mSlotLimit;
  uint32_t mInFlight = 0;
  uint32_t mLost = 0;
  uint32_t mQueued = 0;
  double mMeanServiceTime = 0; // seconds, moving average over all ranks
  bool mDraining = false;
  bool mAvailable = true;

  uint32_t mLevel = 0;
  uint32_t mDownstreamLevel = 0;
  SteadyTime mDownstreamUntil{};
  // Decaying arrival counts per step of the shed scale, indexed by ranks below and cohort.
  std::array<float, kMaxRanks * kShedCohorts> mArrivals{};
  SteadyTime mIntervalStart{};
  uint32_t mIntervalOffered = 0;
  uint32_t mIntervalDispatched = 0;
  uint32_t mIntervalRefused = 0; // for capacity reasons only
  uint32_t mIntervalMinQueued = 0;
  uint32_t mIntervalStartQueued = 0; // queue length at its start
  uint32_t mIntervalsBelowTarget = 0;
};

} // namespace balsammount
