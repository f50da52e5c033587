#include "balsammount/child_process.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace balsammount;

namespace {

const std::string kLog =
  (std::filesystem::temp_directory_path() / ("child-process-" + std::to_string(getpid()) + ".log"))
    .string();

std::vector<std::string> Shell(const std::string& aScript)
{
  return { "/bin/sh", "-c", aScript };
}

void WaitForEnd(ChildProcess& aProcess)
{
  constexpr int kTries = 3000;
  for (int i = 0; i < kTries && aProcess.Running(); ++i) {
    usleep(10'000);
  }
  CHECK_FALSE(aProcess.Running());
}

} // namespace

TEST_GROUP(ChildProcess){ void teardown() override{ std::filesystem::remove(kLog);
}
}
;

// Guards against failure reports without the cause: the log must hold both stdout and stderr.
TEST(ChildProcess, KeepsExitStatusAndLastLogLines)
{
  ChildProcess process(Shell("echo one; echo two; echo three >&2; exit 4"), kLog);
  process.Start();
  WaitForEnd(process);
  CHECK_EQUAL(4, process.ExitStatus());
  const auto lines = process.LastLogLines(2);
  CHECK_EQUAL(2, lines.size());
  STRCMP_EQUAL("two", lines[0].c_str());
  STRCMP_EQUAL("three", lines[1].c_str());
}

// Guards against processes that outlive a failed scenario, including suspended ones.
TEST(ChildProcess, KillsSuspendedProcessOnDestruction)
{
  pid_t pid = 0;
  {
    ChildProcess process(Shell("exec sleep 600"), kLog);
    process.Start();
    pid = process.Pid();
    process.Signal(SIGSTOP);
    CHECK(process.Frozen());
  }
  CHECK(kill(pid, 0) != 0);
}

TEST(ChildProcess, RestartsAfterKill)
{
  ChildProcess process(Shell("exec sleep 600"), kLog);
  process.Start();
  const pid_t first = process.Pid();
  process.Kill();
  CHECK_FALSE(process.Running());
  CHECK_EQUAL(-SIGKILL, process.ExitStatus());
  process.Start();
  CHECK(process.Running());
  CHECK(process.Pid() != first);
}
