#include "balsammount/slot_limit.h"

#include <algorithm>

namespace balsammount {

namespace {

// Shares of the slots, the first one for the start.
constexpr std::array kShareOfSlots = { 0.94, 1.0, 0.88, 0.8 };
// With fewer slots, leaving one of them free costs more than a usual slowdown.
constexpr uint32_t kMinSlotsToLeaveOneFree = 16;
constexpr size_t kAllSlots = 1; // index in kShareOfSlots

// Means of 200 requests whose service times vary by half their mean differ by 5%.
constexpr uint32_t kWindowSamples = 200;
// Windows with the chosen share between two trials. A trial of a worse share costs about a fifth of
// the throughput of one window.
constexpr uint32_t kWindowsBetweenTrials = 16;
// Before the first comparison a trial follows at once.
constexpr uint32_t kWindowsBeforeFirstTrial = 1;
// A window is given up when more of its requests than this were dispatched below the limit.
constexpr uint32_t kMaxBelowLimit = 20;
// Throughput relative to the chosen share above which another one replaces it.
constexpr double kMinGain = 1.04;
constexpr double kTrialWeight = 0.5;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void SlotLimit::SetSlots(uint32_t aSlots)
{
  if (aSlots == mSlots) {
    return;
  }
  mSlots = aSlots;
  for (size_t i = 0; i < kShares; ++i) {
    mLimits[i] = std::max(1U, static_cast<uint32_t>(aSlots * kShareOfSlots[i]));
  }
  mChosen = aSlots < kMinSlotsToLeaveOneFree ? kAllSlots : 0;
  mLastTrial = mChosen;
  mThroughput = {};
  mReference = {};
  mWindows = 0;
  StartWindow(mChosen, {});
}

void SlotLimit::StartWindow(size_t aShare, SteadyTime aNow)
{
  mTrial = aShare;
  mWindow = {};
  mDispatchesBelowLimit = 0;
  mWindowStart = aNow;
}

void SlotLimit::OnDispatch(uint32_t aInFlight, SteadyTime aNow)
{
  mDispatchesBelowLimit += aInFlight < Limit() ? 1 : 0;
  if (mDispatchesBelowLimit > kMaxBelowLimit) {
    // Without enough demand, the limit does not affect the service time.
    StartWindow(mChosen, aNow);
  }
}

void SlotLimit::OnSample(size_t aRank, SteadyTime aDispatched, Duration aServiceTime,
                         SteadyTime aNow)
{
  if (aDispatched < mWindowStart) {
    return;
  }
  const size_t rank = std::min(aRank, kMaxRanks - 1);
  mWindow.mSums[rank] += Seconds(aServiceTime);
  ++mWindow.mCounts[rank];
  // A window spans several times the requests in flight. Otherwise it would hold mainly the
  // shortest ones of those that were dispatched in it.
  if (++mWindow.mTotal >= std::max(kWindowSamples, 4 * Limit())) {
    EndWindow(aNow);
  }
}

void SlotLimit::EndWindow(SteadyTime aNow)
{
  if (mTrial != mChosen) {
    Compare();
    mWindows = 0;
    StartWindow(mChosen, aNow);
    return;
  }
  mReference = mWindow;
  ++mWindows;
  const bool isFirst = std::ranges::all_of(mThroughput, [](double aValue) { return aValue == 0; });
  const uint32_t wanted = isFirst ? kWindowsBeforeFirstTrial : kWindowsBetweenTrials;
  StartWindow(mWindows >= wanted ? NextTrial() : mChosen, aNow);
}

// Returns the next share in turn whose limit differs from the one in use.
size_t SlotLimit::NextTrial()
{
  for (size_t i = 0; i < kShares; ++i) {
    mLastTrial = (mLastTrial + 1) % kShares;
    if (mLimits[mLastTrial] != mLimits[mChosen]) {
      return mLastTrial;
    }
  }
  return mChosen;
}

void SlotLimit::Compare()
{
  const double ratio = ServiceTimeRatio(mWindow, mReference);
  if (ratio <= 0) {
    return;
  }
  const double gain = static_cast<double>(mLimits[mTrial]) / mLimits[mChosen] / ratio;
  double& known = mThroughput[mTrial];
  known = known == 0 ? gain : known + kTrialWeight * (gain - known);
  if (known < kMinGain) {
    return;
  }
  // All others are compared with the new choice from now on.
  const double inverse = 1 / known;
  const size_t previous = mChosen;
  mThroughput = {};
  mThroughput[previous] = inverse;
  mChosen = mTrial;
}

double SlotLimit::ServiceTimeRatio(const Samples& aLeft, const Samples& aRight)
{
  double sum = 0;
  double weights = 0;
  for (size_t rank = 0; rank < kMaxRanks; ++rank) {
    if (aLeft.mCounts[rank] == 0 || aRight.mCounts[rank] == 0) {
      continue;
    }
    const double left = aLeft.mSums[rank] / aLeft.mCounts[rank];
    const double right = aRight.mSums[rank] / aRight.mCounts[rank];
    // Weighted by the smaller number of samples, which determines the accuracy, and by the time
    // that the rank takes of the server.
    const double weight = std::min(aLeft.mCounts[rank], aRight.mCounts[rank]) * right;
    sum += left / std::max(right, 1e-9) * weight;
    weights += weight;
  }
  return weights > 0 ? sum / weights : 0;
}

} // namespace balsammount
