// Requests that were refused a short time ago, so that those that come back go first.
#pragma once

#include "balsammount/clock.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace balsammount {

// Requests are told by a hash of what they ask. Memory is bounded; the oldest refusals go first.
class RecentRefusals
{
public:
  explicit RecentRefusals(const Clock& aClock)
    : mClock(aClock)
  {
  }

  void Add(uint64_t aRequestHash)
  {
    Expire();
    if (mOrder.size() >= kMaxRefusals) {
      DropOldest();
    }
    mOrder.push_back({ aRequestHash, mClock.Now() + kRetention });
    ++mCounts[aRequestHash];
  }

  // True when the request was refused before. Each refusal counts for one return.
  bool Take(uint64_t aRequestHash)
  {
    Expire();
    const auto found = mCounts.find(aRequestHash);
    if (found == mCounts.end() || found->second == 0) {
      return false;
    }
    --found->second;
    return true;
  }

private:
  // Callers come back within a third of their time; longer deadlines than 15 s are rare.
  static constexpr Duration kRetention = std::chrono::seconds(5);
  static constexpr size_t kMaxRefusals = 4096; // about 100 bytes each

  struct Refusal
  {
    uint64_t mRequestHash;
    SteadyTime mExpiresAt;
  };

  void Expire()
  {
    while (!mOrder.empty() && mOrder.front().mExpiresAt <= mClock.Now()) {
      DropOldest();
    }
  }

  void DropOldest()
  {
    const auto found = mCounts.find(mOrder.front().mRequestHash);
    if (found != mCounts.end()) {
      found->second -= found->second > 0 ? 1 : 0;
      if (found->second == 0) {
        mCounts.erase(found);
      }
    }
    mOrder.pop_front();
  }

  const Clock& mClock;
  std::deque<Refusal> mOrder;
  std::unordered_map<uint64_t, uint32_t> mCounts;
};

} // namespace balsammount
