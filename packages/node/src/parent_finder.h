// Finds the running request that a call of the backend server belongs to, for deployments whose
// calls do not name their parent.
//
// Pattern: the last service of a chain is overloaded, and all calls to it have the same rank,
// whatever the chains that they belong to are worth. The most urgent chains make the most calls, so
// they fail most often. With the rank of their chain, calls are refused least urgent first.
#pragma once

#include "balsammount/clock.h"

#include <chrono>
#include <map>
#include <memory>

namespace balsammount {

// A call expires together with its parent, so its deadline identifies the parent. A wrong match,
// with another request that expires within milliseconds of the parent, costs a wrong rank.
template <class Request>
class ParentFinder
{
public:
  using Entry = typename std::multimap<SteadyTime, std::shared_ptr<Request>>::iterator;

  // Adds a request that has been dispatched to the backend server.
  Entry Add(SteadyTime aDeadline, std::shared_ptr<Request> aRequest)
  {
    return mRequests.emplace(aDeadline, std::move(aRequest));
  }
  void Remove(Entry aEntry) { mRequests.erase(aEntry); }

  // Returns the request that the call belongs to, or null. aDeadline is the time of arrival of the
  // call plus the time that it states to have left.
  std::shared_ptr<Request> Find(SteadyTime aDeadline) const
  {
    // Each transfer of a deadline rounds it down to milliseconds, and the time until the call is
    // read is added to it.
    constexpr Duration kRounding = std::chrono::milliseconds(2);
    constexpr Duration kMaxDelay = std::chrono::milliseconds(50);
    auto next = mRequests.upper_bound(aDeadline + kRounding);
    if (next == mRequests.begin()) {
      return nullptr;
    }
    const auto& [deadline, request] = *--next;
    return aDeadline - deadline <= kMaxDelay ? request : nullptr;
  }

private:
  std::multimap<SteadyTime, std::shared_ptr<Request>> mRequests; // by deadline
};

} // namespace balsammount
