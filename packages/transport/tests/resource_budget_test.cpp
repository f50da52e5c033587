#include "balsammount/body.h"
#include "balsammount/resource_budget.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace balsammount;
using namespace std::chrono_literals;

namespace {

constexpr size_t kLimit = 1'000'000;
constexpr size_t kSockets = 8;
constexpr size_t kLarge = 200'000; // more than an ordinary holder has

// A holder whose activity a test sets. It returns all it has when it yields.
class Peer
{
public:
  Peer(const std::shared_ptr<ResourceBudget>& aBudget, const char* aCaller,
       HolderActivity aActivity, size_t aBytes)
    : mActivity(aActivity)
    , mHolder(aBudget->AddHolder(aCaller, { [this] { return mActivity; },
                                            [this](YieldFor aNeed) {
                                              ++mYields;
                                              mYieldedFor = aNeed;
                                              if (mReturnsAtOnce) {
                                                Return();
                                              }
                                            } }))
    , mHeld(mHolder)
  {
    mTaken = mHeld.GrowTo(aBytes);
  }

  void Return()
  {
    mHeld.ShrinkTo(0);
    mHolder->ReturnSocket();
  }

  HolderActivity mActivity;
  bool mReturnsAtOnce = true;
  bool mTaken = false;
  int mYields = 0;
  YieldFor mYieldedFor = YieldFor::Bytes;
  std::shared_ptr<ResourceHolder> mHolder;
  HeldBytes mHeld;
};

} // namespace

TEST_GROUP(ResourceBudget)
{
  ManualClock mClock;
  std::shared_ptr<ResourceBudget> mBudget =
    std::make_shared<ResourceBudget>(ResourceLimits{ kLimit, kSockets }, mClock);

  std::unique_ptr<Peer> Add(HolderActivity aActivity, size_t aBytes, const char* aCaller = "a")
  {
    return std::make_unique<Peer>(mBudget, aCaller, aActivity, aBytes);
  }
};

// Guards against crowds that hold memory without progress while others are refused.
TEST(ResourceBudget, StalledHolderWithMostBytesYieldsFirst)
{
  const auto small = Add(HolderActivity::Waiting, kLarge);
  const auto big = Add(HolderActivity::Waiting, 2 * kLarge);
  mClock.Advance(2s);
  const auto active = Add(HolderActivity::Waiting, kLarge / 2);
  const auto next = Add(HolderActivity::Waiting, 2 * kLarge);
  CHECK(next->mTaken);
  CHECK_EQUAL(1, big->mYields);
  CHECK_EQUAL(0, small->mYields);
  CHECK_EQUAL(0, active->mYields);
  CHECK_EQUAL(1, mBudget->Yields());
}

// Guards against a peer that keeps its memory by sending a byte from time to time.
TEST(ResourceBudget, FewBytesAreNoProgress)
{
  const auto slow = Add(HolderActivity::Waiting, kLarge);
  const auto steady = Add(HolderActivity::Waiting, kLarge);
  for (int i = 0; i < 20; ++i) {
    mClock.Advance(100ms);
    slow->mHolder->OnProgress(1);
    steady->mHolder->OnProgress(2000);
  }
  const auto next = Add(HolderActivity::Waiting, 2 * kLarge);
  CHECK(next->mTaken);
  CHECK_EQUAL(1, slow->mYields);
  CHECK_EQUAL(0, steady->mYields);
}

// Guards against long messages that end one another in turn, so that none is completed.
TEST(ResourceBudget, LargeMessagesWithProgressDoNotYieldToEachOther)
{
  const auto first = Add(HolderActivity::Waiting, 3 * kLarge);
  const auto second = Add(HolderActivity::Waiting, kLarge);
  CHECK_FALSE(second->mTaken);
  CHECK_EQUAL(0, first->mYields);
}

// Guards against ordinary callers that are refused while others hold far more.
TEST(ResourceBudget, LargerHoldersYieldToAnOrdinaryOne)
{
  const auto large = Add(HolderActivity::Waiting, 3 * kLarge);
  std::vector<std::unique_ptr<Peer>> others;
  for (int i = 0; i < 40; ++i) {
    others.push_back(Add(HolderActivity::Waiting, 10'000));
    CHECK(others.back()->mTaken);
  }
  CHECK_EQUAL(0, large->mYields);
  const auto ordinary = Add(HolderActivity::Waiting, 10'000);
  CHECK(ordinary->mTaken);
  CHECK_EQUAL(1, large->mYields);
}

// Guards against long messages that take the share of ordinary callers.
TEST(ResourceBudget, LastQuarterIsForOrdinaryHolders)
{
  const auto first = Add(HolderActivity::Working, 3 * kLarge / 2);
  const auto second = Add(HolderActivity::Working, kLarge);
  CHECK_FALSE(Add(HolderActivity::Waiting, 3 * kLarge / 2)->mTaken);
  const auto third = Add(HolderActivity::Working, kLarge);
  CHECK(third->mTaken);
  CHECK_FALSE(Add(HolderActivity::Waiting, kLarge / 2)->mTaken);
  CHECK(Add(HolderActivity::Waiting, 10'000)->mTaken);
}

// Guards against a single message of the longest size that is refused although nothing else is
// held.
TEST(ResourceBudget, LargeHolderAloneMayUseMore)
{
  const auto ordinary = Add(HolderActivity::Waiting, 10'000);
  const auto large = Add(HolderActivity::Working, 4 * kLarge + kLarge / 2);
  CHECK(large->mTaken);
  CHECK_FALSE(Add(HolderActivity::Waiting, kLarge / 2)->mTaken);
  CHECK(Add(HolderActivity::Waiting, 10'000)->mTaken);
}

// Guards against requests that are ended although their caller cannot do anything.
TEST(ResourceBudget, WorkingHolderNeverYields)
{
  const auto working = Add(HolderActivity::Working, 3 * kLarge);
  mClock.Advance(1h);
  CHECK_FALSE(Add(HolderActivity::Waiting, kLarge)->mTaken);
  CHECK_EQUAL(0, working->mYields);
}

// Guards against ordinary callers that are ended because another one holds much on many
// connections.
TEST(ResourceBudget, CallerWithMostBytesYieldsFirst)
{
  std::vector<std::unique_ptr<Peer>> crowd(10);
  for (auto& peer : crowd) {
    peer = Add(HolderActivity::Waiting, 40'000, "crowd");
  }
  const auto other = Add(HolderActivity::Waiting, kLarge, "other");
  mClock.Advance(2s);
  const auto next = Add(HolderActivity::Waiting, 150'000, "third");
  CHECK(next->mTaken);
  CHECK_EQUAL(0, other->mYields);
  int yields = 0;
  for (const auto& peer : crowd) {
    yields += peer->mYields;
  }
  CHECK_EQUAL(0, yields); // there was room
  const auto last = Add(HolderActivity::Waiting, 60'000, "third");
  const auto more = Add(HolderActivity::Waiting, 60'000, "fourth");
  const auto most = Add(HolderActivity::Waiting, 60'000, "fifth");
  const auto over = Add(HolderActivity::Waiting, 60'000, "sixth");
  const auto full = Add(HolderActivity::Waiting, 60'000, "seventh");
  CHECK(full->mTaken);
  for (const auto& peer : crowd) {
    yields += peer->mYields;
  }
  CHECK(yields > 0);
  CHECK_EQUAL(0, other->mYields);
}

// Guards against kept connections that are closed while stalled ones hold memory.
TEST(ResourceBudget, IdleConnectionsYieldLastAndOldestFirst)
{
  const auto older = Add(HolderActivity::Idle, 300'000);
  mClock.Advance(1s);
  const auto newer = Add(HolderActivity::Idle, 300'000);
  mClock.Advance(1s);
  const auto stalled = Add(HolderActivity::Waiting, 100'000);
  mClock.Advance(2s);
  const auto first = Add(HolderActivity::Waiting, 120'000);
  CHECK(first->mTaken);
  CHECK_EQUAL(1, stalled->mYields);
  const auto second = Add(HolderActivity::Waiting, 200'000);
  CHECK(second->mTaken);
  CHECK_EQUAL(1, older->mYields);
  CHECK_EQUAL(0, newer->mYields);
}

// Guards against memory that is given away several times before it is free.
TEST(ResourceBudget, OnlyAPartIsTakenBeforeItIsReturned)
{
  std::vector<std::unique_ptr<Peer>> crowd(15);
  for (auto& peer : crowd) {
    peer = Add(HolderActivity::Waiting, 50'000);
    peer->mReturnsAtOnce = false;
  }
  mClock.Advance(2s);
  std::vector<std::unique_ptr<Peer>> next(100);
  for (auto& peer : next) {
    peer = Add(HolderActivity::Working, 50'000);
  }
  CHECK(mBudget->UsedBytes() <= kLimit + kLimit / 2);
  CHECK(mBudget->UsedBytes() > kLimit);
  // Nobody yields in vain.
  CHECK_EQUAL(10, mBudget->Yields());
}

// Guards against connections of callers that take the sockets which the node needs for its own.
TEST(ResourceBudget, AcceptedConnectionsLeaveSockets)
{
  std::vector<std::unique_ptr<Peer>> peers;
  for (size_t i = 0; i < kSockets; ++i) {
    peers.push_back(Add(HolderActivity::Working, 0));
    CHECK_EQUAL(i < kSockets * 3 / 4, peers.back()->mHolder->TryTakeSocket());
  }
  CHECK(mBudget->TryTakeSocket());
  CHECK(mBudget->TryTakeSocket());
  CHECK_FALSE(mBudget->TryTakeSocket());
  mBudget->ReturnSocket();
  mBudget->ReturnSocket();
}

// Guards against silent connections that keep others out.
TEST(ResourceBudget, ConnectionWithoutProgressForLongestYieldsItsSocket)
{
  std::vector<std::unique_ptr<Peer>> peers;
  for (size_t i = 0; i < kSockets * 3 / 4; ++i) {
    peers.push_back(Add(HolderActivity::Idle, 0));
    CHECK(peers.back()->mHolder->TryTakeSocket());
    mClock.Advance(10ms);
  }
  peers[0]->mHolder->OnBegin();
  const auto next = Add(HolderActivity::Idle, 0);
  CHECK(next->mHolder->TryTakeSocket());
  CHECK_EQUAL(0, peers[0]->mYields);
  CHECK_EQUAL(1, peers[1]->mYields);
  CHECK(peers[1]->mYieldedFor == YieldFor::Socket);
}

// Guards against bytes that stay charged, and against copies of a body that are charged again.
TEST(ResourceBudget, CopiesOfABodyShareTheirCharge)
{
  const auto peer = Add(HolderActivity::Working, 0);
  HeldBytes held(peer->mHolder);
  CHECK(held.GrowTo(5000));
  auto body = std::make_unique<Body>(std::string(5000, 'b'), std::move(held));
  auto copy = std::make_unique<Body>(*body);
  CHECK_EQUAL(5000, mBudget->UsedBytes());
  body.reset();
  CHECK_EQUAL(5000, mBudget->UsedBytes());
  CHECK(*copy == std::string(5000, 'b'));
  copy.reset();
  CHECK_EQUAL(0, mBudget->UsedBytes());
}
