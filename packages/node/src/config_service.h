// Keeps the configuration of this node up to date from the store and other nodes.
#pragma once

#include "balsammount/config_revision.h"
#include "balsammount/deployment_options.h"
#include "balsammount/kernel.h"
#include "balsammount/store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace balsammount {

class ConfigService final : public Service
{
public:
  using Listener = std::function<void(const std::shared_ptr<const Config>&)>;

  ConfigService(boost::asio::io_context& aContext, const Clock& aClock, Store& aStore,
                const DeploymentOptions& aDeployment);

  // Calls the listener whenever a configuration is applied, and at once if there is one already.
  void AddListener(Listener aListener);

  Result<void> Start() override;
  void Stop() override;

  // Sets whether this node watches the store. Without a watch it still reads the store
  // periodically.
  void SetWatching(bool aWatching);

  // Offers a value from a peer or the store. Notifies the listeners if it is applied.
  OfferOutcome Offer(std::string_view aValue, std::string_view aSource);

  const ConfigHolder& Holder() const { return mHolder; }
  // Time since the current configuration was applied; zero if there is none.
  Duration Age() const;
  // Why the last rejected value was rejected; empty if there is none or a value has
  // been applied since.
  const std::string& LastRefusal() const { return mLastRefusal; }

private:
  void Read();
  void OnRead(StoreResult<StoreRead> aResult);
  void ReadLater(Duration aDelay);

  const Clock& mClock;
  Store& mStore;
  std::string mKey;
  boost::asio::steady_timer mTimer;
  ConfigHolder mHolder;
  std::vector<Listener> mListeners;
  std::unique_ptr<StoreWatch> mWatch;
  SteadyTime mAppliedAt{};
  std::string mLastRefusal;
  bool mWatching;
  bool mStopped = false;
};

} // namespace balsammount
