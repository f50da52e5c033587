#include "config_service.h"

#include "balsammount/log.h"

namespace balsammount {

using namespace std::chrono_literals;

namespace {

// Delay before a failed read of the store is retried.
constexpr auto kReadRetryInterval = 500ms;
// The same once a configuration has been applied. It is longer, because each call to the store has
// a cost and other nodes pass on newer configurations.
constexpr auto kReadRetryIntervalWithConfig = 1000ms;
// Interval of reads without a watch, in case gossip does not deliver a new configuration.
constexpr auto kUnwatchedReadInterval = 60s;

std::string DescribeRefusal(const OfferResult& aResult)
{
  if (aResult.mFailure) {
    return Describe(*aResult.mFailure);
  }
  if (!aResult.mDiagnostics.empty()) {
    return Describe(aResult.mDiagnostics.front());
  }
  return "revision " + std::to_string(aResult.mRevision) +
         " has different content from the one in force";
}

} // namespace

ConfigService::ConfigService(boost::asio::io_context& aContext, const Clock& aClock, Store& aStore,
                             const DeploymentOptions& aDeployment)
  : mClock(aClock)
  , mStore(aStore)
  , mKey(aDeployment.mConfigKey)
  , mTimer(aContext)
  , mHolder(aDeployment.mDecodeConfig)
  , mWatching(aDeployment.mDiscovery == Discovery::Store)
{
}

void ConfigService::AddListener(Listener aListener)
{
  if (mHolder.Current()) {
    aListener(mHolder.Current());
  }
  mListeners.push_back(std::move(aListener));
}

Result<void> ConfigService::Start()
{
  Read();
  return {};
}

void ConfigService::Stop()
{
  mStopped = true;
  mTimer.cancel();
  mWatch.reset();
}

OfferOutcome ConfigService::Offer(std::string_view aValue, std::string_view aSource)
{
  const OfferResult result = mHolder.Offer(aValue, aSource);
  switch (result.mOutcome) {
    case OfferOutcome::Applied:
      mAppliedAt = mClock.Now();
      mLastRefusal.clear();
      Log("config").info("applied revision {} from {}", result.mRevision, aSource);
      for (const Listener& listener : mListeners) {
        listener(mHolder.Current());
      }
      break;
    case OfferOutcome::RefusedInvalid:
    case OfferOutcome::RefusedConflicting:
      mLastRefusal = DescribeRefusal(result);
      Log("config").error("rejected a value from {}: {}", aSource, mLastRefusal);
      break;
    case OfferOutcome::RefusedLower:
      Log("config").warn("rejected revision {} from {}: revision {} is in force", result.mRevision,
                         aSource, mHolder.Revision());
      break;
    case OfferOutcome::AlreadyKnown:
      break;
  }
  return result.mOutcome;
}

Duration ConfigService::Age() const
{
  return mHolder.Current() ? mClock.Now() - mAppliedAt : Duration::zero();
}

void ConfigService::Read()
{
  mStore.Get(mKey, [this](StoreResult<StoreRead> aResult) { OnRead(std::move(aResult)); });
}

void ConfigService::OnRead(StoreResult<StoreRead> aResult)
{
  if (mStopped) {
    return;
  }
  if (!aResult) {
    Log("config").warn("cannot read the configuration from the store: {}",
                       Describe(aResult.error()));
    ReadLater(mHolder.Current() ? kReadRetryIntervalWithConfig : kReadRetryInterval);
    return;
  }
  if (aResult->mEntry) {
    Offer(aResult->mEntry->mValue, "store");
  }
  if (!mWatching) {
    ReadLater(kUnwatchedReadInterval);
    return;
  }
  mWatch = mStore.Watch(mKey, aResult->mRevision + 1, [this](const WatchEvent& aEvent) {
    if (aEvent.mValue) {
      Offer(*aEvent.mValue, "store");
    }
  });
}

void ConfigService::SetWatching(bool aWatching)
{
  if (aWatching == mWatching) {
    return;
  }
  mWatching = aWatching;
  mWatch.reset();
  if (mWatching) {
    Read();
  }
}

void ConfigService::ReadLater(Duration aDelay)
{
  mTimer.expires_after(aDelay);
  mTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      Read();
    }
  });
}

} // namespace balsammount
