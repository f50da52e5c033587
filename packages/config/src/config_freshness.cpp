#include "balsammount/config_freshness.h"

#include <algorithm>
#include <array>

namespace balsammount {

namespace {

// All shares are shares of the convergence time. They leave time for one lost answer at each depth:
// the latest age at which a node reads, the time until the read is repeated, the response of a slow
// store (0.1) and 0.05 for the event loop of the node add up to less than 1. Two lost answers in a
// row are an outage of the store.

// Ages of the verification at which a node asks the one above it, by depth. Each level asks later
// than the one above it knows the response of a slow store, whose answer is therefore younger.
constexpr std::array kQuestionShares = { 0.0, 0.58, 0.6 };
// Ages at which a node reads the store, by depth. Those that hear nothing from above read between
// the age of their depth and a little later.
constexpr std::array kReadShares = { 0.45, 0.62, 0.62 };
constexpr double kReadSpread = 0.08;
// Number of ages over which the nodes of a depth are spread.
constexpr uint64_t kSpreadSteps = 16;

// Time between two questions if the first one brought no recent answer.
constexpr double kRepeatedQuestionShare = 0.5;
// An answer is recent if it is younger than what is known by this.
constexpr double kRecentShare = 0.05;
// Time after which a read that has failed or got no answer is repeated, without waiting for its
// time limit. A slow store answers before.
constexpr double kRepeatedReadShare = 0.15;
// Time between later reads without an answer: the time limit of a read.
constexpr double kSilentReadShare = 0.75;
// Time between later reads that fail.
constexpr double kRetryShare = 0.5;
// Reads without an answer that are older than this say nothing about the next one.
constexpr double kSilenceShare = 2;
// Delay after a failure that was noticed later than that.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);

} // namespace

ConfigFreshness::ConfigFreshness(Duration aConvergence)
  : mConvergence(aConvergence)
{
}

void ConfigFreshness::SetDepth(size_t aDepth, uint64_t aSpread)
{
  mDepth = std::min(aDepth, kReadShares.size() - 1);
  mSpread = aSpread;
}

void ConfigFreshness::OnVerified(SteadyTime aAsOf, SteadyTime aSentAt)
{
  if (aSentAt <= mSuspensionNoticedAt) {
    return;
  }
  if (!mVerifiedAsOf || aAsOf >= *mVerifiedAsOf + Share(kRecentShare)) {
    mNoQuestionBefore = {};
  }
  mVerifiedAsOf = std::max(mVerifiedAsOf.value_or(aAsOf), aAsOf);
}

void ConfigFreshness::OnSuspended(Duration aTime, SteadyTime aNow)
{
  mSuspensionNoticedAt = aNow;
  for (auto* const time : { &mVerifiedAsOf, &mAnsweredAsOf }) {
    if (*time) {
      **time -= aTime;
    }
  }
  for (auto* const time : { &mNoQuestionBefore, &mNoReadBefore, &mLastReadSent }) {
    *time -= aTime;
  }
}

void ConfigFreshness::OnAsked(SteadyTime aNow)
{
  mNoQuestionBefore = aNow + Share(kRepeatedQuestionShare);
}

void ConfigFreshness::OnReadSent(SteadyTime aNow)
{
  if (aNow - mLastReadSent >= Share(kSilenceShare)) {
    mUnanswered = 0;
  }
  ++mUnanswered;
  mLastReadSent = aNow;
  mNoReadBefore = aNow + Share(mUnanswered == 1 ? kRepeatedReadShare : kSilentReadShare);
}

void ConfigFreshness::OnAnswered(SteadyTime aSentAt)
{
  if (aSentAt > mSuspensionNoticedAt) {
    mAnsweredAsOf = std::max(mAnsweredAsOf.value_or(aSentAt), aSentAt);
  }
  mUnanswered = 0;
  mNoReadBefore = mLastReadSent + Share(kRepeatedReadShare);
}

void ConfigFreshness::OnNotVerified(SteadyTime aSentAt, SteadyTime aNow)
{
  // A newer read decides.
  if (aSentAt < mLastReadSent) {
    return;
  }
  const double share = mUnanswered == 1 ? kRepeatedReadShare : kRetryShare;
  mNoReadBefore = std::max(aSentAt + Share(share), aNow + kMinRetryDelay);
}

std::optional<SteadyTime> ConfigFreshness::NextQuestion() const
{
  if (mDepth == 0 || !mVerifiedAsOf) {
    return std::nullopt;
  }
  return std::max(*mVerifiedAsOf + Share(kQuestionShares[mDepth]), mNoQuestionBefore);
}

SteadyTime ConfigFreshness::NextRead() const
{
  return mVerifiedAsOf ? std::max(*mVerifiedAsOf + ReadAge(), mNoReadBefore) : mNoReadBefore;
}

Duration ConfigFreshness::Share(double aShare) const
{
  return std::chrono::duration_cast<Duration>(mConvergence * aShare);
}

Duration ConfigFreshness::ReadAge() const
{
  const double position = static_cast<double>(mSpread % kSpreadSteps) / kSpreadSteps;
  return Share(kReadShares[mDepth] + (mDepth == 0 ? 0 : kReadSpread * position));
}

} // namespace balsammount
