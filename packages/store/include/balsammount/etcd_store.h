// Store client for the JSON gateway of the etcd v3 API (/v3/...).
#pragma once

#include "balsammount/store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <vector>

namespace balsammount {

struct EtcdStoreSettings
{
  std::vector<boost::asio::ip::tcp::endpoint> mEndpoints; // at least one; rotated on failure
  std::chrono::milliseconds mTimeout{ 2000 };             // of a call, including all attempts
  // A watch reconnects if it receives nothing for this time, as its connection may be dead. This
  // costs one call per watch and interval.
  std::chrono::milliseconds mWatchIdleTimeout{ 5000 };
  // Bounds of the exponential delay before a failed watch reconnects. The delay has jitter, so that
  // the watches of a fleet do not reconnect at the same time.
  std::chrono::milliseconds mMinReconnectDelay{ 100 };
  std::chrono::milliseconds mMaxReconnectDelay{ 3000 };
  uint64_t mSeed = 1; // of the jitter
};

class EtcdStore final : public Store
{
public:
  EtcdStore(boost::asio::io_context& aContext, EtcdStoreSettings aSettings);
  ~EtcdStore() override;
  EtcdStore(const EtcdStore&) = delete;
  EtcdStore& operator=(const EtcdStore&) = delete;

  void Get(std::string aKey, StoreCallback<StoreRead> aCallback) override;
  void Range(std::string aPrefix, Freshness aFreshness,
             StoreCallback<StoreRange> aCallback) override;
  void CompareAndSwap(std::string aKey, Revision aExpected, std::string aValue, LeaseId aLease,
                      StoreCallback<Revision> aCallback) override;
  void Delete(std::string aKey, Revision aExpected, StoreCallback<Revision> aCallback) override;
  void GrantLease(std::chrono::seconds aTimeToLive, StoreCallback<StoreLease> aCallback) override;
  void KeepAlive(LeaseId aLease, StoreCallback<std::chrono::seconds> aCallback) override;
  void RevokeLease(LeaseId aLease, StoreCallback<void> aCallback) override;
  std::unique_ptr<StoreWatch> Watch(std::string aKey, Revision aFrom,
                                    WatchCallback aCallback) override;
  std::unique_ptr<StoreWatch> WatchPrefix(std::string aPrefix, Revision aFrom,
                                          WatchCallback aCallback,
                                          std::function<void()> aOnHistoryLost) override;

  struct State;

private:
  std::shared_ptr<State> mState;
};

} // namespace balsammount
