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

// How the commands reach their surroundings; tests replace the store.
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
  std::vector<std::string> mArguments; // as many as the command declares
  bool mJson = false;

  std::ostream& Out() const { return mEnvironment.mOut; }
  std::ostream& Err() const { return mEnvironment.mErr; }
};

struct CtlCommand
{
  std::string_view mName; // one or more words, such as "config check"
  std::string_view
    mArguments;           // names of the positional arguments, such as "DIR"; one that ends with
                          // "..." stands for one or more
  std::string_view mHelp; // one line
  void (*mAddOptions)(boost::program_options::options_description&) = nullptr;
  ExitCode (*mRun)(const CtlContext&) = nullptr;
};

// One group per source file; a new group is added to the list in ctl.cpp.
std::span<const CtlCommand> ConfigCommands(); // check, diff and show of directories
std::span<const CtlCommand> SyncCommands();   // push, pull, sync and history of the store's value
std::span<const CtlCommand> LogCommands();    // explain of logs
std::span<const CtlCommand> NodeCommands();   // state, members, drain and the like of a node

// Runs the command line without the program's name.
ExitCode RunCtl(const std::vector<std::string>& aArguments, CtlEnvironment& aEnvironment);

} // namespace balsammount
