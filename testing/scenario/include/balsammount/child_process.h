// A process started by a scenario. It is killed by its PID when the object is destroyed.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace balsammount {

class ChildProcess
{
public:
  // aArguments starts with the path of the program. Output is appended to the log file.
  ChildProcess(std::vector<std::string> aArguments, std::string aLogFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Throws std::system_error when the process cannot be created.
  void Start();
  // Reaps the process if it has ended.
  bool Running();
  // Has no effect after the process has ended.
  void Signal(int aSignal);
  // Sends SIGKILL and reaps the process.
  void Kill();

  pid_t Pid() const { return mPid; }
  // Returns the last exit code, or the negated number of the signal that ended the process.
  int ExitStatus() const { return mExitStatus; }
  bool Frozen() const { return mFrozen; }
  std::vector<std::string> LastLogLines(size_t aCount) const;
  const std::string& LogFile() const { return mLogFile; }

private:
  void Reap(int aOptions);

  std::vector<std::string> mArguments;
  std::string mLogFile;
  pid_t mPid = 0; // 0 when there is no process
  int mExitStatus = 0;
  bool mFrozen = false;
};

} // namespace balsammount
