#include "contact_slot.h"

#include "balsammount/fake_store.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace balsammount;
using namespace std::chrono_literals;

TEST_GROUP(ContactSlot)
{
  ManualClock mClock;
  FakeStore mStore{ mClock };
  std::vector<std::string> mContacts;

  std::unique_ptr<ContactSlot> MakeSlot(const std::string& aAddress)
  {
    return std::make_unique<ContactSlot>(
      mStore, aAddress, [this](const std::string& aContact) { mContacts.push_back(aContact); });
  }

  void Maintain(ContactSlot & aSlot)
  {
    aSlot.Maintain(true);
    mStore.Poll();
  }
};

// Guards against leases that pile up in the store: a node that finds every slot taken tries again
// every few seconds, with a new lease each time.
TEST(ContactSlot, LeaseWithoutSlotIsRevoked)
{
  std::vector<std::unique_ptr<ContactSlot>> slots;
  for (int i = 0; i < 8; ++i) {
    slots.push_back(MakeSlot("10.0.0." + std::to_string(i) + ":7620"));
    Maintain(*slots.back());
    CHECK(slots.back()->IsHeld());
  }
  CHECK_EQUAL(8, mStore.Model().LeaseCount());
  const auto ninth = MakeSlot("10.0.0.9:7620");
  for (int i = 0; i < 3; ++i) {
    mContacts.clear();
    Maintain(*ninth);
    CHECK_FALSE(ninth->IsHeld());
    CHECK_EQUAL(8, mContacts.size());
    CHECK_EQUAL(8, mStore.Model().LeaseCount());
  }
}

// Guards against an entry that nobody renews or ends, after a write without a response.
TEST(ContactSlot, WriteWithoutResponseLeavesNoEntry)
{
  const auto slot = MakeSlot("10.0.0.1:7620");
  slot->Maintain(true);
  mStore.mFaults.mLoseAnswers = true;
  mStore.Poll();
  mStore.mFaults.mLoseAnswers = false;
  mClock.Advance(3s); // past the timeout of a call
  mStore.Poll();
  CHECK_FALSE(slot->IsHeld());
  Maintain(*slot);
  CHECK(slot->IsHeld());
  CHECK_EQUAL(1, mStore.Model().LeaseCount());
}

// Guards against a second lease while the first one is being granted.
TEST(ContactSlot, AcquiresOneLeaseAtATime)
{
  const auto slot = MakeSlot("10.0.0.1:7620");
  slot->Maintain(true);
  slot->Maintain(true);
  mStore.Poll();
  CHECK(slot->IsHeld());
  CHECK_EQUAL(1, mStore.Model().LeaseCount());
}

// Guards against a node that believes it holds a slot after its lease has expired.
TEST(ContactSlot, TakesASlotAgainAfterItsLeaseHasExpired)
{
  const auto slot = MakeSlot("10.0.0.1:7620");
  Maintain(*slot);
  mClock.Advance(31s);
  Maintain(*slot);
  CHECK_FALSE(slot->IsHeld());
  Maintain(*slot);
  CHECK(slot->IsHeld());
}
