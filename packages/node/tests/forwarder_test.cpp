#include "forwarder.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace balsammount;
using namespace std::chrono_literals;

namespace {

// Created before the tests, which would report its shared state as a leak.
const std::shared_ptr<Call> kFinished = FinishedCall();

class PendingCall final : public Call
{
public:
  void Cancel() override { mCancelled = true; }
  bool mCancelled = false;
};

// Leaves the calls to the local backend server pending.
class PendingCallHandler final : public CallHandler
{
public:
  std::shared_ptr<Call> Handle(CallContext, HttpRequest, RequestBudget,
                               CallResultCallback aCallback) override
  {
    mCallbacks.push_back(std::move(aCallback));
    mCalls.push_back(std::make_shared<PendingCall>());
    return mCalls.back();
  }
  std::vector<CallResultCallback> mCallbacks;
  std::vector<std::shared_ptr<PendingCall>> mCalls;
};

NodeSettings Settings()
{
  NodeSettings settings;
  settings.mNodeId = "orders-1";
  settings.mService = "orders";
  settings.mDataCentre = "dc1";
  return settings;
}

} // namespace

TEST_GROUP(Forwarder)
{
  ManualClock mClock;
  Random mRandom{ 1 };
  boost::asio::io_context mContext{ 1 };
  NodeSettings mSettings = Settings();
  Upstreams mUpstreams{ mClock, mRandom, mSettings.mNodeId, mSettings.mDataCentre };
  Peers mPeers{ mContext };
  PendingCallHandler mLocal;
  Metrics mMetrics;
  Forwarder mForwarder{ mClock, mSettings, mUpstreams, mPeers, mLocal, mMetrics };

  CallContext OrderContext()
  {
    CallContext context;
    context.mRequestId = "1";
    context.mService = "orders";
    context.mDeadline = mClock.Now() + 1s;
    return context;
  }
};

// Guards against work for a caller that has gone away. The handle of a first attempt that was
// refused at once overwrote that of the second attempt, so a cancellation did not reach the backend
// server.
TEST(Forwarder, CancelReachesTheAttemptAfterAnImmediateRefusal)
{
  // The nearer upstream has no address, so the attempt is refused before Forward returns.
  mUpstreams.Upsert({ "orders-2", "orders", "dc1", 1 });
  mUpstreams.Upsert({ "orders-1", "orders", "dc2", 1 });
  const auto call =
    mForwarder.Handle(OrderContext(), {}, RequestBudget::ForAttempts(1), [](const CallResult&) {});
  CHECK_EQUAL(1, mLocal.mCalls.size());
  call->Cancel();
  CHECK(mLocal.mCalls[0]->mCancelled);
}
