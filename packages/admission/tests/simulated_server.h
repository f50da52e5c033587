// Simulation of a server behind an AdmissionController, in virtual time and with open-loop
// arrivals.
#pragma once

#include "balsammount/admission.h"
#include "balsammount/random.h"

#include <cmath>
#include <deque>
#include <map>
#include <queue>

namespace balsammount::test {

using std::chrono::milliseconds;

struct RankCounts
{
  uint32_t mOffered = 0;
  uint32_t mServed = 0; // completed before the deadline
  uint32_t mLate = 0;
  uint32_t mRefused = 0;
};

class SimulatedServer
{
public:
  SimulatedServer(const AdmissionPolicy& aPolicy, uint64_t aSeed)
    : mController(mClock, aPolicy)
    , mRandom(aSeed)
    , mParallelism(aPolicy.mSlots)
  {
  }

  // Sets the arrival rate of a rank and caller, in requests per second.
  void SetRate(size_t aRank, double aRate, uint64_t aCaller = 1)
  {
    mRates[{ aRank, aCaller }] = { aRate, mClock.Now() };
  }

  void Run(Duration aDuration)
  {
    const SteadyTime end = mClock.Now() + aDuration;
    for (;;) {
      SteadyTime next = end;
      auto arrival = mRates.end();
      for (auto it = mRates.begin(); it != mRates.end(); ++it) {
        if (it->second.mRate > 0 && it->second.mNext < next) {
          next = it->second.mNext;
          arrival = it;
        }
      }
      const bool completes = !mRunning.empty() && mRunning.top().mEnd < next;
      next = completes ? mRunning.top().mEnd : next;
      const SteadyTime timer = mController.NextDeadline();
      const bool fires = timer < next;
      next = std::max(mClock.Now(), fires ? timer : next);
      mClock.Advance(next - mClock.Now());
      if (fires) {
        Poll();
      } else if (completes) {
        CompleteOne();
      } else if (arrival != mRates.end()) {
        Arrive(arrival->first.first, arrival->first.second);
        arrival->second.mNext += Exponential(1 / arrival->second.mRate);
      } else {
        return;
      }
    }
  }

  void ClearCounts()
  {
    mCounts = {};
    mByCaller.clear();
  }

  ManualClock mClock;
  AdmissionController mController;
  Random mRandom;
  double mMeanServiceTime = 0.02; // seconds; samples are uniform from 0.5 to 1.5 times this
  uint32_t mParallelism; // requests that run at the same time; the others wait in the server
  // A request that starts while more than this share of mParallelism runs takes longer.
  double mKnee = 1;
  double mSlowdownAboveKnee = 1;
  Duration mDeadline = milliseconds(1000);
  std::array<RankCounts, kMaxRanks> mCounts{};
  std::map<uint64_t, uint32_t> mByCaller; // served
  uint32_t mMaxAboveLimit = 0;

private:
  struct Arrivals
  {
    double mRate = 0;
    SteadyTime mNext;
  };
  struct Request
  {
    size_t mRank = 0;
    uint64_t mCaller = 0;
    SteadyTime mDeadline;
  };
  struct Running
  {
    SteadyTime mEnd;
    AdmissionId mId;
    uint64_t mContext;
    bool operator<(const Running& aOther) const { return mEnd > aOther.mEnd; }
  };

  Duration Exponential(double aMean)
  {
    return Duration(static_cast<int64_t>(-std::log(1 - mRandom.Uniform()) * aMean * 1e9) + 1);
  }

  void Arrive(size_t aRank, uint64_t aCaller)
  {
    const uint64_t context = ++mLastContext;
    const Request request{ aRank, aCaller, mClock.Now() + mDeadline };
    mRequests[context] = request;
    ++mCounts[aRank].mOffered;
    const AdmissionResult result =
      mController.Offer({ aRank, aCaller, mRandom.Next(), request.mDeadline, context });
    if (result.mDecision == Decision::Dispatch) {
      Start(result.mId, context);
    } else if (result.mDecision == Decision::Refused) {
      ++mCounts[aRank].mRefused;
      mRequests.erase(context);
    }
    Poll();
  }

  void Poll()
  {
    std::array<AdmissionAction, 4> actions{};
    size_t count = 0;
    do {
      count = mController.Poll(actions);
      for (size_t i = 0; i < count; ++i) {
        if (actions[i].mDecision == Decision::Dispatch) {
          Start(actions[i].mId, actions[i].mContext);
        } else {
          ++mCounts[mRequests.at(actions[i].mContext).mRank].mRefused;
          mRequests.erase(actions[i].mContext);
        }
      }
    } while (count == actions.size());
  }

  void Start(AdmissionId aId, uint64_t aContext)
  {
    // The limit may decrease while requests run, but none may start above it.
    mMaxAboveLimit = std::max(mMaxAboveLimit, mController.InFlight() > mController.Limit()
                                                ? mController.InFlight() - mController.Limit()
                                                : 0);
    if (mRunning.size() < mParallelism) {
      RunNow(aId, aContext);
    } else {
      mWaiting.push_back({ aId, aContext });
    }
  }

  void RunNow(AdmissionId aId, uint64_t aContext)
  {
    const bool isAboveKnee = static_cast<double>(mRunning.size()) + 1 > mKnee * mParallelism;
    const double service =
      mMeanServiceTime * (0.5 + mRandom.Uniform()) * (isAboveKnee ? mSlowdownAboveKnee : 1);
    mRunning.push({ mClock.Now() + Duration(static_cast<int64_t>(service * 1e9)), aId, aContext });
  }

  void CompleteOne()
  {
    const Running done = mRunning.top();
    mRunning.pop();
    const Request request = mRequests.at(done.mContext);
    mRequests.erase(done.mContext);
    if (mClock.Now() <= request.mDeadline) {
      ++mCounts[request.mRank].mServed;
      ++mByCaller[request.mCaller];
    } else {
      ++mCounts[request.mRank].mLate;
    }
    mController.Complete(done.mId, Outcome::Success);
    while (!mWaiting.empty() && mRunning.size() < mParallelism) {
      RunNow(mWaiting.front().first, mWaiting.front().second);
      mWaiting.pop_front();
    }
    Poll();
  }

  std::map<std::pair<size_t, uint64_t>, Arrivals> mRates;
  std::map<uint64_t, Request> mRequests;
  std::priority_queue<Running> mRunning;
  std::deque<std::pair<AdmissionId, uint64_t>> mWaiting;
  uint64_t mLastContext = 0;
};

} // namespace balsammount::test
