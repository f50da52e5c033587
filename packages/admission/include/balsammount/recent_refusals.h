// Remembers recently refused requests, so that they have priority when they are resent.
#pragma once

#include "balsammount/clock.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace balsammount {

// Requests are identified by a hash of their contents. Memory is bounded; the oldest refusals are
// dropped first.
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
    ++mCounts[aRequestHash].mAvailable;
  }

  // Returns true if the request was refused before. Each refusal matches one resent request.
  bool Take(uint64_t aRequestHash)
  {
    Expire();
    const auto found = mCounts.find(aRequestHash);
    if (found == mCounts.end() || found->second.mAvailable == 0) {
      return false;
    }
    --found->second.mAvailable;
    ++found->second.mTaken;
    return true;
  }

private:
  // Callers resend within a third of their deadline, and deadlines above 15 s are rare.
  static constexpr Duration kRetention = std::chrono::seconds(5);
  static constexpr size_t kMaxRefusals = 4096; // about 100 bytes each

  struct Refusal
  {
    uint64_t mRequestHash;
    SteadyTime mExpiresAt;
  };

  // The refusals of one request that are in mOrder. The oldest ones are taken first.
  struct Count
  {
    uint32_t mAvailable = 0;
    uint32_t mTaken = 0;
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
    Count& count = found->second;
    --(count.mTaken > 0 ? count.mTaken : count.mAvailable);
    if (count.mTaken + count.mAvailable == 0) {
      mCounts.erase(found);
    }
    mOrder.pop_front();
  }

  const Clock& mClock;
  std::deque<Refusal> mOrder;
  std::unordered_map<uint64_t, Count> mCounts;
};

} // namespace balsammount
