#include "config_service.h"

#include "balsammount/event.h"
#include "balsammount/log.h"
#include "balsammount/unhandled.h"

#include <algorithm>
#include <utility>

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

// Shorter differences between the two clocks are taken for the time between reading them: a process
// without processor time may be interrupted in between.
constexpr Duration kMinSuspension = 20ms;

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
  , mChecksWatch(aDeployment.mConfigConvergence > Duration::zero())
  , mConvergence(aDeployment.mConfigConvergence)
  , mFreshness(aDeployment.mConfigConvergence)
  , mSuspendedTime(aClock.SuspendedTime())
  , mCheckWait(aContext, aClock)
{
}

void ConfigService::AddListener(Listener aListener)
{
  if (mHolder.Current()) {
    aListener(mHolder.Current());
  }
  mListeners.push_back(std::move(aListener));
}

void ConfigService::SetStoreRevisionCallback(std::function<void(Revision)> aCallback)
{
  mOnStoreRevision = std::move(aCallback);
}

void ConfigService::SetStoreWentBackCallback(std::function<void()> aCallback)
{
  mOnStoreWentBack = std::move(aCallback);
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
  mCheckWait.Stop();
  mWatch.reset();
}

OfferOutcome ConfigService::Offer(std::string_view aValue, std::string_view aSource)
{
  const OfferResult result = mHolder.Offer(aValue, aSource);
  switch (result.mOutcome) {
    case OfferOutcome::Applied:
      mAppliedAt = mClock.Now();
      mLastRefusal.clear();
      LogApplied(result.mRevision, aSource);
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

void ConfigService::LogApplied(uint64_t aRevision, std::string_view aSource)
{
  Event event("config", "applied");
  event.Add("revision", aRevision).Add("source", aSource);
  if (const auto age = VerifiedAge()) {
    event.Add("verified_age_ms", *age);
  }
}

void ConfigService::OnVerified(SteadyTime aAsOf, SteadyTime aSentAt, std::string_view aSource)
{
  const auto before = VerifiedAsOf();
  mFreshness.OnVerified(aAsOf, aSentAt);
  const Duration age = before ? mClock.Now() - *before : Duration::zero();
  if (mFreshness.VerifiedAsOf() != before && age > mConvergence) {
    ++mLateVerifications;
    Event("config", "verified-late")
      .Add("revision", mHolder.Revision())
      .Add("age_ms", age)
      .Add("source", aSource);
  }
  mCheckWait.Release(IsChecked());
}

// The steady clock stops while the machine is suspended, so everything is older than it says.
void ConfigService::CheckForSuspension()
{
  const Duration before = std::exchange(mSuspendedTime, mClock.SuspendedTime());
  if (mSuspendedTime - before < kMinSuspension) {
    return;
  }
  mFreshness.OnSuspended(mSuspendedTime - before, mClock.Now());
  Event("node", "suspended").Add("for_ms", mSuspendedTime - before);
}

Duration ConfigService::Age() const
{
  return mHolder.Current() ? mClock.Now() - mAppliedAt : Duration::zero();
}

std::optional<Duration> ConfigService::VerifiedAge()
{
  const auto verified = VerifiedAsOf();
  return verified ? std::optional(mClock.Now() - *verified) : std::nullopt;
}

std::optional<SteadyTime> ConfigService::VerifiedAsOf()
{
  CheckForSuspension();
  return mChecksWatch ? mFreshness.VerifiedAsOf() : std::nullopt;
}

void ConfigService::Read()
{
  const SteadyTime now = mClock.Now();
  mCheckWait.OnReadSent(mFreshness.NextRead());
  mFreshness.OnReadSent(now);
  mStore.Get(mKey, [this, sentAt = now](StoreResult<StoreRead> aResult) {
    // Nothing else reads the store again if an exception ends the first read.
    if (!mStopped && !RunGuarded("config", [&] { OnRead(sentAt, std::move(aResult)); })) {
      ReadLater(kReadRetryInterval);
    }
  });
}

void ConfigService::OnRead(SteadyTime aSentAt, StoreResult<StoreRead> aResult)
{
  CheckForSuspension();
  mCheckWait.OnReadEnded(aSentAt, aResult.has_value());
  if (!aResult) {
    OnReadFailed(aSentAt, aResult.error());
    mCheckWait.Release(IsChecked());
    return;
  }
  mReadFailed = false;
  mFreshness.OnAnswered(aSentAt);
  const StoreRead& read = *aResult;
  const bool wentBack = CheckPosition(aSentAt, read.mRevision);
  const OfferOutcome outcome = CompareWithStore(aSentAt, read);
  const bool isNews = outcome == OfferOutcome::Applied;
  if (isNews || outcome == OfferOutcome::AlreadyKnown) {
    OnVerified(aSentAt, aSentAt, "store");
  } else {
    mFreshness.OnNotVerified(aSentAt, mClock.Now());
  }
  mCheckWait.Release(IsChecked());
  if (!mWatching) {
    ReadLater(kUnwatchedReadInterval);
    return;
  }
  const bool hasMissedNews = mWatch && isNews;
  if (hasMissedNews) {
    Event("config", "watch-missed").Add("revision", mHolder.Revision());
  }
  if (!mWatch || hasMissedNews || wentBack) {
    StartWatch(read.mRevision + 1);
  }
  mOnStoreRevision(read.mRevision);
  if (mChecksWatch) {
    CheckWhenDue();
  }
}

// Returns whether the store has gone back.
bool ConfigService::CheckPosition(SteadyTime aSentAt, Revision aRevision)
{
  const Revision highest = mPosition.Highest();
  if (!mPosition.OnAnswer(aSentAt, mClock.Now(), aRevision)) {
    return false;
  }
  ++mStoreReturns;
  Event("store", "went-back").Add("store_revision", aRevision).Add("highest", highest);
  mOnStoreWentBack();
  return true;
}

// Offers the value that was read, and returns how it relates to the configuration in force.
OfferOutcome ConfigService::CompareWithStore(SteadyTime aSentAt, const StoreRead& aRead)
{
  const OfferOutcome outcome =
    aRead.mEntry ? OfferFromStore(aRead.mEntry->mValue) : OfferOutcome::RefusedLower;
  const bool isDifferent =
    mHolder.Current() && outcome != OfferOutcome::Applied && outcome != OfferOutcome::AlreadyKnown;
  // The store may have been read before the configuration in force was written.
  if (isDifferent && aSentAt <= mAppliedAt) {
    return outcome;
  }
  if (std::exchange(mStoreDiffers, isDifferent) != isDifferent) {
    Event("config", isDifferent ? "store-differs" : "store-agrees")
      .Add("revision", mHolder.Revision())
      .Add("present", aRead.mEntry.has_value())
      .Add("mod_revision", aRead.mEntry ? aRead.mEntry->mModRevision : kAbsent)
      .Add("store_revision", aRead.mRevision);
  }
  return outcome;
}

void ConfigService::OnReadFailed(SteadyTime aSentAt, const StoreFailure& aFailure)
{
  if (!std::exchange(mReadFailed, true)) {
    Log("config").warn("cannot read the configuration from the store: {}", Describe(aFailure));
  }
  if (mChecksWatch && mWatch) {
    mFreshness.OnNotVerified(aSentAt, mClock.Now());
    CheckWhenDue();
    return;
  }
  ReadLater(mHolder.Current() ? kReadRetryIntervalWithConfig : kReadRetryInterval);
}

// Configurations are ordered by their own revision. The mod revision does not order them: a store
// that has returned from an older copy gives it out again. A value that was refused last time is
// not offered again, so that it is not reported with every read.
OfferOutcome ConfigService::OfferFromStore(const std::string& aValue)
{
  if (mRefusal && mRefusal->mValue == aValue) {
    return mRefusal->mOutcome;
  }
  const OfferOutcome outcome = Offer(aValue, "store");
  const bool isUsed = outcome == OfferOutcome::Applied || outcome == OfferOutcome::AlreadyKnown;
  mRefusal = isUsed ? std::nullopt : std::optional(RefusedValue{ aValue, outcome });
  return outcome;
}

void ConfigService::StartWatch(Revision aFrom)
{
  mWatch = mStore.Watch(mKey, aFrom, [this](const WatchEvent& aEvent) {
    if (aEvent.mValue) {
      OfferFromStore(*aEvent.mValue);
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
  mTimer.async_wait([this, aDelay](const auto& aError) {
    if (!aError && !RunGuarded("config", [this] { Read(); })) {
      ReadLater(aDelay);
    }
  });
}

// Other nodes may verify the configuration while the timer runs, so what is due is looked up when
// it expires.
void ConfigService::CheckWhenDue()
{
  const SteadyTime read = mFreshness.NextRead();
  const SteadyTime due = std::min(mFreshness.NextQuestion().value_or(read), read);
  mTimer.expires_after(std::max(due - mClock.Now(), Duration::zero()));
  mTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      RunGuarded("config", [this] { Check(); });
      CheckWhenDue();
    }
  });
}

void ConfigService::Check()
{
  const SteadyTime now = mClock.Now();
  if (now >= mFreshness.NextRead()) {
    Read();
  } else if (const auto question = mFreshness.NextQuestion(); question && now >= *question) {
    mFreshness.OnAsked(now);
    mAsk();
  }
}

bool ConfigService::MustWait()
{
  if (!mChecksWatch || !mWatching || !mFreshness.VerifiedAsOf()) {
    return false;
  }
  CheckForSuspension();
  if (IsChecked()) {
    return false;
  }
  if (mClock.Now() >= mFreshness.NextRead()) {
    Read();
  }
  return mCheckWait.IsAnswerExpected();
}

bool ConfigService::IsChecked() const
{
  const auto checked = mFreshness.CheckedAsOf();
  return checked && mClock.Now() - *checked < mConvergence;
}

} // namespace balsammount
