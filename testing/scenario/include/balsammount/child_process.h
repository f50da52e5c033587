// One process that a scenario started, ended by its pid at the latest with this object.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace balsammount {

class ChildProcess
{
public:
  // The arguments begin with the program's path. Output is appended to the log file.
  ChildProcess(std::vector<std::string> aArguments, std::string aLogFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Throws std::system_error when no process can be made.
  void Start();
  // Reaps the process when it has ended.
  bool Running();
  // Has no effect when the process has ended.
  void Signal(int aSignal);
  // Ends the process at once and reaps it.
  void Kill();

  pid_t Pid() const { return mPid; }
  // Of the process that ended last: the exit code, or minus the signal that ended it.
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
