// How long a member stays suspect: from the longest time down to the shortest as independent
// members confirm (Lifeguard).
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
  uint32_t mConfirmations = 0; // to come down to the shortest
};

class Suspicion
{
public:
  Suspicion(SteadyTime aStart, SuspicionTimes aTimes, uint32_t aAccuser)
    : mStart(aStart)
    , mTimes(aTimes)
    , mAccusers{ aAccuser }
  {
    Update();
  }

  // False when the accuser is known or enough have confirmed.
  bool Confirm(uint32_t aAccuser)
  {
    if (mAccusers.size() > mTimes.mConfirmations ||
        std::find(mAccusers.begin(), mAccusers.end(), aAccuser) != mAccusers.end()) {
      return false;
    }
    mAccusers.push_back(aAccuser);
    Update();
    return true;
  }

  SteadyTime Deadline() const { return mDeadline; }

  // Another member has declared the suspect dead.
  void ConfirmFully()
  {
    mDeadElsewhere = true;
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
    if (mTimes.mConfirmations == 0 || mDeadElsewhere) {
      mDeadline = mStart + mTimes.mShortest;
      return;
    }
    const double part = std::log(static_cast<double>(mAccusers.size())) /
                        std::log(static_cast<double>(mTimes.mConfirmations) + 1);
    const auto saved = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::nano>(mTimes.mLongest - mTimes.mShortest) * part);
    mDeadline = mStart + std::max(mTimes.mShortest, mTimes.mLongest - saved);
  }

  SteadyTime mStart;
  SuspicionTimes mTimes;
  std::vector<uint32_t> mAccusers;
  bool mDeadElsewhere = false;
  SteadyTime mDeadline;
};

} // namespace balsammount::detail
