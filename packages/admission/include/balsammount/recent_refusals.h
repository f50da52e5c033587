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
    ++mCounts[aRequestHash];
  }

  // Returns true if the request was refused before. Each refusal matches one resent request.
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
  // Callers resend within a third of their deadline, and deadlines above 15 s are rare.
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
