#include "contact_slot.h"

#include "store_keys.h"

namespace balsammount {

namespace {

// Their number does not grow with the fleet.
constexpr size_t kContactSlots = 8;
constexpr std::chrono::seconds kLeaseDuration{ 30 };

std::string ContactKey(size_t aSlot)
{
  return kContactsPrefix + std::to_string(aSlot);
}

} // namespace

ContactSlot::ContactSlot(Store& aStore, std::string aAddress,
                         std::function<void(const std::string&)> aOnContact)
  : mStore(aStore)
  , mAddress(std::move(aAddress))
  , mOnContact(std::move(aOnContact))
{
}

void ContactSlot::ReadContacts()
{
  for (size_t slot = 0; slot < kContactSlots; ++slot) {
    mStore.Get(ContactKey(slot), [this](const StoreResult<StoreRead>& aResult) {
      if (aResult && aResult->mEntry) {
        mOnContact(aResult->mEntry->mValue);
      }
    });
  }
}

void ContactSlot::Maintain(bool aWanted)
{
  if (IsHeld()) {
    Renew();
    return;
  }
  if (!aWanted || mAcquiring) {
    return;
  }
  mAcquiring = true;
  mStore.GrantLease(kLeaseDuration, [this](const StoreResult<StoreLease>& aLease) {
    if (aLease) {
      TakeSlot(0, aLease->mId);
    } else {
      mAcquiring = false;
    }
  });
}

// Tries the slots in order and acquires the first free one with the lease.
void ContactSlot::TakeSlot(size_t aSlot, LeaseId aLease)
{
  if (aSlot == kContactSlots) {
    GiveUp(aLease);
    return;
  }
  mStore.CompareAndSwap(ContactKey(aSlot), kAbsent, mAddress, aLease,
                        [this, aSlot, aLease](const StoreResult<Revision>& aResult) {
                          if (aResult) {
                            mLease = aLease;
                            mAcquiring = false;
                            return;
                          }
                          const StoreFailure& failure = aResult.error();
                          if (failure.mCode != StoreError::Conflict) {
                            // If the write took effect nevertheless, the slot is free again once
                            // the lease has ended.
                            GiveUp(aLease);
                            return;
                          }
                          if (failure.mCurrent) {
                            mOnContact(failure.mCurrent->mValue);
                          }
                          TakeSlot(aSlot + 1, aLease);
                        });
}

// Ends a lease that holds no slot, instead of leaving it to expire in the store.
void ContactSlot::GiveUp(LeaseId aLease)
{
  mAcquiring = false;
  mStore.RevokeLease(aLease, [](const StoreResult<void>&) {});
}

void ContactSlot::Renew()
{
  mStore.KeepAlive(mLease, [this](const StoreResult<std::chrono::seconds>& aResult) {
    if (!aResult && aResult.error().mCode == StoreError::LeaseNotFound) {
      mLease = kNoLease;
    }
  });
}

} // namespace balsammount
