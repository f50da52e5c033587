#include "balsammount/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace balsammount {

namespace {

// Service time over baseline that counts as queueing inside the server. Means of about 100
// exponential samples vary by 10%; 1.5 keeps noise out.
constexpr double kTolerance = 1.5;
// The limit grows below this ratio; the gap to the tolerance keeps it from hunting.
constexpr double kGrowRatio = 1.3;
// Above this ratio, or when easing the limit so many times had no effect, the knee is searched.
constexpr double kSearchRatio = 2;
constexpr uint32_t kMaxEasing = 3;
// A quarter is the least change whose effect on the mean stands out from its noise.
constexpr double kStep = 0.75;
// The server became slower during the search: what was measured before is no reference.
constexpr double kSlowing = 1.25;
constexpr uint32_t kMinSamples = 32;
constexpr auto kMinEpoch = std::chrono::milliseconds(10);
// A slow server may not deliver the samples of an epoch; after this time a few are enough.
constexpr auto kMaxEpoch = std::chrono::seconds(2);
constexpr uint32_t kFewSamples = 4;
// The knee is searched now and then, soon after a change and later at doubled intervals: at the
// longest interval, a quarter less for one or two epochs costs under 1% of the throughput.
constexpr auto kFirstProbe = std::chrono::seconds(2);
constexpr auto kLastProbe = std::chrono::seconds(16);
// A server that is slow at the minimum limit gives no gradient; after so many epochs try above.
constexpr uint32_t kEpochsAtMinimum = 8;

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
  mStarting = true;
  mDescending = false;
  mEpochsAtMinimum = 0;
  mLastProbe = aNow;
  mProbeInterval = kLastProbe;
  // A quarter of the slots lets a warm server start without a visible loss.
  SetLimit(std::max(mMinimum, mMaximum / 4));
  StartEpoch(aNow);
}

void ConcurrencyLimit::SetBounds(uint32_t aMinimum, uint32_t aMaximum)
{
  mMinimum = std::max(1U, aMinimum);
  mMaximum = std::max(mMinimum, aMaximum);
  mDescending = false;
  SetLimit(mExact);
}

void ConcurrencyLimit::OnDispatch(uint32_t aInFlight)
{
  mPeakInFlight = std::max(mPeakInFlight, aInFlight);
}

void ConcurrencyLimit::OnSample(size_t aRank, SteadyTime aStarted, Duration aService,
                                SteadyTime aNow)
{
  // Requests that were dispatched under the previous limit say nothing about this one.
  if (aStarted >= mEpochStart) {
    RankSamples& rank = mRanks[std::min(aRank, kMaxRanks - 1)];
    rank.mSum += Seconds(aService);
    ++rank.mCount;
    ++mSamples;
  }
  const auto length = aNow - mEpochStart;
  const bool enough = mSamples >= std::max(kMinSamples, 2 * mLimit) && length >= kMinEpoch;
  if (enough || (mSamples >= kFewSamples && length >= kMaxEpoch)) {
    EndEpoch(aNow);
  }
}

void ConcurrencyLimit::OnOverload(SteadyTime aNow)
{
  mStarting = false;
  // One step per epoch: the refusals of one burst have one cause.
  if (!mOverloaded) {
    mDescending = false;
    SetLimit(mExact * 0.9);
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

double ConcurrencyLimit::Ratio()
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

void ConcurrencyLimit::FollowBaselines(bool aSaturated)
{
  for (RankSamples& rank : mRanks) {
    if (rank.mCount == 0) {
      continue;
    }
    const double mean = rank.mSum / rank.mCount;
    // Below the limit, service time is not caused by concurrency and is the new baseline. At the
    // limit only a descent can raise the baseline.
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

void ConcurrencyLimit::StartDescent(double aRatio, SteadyTime aNow)
{
  mDescending = true;
  mLastProbe = aNow;
  mEasing = 0;
  TakeStep(aRatio);
}

void ConcurrencyLimit::TakeStep(double aRatio)
{
  mReferenceLimit = mExact;
  mReferenceRatio = aRatio;
  SetLimit(mExact * kStep);
}

// One epoch after a step down. While service time falls with the limit, the server is saturated and
// the descent goes on. The first step without effect has passed the knee: its service time is the
// baseline, and the limit goes back by one step.
void ConcurrencyLimit::Descend(double aRatio)
{
  const double fraction = mExact / mReferenceLimit;
  const bool helped = aRatio < mReferenceRatio * (1 + fraction) / 2;
  const bool slowing = aRatio > mReferenceRatio * kSlowing;
  if ((helped || slowing) && mLimit > mMinimum) {
    TakeStep(aRatio);
    return;
  }
  mDescending = false;
  if (!helped) {
    ScaleBaselines(aRatio);
    SetLimit(mReferenceLimit);
  }
}

void ConcurrencyLimit::FollowGradient(double aRatio, SteadyTime aNow)
{
  mEpochsAtMinimum = aRatio > kTolerance && mLimit <= mMinimum ? mEpochsAtMinimum + 1 : 0;
  if (mEpochsAtMinimum >= kEpochsAtMinimum) {
    mEpochsAtMinimum = 0;
    SetLimit(2.0 * mMinimum);
    return;
  }
  mEasing = aRatio > kTolerance ? mEasing + 1 : 0;
  mStarting = mStarting && aRatio <= kTolerance && mLimit < mMaximum;
  if (aRatio > kSearchRatio || mEasing > kMaxEasing) {
    mProbeInterval = kFirstProbe;
    StartDescent(aRatio, aNow);
  } else if (aNow - mLastProbe >= mProbeInterval) {
    mProbeInterval = std::min(mProbeInterval * 2, Duration(kLastProbe));
    StartDescent(aRatio, aNow);
  } else if (aRatio > kTolerance) {
    SetLimit(mExact * kTolerance / aRatio);
  } else if (aRatio < kGrowRatio) {
    SetLimit(mStarting ? mExact * 2 : mExact + std::sqrt(mExact));
  }
}

void ConcurrencyLimit::EndEpoch(SteadyTime aNow)
{
  const double ratio = Ratio();
  const bool saturated = mPeakInFlight >= mLimit;
  if (!saturated && mDescending) {
    // Without enough demand nothing can be learned about concurrency.
    mDescending = false;
    SetLimit(mReferenceLimit);
  }
  if (mDescending) {
    Descend(ratio);
  } else {
    FollowBaselines(saturated);
    if (saturated) {
      FollowGradient(ratio, aNow);
    }
  }
  StartEpoch(aNow);
}

void ConcurrencyLimit::SetLimit(double aLimit)
{
  mExact = std::clamp(aLimit, static_cast<double>(mMinimum), static_cast<double>(mMaximum));
  mLimit = static_cast<uint32_t>(mExact);
}

} // namespace balsammount
