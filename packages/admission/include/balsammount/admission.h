// Admission in front of one backend server: a ranked, bounded queue with floors and caller
// fairness, a deadline check before dispatch, an adaptive concurrency limit and a shed level.
//
// Driving it: Offer() each request. After each Offer, Complete, Cancel or Set..., and when
// NextDeadline() is reached, call Poll() until it returns fewer actions than the span holds.
// Not thread safe. Allocates only in the constructor and in SetPolicy().
#pragma once

#include "balsammount/clock.h"
#include "balsammount/concurrency_limit.h"
#include "balsammount/shed_level.h"

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace balsammount {

struct AdmissionRank
{
  double mWorth = 0; // the rank of greater worth is served first; ties go to the lower index
  double mFloor = 0; // share of the server's time (0..1) that no other rank can take

  bool operator==(const AdmissionRank&) const = default;
};

struct AdmissionPolicy
{
  std::array<AdmissionRank, kMaxRanks> mRanks{};
  size_t mRankCount = 1;
  uint32_t mSlots = 50; // upper bound of the concurrency limit
  uint32_t mMinConcurrency = 2;
  uint32_t mMaxQueue = 100;
  Duration mQueueTarget = std::chrono::milliseconds(10); // standing delay that raises the level
  Duration mInitialServiceTime = std::chrono::milliseconds(10); // assumed until measured
  // Mechanisms, switched off one by one in experiments.
  bool mAdaptiveLimit = true;
  bool mFloors = true;
  bool mDeadlineCheck = true;
  bool mShedLevel = true;

  bool operator==(const AdmissionPolicy&) const = default;
};

// Non-zero; not reused while the request is known, and only after 2^32 uses of its place.
using AdmissionId = uint64_t;

struct Offer
{
  size_t mRank = 0; // index into the policy's ranks; values out of range mean the last rank
  uint64_t mCallerHash = 0;
  uint64_t mRequestHash = 0;
  SteadyTime mDeadline = SteadyTime::max();
  uint64_t mContext = 0; // returned unchanged with the actions of this request
};

// Every reason means that the request did not run.
enum class RefusalReason : uint8_t
{
  None,
  QueueFull,        // no place, and no request of less worth to displace
  Displaced,        // its place in the queue was taken by another request
  DeadlineTooClose, // it cannot finish before its deadline
  Draining,         // the backend server is leaving
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
  AdmissionId mId = 0; // 0 when refused
  RefusalReason mReason = RefusalReason::None;
  Duration mRetryAfter{}; // 0: try elsewhere at once
};

// What Poll() decided about a queued request.
struct AdmissionAction
{
  Decision mDecision = Decision::Refused; // Dispatch or Refused
  AdmissionId mId = 0;                    // no longer valid when refused
  uint64_t mContext = 0;
  RefusalReason mReason = RefusalReason::None;
  Duration mRetryAfter{};
};

enum class Outcome : uint8_t
{
  Success,    // a complete response, whatever its status
  Overloaded, // the backend server refused because of its load
  TimedOut,   // no response before the deadline
  Failed,     // connection loss or a fast failure
  Cancelled,
};

struct RankStats
{
  uint64_t mOffered = 0;
  uint64_t mDispatched = 0;
  uint64_t mRefused = 0; // includes displaced
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

  // Decides about queued requests; returns the number of actions written. Less than the size of
  // the span means that nothing is left to decide now.
  size_t Poll(std::span<AdmissionAction> aActions);

  // When Poll() must be called next even if nothing else happens; max() when never.
  SteadyTime NextDeadline() const;

  // A dispatched request has ended. Without a service time, the time since dispatch is taken.
  // False when the id is not in flight.
  bool Complete(AdmissionId aId, Outcome aOutcome, std::optional<Duration> aServiceTime = {});

  // Removes a queued request, or ends one in flight as Outcome::Cancelled. False when unknown.
  bool Cancel(AdmissionId aId);

  // Takes effect at once and keeps the queue and what runs. Requests above a smaller queue bound
  // stay; requests of a removed rank move to the last rank.
  void SetPolicy(const AdmissionPolicy& aPolicy);

  // While draining, every new request is refused; queued requests and those in flight finish.
  void SetDraining(bool aDraining) { mDraining = aDraining; }

  // While unavailable, new and queued requests are refused. The limit starts afresh afterwards.
  void SetAvailable(bool aAvailable);

  // Raises the published level to that of a service that most requests of this one call. Expires
  // after 1 s unless repeated.
  void ReportDownstreamLevel(uint32_t aLevel);

  uint32_t ShedLevel() const;
  uint32_t InFlight() const { return mInFlight; }
  uint32_t QueueLength() const { return mQueued; }
  uint32_t Limit() const;
  bool Draining() const { return mDraining; }
  // The number of ranks of less worth, for IsShed().
  uint32_t RanksBelow(size_t aRank) const;
  const AdmissionPolicy& Policy() const { return mPolicy; }
  AdmissionStats Stats() const;

private:
  static constexpr uint32_t kNone = UINT32_MAX;
  static constexpr size_t kBuckets = 64; // caller buckets of a rank

  enum class State : uint8_t
  {
    Free,
    Queued,
    InFlight,
    Refusing, // decided; Poll() has not reported it yet
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
    double mInitialTimeLeft = 0; // seconds to the deadline when offered
    SteadyTime mLatestStart{};
    SteadyTime mDispatched{};
  };

  // A list through Entry::mNext and mPrevious.
  struct List
  {
    uint32_t mHead = kNone;
    uint32_t mTail = kNone;
    uint32_t mCount = 0;
  };

  struct Rank
  {
    std::array<List, kBuckets> mBuckets{};
    std::array<uint8_t, kBuckets> mActive{}; // ring of the buckets that hold requests
    uint32_t mActiveHead = 0;
    uint32_t mActiveCount = 0;
    uint32_t mQueued = 0;
    uint32_t mReservedPlaces = 0;     // queue places that other ranks cannot take
    uint32_t mRanksBelow = 0;         // ranks of less worth
    double mFloor = 0;                // normalised: the sum over the ranks is at most 1
    double mCredit = 0;               // unpaid share of the server's time, in typical requests
    double mMeanServiceTime = 0;      // seconds, moving average
    double mServiceTimeDeviation = 0; // seconds, moving average of the absolute difference
    SteadyTime mLastDispatch{};
    RankStats mStats;
  };

  // Pool and lists.
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

  // Heap of queued requests by latest start.
  void HeapInsert(uint32_t aIndex);
  void HeapRemove(uint32_t aIndex);
  void SiftUp(size_t aPosition);
  void SiftDown(size_t aPosition);
  void HeapSet(size_t aPosition, uint32_t aIndex);

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
  std::array<uint8_t, kMaxRanks> mByWorth{}; // rank indices, greatest worth first
  ConcurrencyLimit mLimit;
  uint32_t mInFlight = 0;
  uint32_t mQueued = 0;
  double mMeanServiceTime = 0; // seconds, moving average over all ranks
  bool mDraining = false;
  bool mAvailable = true;

  uint32_t mLevel = 0;
  uint32_t mDownstreamLevel = 0;
  SteadyTime mDownstreamUntil{};
  // Recent arrivals per step of the scale, by (ranks below, cohort).
  std::array<float, kMaxRanks * kShedCohorts> mArrivals{};
  SteadyTime mIntervalStart{};
  uint32_t mIntervalOffered = 0;
  uint32_t mIntervalDispatched = 0;
  uint32_t mIntervalRefused = 0; // for lack of capacity
  uint32_t mIntervalMinQueued = 0;
  uint32_t mIntervalStartQueued = 0; // at its start
  uint32_t mIntervalsBelowTarget = 0;
};

} // namespace balsammount
