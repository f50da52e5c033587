// Synchronous access to a Store, for sequential programs.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/store.h"

namespace balsammount {

class BlockingStore
{
public:
  // aStep runs the event loop briefly; it is called until the result is available. Each call is
  // bounded by the store's own timeouts.
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

// Opens the store at aEndpoints, given as "IP:PORT[,IP:PORT...]".
Result<std::shared_ptr<BlockingStore>> OpenStore(const std::string& aEndpoints);

} // namespace balsammount
