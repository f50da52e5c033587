// Keeps the configuration of this node up to date from the store and other nodes.
#pragma once

#include "check_wait.h"
#include "config_check.h"

#include "balsammount/config_freshness.h"
#include "balsammount/config_revision.h"
#include "balsammount/deployment_options.h"
#include "balsammount/kernel.h"
#include "balsammount/store.h"
#include "balsammount/store_position.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace balsammount {

class ConfigService final
  : public Service
  , public ConfigCheck
{
public:
  using Listener = std::function<void(const std::shared_ptr<const Config>&)>;

  ConfigService(boost::asio::io_context& aContext, const Clock& aClock, Store& aStore,
                const DeploymentOptions& aDeployment);

  // Calls the listener whenever a configuration is applied, and at once if there is one already.
  void AddListener(Listener aListener);
  // The callback receives the revision of the store after each read of the configuration.
  void SetStoreRevisionCallback(std::function<void(Revision)> aCallback);

  // The callback is called when the store is found to have returned from an older copy.
  void SetStoreWentBackCallback(std::function<void()> aCallback);

  Result<void> Start() override;
  void Stop() override;

  // Sets whether this node watches the store. Without a watch it still reads the store
  // periodically.
  void SetWatching(bool aWatching);

  // Sets the position of this node in the tree of ConfigFreshness, and the function that asks the
  // node above it. The answer, if there is one, is given to OnVerified.
  void SetDepth(size_t aDepth, uint64_t aSpread) { mFreshness.SetDepth(aDepth, aSpread); }
  void SetQuestion(std::function<void()> aAsk) { mAsk = std::move(aAsk); }
  // The configuration in force was the newest one in the store at aAsOf, according to the answer of
  // aSource to a request that was sent at aSentAt.
  void OnVerified(SteadyTime aAsOf, SteadyTime aSentAt, std::string_view aSource);

  // Requests wait only if the check is late because of this node, not if the store does not answer.
  bool MustWait() override;
  void WhenChecked(std::function<void()> aAction) override { mCheckWait.Add(std::move(aAction)); }
  // Number of requests that have waited for a check.
  uint64_t WaitedRequests() const { return mCheckWait.Waited(); }

  // Offers a value from a peer or the store. Notifies the listeners if it is applied.
  OfferOutcome Offer(std::string_view aValue, std::string_view aSource);

  const ConfigHolder& Holder() const { return mHolder; }
  // Time since the current configuration was applied; zero if there is none.
  Duration Age() const;
  // Time since the current configuration was known to be the newest one in the store; nullopt if
  // this node does not check that.
  std::optional<Duration> VerifiedAge();
  std::optional<SteadyTime> VerifiedAsOf();
  // Number of verifications that came later than the convergence time after the one before.
  uint64_t LateVerifications() const { return mLateVerifications; }
  // How often the store was found to have returned from an older copy.
  uint64_t StoreReturns() const { return mStoreReturns; }
  // Whether the last read of the store brought another value than the one in force, or none.
  bool StoreDiffers() const { return mStoreDiffers; }
  // Why the last rejected value was rejected; empty if there is none or a value has
  // been applied since.
  const std::string& LastRefusal() const { return mLastRefusal; }

private:
  struct RefusedValue
  {
    std::string mValue;
    OfferOutcome mOutcome = OfferOutcome::RefusedInvalid;
  };

  void Read();
  void OnRead(SteadyTime aSentAt, StoreResult<StoreRead> aResult);
  void OnReadFailed(SteadyTime aSentAt, const StoreFailure& aFailure);
  void LogApplied(uint64_t aRevision, std::string_view aSource);
  void CheckForSuspension();
  bool CheckPosition(SteadyTime aSentAt, Revision aRevision);
  OfferOutcome CompareWithStore(SteadyTime aSentAt, const StoreRead& aRead);
  OfferOutcome OfferFromStore(const std::string& aValue);
  void StartWatch(Revision aFrom);
  void ReadLater(Duration aDelay);
  void CheckWhenDue();
  void Check();
  bool IsChecked() const;

  const Clock& mClock;
  Store& mStore;
  std::string mKey;
  boost::asio::steady_timer mTimer;
  ConfigHolder mHolder;
  std::vector<Listener> mListeners;
  std::function<void(Revision)> mOnStoreRevision = [](Revision) {};
  std::function<void()> mOnStoreWentBack = [] {};
  std::function<void()> mAsk = [] {};
  std::unique_ptr<StoreWatch> mWatch;
  StorePosition mPosition;
  std::optional<RefusedValue> mRefusal; // the last value from the store, if it was refused
  SteadyTime mAppliedAt{};
  std::string mLastRefusal;
  bool mWatching;
  bool mChecksWatch; // whether the store is read in case the watch has missed a change
  Duration mConvergence;
  ConfigFreshness mFreshness;
  Duration mSuspendedTime; // of the machine, when it was last looked at
  uint64_t mLateVerifications = 0;
  uint64_t mStoreReturns = 0;
  bool mStoreDiffers = false;
  CheckWait mCheckWait;
  bool mReadFailed = false; // the last read of the store
  bool mStopped = false;
};

} // namespace balsammount
