// Accounts for the memory and the sockets that a process holds for its peers: callers, other nodes
// and the backend server. When the limits are reached, holders that make no progress yield first,
// those with most bytes before the others.
#pragma once

#include "balsammount/clock.h"

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace balsammount {

struct ResourceLimits
{
  size_t mBytes = 64 * 1024 * 1024;
  size_t mSockets = 3900; // accepted ones may use three quarters
};

// What a holder does.
enum class HolderActivity
{
  Idle,    // holds a connection, but no message
  Waiting, // for its peer, which sends a message or reads one
  Working, // on a message of its peer, which cannot do anything
};

// What a holder yields for.
enum class YieldFor
{
  Bytes,
  Socket,
};

struct HolderCallbacks
{
  std::function<HolderActivity()> mActivity;
  // Ends what the holder waits for, so that its bytes and its socket are returned. Memory that a
  // pending operation uses may be returned a little later.
  std::function<void(YieldFor)> mYield;
};

// Callbacks of an owner that is known only after its holder. An owner that is gone does not yield.
template <class Owner>
HolderCallbacks CallbacksOf(const std::shared_ptr<std::weak_ptr<Owner>>& aOwner)
{
  return { [aOwner] {
            const auto owner = aOwner->lock();
            return owner ? owner->Activity() : HolderActivity::Working;
          },
           [aOwner](YieldFor aNeed) {
             if (const auto owner = aOwner->lock()) {
               owner->Yield(aNeed);
             }
           } };
}

class ResourceBudget;

// Holds resources for one peer: a connection of a caller or a request of another node.
class ResourceHolder
{
public:
  ResourceHolder(std::shared_ptr<ResourceBudget> aBudget, std::string aCaller,
                 HolderCallbacks aCallbacks);
  ~ResourceHolder();
  ResourceHolder(const ResourceHolder&) = delete;
  ResourceHolder& operator=(const ResourceHolder&) = delete;

  // Returns false and takes nothing if the bytes are not available, not even after others have
  // yielded.
  bool TryTake(size_t aBytes);
  // Takes bytes that are in use already, so that the limit may be exceeded.
  void Take(size_t aBytes);
  void Return(size_t aBytes);

  // Takes the socket of an accepted connection. Returns false if no socket is available.
  bool TryTakeSocket();
  void ReturnSocket();

  // The peer begins something new: it has sent the first byte of a message, or is to read one.
  void OnBegin();
  // Reports bytes that the peer has sent or taken.
  void OnProgress(size_t aBytes);

  size_t Bytes() const { return mBytes; }

private:
  friend class ResourceBudget;
  struct Caller
  {
    size_t mBytes = 0;
    size_t mHolders = 0;
  };
  using Callers = std::map<std::string, Caller>;

  std::shared_ptr<ResourceBudget> mBudget;
  HolderCallbacks mCallbacks;
  Callers::iterator mCaller;
  std::list<ResourceHolder*>::iterator mPosition;
  size_t mBytes = 0;
  size_t mRecentBytes = 0; // moved since mProgress
  SteadyTime mProgress;    // time of the last beginning or progress
  bool mHasSocket = false;
  bool mYielding = false;
};

class ResourceBudget : public std::enable_shared_from_this<ResourceBudget>
{
public:
  // aClock must outlive this object.
  ResourceBudget(ResourceLimits aLimits, const Clock& aClock)
    : mLimits(aLimits)
    , mClock(aClock)
  {
  }

  // aCaller groups the holders of one peer, such as its address.
  std::shared_ptr<ResourceHolder> AddHolder(std::string aCaller, HolderCallbacks aCallbacks = {});

  // Takes a socket for a connection that this process opens. Returns false if none is available.
  bool TryTakeSocket();
  void ReturnSocket() { --mSockets; }

  size_t UsedBytes() const { return mBytes; }
  size_t UsedSockets() const { return mSockets; }
  // Holders that have yielded since the start.
  size_t Yields() const { return mYields; }

private:
  friend class ResourceHolder;
  using Holders = std::list<ResourceHolder*>;

  // A holder with more bytes than this is not an ordinary one.
  static bool IsLarge(size_t aBytes);
  bool HasBytes(const ResourceHolder& aHolder, size_t aBytes) const;
  bool MakeRoom(const ResourceHolder& aHolder, size_t aBytes);
  bool MakeSocketAvailable(size_t aLimit);
  ResourceHolder* FindForBytes(const ResourceHolder& aFor, size_t aBytes) const;
  ResourceHolder* FindForSocket() const;
  bool IsStalled(const ResourceHolder& aHolder, SteadyTime aNow) const;
  void Yield(ResourceHolder& aHolder, YieldFor aNeed);

  ResourceLimits mLimits;
  const Clock& mClock;
  Holders mHolders;
  ResourceHolder::Callers mCallers;
  size_t mBytes = 0;
  size_t mYieldingBytes = 0; // of holders that have yielded and not yet returned them
  size_t mSockets = 0;
  size_t mAcceptedSockets = 0;
  size_t mYields = 0;
};

// Bytes of one message or buffer, returned when this object is destroyed. Without a holder there is
// no limit.
class HeldBytes
{
public:
  explicit HeldBytes(std::shared_ptr<ResourceHolder> aHolder = nullptr)
    : mHolder(std::move(aHolder))
  {
  }
  HeldBytes(HeldBytes&& aOther) noexcept
    : mHolder(std::move(aOther.mHolder))
    , mBytes(std::exchange(aOther.mBytes, 0))
  {
  }
  HeldBytes& operator=(HeldBytes&& aOther) noexcept
  {
    if (this != &aOther) {
      ShrinkTo(0);
      mHolder = std::move(aOther.mHolder);
      mBytes = std::exchange(aOther.mBytes, 0);
    }
    return *this;
  }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;
  ~HeldBytes() { ShrinkTo(0); }

  // Returns false if the budget does not allow this size.
  bool GrowTo(size_t aBytes)
  {
    if (mHolder && aBytes > mBytes) {
      if (!mHolder->TryTake(aBytes - mBytes)) {
        return false;
      }
      mBytes = aBytes;
    }
    return true;
  }

  // For bytes that are in use already.
  void SetTo(size_t aBytes)
  {
    if (mHolder && aBytes > mBytes) {
      mHolder->Take(aBytes - mBytes);
      mBytes = aBytes;
    }
    ShrinkTo(aBytes);
  }

  // Takes over the bytes of another object with the same holder.
  void Merge(HeldBytes aOther) { mBytes += std::exchange(aOther.mBytes, 0); }

  void ShrinkTo(size_t aBytes)
  {
    if (mHolder && aBytes < mBytes) {
      mHolder->Return(mBytes - aBytes);
      mBytes = aBytes;
    }
  }

  size_t Bytes() const { return mBytes; }

private:
  std::shared_ptr<ResourceHolder> mHolder;
  size_t mBytes = 0;
};

// The socket of a connection that this process opens.
class HeldSocket
{
public:
  HeldSocket() = default;
  HeldSocket(const HeldSocket&) = delete;
  HeldSocket& operator=(const HeldSocket&) = delete;
  ~HeldSocket()
  {
    if (mBudget) {
      mBudget->ReturnSocket();
    }
  }

  // Returns false if no socket is available. Without a budget there is no limit.
  bool Take(const std::shared_ptr<ResourceBudget>& aBudget)
  {
    if (aBudget && !mBudget) {
      if (!aBudget->TryTakeSocket()) {
        return false;
      }
      mBudget = aBudget;
    }
    return true;
  }

private:
  std::shared_ptr<ResourceBudget> mBudget;
};

} // namespace balsammount
