#include "balsammount/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace balsammount {

namespace {

// Service time over baseline that counts as queueing inside the server. Means of about 100
// exponential samples vary by 10%; 1.5 keeps noise out.
constexpr double kTolerance = 1.5;
// The smallest factor of one step down. A quarter is the least change whose effect on the mean
// stands out from its noise.
constexpr double kStep = 0.75;
constexpr uint32_t kMinSamples = 32;
constexpr auto kMinEpoch = std::chrono::milliseconds(10);
// A slow server may not deliver the samples of an epoch; after this time a few are enough.
constexpr auto kMaxEpoch = std::chrono::seconds(2);
constexpr uint32_t kFewSamples = 4;
// The baseline may have been raised by mistake. A probe at three quarters of the limit for one
// epoch in 15 s costs under 1% of the throughput.
constexpr auto kProbeInterval = std::chrono::seconds(15);
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

void ConcurrencyLimit::FollowBaselines(double aRatio, bool aSaturated)
{
  for (RankSamples& rank : mRanks) {
    if (rank.mCount == 0) {
      continue;
    }
    const double mean = rank.mSum / rank.mCount;
    // Below the limit, service time is not caused by concurrency and is the new baseline. At the
    // limit the baseline only drifts, so that a server that slowly saturates is still noticed.
    double weight = aSaturated ? 0.01 : 0.2;
    if (mean < rank.mBaseline) {
      weight = 0.3;
    } else if (aSaturated && aRatio > kTolerance) {
      weight = 0;
    }
    rank.mBaseline += (mean - rank.mBaseline) * weight;
  }
}

void ConcurrencyLimit::ScaleBaselines(double aFactor)
{
  for (RankSamples& rank : mRanks) {
    rank.mBaseline *= aFactor;
  }
}

void ConcurrencyLimit::StartDescent(double aRatio, double aFactor)
{
  mDescending = true;
  mDescentLimit = mExact;
  mDescentRatio = aRatio;
  SetLimit(mExact * std::clamp(aFactor, kStep, 0.95));
}

// After a descent: true when the service time fell with the limit. Otherwise the baseline is raised
// and the limit restored.
bool ConcurrencyLimit::JudgeDescent(double aRatio)
{
  const double fraction = mExact / mDescentLimit;
  const bool helped = aRatio < mDescentRatio * (1 + fraction) / 2;
  if (!helped) {
    if (!mProbing) {
      ScaleBaselines(aRatio);
    }
    SetLimit(mDescentLimit);
  } else if (mProbing) {
    // The baseline had been measured on a saturated server.
    ScaleBaselines(aRatio / mDescentRatio);
  }
  return helped;
}

void ConcurrencyLimit::EndEpoch(SteadyTime aNow)
{
  const double ratio = Ratio();
  const bool saturated = mPeakInFlight >= mLimit;
  const bool atMinimum = mLimit <= mMinimum;
  if (mDescending && (mExact <= mDescentLimit * (kStep + 0.01) || atMinimum || mProbing)) {
    mDescending = false;
    const bool wasProbing = mProbing;
    mProbing = false;
    if (!saturated) {
      SetLimit(wasProbing ? mDescentLimit : mExact);
    } else {
      mProbing = wasProbing;
      JudgeDescent(ratio);
      mProbing = false;
    }
    StartEpoch(aNow);
    return;
  }
  FollowBaselines(ratio, saturated);
  if (saturated) {
    if (ratio > kTolerance) {
      mStarting = false;
      if (atMinimum) {
        if (++mEpochsAtMinimum >= kEpochsAtMinimum) {
          mEpochsAtMinimum = 0;
          SetLimit(2.0 * mMinimum);
        }
      } else if (!mDescending) {
        StartDescent(ratio, kTolerance / ratio);
      } else {
        SetLimit(mExact * std::clamp(kTolerance / ratio, kStep, 0.95));
      }
    } else {
      mEpochsAtMinimum = 0;
      mDescending = false;
      if (aNow - mLastProbe >= kProbeInterval && !atMinimum) {
        mLastProbe = aNow;
        mProbing = true;
        StartDescent(ratio, kStep);
      } else {
        SetLimit(mStarting ? mExact * 2 : mExact + std::sqrt(mExact));
        mStarting = mStarting && mLimit < mMaximum;
      }
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
