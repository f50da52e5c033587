#include "balsammount/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <deque>
#include <fstream>
#include <system_error>

namespace balsammount {

namespace {

// Runs in the child process.
[[noreturn]] void Execute(std::vector<char*>& aArguments, int aLog)
{
  // A runner that is killed, for example by a ctest timeout, must not leave processes behind.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(aLog, STDOUT_FILENO);
  dup2(aLog, STDERR_FILENO);
  // Inherited sockets would stay open in the child after the runner has closed them.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(aArguments.front(), aArguments.data());
  _exit(127);
}

} // namespace

ChildProcess::ChildProcess(std::vector<std::string> aArguments, std::string aLogFile)
  : mArguments(std::move(aArguments))
  , mLogFile(std::move(aLogFile))
{
}

ChildProcess::~ChildProcess()
{
  Kill();
}

void ChildProcess::Start()
{
  const int log = open(mLogFile.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
  if (log < 0) {
    throw std::system_error(errno, std::generic_category(), mLogFile);
  }
  std::vector<char*> arguments;
  for (std::string& argument : mArguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  const pid_t pid = fork();
  if (pid == 0) {
    Execute(arguments, log);
  }
  const int error = errno;
  close(log);
  if (pid < 0) {
    throw std::system_error(error, std::generic_category(), "fork");
  }
  mPid = pid;
  mFrozen = false;
}

bool ChildProcess::Running()
{
  if (mPid != 0) {
    Reap(WNOHANG);
  }
  return mPid != 0;
}

void ChildProcess::Signal(int aSignal)
{
  if (!Running()) {
    return;
  }
  kill(mPid, aSignal);
  mFrozen = (mFrozen || aSignal == SIGSTOP) && aSignal != SIGCONT;
}

void ChildProcess::Kill()
{
  if (Running()) {
    kill(mPid, SIGKILL);
    Reap(0);
  }
}

void ChildProcess::Reap(int aOptions)
{
  int status = 0;
  pid_t ended = 0;
  do {
    ended = waitpid(mPid, &status, aOptions);
  } while (ended < 0 && errno == EINTR);
  if (ended == mPid) {
    mPid = 0;
    mExitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
}

std::vector<std::string> ChildProcess::LastLogLines(size_t aCount) const
{
  std::deque<std::string> lines;
  std::ifstream file(mLogFile);
  for (std::string line; std::getline(file, line);) {
    lines.push_back(line);
    if (lines.size() > aCount) {
      lines.pop_front();
    }
  }
  return { lines.begin(), lines.end() };
}

} // namespace balsammount
