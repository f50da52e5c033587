// Lifeguard's dynamic suspicion timeout: starts at the longest time and falls to the shortest as
// independent members confirm the suspicion.
#pragma once

#include "balsammount/clock.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

namespace balsammount::detail {

struct SuspicionTimes
{
  Duration mShortest{};
  Duration mLongest{};
  uint32_t mRequiredConfirmations = 0; // for the shortest time
};

class Suspicion
{
public:
  Suspicion(SteadyTime aStart, SuspicionTimes aTimes, uint32_t aReporter)
    : mStart(aStart)
    , mTimes(aTimes)
    , mReporters{ aReporter }
  {
    Update();
  }

  // Returns false if the reporter is already known or enough members have confirmed.
  bool Confirm(uint32_t aReporter)
  {
    if (mReporters.size() > mTimes.mRequiredConfirmations ||
        std::find(mReporters.begin(), mReporters.end(), aReporter) != mReporters.end()) {
      return false;
    }
    mReporters.push_back(aReporter);
    Update();
    return true;
  }

  SteadyTime Deadline() const { return mDeadline; }

  // Applies the shortest time, because another member has declared the suspect dead.
  void ConfirmDead()
  {
    mDeclaredDead = true;
    Update();
  }

  void Extend(Duration aBy)
  {
    mStart += aBy;
    Update();
  }

private:
  void Update()
  {
    if (mTimes.mRequiredConfirmations == 0 || mDeclaredDead) {
      mDeadline = mStart + mTimes.mShortest;
      return;
    }
    const double fraction = std::log(static_cast<double>(mReporters.size())) /
                            std::log(static_cast<double>(mTimes.mRequiredConfirmations) + 1);
    const auto reduction = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::nano>(mTimes.mLongest - mTimes.mShortest) * fraction);
    mDeadline = mStart + std::max(mTimes.mShortest, mTimes.mLongest - reduction);
  }

  SteadyTime mStart;
  SuspicionTimes mTimes;
  std::vector<uint32_t> mReporters;
  bool mDeclaredDead = false;
  SteadyTime mDeadline;
};

} // namespace balsammount::detail
