#include "balsammount/admission.h"
#include "balsammount/random.h"

#include <map>

#include <CppUTest/TestHarness.h>
#include <CppUTest/TestMemoryAllocator.h>

using namespace balsammount;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Counts the allocations of operator new, which CppUTest replaces.
class CountingAllocator final : public TestMemoryAllocator
{
public:
  // The leak detector compares these names, so they equal those of the default allocator.
  CountingAllocator()
    : TestMemoryAllocator("Standard New Allocator", "new", "delete")
  {
  }
  char* alloc_memory(size_t aSize, const char* aFile, size_t aLine) override
  {
    ++mCount;
    return TestMemoryAllocator::alloc_memory(aSize, aFile, aLine);
  }
  size_t mCount = 0;
};

AdmissionPolicy TwoRanks()
{
  AdmissionPolicy policy;
  policy.mRankCount = 2;
  policy.mRanks[0] = { 10, 0.5 };
  policy.mRanks[1] = { 1, 0.25 };
  policy.mSlots = 2;
  policy.mMaxQueue = 4;
  policy.mAdaptiveLimit = false;
  return policy;
}

} // namespace

TEST_GROUP(Admission)
{
  ManualClock mClock;
  AdmissionController mController{ mClock, TwoRanks() };
  std::array<AdmissionAction, 16> mActions{};

  AdmissionResult Offer(size_t aRank, uint64_t aCaller = 1,
                        SteadyTime aDeadline = SteadyTime::max(), uint64_t aContext = 0)
  {
    return mController.Offer({ aRank, aCaller, 1, aDeadline, aContext });
  }
  std::vector<AdmissionId> Fill()
  {
    std::vector<AdmissionId> ids;
    while (mController.InFlight() < mController.Limit()) {
      ids.push_back(Offer(0).mId);
    }
    return ids;
  }
};

// Guards against running below the limit while requests are queued, and against completing an id
// twice.
TEST(Admission, DispatchesUpToTheLimitThenQueues)
{
  const auto running = Fill();
  const AdmissionResult queued = Offer(0, 1, SteadyTime::max(), 77);
  CHECK(queued.mDecision == Decision::Queued);
  CHECK_EQUAL(0U, mController.Poll(mActions));
  CHECK(mController.Complete(running[0], Outcome::Success, milliseconds(10)));
  CHECK_FALSE(mController.Complete(running[0], Outcome::Success, milliseconds(10)));
  CHECK(mController.NextDeadline() == mClock.Now());
  CHECK_EQUAL(1U, mController.Poll(mActions));
  CHECK(mActions[0].mDecision == Decision::Dispatch);
  CHECK(mActions[0].mId == queued.mId);
  CHECK(mActions[0].mContext == 77);
}

// Guards against a full queue that refuses a request of greater worth than those it holds.
TEST(Admission, FullQueueDisplacesLeastWorthAboveItsReservation)
{
  Fill();
  AdmissionResult newest;
  for (int i = 0; i < 4; ++i) {
    newest = Offer(1);
  }
  CHECK(Offer(1).mReason == RefusalReason::QueueFull);
  CHECK(Offer(0).mDecision == Decision::Queued);
  CHECK_EQUAL(1U, mController.Poll(mActions));
  CHECK(mActions[0].mReason == RefusalReason::Displaced);
  CHECK(mActions[0].mId == newest.mId);
  CHECK(mActions[0].mRetryAfter > Duration{});
  CHECK(Offer(0).mDecision == Decision::Queued);
  CHECK(Offer(0).mDecision == Decision::Queued);
  // A floor of a quarter reserves one of the 4 queue positions for the other rank.
  CHECK(Offer(0).mReason == RefusalReason::QueueFull);
  CHECK_EQUAL(1U, mController.Stats().mRanks[1].mQueued);
}

// Guards against dispatching requests that cannot finish before their deadline, and against keeping
// them queued until it has passed.
TEST(Admission, RefusesRequestsThatCannotFinish)
{
  CHECK(Offer(0, 1, mClock.Now() + milliseconds(5)).mDecision == Decision::Dispatch); // probe
  CHECK(Offer(0, 1, mClock.Now() + milliseconds(5)).mReason == RefusalReason::DeadlineTooClose);
  Fill();
  const AdmissionResult queued = Offer(0, 1, mClock.Now() + milliseconds(30));
  CHECK(queued.mDecision == Decision::Queued);
  const SteadyTime timer = mController.NextDeadline();
  CHECK(timer <= mClock.Now() + milliseconds(21));
  mClock.Advance(milliseconds(21));
  CHECK_EQUAL(1U, mController.Poll(mActions));
  CHECK(mActions[0].mReason == RefusalReason::DeadlineTooClose);
  CHECK_FALSE(mController.Cancel(queued.mId));
}

// Guards against a service time estimate that exceeds every deadline and is never corrected.
TEST(Admission, ProbesWhenEveryDeadlineLooksTooClose)
{
  for (int i = 0; i < 100; ++i) {
    const AdmissionResult result = Offer(0);
    mController.Complete(result.mId, Outcome::Success, seconds(3));
  }
  int dispatched = 0;
  for (int i = 0; i < 300; ++i) {
    mClock.Advance(milliseconds(500));
    const AdmissionResult result = Offer(0, 1, mClock.Now() + milliseconds(100));
    if (result.mDecision == Decision::Dispatch) {
      ++dispatched;
      mController.Complete(result.mId, Outcome::Success, milliseconds(10));
    }
  }
  CHECK(dispatched >= 150);
  CHECK(Offer(0, 1, mClock.Now() + milliseconds(100)).mDecision == Decision::Dispatch);
}

// Guards against a draining node that accepts new requests or drops accepted ones.
TEST(Admission, DrainingRefusesNewWorkAndFinishesQueued)
{
  const auto running = Fill();
  CHECK(Offer(1).mDecision == Decision::Queued);
  mController.SetDraining(true);
  const AdmissionResult result = Offer(0);
  CHECK(result.mReason == RefusalReason::Draining);
  CHECK(result.mRetryAfter == Duration{});
  mController.Complete(running[0], Outcome::Success);
  CHECK_EQUAL(1U, mController.Poll(mActions));
  CHECK(mActions[0].mDecision == Decision::Dispatch);
}

// Guards against requests that stay queued for a server that is down.
TEST(Admission, UnavailableRefusesQueuedAndNew)
{
  Fill();
  Offer(0);
  Offer(1);
  mController.SetAvailable(false);
  CHECK_EQUAL(2U, mController.Poll(mActions));
  CHECK(mActions[1].mReason == RefusalReason::Unavailable);
  CHECK(Offer(0).mReason == RefusalReason::Unavailable);
}

// Guards against losing queued requests, or those of a removed rank, when the policy changes.
TEST(Admission, ReplacedPolicyKeepsTheQueue)
{
  auto running = Fill();
  for (int i = 0; i < 4; ++i) {
    Offer(1);
  }
  AdmissionPolicy policy = TwoRanks();
  policy.mRankCount = 1;
  policy.mSlots = 1;
  policy.mMaxQueue = 1;
  mController.SetPolicy(policy);
  CHECK_EQUAL(4U, mController.QueueLength());
  CHECK(Offer(0).mReason == RefusalReason::QueueFull);
  mController.Complete(running[0], Outcome::Success);
  CHECK_EQUAL(0U, mController.Poll(mActions)); // one request still runs and the limit is now 1
  policy.mSlots = 300;
  policy.mMaxQueue = 300;
  mController.SetPolicy(policy);
  CHECK_EQUAL(4U, mController.Poll(mActions));
  CHECK_EQUAL(0U, mController.QueueLength());
  for (int i = 0; i < 500; ++i) {
    Offer(0);
  }
  CHECK_EQUAL(300U, mController.InFlight());
  CHECK_EQUAL(205U, mController.QueueLength());
}

// Guards against nodes that disagree on whether a level sheds a request, and against a downstream
// level that does not expire.
TEST(Admission, ShedLevelScale)
{
  CHECK_FALSE(IsShed(0, 0, 0));
  CHECK(IsShed(1, 0, kShedCohorts));
  CHECK_FALSE(IsShed(1, 0, kShedCohorts + 1));
  CHECK(IsShed(kShedCohorts, 0, kShedCohorts - 1));
  CHECK_FALSE(IsShed(kShedCohorts, 1, 0));
  CHECK_EQUAL(1U, mController.RanksBelow(0));
  mController.ReportDownstreamLevel(70);
  CHECK_EQUAL(70U, mController.ShedLevel());
  mClock.Advance(seconds(2));
  CHECK_EQUAL(0U, mController.ShedLevel());
}

// Guards against memory allocation in Offer(), Complete() and Poll().
TEST(Admission, DecisionsAllocateNothing)
{
  CountingAllocator allocator; // must outlive the memory it allocates
  AdmissionPolicy policy = TwoRanks();
  policy.mSlots = 50;
  policy.mMaxQueue = 100;
  policy.mAdaptiveLimit = true;
  AdmissionController controller(mClock, policy);
  Random random(3);
  std::vector<AdmissionId> running;
  TestMemoryAllocator* const newBefore = getCurrentNewAllocator();
  setCurrentNewAllocator(&allocator);
  running.reserve(1000); // one allocation, which checks the counter itself
  for (int i = 0; i < 20000; ++i) {
    mClock.Advance(std::chrono::microseconds(100));
    const AdmissionResult result = controller.Offer(
      { random.Below(2), random.Next(), random.Next(), mClock.Now() + milliseconds(50), 0 });
    if (result.mDecision == Decision::Dispatch) {
      running.push_back(result.mId);
    }
    if (running.size() > 20) {
      controller.Complete(running.back(), Outcome::Success, milliseconds(5));
      running.pop_back();
    }
    const size_t count = controller.Poll(mActions);
    for (size_t j = 0; j < count; ++j) {
      if (mActions[j].mDecision == Decision::Dispatch) {
        running.push_back(mActions[j].mId);
      }
    }
  }
  setCurrentNewAllocator(newBefore);
  CHECK_EQUAL(1U, allocator.mCount);
  CHECK(controller.Stats().mRanks[0].mRefused > 0);
}

// Guards against a dispatch above the limit, and against a request that gets no decision or two, in
// random sequences of calls.
TEST(Admission, RandomCallsKeepInvariants)
{
  enum class State
  {
    Queued,
    Running,
    Ended
  };
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    Random random(seed);
    AdmissionPolicy policy = TwoRanks();
    policy.mSlots = 8;
    policy.mAdaptiveLimit = true;
    AdmissionController controller(mClock, policy);
    std::map<uint64_t, std::pair<State, AdmissionId>> requests;
    uint64_t context = 0;
    const auto poll = [&] {
      const size_t space = 1 + random.Below(4);
      size_t count = 0;
      do {
        count = controller.Poll(std::span(mActions).first(space));
        for (size_t i = 0; i < count; ++i) {
          auto& request = requests.at(mActions[i].mContext);
          CHECK(request.first == State::Queued);
          CHECK(request.second == mActions[i].mId);
          const bool runs = mActions[i].mDecision == Decision::Dispatch;
          CHECK(runs != (mActions[i].mReason != RefusalReason::None));
          request.first = runs ? State::Running : State::Ended;
        }
        CHECK(count == 0 || controller.InFlight() <= controller.Limit() ||
              mActions[count - 1].mDecision == Decision::Refused);
      } while (count == space);
    };
    for (int step = 0; step < 3000; ++step) {
      mClock.Advance(std::chrono::microseconds(random.Below(4000)));
      const uint64_t choice = random.Below(100);
      if (choice < 55) {
        const bool room = controller.InFlight() < controller.Limit();
        const AdmissionResult result =
          controller.Offer({ random.Below(3), random.Below(5), random.Next(),
                             mClock.Now() + milliseconds(random.Below(200)), ++context });
        const bool runs = result.mDecision == Decision::Dispatch;
        CHECK(room || !runs);
        const bool queued = result.mDecision == Decision::Queued;
        requests[context] = { runs     ? State::Running
                              : queued ? State::Queued
                                       : State::Ended,
                              result.mId };
      } else if (choice < 97 && !requests.empty()) {
        const auto& [key, request] =
          *std::next(requests.begin(), static_cast<int64_t>(random.Below(requests.size())));
        const auto outcome = static_cast<Outcome>(random.Below(5));
        const bool cancels = choice >= 93;
        const bool known = cancels ? controller.Cancel(request.second)
                                   : controller.Complete(request.second, outcome);
        CHECK(known ==
                (request.first == State::Running || (cancels && request.first == State::Queued)) ||
              cancels); // a refusal that Poll() has not reported yet cannot be cancelled
        if (known || request.first == State::Ended) {
          requests.erase(key);
        }
      } else if (choice == 97) {
        policy.mSlots = 1 + static_cast<uint32_t>(random.Below(20));
        policy.mMaxQueue = static_cast<uint32_t>(random.Below(20));
        policy.mRankCount = 1 + random.Below(3);
        controller.SetPolicy(policy);
      } else if (choice == 98) {
        controller.SetAvailable(random.Below(4) != 0);
      }
      if (random.Below(3) != 0) {
        poll();
      }
    }
    controller.SetAvailable(true);
    for (int round = 0; round < 10000 && !requests.empty(); ++round) {
      mClock.Advance(milliseconds(1));
      poll();
      for (auto it = requests.begin(); it != requests.end();) {
        const bool ended = it->second.first == State::Ended ||
                           (it->second.first == State::Running &&
                            controller.Complete(it->second.second, Outcome::Success));
        it = ended ? requests.erase(it) : std::next(it);
      }
    }
    CHECK(requests.empty());
    CHECK_EQUAL(0U, controller.InFlight());
    CHECK_EQUAL(0U, controller.QueueLength());
  }
}
