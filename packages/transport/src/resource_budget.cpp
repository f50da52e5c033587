#include "balsammount/resource_budget.h"

#include "balsammount/event.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace balsammount {

using namespace std::chrono_literals;

namespace {

// A peer that moves fewer bytes than this in the stall time makes no progress. A peer on a slow
// link moves several times as much.
constexpr size_t kMinProgressBytes = 1024;
constexpr auto kStallTime = 1000ms;

// Holders of up to this many bytes are ordinary ones. The last quarter of the budget is kept for
// them.
constexpr size_t kOrdinaryBytes = 64 * 1024;

// As long as all others hold less than a quarter, a large holder may use more, so that a single
// message of the longest size fits into a small budget. This share is always left.
constexpr size_t kLeftShare = 16; // a sixteenth

// The memory of holders that have yielded is returned a moment later. Until then this share of the
// limit may be in use twice.
constexpr size_t kYieldingShare = 2; // a half

size_t ThreeQuarters(size_t aLimit)
{
  return aLimit - aLimit / 4;
}

} // namespace

ResourceHolder::ResourceHolder(std::shared_ptr<ResourceBudget> aBudget, std::string aCaller,
                               HolderCallbacks aCallbacks)
  : mBudget(std::move(aBudget))
  , mCallbacks(std::move(aCallbacks))
  , mCaller(mBudget->mCallers.try_emplace(std::move(aCaller)).first)
  , mPosition(mBudget->mHolders.insert(mBudget->mHolders.end(), this))
  , mProgress(mBudget->mClock.Now())
{
  ++mCaller->second.mHolders;
}

ResourceHolder::~ResourceHolder()
{
  ReturnSocket();
  Return(mBytes);
  mBudget->mHolders.erase(mPosition);
  if (--mCaller->second.mHolders == 0) {
    mBudget->mCallers.erase(mCaller);
  }
}

bool ResourceHolder::TryTake(size_t aBytes)
{
  if (!mBudget->MakeRoom(*this, aBytes)) {
    Event("resources", "refused")
      .Add("caller", mCaller->first)
      .Add("for", "bytes")
      .Add("bytes", mBytes)
      .Add("wanted", aBytes)
      .Add("used_bytes", mBudget->mBytes);
    return false;
  }
  Take(aBytes);
  return true;
}

void ResourceHolder::Take(size_t aBytes)
{
  mBytes += aBytes;
  mCaller->second.mBytes += aBytes;
  mBudget->mBytes += aBytes;
  if (mYielding) {
    mBudget->mYieldingBytes += aBytes;
  }
}

void ResourceHolder::Return(size_t aBytes)
{
  mBytes -= aBytes;
  mCaller->second.mBytes -= aBytes;
  mBudget->mBytes -= aBytes;
  if (mYielding) {
    mBudget->mYieldingBytes -= aBytes;
  }
}

bool ResourceHolder::TryTakeSocket()
{
  if (!mBudget->MakeSocketAvailable(ThreeQuarters(mBudget->mLimits.mSockets))) {
    Event("resources", "refused")
      .Add("caller", mCaller->first)
      .Add("for", "socket")
      .Add("used_sockets", mBudget->mSockets);
    return false;
  }
  mHasSocket = true;
  ++mBudget->mSockets;
  ++mBudget->mAcceptedSockets;
  return true;
}

void ResourceHolder::ReturnSocket()
{
  if (std::exchange(mHasSocket, false)) {
    --mBudget->mSockets;
    --mBudget->mAcceptedSockets;
  }
}

void ResourceHolder::OnBegin()
{
  mRecentBytes = 0;
  mProgress = mBudget->mClock.Now();
}

void ResourceHolder::OnProgress(size_t aBytes)
{
  mRecentBytes += aBytes;
  if (mRecentBytes >= kMinProgressBytes) {
    OnBegin();
  }
}

std::shared_ptr<ResourceHolder> ResourceBudget::AddHolder(std::string aCaller,
                                                          HolderCallbacks aCallbacks)
{
  return std::make_shared<ResourceHolder>(shared_from_this(), std::move(aCaller),
                                          std::move(aCallbacks));
}

bool ResourceBudget::TryTakeSocket()
{
  if (!MakeSocketAvailable(mLimits.mSockets)) {
    return false;
  }
  ++mSockets;
  return true;
}

bool ResourceBudget::IsLarge(size_t aBytes)
{
  return aBytes > kOrdinaryBytes;
}

bool ResourceBudget::HasBytes(const ResourceHolder& aHolder, size_t aBytes) const
{
  size_t limit = mLimits.mBytes;
  if (IsLarge(aHolder.mBytes + aBytes)) {
    const bool isAlone = mBytes - aHolder.mBytes <= mLimits.mBytes / 4;
    limit = isAlone ? limit - limit / kLeftShare : ThreeQuarters(limit);
  }
  const size_t used = mBytes - std::min(mYieldingBytes, mLimits.mBytes / kYieldingShare);
  return used <= limit && aBytes <= limit - used;
}

bool ResourceBudget::MakeRoom(const ResourceHolder& aHolder, size_t aBytes)
{
  while (!HasBytes(aHolder, aBytes)) {
    const bool mustWait = mYieldingBytes >= mLimits.mBytes / kYieldingShare;
    ResourceHolder* const other = mustWait ? nullptr : FindForBytes(aHolder, aBytes);
    if (!other) {
      return false;
    }
    Yield(*other, YieldFor::Bytes);
  }
  return true;
}

bool ResourceBudget::MakeSocketAvailable(size_t aLimit)
{
  while (mSockets >= aLimit) {
    ResourceHolder* const other = FindForSocket();
    if (!other) {
      return false;
    }
    Yield(*other, YieldFor::Socket);
  }
  return true;
}

bool ResourceBudget::IsStalled(const ResourceHolder& aHolder, SteadyTime aNow) const
{
  return aNow - aHolder.mProgress >= kStallTime;
}

// Prefers stalled holders. Others yield only to an ordinary holder with less than half as much, so
// that large messages do not end one another in turn. Idle connections are the last, those that
// have been idle for longest before the others.
ResourceHolder* ResourceBudget::FindForBytes(const ResourceHolder& aFor, size_t aBytes) const
{
  const SteadyTime now = mClock.Now();
  const size_t wanted = aFor.mBytes + aBytes;
  using Rank = std::tuple<int, size_t, size_t>;
  const auto age = [now](const ResourceHolder& aHolder) {
    const auto time = now - aHolder.mProgress;
    return static_cast<size_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
  };
  Rank bestRank{};
  ResourceHolder* best = nullptr;
  for (ResourceHolder* holder : mHolders) {
    if (holder == &aFor || holder->mYielding || !holder->mCallbacks.mYield) {
      continue;
    }
    const HolderActivity activity = holder->mCallbacks.mActivity();
    const bool isWaiting = activity == HolderActivity::Waiting;
    const bool isStalled = isWaiting && IsStalled(*holder, now);
    const bool isGreater = isWaiting && !IsLarge(wanted) && holder->mBytes / 2 >= wanted;
    if (activity == HolderActivity::Working || (isWaiting && !isStalled && !isGreater)) {
      continue;
    }
    const Rank rank = isWaiting
                        ? Rank{ isStalled ? 2 : 1, holder->mCaller->second.mBytes, holder->mBytes }
                        : Rank{ 0, 0, age(*holder) };
    if (!best || rank > bestRank) {
      best = holder;
      bestRank = rank;
    }
  }
  return best;
}

// Chooses the connection that has been without progress for longest. One that was used a moment ago
// is left alone if another one was not.
ResourceHolder* ResourceBudget::FindForSocket() const
{
  ResourceHolder* best = nullptr;
  for (ResourceHolder* holder : mHolders) {
    if (!holder->mHasSocket || holder->mYielding || !holder->mCallbacks.mYield ||
        holder->mCallbacks.mActivity() == HolderActivity::Working) {
      continue;
    }
    if (!best || holder->mProgress < best->mProgress) {
      best = holder;
    }
  }
  return best;
}

void ResourceBudget::Yield(ResourceHolder& aHolder, YieldFor aNeed)
{
  ++mYields;
  aHolder.mYielding = true;
  mYieldingBytes += aHolder.mBytes;
  Event("resources", "yield")
    .Add("caller", aHolder.mCaller->first)
    .Add("for", aNeed == YieldFor::Bytes ? "bytes" : "socket")
    .Add("bytes", aHolder.mBytes)
    .Add("used_bytes", mBytes)
    .Add("used_sockets", mSockets);
  // The callback may destroy the holder.
  const auto yield = std::exchange(aHolder.mCallbacks, {}).mYield;
  yield(aNeed);
}

} // namespace balsammount
