#include "balsammount/admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace balsammount {

namespace {

// Additional entries for refusals that Poll() has not reported yet.
constexpr size_t kSpareEntries = 64;
// Weight of a new sample in the moving averages of service time and deviation.
constexpr double kSampleWeight = 1.0 / 16;
// Bounds of the cost of a dispatch: the rank's service time relative to the mean of all ranks.
constexpr double kMinRelativeCost = 1.0 / 16;
constexpr double kMaxRelativeCost = 16;
// Margin above the mean service time, in mean absolute deviations. Two of them reach the maximum of
// a uniform distribution and the 91st percentile of an exponential one.
constexpr double kDeviationMargin = 2;
constexpr double kMaxRequiredShare = 0.8;
// A rank whose mean service time exceeds every deadline may dispatch one request per period.
// Otherwise the estimate could never be corrected.
constexpr auto kProbePeriod = std::chrono::seconds(1);
constexpr auto kMinRetryAfter = std::chrono::milliseconds(10);
constexpr auto kMaxRetryAfter = std::chrono::seconds(5);

// Bounds of the interval between changes of the shed level. It is the mean service time, because a
// change takes that long to have an effect.
constexpr Duration kMinLevelInterval = std::chrono::milliseconds(50);
constexpr Duration kMaxLevelInterval = std::chrono::seconds(1);
constexpr auto kDownstreamValidity = std::chrono::seconds(1);
// Refusing one request in twenty keeps the queue from running empty while the callers react to the
// shed level. A refusal costs far less than an idle slot.
constexpr double kTargetRefusalRatio = 0.05;
// Share of the arrivals that one raise of the level sheds.
constexpr double kMinRaise = 0.01;
constexpr double kMaxRaise = 0.3;
// Share of the dispatched requests that one lowering restores; it grows while the level falls.
constexpr double kMinLower = 0.05;
constexpr double kMaxLower = 0.25;
constexpr double kLowerGrowth = 1.5;
// One lowering passes over at most a quarter of a rank, even if no arrivals are known for those
// steps of the scale.
constexpr uint32_t kMaxLowerSteps = kShedCohorts / 4;
constexpr float kArrivalDecay = 0.8F;
constexpr float kShedArrivalDecay = 0.99F;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

bool IsCapacityRefusal(RefusalReason aReason)
{
  return aReason == RefusalReason::QueueFull || aReason == RefusalReason::Displaced ||
         aReason == RefusalReason::DeadlineTooClose;
}

} // namespace

const char* ToString(RefusalReason aReason)
{
  static constexpr std::array<const char*, 6> kNames = { "none",     "queue-full", "displaced",
                                                         "deadline", "draining",   "unavailable" };
  return kNames[static_cast<size_t>(aReason)];
}

AdmissionController::AdmissionController(const Clock& aClock, const AdmissionPolicy& aPolicy)
  : mClock(aClock)
  , mPolicy(aPolicy)
  , mLimit(aPolicy.mMinConcurrency, aPolicy.mSlots, aClock.Now())
  , mSlotLimit(aPolicy.mSlots)
  , mIntervalStart(aClock.Now())
{
  ApplyPolicy(aClock.Now());
}

void AdmissionController::SetPolicy(const AdmissionPolicy& aPolicy)
{
  mPolicy = aPolicy;
  mLimit.SetBounds(aPolicy.mMinConcurrency, aPolicy.mSlots);
  mSlotLimit.SetSlots(aPolicy.mSlots);
  ApplyPolicy(mClock.Now());
}

void AdmissionController::ApplyPolicy(SteadyTime aNow)
{
  mPolicy.mRankCount = std::clamp<size_t>(mPolicy.mRankCount, 1, kMaxRanks);
  const size_t count = mPolicy.mRankCount;
  const auto ranks = std::span(mPolicy.mRanks).first(count);

  // Requests that the server does not hold take an entry, but no slot.
  const size_t wantedEntries = 2 * size_t{ mPolicy.mSlots } + mPolicy.mMaxQueue + kSpareEntries;
  const size_t old = mEntries.size();
  if (wantedEntries > old) {
    mEntries.resize(wantedEntries);
    mHeap.resize(wantedEntries, kNone);
    for (size_t i = old; i < wantedEntries; ++i) {
      PushBack(mFree, static_cast<uint32_t>(i));
    }
  }

  const auto byWorth = std::span(mByWorth).first(count);
  std::iota(byWorth.begin(), byWorth.end(), uint8_t{ 0 });
  // Insertion sort: stable and without the buffer that std::stable_sort allocates.
  for (size_t i = 1; i < count; ++i) {
    for (size_t j = i; j > 0 && ranks[byWorth[j]].mWorth > ranks[byWorth[j - 1]].mWorth; --j) {
      std::swap(byWorth[j], byWorth[j - 1]);
    }
  }
  double sum = 0;
  for (const AdmissionRank& rank : ranks) {
    sum += std::max(0.0, rank.mFloor);
  }
  const double scale = !mPolicy.mFloors ? 0 : (sum > 1 ? 1 / sum : 1);
  for (size_t i = 0; i < count; ++i) {
    Rank& rank = mRanks[byWorth[i]];
    rank.mRanksBelow = static_cast<uint32_t>(count - 1 - i);
    rank.mFloor = std::max(0.0, ranks[byWorth[i]].mFloor) * scale;
    rank.mReservedPlaces = static_cast<uint32_t>(rank.mFloor * mPolicy.mMaxQueue);
    rank.mCredit = std::min(rank.mCredit, rank.mFloor * mPolicy.mSlots + kMaxRelativeCost);
    if (rank.mMeanServiceTime == 0) {
      rank.mMeanServiceTime = Seconds(mPolicy.mInitialServiceTime);
    }
  }
  if (mMeanServiceTime == 0) {
    mMeanServiceTime = Seconds(mPolicy.mInitialServiceTime);
  }

  // Requests of removed ranks move to the last rank.
  for (uint32_t index = 0; index < mEntries.size(); ++index) {
    Entry& entry = mEntries[index];
    if (entry.mState == State::Free || entry.mRank < count) {
      continue;
    }
    const bool queued = entry.mState == State::Queued;
    if (queued) {
      Dequeue(index);
    }
    entry.mRank = static_cast<uint8_t>(count - 1);
    if (queued) {
      Enqueue(index);
    }
  }
  mLevel = std::min(mLevel, static_cast<uint32_t>(count) * kShedCohorts - 1);
  mIntervalStart = aNow;
}

void AdmissionController::SetAvailable(bool aAvailable)
{
  if (aAvailable == mAvailable) {
    return;
  }
  mAvailable = aAvailable;
  if (aAvailable) {
    mLimit.Reset(mClock.Now());
    return;
  }
  RefuseAllQueued(RefusalReason::Unavailable);
}

void AdmissionController::RefuseAllQueued(RefusalReason aReason)
{
  while (mHeapSize > 0) {
    RefuseQueued(mHeap[0], aReason);
  }
}

uint32_t AdmissionController::Limit() const
{
  if (mPolicy.mAdaptiveLimit) {
    return mLimit.Limit();
  }
  return std::max(1U, mPolicy.mSearchSlots ? mSlotLimit.Limit() : mPolicy.mSlots);
}

uint32_t AdmissionController::RanksBelow(size_t aRank) const
{
  return mRanks[std::min(aRank, mPolicy.mRankCount - 1)].mRanksBelow;
}

// Entry pool and lists.

AdmissionId AdmissionController::IdOf(uint32_t aIndex) const
{
  return uint64_t{ mEntries[aIndex].mGeneration } << 32 | aIndex;
}

uint32_t AdmissionController::Find(AdmissionId aId) const
{
  const auto index = static_cast<uint32_t>(aId);
  return index < mEntries.size() && mEntries[index].mState != State::Free && IdOf(index) == aId
           ? index
           : kNone;
}

uint32_t AdmissionController::Allocate()
{
  const uint32_t index = mFree.mHead;
  if (index != kNone) {
    Unlink(mFree, index);
  }
  return index;
}

void AdmissionController::Release(uint32_t aIndex)
{
  Entry& entry = mEntries[aIndex];
  entry.mState = State::Free;
  // The generation is never 0, so that no id is 0.
  entry.mGeneration = entry.mGeneration == UINT32_MAX ? 1 : entry.mGeneration + 1;
  PushBack(mFree, aIndex);
}

void AdmissionController::PushBack(List& aList, uint32_t aIndex)
{
  Entry& entry = mEntries[aIndex];
  entry.mNext = kNone;
  entry.mPrevious = aList.mTail;
  (aList.mTail == kNone ? aList.mHead : mEntries[aList.mTail].mNext) = aIndex;
  aList.mTail = aIndex;
  ++aList.mCount;
}

void AdmissionController::Unlink(List& aList, uint32_t aIndex)
{
  const Entry& entry = mEntries[aIndex];
  (entry.mPrevious == kNone ? aList.mHead : mEntries[entry.mPrevious].mNext) = entry.mNext;
  (entry.mNext == kNone ? aList.mTail : mEntries[entry.mNext].mPrevious) = entry.mPrevious;
  --aList.mCount;
}

// Queue.

void AdmissionController::Enqueue(uint32_t aIndex)
{
  Entry& entry = mEntries[aIndex];
  Rank& rank = mRanks[entry.mRank];
  List& bucket = rank.mBuckets[entry.mBucket];
  if (bucket.mCount == 0) {
    rank.mActive[(rank.mActiveHead + rank.mActiveCount++) % kBuckets] = entry.mBucket;
  }
  PushBack(bucket, aIndex);
  entry.mState = State::Queued;
  ++rank.mQueued;
  ++mQueued;
  HeapInsert(aIndex);
}

void AdmissionController::Dequeue(uint32_t aIndex)
{
  const Entry& entry = mEntries[aIndex];
  Rank& rank = mRanks[entry.mRank];
  List& bucket = rank.mBuckets[entry.mBucket];
  Unlink(bucket, aIndex);
  if (bucket.mCount == 0) {
    DeactivateBucket(rank, entry.mBucket);
  }
  --rank.mQueued;
  --mQueued;
  mIntervalMinQueued = std::min(mIntervalMinQueued, mQueued);
  HeapRemove(aIndex);
}

void AdmissionController::DeactivateBucket(Rank& aRank, uint8_t aBucket)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < aRank.mActiveCount; ++i) {
    const uint8_t bucket = aRank.mActive[(aRank.mActiveHead + i) % kBuckets];
    if (bucket != aBucket) {
      aRank.mActive[(aRank.mActiveHead + kept++) % kBuckets] = bucket;
    }
  }
  aRank.mActiveCount = kept;
}

// Returns the request to displace in favour of a new one of aRank and aBucket: the newest request
// in the longest bucket of the rank of least worth that exceeds its reservation. Returns kNone if
// the new request itself is the one to refuse.
uint32_t AdmissionController::FindVictim(size_t aRank, uint8_t aBucket) const
{
  for (size_t i = mPolicy.mRankCount; i-- > 0;) {
    const size_t index = mByWorth[i];
    const Rank& rank = mRanks[index];
    const bool own = index == aRank;
    if (rank.mQueued + (own ? 1 : 0) <= rank.mReservedPlaces) {
      continue;
    }
    const auto longest = std::max_element(
      rank.mBuckets.begin(), rank.mBuckets.end(),
      [](const List& aLeft, const List& aRight) { return aLeft.mCount < aRight.mCount; });
    if (own && longest->mCount <= rank.mBuckets[aBucket].mCount + 1) {
      return kNone;
    }
    if (longest->mCount > 0) {
      return longest->mTail;
    }
  }
  return kNone;
}

bool AdmissionController::MakeRoom(size_t aRank, uint8_t aBucket)
{
  const uint32_t victim = FindVictim(aRank, aBucket);
  if (victim == kNone) {
    return false;
  }
  RefuseQueued(victim, RefusalReason::Displaced);
  return true;
}

void AdmissionController::RefuseQueued(uint32_t aIndex, RefusalReason aReason)
{
  Dequeue(aIndex);
  Entry& entry = mEntries[aIndex];
  entry.mState = State::Refusing;
  entry.mReason = aReason;
  PushBack(mRefusing, aIndex);
  CountRefusal(entry.mRank, aReason);
}

// Returns the rank to dispatch from: of the ranks below their floor, or else of all ranks with
// queued requests, the one of greatest worth.
size_t AdmissionController::NextRank() const
{
  const auto byWorth = std::span(mByWorth).first(mPolicy.mRankCount);
  size_t first = kMaxRanks;
  for (const uint8_t index : byWorth) {
    const Rank& rank = mRanks[index];
    if (rank.mQueued == 0) {
      continue;
    }
    if (rank.mFloor > 0 && rank.mCredit >= RelativeCost(rank)) {
      return index;
    }
    if (first == kMaxRanks) {
      first = index;
    }
  }
  return first;
}

uint32_t AdmissionController::NextRequest(Rank& aRank) const
{
  return aRank.mBuckets[aRank.mActive[aRank.mActiveHead]].mHead;
}

// Min-heap of queued requests by latest start.

void AdmissionController::HeapSet(size_t aPosition, uint32_t aIndex)
{
  mHeap[aPosition] = aIndex;
  mEntries[aIndex].mHeapIndex = static_cast<uint32_t>(aPosition);
}

void AdmissionController::HeapInsert(uint32_t aIndex)
{
  HeapSet(mHeapSize, aIndex);
  SiftUp(mHeapSize++);
}

void AdmissionController::HeapRemove(uint32_t aIndex)
{
  const size_t position = mEntries[aIndex].mHeapIndex;
  const uint32_t last = mHeap[--mHeapSize];
  if (last != aIndex) {
    HeapSet(position, last);
    SiftUp(position);
    SiftDown(mEntries[last].mHeapIndex);
  }
}

void AdmissionController::SiftUp(size_t aPosition)
{
  const uint32_t index = mHeap[aPosition];
  const SteadyTime start = mEntries[index].mLatestStart;
  while (aPosition > 0) {
    const size_t parent = (aPosition - 1) / 2;
    if (mEntries[mHeap[parent]].mLatestStart <= start) {
      break;
    }
    HeapSet(aPosition, mHeap[parent]);
    aPosition = parent;
  }
  HeapSet(aPosition, index);
}

void AdmissionController::SiftDown(size_t aPosition)
{
  const uint32_t index = mHeap[aPosition];
  const SteadyTime start = mEntries[index].mLatestStart;
  for (;;) {
    size_t child = 2 * aPosition + 1;
    if (child >= mHeapSize) {
      break;
    }
    if (child + 1 < mHeapSize &&
        mEntries[mHeap[child + 1]].mLatestStart < mEntries[mHeap[child]].mLatestStart) {
      ++child;
    }
    if (start <= mEntries[mHeap[child]].mLatestStart) {
      break;
    }
    HeapSet(aPosition, mHeap[child]);
    aPosition = child;
  }
  HeapSet(aPosition, index);
}

// Estimates.

bool AdmissionController::CanFinish(const Rank& aRank, SteadyTime aNow, double aRequired,
                                    SteadyTime aDeadline) const
{
  if (!mPolicy.mDeadlineCheck) {
    return true;
  }
  if (aDeadline <= aNow) {
    return false;
  }
  const double left = Seconds(aDeadline - aNow);
  return left >= aRequired ||
         (left < aRank.mMeanServiceTime && aNow - aRank.mLastDispatch >= kProbePeriod);
}

// Returns the time to the deadline that a request needs when it leaves the queue. The margin above
// the mean service time avoids giving a slot to a request that would probably finish late. With a
// deadline too short for the margin a request may still wait for a fifth of its time; otherwise
// no rank could queue and the order of arrival would decide.
double AdmissionController::RequiredTime(const Rank& aRank, double aInitialTimeLeft)
{
  const double margin = aRank.mMeanServiceTime + kDeviationMargin * aRank.mServiceTimeDeviation;
  return std::max(aRank.mMeanServiceTime, std::min(margin, kMaxRequiredShare * aInitialTimeLeft));
}

double AdmissionController::RelativeCost(const Rank& aRank) const
{
  return std::clamp(aRank.mMeanServiceTime / mMeanServiceTime, kMinRelativeCost, kMaxRelativeCost);
}

double AdmissionController::SecondsPerDispatch() const
{
  return mMeanServiceTime / Limit();
}

double AdmissionController::QueueWait(size_t aRank) const
{
  if (mQueued == 0 && InSlots() < Limit()) {
    return 0;
  }
  const Rank& own = mRanks[aRank];
  uint32_t ahead = 0;
  for (size_t i = 0; i < mPolicy.mRankCount; ++i) {
    ahead += mRanks[i].mRanksBelow >= own.mRanksBelow ? mRanks[i].mQueued : 0;
  }
  const double perDispatch = SecondsPerDispatch();
  const double byWorth = (ahead + 1) * perDispatch;
  if (own.mFloor <= 0) {
    return byWorth;
  }
  return std::min(byWorth, (own.mQueued + 1) * RelativeCost(own) * perDispatch / own.mFloor);
}

Duration AdmissionController::RetryAfter(size_t aRank) const
{
  return std::clamp<Duration>(FromSeconds(QueueWait(aRank)), kMinRetryAfter, kMaxRetryAfter);
}

// Decisions.

void AdmissionController::CountRefusal(size_t aRank, RefusalReason aReason)
{
  ++mRanks[aRank].mStats.mRefused;
  if (IsCapacityRefusal(aReason)) {
    ++mIntervalRefused;
  }
}

AdmissionResult AdmissionController::Refuse(size_t aRank, RefusalReason aReason)
{
  CountRefusal(aRank, aReason);
  return { Decision::Refused, 0, aReason,
           IsCapacityRefusal(aReason) ? RetryAfter(aRank) : Duration{} };
}

AdmissionResult AdmissionController::Offer(const balsammount::Offer& aOffer)
{
  const SteadyTime now = mClock.Now();
  const size_t rankIndex = std::min(aOffer.mRank, mPolicy.mRankCount - 1);
  Rank& rank = mRanks[rankIndex];
  ++rank.mStats.mOffered;
  ++mIntervalOffered;
  const uint32_t step = rank.mRanksBelow * kShedCohorts + ShedCohort(aOffer.mRequestHash);
  if (step >= mLevel) {
    mArrivals[step] += 1;
  }
  if (mDraining) {
    return Refuse(rankIndex, RefusalReason::Draining);
  }
  if (!mAvailable) {
    return Refuse(rankIndex, RefusalReason::Unavailable);
  }
  const bool direct = InSlots() < Limit() && mQueued == 0;
  const bool bounded = aOffer.mDeadline != SteadyTime::max();
  const double required = direct || !bounded ? rank.mMeanServiceTime
                                             : RequiredTime(rank, Seconds(aOffer.mDeadline - now));
  if (bounded && !CanFinish(rank, now, required + QueueWait(rankIndex), aOffer.mDeadline)) {
    return Refuse(rankIndex, RefusalReason::DeadlineTooClose);
  }
  const auto bucket = static_cast<uint8_t>(aOffer.mCallerHash % kBuckets);
  if (!direct && mQueued >= mPolicy.mMaxQueue && !MakeRoom(rankIndex, bucket)) {
    return Refuse(rankIndex, RefusalReason::QueueFull);
  }
  const uint32_t index = Allocate();
  if (index == kNone) {
    return Refuse(rankIndex, RefusalReason::QueueFull);
  }
  Entry& entry = mEntries[index];
  entry.mRank = static_cast<uint8_t>(rankIndex);
  entry.mBucket = bucket;
  entry.mContext = aOffer.mContext;
  entry.mDeadline = aOffer.mDeadline;
  if (direct) {
    StartDispatch(index, now);
    return { Decision::Dispatch, IdOf(index), RefusalReason::None, {} };
  }
  entry.mInitialTimeLeft = bounded ? Seconds(aOffer.mDeadline - now) : 0;
  entry.mLatestStart = bounded && mPolicy.mDeadlineCheck
                         ? std::max(now, aOffer.mDeadline - FromSeconds(required))
                         : SteadyTime::max();
  Enqueue(index);
  return { Decision::Queued, IdOf(index), RefusalReason::None, {} };
}

void AdmissionController::StartDispatch(uint32_t aIndex, SteadyTime aNow)
{
  Entry& entry = mEntries[aIndex];
  entry.mState = State::InFlight;
  entry.mDispatched = aNow;
  ++mInFlight;
  ++mIntervalDispatched;
  mLimit.OnDispatch(mInFlight);
  mSlotLimit.OnDispatch(InSlots(), aNow);
  Rank& own = mRanks[entry.mRank];
  own.mLastDispatch = aNow;
  ++own.mStats.mDispatched;
  // Each dispatch adds its cost times the floor to the credit of every rank. Credit is bounded by
  // the rank's share of the slots and the queue, so that an idle rank does not delay the others for
  // long when it becomes active.
  const double cost = RelativeCost(own);
  const double capacity = Limit() + mPolicy.mMaxQueue;
  for (size_t i = 0; i < mPolicy.mRankCount; ++i) {
    Rank& rank = mRanks[i];
    rank.mCredit =
      std::min(rank.mCredit + rank.mFloor * cost, RelativeCost(rank) + rank.mFloor * capacity);
  }
  own.mCredit = std::max(0.0, own.mCredit - cost);
}

// Refuses queued requests that can no longer finish before their deadline.
void AdmissionController::RefuseExpired(SteadyTime aNow)
{
  while (mHeapSize > 0 && mEntries[mHeap[0]].mLatestStart < aNow) {
    const uint32_t index = mHeap[0];
    Entry& entry = mEntries[index];
    const Rank& rank = mRanks[entry.mRank];
    const double required = RequiredTime(rank, entry.mInitialTimeLeft);
    if (!CanFinish(rank, aNow, required, entry.mDeadline)) {
      RefuseQueued(index, RefusalReason::DeadlineTooClose);
      continue;
    }
    // The estimate has decreased since the request was queued, or the request is a probe.
    entry.mLatestStart = std::max(aNow, entry.mDeadline - FromSeconds(required));
    SiftDown(0);
  }
}

AdmissionAction AdmissionController::MakeAction(uint32_t aIndex)
{
  const Entry& entry = mEntries[aIndex];
  AdmissionAction action{
    Decision::Dispatch, IdOf(aIndex), entry.mContext, RefusalReason::None, {}
  };
  if (entry.mState == State::Refusing) {
    action.mDecision = Decision::Refused;
    action.mReason = entry.mReason;
    action.mRetryAfter = IsCapacityRefusal(entry.mReason) ? RetryAfter(entry.mRank) : Duration{};
  }
  return action;
}

size_t AdmissionController::Poll(std::span<AdmissionAction> aActions)
{
  const SteadyTime now = mClock.Now();
  if (now - mIntervalStart >= LevelInterval()) {
    UpdateLevel(now);
  }
  RefuseExpired(now);
  size_t count = 0;
  while (count < aActions.size()) {
    if (mRefusing.mHead != kNone) {
      const uint32_t index = mRefusing.mHead;
      aActions[count++] = MakeAction(index);
      Unlink(mRefusing, index);
      Release(index);
      continue;
    }
    if (mQueued == 0 || InSlots() >= Limit()) {
      break;
    }
    Rank& rank = mRanks[NextRank()];
    const uint32_t index = NextRequest(rank);
    const Entry& entry = mEntries[index];
    if (entry.mDeadline != SteadyTime::max() &&
        !CanFinish(rank, now, RequiredTime(rank, entry.mInitialTimeLeft), entry.mDeadline)) {
      RefuseQueued(index, RefusalReason::DeadlineTooClose);
      continue;
    }
    const uint8_t bucket = entry.mBucket;
    Dequeue(index);
    if (rank.mBuckets[bucket].mCount > 0) {
      // Round robin: the bucket moves to the end of the ring.
      rank.mActiveHead = (rank.mActiveHead + 1) % kBuckets;
      rank.mActive[(rank.mActiveHead + rank.mActiveCount - 1) % kBuckets] = bucket;
    }
    StartDispatch(index, now);
    aActions[count++] = MakeAction(index);
  }
  return count;
}

SteadyTime AdmissionController::NextDeadline() const
{
  if (mRefusing.mHead != kNone || (mQueued > 0 && InSlots() < Limit())) {
    return mClock.Now();
  }
  SteadyTime next = SteadyTime::max();
  if (mHeapSize > 0 && mEntries[mHeap[0]].mLatestStart != SteadyTime::max()) {
    // Poll() refuses requests only after their latest start has passed.
    next = mEntries[mHeap[0]].mLatestStart + Duration(1);
  }
  if (mLevel > 0 || mQueued > 0) {
    next = std::min(next, mIntervalStart + LevelInterval());
  }
  return next;
}

void AdmissionController::End(uint32_t aIndex, Outcome aOutcome,
                              std::optional<Duration> aServiceTime)
{
  const SteadyTime now = mClock.Now();
  const Entry& entry = mEntries[aIndex];
  Rank& rank = mRanks[entry.mRank];
  --mInFlight;
  if (aOutcome == Outcome::Cancelled) {
    ++rank.mStats.mCancelled;
  } else {
    ++rank.mStats.mCompleted;
  }
  if (aOutcome == Outcome::Success || aOutcome == Outcome::TimedOut) {
    const Duration service = std::max(Duration(1), aServiceTime.value_or(now - entry.mDispatched));
    const double difference = Seconds(service) - rank.mMeanServiceTime;
    rank.mMeanServiceTime += difference * kSampleWeight;
    rank.mServiceTimeDeviation +=
      (std::abs(difference) - rank.mServiceTimeDeviation) * kSampleWeight;
    mMeanServiceTime += (Seconds(service) - mMeanServiceTime) * kSampleWeight;
    mLimit.OnSample(entry.mRank, entry.mDispatched, service, now);
    mSlotLimit.OnSample(entry.mRank, entry.mDispatched, service, now);
  } else if (aOutcome == Outcome::Overloaded) {
    mLimit.OnOverload(now);
  }
  Release(aIndex);
}

bool AdmissionController::Complete(AdmissionId aId, Outcome aOutcome,
                                   std::optional<Duration> aServiceTime)
{
  const uint32_t index = Find(aId);
  if (index == kNone || mEntries[index].mState != State::InFlight) {
    return false;
  }
  End(index, aOutcome, aServiceTime);
  return true;
}

bool AdmissionController::Cancel(AdmissionId aId)
{
  const uint32_t index = Find(aId);
  if (index == kNone || mEntries[index].mState == State::Refusing) {
    return false;
  }
  if (mEntries[index].mState == State::InFlight) {
    End(index, Outcome::Cancelled, {});
    return true;
  }
  ++mRanks[mEntries[index].mRank].mStats.mCancelled;
  Dequeue(index);
  Release(index);
  return true;
}

AdmissionStats AdmissionController::Stats() const
{
  AdmissionStats stats;
  stats.mRankCount = mPolicy.mRankCount;
  for (size_t i = 0; i < mPolicy.mRankCount; ++i) {
    stats.mRanks[i] = mRanks[i].mStats;
    stats.mRanks[i].mQueued = mRanks[i].mQueued;
    stats.mRanks[i].mMeanServiceTime = FromSeconds(mRanks[i].mMeanServiceTime);
  }
  stats.mInFlight = mInFlight;
  stats.mQueued = mQueued;
  stats.mLimit = Limit();
  stats.mShedLevel = ShedLevel();
  stats.mQueueDelay = FromSeconds(mQueued * SecondsPerDispatch());
  return stats;
}

// Shed level.

uint32_t AdmissionController::ShedLevel() const
{
  if (!mPolicy.mShedLevel) {
    return 0;
  }
  return mClock.Now() < mDownstreamUntil ? std::max(mLevel, mDownstreamLevel) : mLevel;
}

void AdmissionController::ReportDownstreamLevel(uint32_t aLevel)
{
  mDownstreamLevel = aLevel;
  mDownstreamUntil = mClock.Now() + kDownstreamValidity;
}

Duration AdmissionController::LevelInterval() const
{
  return std::clamp(FromSeconds(mMeanServiceTime), kMinLevelInterval, kMaxLevelInterval);
}

// Updates the level from the minimum queue length of the interval: a queue that was empty at some
// time indicates a burst rather than overload.
void AdmissionController::UpdateLevel(SteadyTime aNow)
{
  const double delay = mIntervalMinQueued * SecondsPerDispatch();
  const double refused =
    mIntervalOffered == 0 ? 0 : static_cast<double>(mIntervalRefused) / mIntervalOffered;
  if (delay > Seconds(mPolicy.mQueueTarget)) {
    mIntervalsBelowTarget = 0;
    // A queue that shrinks without refusals is a backlog; raising the level further would
    // overshoot.
    if (refused > kTargetRefusalRatio || mQueued >= mIntervalStartQueued) {
      RaiseLevel(std::clamp((refused - kTargetRefusalRatio) / 2, kMinRaise, kMaxRaise));
    }
  } else if (mLevel > 0) {
    LowerLevel();
    ++mIntervalsBelowTarget;
  }
  for (size_t i = 0; i < mPolicy.mRankCount * kShedCohorts; ++i) {
    mArrivals[i] *= i < mLevel ? kShedArrivalDecay : kArrivalDecay;
  }
  mIntervalStart = aNow;
  mIntervalOffered = 0;
  mIntervalDispatched = 0;
  mIntervalRefused = 0;
  mIntervalMinQueued = mQueued;
  mIntervalStartQueued = mQueued;
}

void AdmissionController::RaiseLevel(double aShare)
{
  const auto last = static_cast<uint32_t>(mPolicy.mRankCount) * kShedCohorts - 1;
  double total = 0;
  for (uint32_t step = mLevel; step <= last; ++step) {
    total += mArrivals[step];
  }
  double shed = 0;
  while (mLevel < last && shed < aShare * total) {
    shed += mArrivals[mLevel++];
  }
}

void AdmissionController::LowerLevel()
{
  const double share =
    std::min(kMaxLower, kMinLower * std::pow(kLowerGrowth, mIntervalsBelowTarget));
  // The arrival counts are decaying sums, equivalent to 1 / (1 - decay) intervals.
  const double wanted = share * mIntervalDispatched / (1 - kArrivalDecay);
  double restored = 0;
  for (uint32_t step = 0; step < kMaxLowerSteps && mLevel > 0 && restored <= wanted; ++step) {
    restored += mArrivals[--mLevel];
  }
}

} // namespace balsammount
