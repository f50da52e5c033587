// Limits the bytes of message bodies that a process holds, over all its connections.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace balsammount {

// Not thread safe.
class ByteBudget
{
public:
  explicit ByteBudget(size_t aLimit)
    : mLimit(aLimit)
  {
  }

  // Returns false and takes nothing if fewer bytes are left.
  bool TryTake(size_t aBytes)
  {
    if (aBytes > mLimit - mUsed) {
      return false;
    }
    mUsed += aBytes;
    return true;
  }
  void Return(size_t aBytes) { mUsed -= aBytes; }
  size_t Used() const { return mUsed; }

private:
  size_t mLimit;
  size_t mUsed = 0;
};

// The share of one message in a budget; returned when this object is destroyed. Without a budget
// there is no limit.
class HeldBytes
{
public:
  explicit HeldBytes(std::shared_ptr<ByteBudget> aBudget)
    : mBudget(std::move(aBudget))
  {
  }
  HeldBytes(HeldBytes&& aOther) noexcept
    : mBudget(std::move(aOther.mBudget))
    , mBytes(std::exchange(aOther.mBytes, 0))
  {
  }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;
  HeldBytes& operator=(HeldBytes&&) = delete;
  ~HeldBytes()
  {
    if (mBudget) {
      mBudget->Return(mBytes);
    }
  }

  // Returns false if the budget does not allow the message to grow to this size.
  bool GrowTo(size_t aBytes)
  {
    if (mBudget && aBytes > mBytes) {
      if (!mBudget->TryTake(aBytes - mBytes)) {
        return false;
      }
      mBytes = aBytes;
    }
    return true;
  }

private:
  std::shared_ptr<ByteBudget> mBudget;
  size_t mBytes = 0;
};

} // namespace balsammount
