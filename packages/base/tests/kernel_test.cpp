#include "balsammount/hash.h"
#include "balsammount/kernel.h"
#include "balsammount/random.h"

#include <CppUTest/TestHarness.h>

using namespace balsammount;

namespace {

class RecordingService final : public Service
{
public:
  RecordingService(std::string aName, std::vector<std::string>& aLog, bool aFails = false)
    : mName(std::move(aName))
    , mLog(aLog)
    , mFails(aFails)
  {
  }
  Result<void> Start() override
  {
    if (mFails) {
      return Failure{ KernelError::WrongType, mName };
    }
    mLog.push_back("start " + mName);
    return {};
  }
  void Stop() override { mLog.push_back("stop " + mName); }

private:
  std::string mName;
  std::vector<std::string>& mLog;
  bool mFails;
};

class OtherService final : public Service
{};

} // namespace

TEST_GROUP(Kernel)
{
  std::vector<std::string> mLog;
  Kernel mKernel;
};

// Guards against stopping a service before the services that depend on it.
TEST(Kernel, StopsInReverseOrder)
{
  CHECK(mKernel.Register("a", std::make_shared<RecordingService>("a", mLog)).has_value());
  CHECK(mKernel.Register("b", std::make_shared<RecordingService>("b", mLog)).has_value());
  CHECK(mKernel.StartAll().has_value());
  mKernel.StopAll();
  const std::vector<std::string> expected = { "start a", "start b", "stop b", "stop a" };
  CHECK(expected == mLog);
}

// Guards against services that keep running after a later service failed to start.
TEST(Kernel, StopsStartedServicesWhenOneFailsToStart)
{
  CHECK(mKernel.Register("a", std::make_shared<RecordingService>("a", mLog)).has_value());
  CHECK(mKernel.Register("b", std::make_shared<RecordingService>("b", mLog, true)).has_value());
  CHECK_FALSE(mKernel.StartAll().has_value());
  const std::vector<std::string> expected = { "start a", "stop a" };
  CHECK(expected == mLog);
}

// Guards against replacing a registered service and against a lookup with the wrong type.
TEST(Kernel, ReportsErrorCodes)
{
  CHECK(mKernel.Register("a", std::make_shared<OtherService>()).has_value());
  CHECK(mKernel.Register("a", std::make_shared<OtherService>()).error().mCode ==
        KernelError::DuplicateService);
  CHECK(mKernel.Find<OtherService>("b").error().mCode == KernelError::UnknownService);
  CHECK(mKernel.Find<RecordingService>("a").error().mCode == KernelError::WrongType);
  STRCMP_EQUAL("service not found: b", Describe(mKernel.Find<OtherService>("b").error()).c_str());
}

TEST_GROUP(Random){};

// Guards against runs that cannot be reproduced from their seed.
TEST(Random, SameSeedGivesSameSequence)
{
  Random left(7);
  Random right(7);
  for (int i = 0; i < 100; ++i) {
    CHECK(left.Next() == right.Next());
  }
  CHECK(Hash64("abc", 1) != Hash64("abc", 2));
}
