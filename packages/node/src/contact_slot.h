// Entry of this node among the few contacts in the store, which starting nodes use to join.
#pragma once

#include "balsammount/store.h"

#include <functional>
#include <string>

namespace balsammount {

class ContactSlot
{
public:
  // aAddress is the address that this node publishes. The callback receives the addresses that
  // other nodes hold. The store must outlive this object, and this object the store's callbacks.
  ContactSlot(Store& aStore, std::string aAddress,
              std::function<void(const std::string&)> aOnContact);

  // Reads the addresses of all slots.
  void ReadContacts();

  // Acquires a slot if this node should hold one and holds none, or renews the one that it holds.
  // To be called periodically.
  void Maintain(bool aWanted);

  bool IsHeld() const { return mLease != kNoLease; }

private:
  void TakeSlot(size_t aSlot, LeaseId aLease);
  void GiveUp(LeaseId aLease);
  void Renew();

  Store& mStore;
  std::string mAddress;
  std::function<void(const std::string&)> mOnContact;
  LeaseId mLease = kNoLease; // of the slot that is held
  bool mAcquiring = false;
};

} // namespace balsammount
