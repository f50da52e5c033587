#include "balsammount/ctl.h"
#include "balsammount/etcd_store.h"
#include "balsammount/log.h"
#include "balsammount/store_standin.h"
#include <nlohmann/json.hpp>

#include <spdlog/spdlog.h>

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

using namespace balsammount;
using namespace std::chrono_literals;
namespace fs = std::filesystem;

namespace {

// Creates the logger before the first test, so that no test reports it as a leak, and disables it.
const bool kLoggerIsSilent = (spdlog::set_level(spdlog::level::off), Log("store"), true);

const boost::asio::ip::tcp::endpoint kAnyPort(boost::asio::ip::address_v4::loopback(), 0);

// A store stand-in and its client on one event loop.
struct LoopbackStore
{
  LoopbackStore()
  {
    CHECK(mStandin.Start().has_value());
    EtcdStoreSettings settings;
    settings.mEndpoints = { { kAnyPort.address(), mStandin.Port() } };
    mStore = std::make_unique<EtcdStore>(mContext, settings);
    mBlocking =
      std::make_shared<BlockingStore>(*mStore, mClock, [this] { mContext.run_one_for(10ms); });
  }

  std::function<Result<std::shared_ptr<BlockingStore>>(const std::string&)> Opener()
  {
    return [this](const std::string&) { return mBlocking; };
  }

  boost::asio::io_context mContext{ 1 };
  SystemClock mClock;
  StoreStandin mStandin{ mContext, kAnyPort, mClock };
  std::unique_ptr<EtcdStore> mStore;
  std::shared_ptr<BlockingStore> mBlocking;
};

} // namespace

TEST_GROUP(Ctl)
{
  fs::path mRoot = fs::temp_directory_path() / ("bm_ctl_test." + std::to_string(getpid()));
  std::ostringstream mOut;
  std::ostringstream mErr;
  CtlEnvironment mEnvironment{ mOut, mErr, [](const std::string&) { return Failure{}; },
                               [] { return WallTime(1000s); } };

  void setup() override
  {
    for (const char* name : { "a", "b", "c" }) {
      fs::create_directories(mRoot / name);
    }
    Write("a/1.json", R"({"services": {"s": {"paths": ["/s"], "slots": 1, "max_connections": 9}},
      "ranks": {"r": {"target_ms": 1, "worth": 1}}})");
  }
  void teardown() override
  {
    fs::remove_all(mRoot);
  }

  void Write(const std::string& aName, const std::string& aText)
  {
    std::ofstream(mRoot / aName) << aText;
  }

  // Runs a command line in which "@a" is replaced by the path of directory a.
  ExitCode Run(std::vector<std::string> aArguments)
  {
    mOut.str("");
    mErr.str("");
    for (std::string& argument : aArguments) {
      if (argument.starts_with('@')) {
        argument = (mRoot / argument.substr(1)).string();
      }
    }
    return RunCtl(aArguments, mEnvironment);
  }

  bool OutputContains(const std::string& aText)
  {
    return mOut.str().find(aText) != std::string::npos;
  }
  bool ErrorContains(const std::string& aText)
  {
    return mErr.str().find(aText) != std::string::npos;
  }
};

// Guards against usage errors that succeed or exit with the code of a failure.
TEST(Ctl, Usage)
{
  const std::vector<std::vector<std::string>> wrong = {
    {},
    { "config" },
    { "config", "check" },
    { "config", "check", "@a", "@b" },
    { "config", "check", "@a", "--jsn" },
    { "frobnicate" },
    { "config", "merge", "@a", "--prefer", "x" },
  };
  for (const auto& arguments : wrong) {
    CHECK(Run(arguments) == ExitCode::Usage);
    CHECK(!mErr.str().empty() && mOut.str().empty());
  }
  CHECK(Run({ "--help" }) == ExitCode::Ok);
  CHECK(OutputContains("config diff DIR1 DIR2") && OutputContains("config history"));
  CHECK(Run({ "--version" }) == ExitCode::Ok);
  CHECK(Run({ "config", "push", "--help" }) == ExitCode::Ok);
  CHECK(OutputContains("--restore"));
  mEnvironment.mOpenStore = OpenStore;
  CHECK(Run({ "config", "history", "--store", "localhost" }) == ExitCode::Usage);
}

// Guards against accepting an invalid directory, and against diagnostics without positions.
TEST(Ctl, CheckShowDiff)
{
  CHECK(Run({ "config", "check", "@a" }) == ExitCode::Ok);
  CHECK(OutputContains("valid: 1 services, 1 ranks, 0 rules"));
  Write("b/1.json", R"({"services": {"s": {"paths": ["/s"], "slots": 0}}})");
  CHECK(Run({ "config", "check", "@b" }) == ExitCode::Failed);
  CHECK(ErrorContains("1.json:1:47: services.s.slots: expected an integer from 1"));
  CHECK(Run({ "--json", "config", "check", "@b" }) == ExitCode::Failed);
  const auto json = nlohmann::json::parse(mOut.str());
  CHECK_EQUAL(3, json["error"]["diagnostics"].size());
  CHECK(Run({ "config", "show", "--origin", "@a" }) == ExitCode::Ok);
  CHECK(OutputContains("services.s.slots = 1  (1.json:1:47)"));
  CHECK(OutputContains("retries.s.attempts = 3  (default)"));
  fs::copy_file(mRoot / "a/1.json", mRoot / "c/1.json");
  Write("c/2.json", R"({"retries": {"s": {"attempts": 4}}})");
  CHECK(Run({ "config", "diff", "@a", "@c" }) == ExitCode::Ok);
  STRCMP_EQUAL("2.json: added\nretries.s.attempts: 3 -> 4\n", mOut.str().c_str());
  CHECK(Run({ "config", "check", "@none" }) == ExitCode::Failed);
}

// Guards against diverging directories of two operators. Uses the store's real protocol.
TEST(Ctl, TwoOperatorsShareTheStore)
{
  LoopbackStore store;
  mEnvironment.mOpenStore = store.Opener();

  CHECK(Run({ "config", "pull", "@b" }) == ExitCode::Failed);
  CHECK(ErrorContains("the store has no configuration"));
  CHECK(Run({ "config", "push", "@a", "--author", "ann" }) == ExitCode::Ok);
  CHECK(Run({ "config", "pull", "@b" }) == ExitCode::Ok);
  // Changes of different files are merged, and each directory receives the other's change.
  Write("a/2.json", R"({"retries": {"s": {"attempts": 4}}})");
  Write("b/3.json", R"({"limits": {"s": {"max_queue": 4}}})");
  CHECK(Run({ "config", "push", "@a" }) == ExitCode::Ok);
  store.mStandin.SetFaults({ .mLoseAnswers = true });
  CHECK(Run({ "config", "push", "@b", "--author", "bob" }) == ExitCode::Ok);
  CHECK(OutputContains("pushed and merged: revision 3"));
  store.mStandin.SetFaults({});
  CHECK(fs::exists(mRoot / "b/2.json"));
  CHECK(Run({ "config", "merge", "@a" }) == ExitCode::Ok);
  CHECK(fs::exists(mRoot / "a/3.json"));
  // Changes of the same file are reported as a conflict and resolved with --prefer.
  Write("a/2.json", R"({"retries": {"s": {"attempts": 5}}})");
  Write("b/2.json", R"({"retries": {"s": {"attempts": 6}}})");
  CHECK(Run({ "config", "push", "@a" }) == ExitCode::Ok);
  CHECK(Run({ "config", "push", "@b" }) == ExitCode::Failed);
  CHECK(ErrorContains("2.json: changed here, changed in the store"));
  CHECK(Run({ "config", "pull", "@b" }) == ExitCode::Failed);
  CHECK(Run({ "config", "merge", "@b" }) == ExitCode::Failed);
  CHECK(Run({ "config", "merge", "@b", "--prefer", "mine" }) == ExitCode::Ok);
  CHECK(Run({ "config", "push", "@b" }) == ExitCode::Ok);
  CHECK(Run({ "config", "pull", "@a" }) == ExitCode::Ok);
  CHECK(Run({ "config", "diff", "@a", "@b" }) == ExitCode::Ok);
  STRCMP_EQUAL("", mOut.str().c_str());
  CHECK(Run({ "config", "history", "--json" }) == ExitCode::Ok);
  const auto history = nlohmann::json::parse(mOut.str());
  CHECK_EQUAL(5, history.size());
  CHECK(history[2]["author"] == "bob" && history[2]["files"] == nlohmann::json({ "3.json" }));
  CHECK(history[0]["time"] == "1970-01-01T00:16:40Z");
  // After the store has lost its data, a directory does not take over its lower revision.
  store.mStandin.Model().Delete("/balsammount/config");
  CHECK(Run({ "config", "push", "@c", "--author", "ann" }) == ExitCode::Failed);
  fs::copy_file(mRoot / "a/1.json", mRoot / "c/1.json");
  CHECK(Run({ "config", "push", "@c" }) == ExitCode::Ok);
  CHECK(Run({ "config", "pull", "@a" }) == ExitCode::Failed);
  CHECK(ErrorContains("the store has revision 1, the directory 5"));
  CHECK(Run({ "config", "push", "@a" }) == ExitCode::Failed);
  CHECK(Run({ "config", "push", "@a", "--restore", "--above", "8" }) == ExitCode::Ok);
  CHECK(OutputContains("revision 9"));
}

// Guards against removing the files of a directory that was named by mistake.
TEST(Ctl, PullKeepsUnrelatedFiles)
{
  LoopbackStore store;
  mEnvironment.mOpenStore = store.Opener();
  CHECK(Run({ "config", "push", "@a" }) == ExitCode::Ok);
  Write("b/notes.txt", "x");
  CHECK(Run({ "config", "pull", "--force", "@b" }) == ExitCode::Failed);
  CHECK(fs::exists(mRoot / "b/notes.txt"));
  CHECK_FALSE(fs::exists(mRoot / "b/1.json"));
}
