// The commands of balsamctl.
#pragma once

#include "balsammount/blocking_store.h"

#include <boost/program_options.hpp>

#include <iosfwd>
#include <span>
#include <vector>

namespace balsammount {

enum class ExitCode
{
  Ok = 0,
  Failed = 1, // the input is invalid, or the operation failed
  Usage = 2,
};

// External dependencies of the commands. Tests replace the store.
struct CtlEnvironment
{
  std::ostream& mOut;
  std::ostream& mErr;
  std::function<Result<std::shared_ptr<BlockingStore>>(const std::string&)> mOpenStore;
  std::function<WallTime()> mNow;
};

struct CtlContext
{
  CtlEnvironment& mEnvironment;
  boost::program_options::variables_map mOptions;
  std::vector<std::string> mArguments; // positional; their number matches the command's declaration
  bool mJson = false;

  std::ostream& Out() const { return mEnvironment.mOut; }
  std::ostream& Err() const { return mEnvironment.mErr; }
};

struct CtlCommand
{
  std::string_view mName;      // one or more words, such as "config check"
  std::string_view mArguments; // names of the positional arguments, such as "DIR"; a name that
                               // ends with "..." accepts one or more values
  std::string_view mHelp;      // one line
  void (*mAddOptions)(boost::program_options::options_description&) = nullptr;
  ExitCode (*mRun)(const CtlContext&) = nullptr;
};

// Each group is defined in its own source file and listed in ctl.cpp.
std::span<const CtlCommand> ConfigCommands(); // config check, diff and show
std::span<const CtlCommand> SyncCommands();   // config push, pull, merge, sync and history
std::span<const CtlCommand> LogCommands();    // explain
std::span<const CtlCommand> NodeCommands();   // state, members, drain and other requests to a node

// Runs a command line, given without the program name.
ExitCode RunCtl(const std::vector<std::string>& aArguments, CtlEnvironment& aEnvironment);

} // namespace balsammount
