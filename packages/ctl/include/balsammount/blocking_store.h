// Store calls that wait for their result, for programs that do one thing after the other.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/store.h"

namespace balsammount {

class BlockingStore
{
public:
  // aStep runs the event loop for a short while; it is called until a result is there. The store's
  // own timeouts bound every call.
  BlockingStore(Store& aStore, const Clock& aClock, std::function<void()> aStep)
    : mStore(aStore)
    , mClock(aClock)
    , mStep(std::move(aStep))
  {
  }

  StoreResult<StoreRead> Get(const std::string& aKey);
  StoreResult<Revision> CompareAndSwap(const std::string& aKey, Revision aExpected,
                                       const std::string& aValue);
  void Pause(Duration aDuration);

private:
  Store& mStore;
  const Clock& mClock;
  std::function<void()> mStep;
};

// Connects to a store given as "IP:PORT[,IP:PORT...]".
Result<std::shared_ptr<BlockingStore>> OpenStore(const std::string& aEndpoints);

} // namespace balsammount
