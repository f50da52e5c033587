#include "balsammount/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace balsammount {

namespace {

// Ratio of service time to baseline above which requests are assumed to queue inside the server.
// Means of about 100 exponential samples vary by 10%, so 1.5 is well above the noise.
constexpr double kTolerance = 1.5;
// The limit grows below this ratio. The gap to the tolerance prevents oscillation.
constexpr double kGrowRatio = 1.3;
// A search for the knee starts above this ratio, or after this many epochs above the tolerance.
constexpr double kSearchRatio = 2;
constexpr uint32_t kMaxEpochsAboveTolerance = 3;
// A step of a quarter is the smallest whose effect on the mean exceeds the noise.
constexpr double kStepFactor = 0.75;
// If the ratio rises by this factor after a step down, the server itself has become slower and the
// reference is invalid.
constexpr double kSlowdownRatio = 1.25;
constexpr uint32_t kMinSamples = 32;
constexpr auto kMinEpochDuration = std::chrono::milliseconds(10);
// Bounds an epoch of a server that is too slow to deliver the usual number of samples.
constexpr auto kMaxEpochDuration = std::chrono::seconds(2);
constexpr uint32_t kMinSamplesAtMaxEpoch = 4;
// Interval between searches; it starts at the minimum after a change and doubles up to the maximum.
// At the maximum, a limit lower by a quarter for one or two epochs costs under 1% of the
// throughput.
constexpr auto kMinSearchInterval = std::chrono::seconds(2);
constexpr auto kMaxSearchInterval = std::chrono::seconds(16);
// At the minimum, the limit cannot be stepped down to find out whether a slow server is saturated.
// After this many epochs above the tolerance it is raised instead.
constexpr uint32_t kMaxEpochsAtMinimum = 8;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(uint32_t aMinimum, uint32_t aMaximum, SteadyTime aNow)
  : mMinimum(std::max(1U, aMinimum))
  , mMaximum(std::max(mMinimum, aMaximum))
{
  Reset(aNow);
}

void ConcurrencyLimit::Reset(SteadyTime aNow)
{
  mRanks = {};
  mSlowStart = true;
  mSearching = false;
  mEpochsAtMinimum = 0;
  mLastSearch = aNow;
  mSearchInterval = kMaxSearchInterval;
  // A quarter of the slots is enough for a warm server to start without a noticeable loss.
  SetLimit(std::max(mMinimum, mMaximum / 4));
  StartEpoch(aNow);
}

void ConcurrencyLimit::SetBounds(uint32_t aMinimum, uint32_t aMaximum)
{
  mMinimum = std::max(1U, aMinimum);
  mMaximum = std::max(mMinimum, aMaximum);
  mSearching = false;
  SetLimit(mExactLimit);
}

void ConcurrencyLimit::OnDispatch(uint32_t aInFlight)
{
  mPeakInFlight = std::max(mPeakInFlight, aInFlight);
}

void ConcurrencyLimit::OnSample(size_t aRank, SteadyTime aDispatched, Duration aServiceTime,
                                SteadyTime aNow)
{
  // Requests dispatched before this epoch may have run under another limit and do not count.
  if (aDispatched >= mEpochStart) {
    RankSamples& rank = mRanks[std::min(aRank, kMaxRanks - 1)];
    rank.mSum += Seconds(aServiceTime);
    ++rank.mCount;
    ++mSamples;
  }
  const auto epochDuration = aNow - mEpochStart;
  const bool enough =
    mSamples >= std::max(kMinSamples, 2 * mLimit) && epochDuration >= kMinEpochDuration;
  if (enough || (mSamples >= kMinSamplesAtMaxEpoch && epochDuration >= kMaxEpochDuration)) {
    EndEpoch(aNow);
  }
}

void ConcurrencyLimit::OnOverload(SteadyTime aNow)
{
  mSlowStart = false;
  // At most one step per epoch, because the refusals of a burst share a cause.
  if (!mOverloaded) {
    mSearching = false;
    SetLimit(mExactLimit * 0.9);
    StartEpoch(aNow);
    mOverloaded = true;
  }
}

void ConcurrencyLimit::StartEpoch(SteadyTime aNow)
{
  for (RankSamples& rank : mRanks) {
    rank.mSum = 0;
    rank.mCount = 0;
  }
  mSamples = 0;
  mPeakInFlight = 0;
  mOverloaded = false;
  mEpochStart = aNow;
}

double ConcurrencyLimit::ServiceTimeRatio()
{
  double sum = 0;
  uint32_t count = 0;
  for (RankSamples& rank : mRanks) {
    if (rank.mCount == 0) {
      continue;
    }
    const double mean = std::max(1e-9, rank.mSum / rank.mCount);
    if (rank.mBaseline == 0) {
      rank.mBaseline = mean;
    }
    sum += mean / rank.mBaseline * rank.mCount;
    count += rank.mCount;
  }
  return count == 0 ? 1.0 : sum / count;
}

void ConcurrencyLimit::UpdateBaselines(bool aSaturated)
{
  for (RankSamples& rank : mRanks) {
    if (rank.mCount == 0) {
      continue;
    }
    const double mean = rank.mSum / rank.mCount;
    // Below the limit, concurrency does not affect service time, so the baseline follows it. At the
    // limit only a search may raise the baseline.
    const double rise = aSaturated ? 0 : 0.2;
    rank.mBaseline += (mean - rank.mBaseline) * (mean < rank.mBaseline ? 0.3 : rise);
  }
}

void ConcurrencyLimit::ScaleBaselines(double aFactor)
{
  for (RankSamples& rank : mRanks) {
    rank.mBaseline *= aFactor;
  }
}

void ConcurrencyLimit::StartSearch(double aRatio, SteadyTime aNow)
{
  mSearching = true;
  mLastSearch = aNow;
  mEpochsAboveTolerance = 0;
  StepDown(aRatio);
}

void ConcurrencyLimit::StepDown(double aRatio)
{
  mReferenceLimit = mExactLimit;
  mReferenceRatio = aRatio;
  SetLimit(mExactLimit * kStepFactor);
}

// Evaluates the epoch after a step down. The server is saturated as long as service time falls with
// the limit. The first step without effect has passed the knee: its service time becomes the
// baseline, and the step is undone.
void ConcurrencyLimit::ContinueSearch(double aRatio)
{
  const double fraction = mExactLimit / mReferenceLimit;
  const bool helped = aRatio < mReferenceRatio * (1 + fraction) / 2;
  const bool slower = aRatio > mReferenceRatio * kSlowdownRatio;
  if ((helped || slower) && mLimit > mMinimum) {
    StepDown(aRatio);
    return;
  }
  mSearching = false;
  if (!helped) {
    ScaleBaselines(aRatio);
    SetLimit(mReferenceLimit);
  }
}

void ConcurrencyLimit::ApplyGradient(double aRatio, SteadyTime aNow)
{
  mEpochsAtMinimum = aRatio > kTolerance && mLimit <= mMinimum ? mEpochsAtMinimum + 1 : 0;
  if (mEpochsAtMinimum >= kMaxEpochsAtMinimum) {
    mEpochsAtMinimum = 0;
    SetLimit(2.0 * mMinimum);
    return;
  }
  mEpochsAboveTolerance = aRatio > kTolerance ? mEpochsAboveTolerance + 1 : 0;
  mSlowStart = mSlowStart && aRatio <= kTolerance && mLimit < mMaximum;
  if (aRatio > kSearchRatio || mEpochsAboveTolerance > kMaxEpochsAboveTolerance) {
    mSearchInterval = kMinSearchInterval;
    StartSearch(aRatio, aNow);
  } else if (aNow - mLastSearch >= mSearchInterval) {
    mSearchInterval = std::min(mSearchInterval * 2, Duration(kMaxSearchInterval));
    StartSearch(aRatio, aNow);
  } else if (aRatio > kTolerance) {
    SetLimit(mExactLimit * kTolerance / aRatio);
  } else if (aRatio < kGrowRatio) {
    SetLimit(mSlowStart ? mExactLimit * 2 : mExactLimit + std::sqrt(mExactLimit));
  }
}

void ConcurrencyLimit::EndEpoch(SteadyTime aNow)
{
  const double ratio = ServiceTimeRatio();
  const bool saturated = mPeakInFlight >= mLimit;
  if (!saturated && mSearching) {
    // Without enough demand, service time does not depend on the limit.
    mSearching = false;
    SetLimit(mReferenceLimit);
  }
  if (mSearching) {
    ContinueSearch(ratio);
  } else {
    UpdateBaselines(saturated);
    if (saturated) {
      ApplyGradient(ratio, aNow);
    }
  }
  StartEpoch(aNow);
}

void ConcurrencyLimit::SetLimit(double aLimit)
{
  mExactLimit = std::clamp(aLimit, static_cast<double>(mMinimum), static_cast<double>(mMaximum));
  mLimit = static_cast<uint32_t>(mExactLimit);
}

} // namespace balsammount
