#include "balsammount/ctl.h"

#include <algorithm>
#include <array>
#include <ostream>

namespace balsammount {

namespace {

namespace po = boost::program_options;

using Words = std::vector<std::string>;

std::vector<CtlCommand> AllCommands()
{
  std::vector<CtlCommand> commands;
  for (const auto& group : { ConfigCommands(), SyncCommands(), NodeCommands(), LogCommands() }) {
    commands.insert(commands.end(), group.begin(), group.end());
  }
  return commands;
}

Words SplitWords(std::string_view aText)
{
  Words words;
  while (!aText.empty()) {
    const size_t end = std::min(aText.find(' '), aText.size());
    words.emplace_back(aText.substr(0, end));
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return words;
}

std::string Synopsis(const CtlCommand& aCommand)
{
  std::string text(aCommand.mName);
  if (!aCommand.mArguments.empty()) {
    text.append(" ").append(aCommand.mArguments);
  }
  return text;
}

void PrintOverview(std::ostream& aOut)
{
  aOut << "Usage: balsamctl COMMAND [ARGUMENT...] [OPTION...]\n\nCommands:\n";
  constexpr size_t kColumn = 26;
  for (const CtlCommand& command : AllCommands()) {
    std::string line = "  " + Synopsis(command);
    line.resize(std::max(line.size() + 1, kColumn), ' ');
    aOut << line << command.mHelp << '\n';
  }
  aOut << "\nOptions:\n"
          "  --help                  Print help for the program or the command\n"
          "  --version               Print the version\n"
          "  --json                  Print results and errors as JSON on standard output\n"
          "\nExit codes: 0 success, 1 failure, 2 usage error.\n"
          "\"balsamctl COMMAND --help\" lists the options of a command.\n";
}

ExitCode Usage(const CtlEnvironment& aEnvironment, const std::string& aMessage)
{
  aEnvironment.mErr << "balsamctl: " << aMessage << "; see balsamctl --help\n";
  return ExitCode::Usage;
}

// Returns the command with the longest name that is a prefix of the arguments.
std::optional<CtlCommand> FindCommand(const Words& aArguments)
{
  std::optional<CtlCommand> found;
  for (const CtlCommand& command : AllCommands()) {
    const Words words = SplitWords(command.mName);
    const bool matches = words.size() <= aArguments.size() &&
                         std::equal(words.begin(), words.end(), aArguments.begin());
    if (matches && (!found || command.mName.size() > found->mName.size())) {
      found = command;
    }
  }
  return found;
}

ExitCode RunCommand(const CtlCommand& aCommand, const Words& aRest, CtlEnvironment& aEnvironment)
{
  po::options_description visible("Options");
  visible.add_options()("help", "print help for the command")("json",
                                                              "print results and errors as JSON");
  if (aCommand.mAddOptions) {
    aCommand.mAddOptions(visible);
  }
  po::options_description all;
  all.add(visible).add_options()("argument", po::value<Words>()->default_value({}, ""));
  po::positional_options_description positional;
  positional.add("argument", -1);
  CtlContext context{ aEnvironment, {}, {}, false };
  try {
    po::store(
      po::command_line_parser(aRest)
        .options(all)
        .positional(positional)
        .style(po::command_line_style::default_style & ~po::command_line_style::allow_guessing)
        .run(),
      context.mOptions);
    po::notify(context.mOptions);
  } catch (const po::error& error) {
    return Usage(aEnvironment, std::string(aCommand.mName) + ": " + error.what());
  }
  if (context.mOptions.count("help") > 0) {
    aEnvironment.mOut << "Usage: balsamctl " << Synopsis(aCommand) << " [OPTION...]\n\n"
                      << aCommand.mHelp << ".\n\n"
                      << visible;
    return ExitCode::Ok;
  }
  context.mArguments = context.mOptions["argument"].as<Words>();
  context.mJson = context.mOptions.count("json") > 0;
  const size_t expected = SplitWords(aCommand.mArguments).size();
  const bool isVariadic = aCommand.mArguments.ends_with("...");
  if (context.mArguments.size() < expected ||
      (!isVariadic && context.mArguments.size() > expected)) {
    return Usage(aEnvironment, "expected: balsamctl " + Synopsis(aCommand));
  }
  return aCommand.mRun(context);
}

} // namespace

ExitCode RunCtl(const std::vector<std::string>& aArguments, CtlEnvironment& aEnvironment)
{
  Words arguments = aArguments;
  // Options before the command, as in "balsamctl --json config history", apply to the command.
  const auto first =
    std::ranges::find_if(arguments, [](const auto& aWord) { return !aWord.starts_with('-'); });
  std::rotate(arguments.begin(), first, arguments.end());
  if (const auto command = FindCommand(arguments)) {
    const auto words = static_cast<ptrdiff_t>(SplitWords(command->mName).size());
    return RunCommand(*command, Words(arguments.begin() + words, arguments.end()), aEnvironment);
  }
  if (arguments == Words{ "--version" }) {
    aEnvironment.mOut << "balsamctl " BM_VERSION "\n";
    return ExitCode::Ok;
  }
  if (arguments == Words{ "--help" } || arguments == Words{ "help" }) {
    PrintOverview(aEnvironment.mOut);
    return ExitCode::Ok;
  }
  return Usage(aEnvironment, arguments.empty() ? "expected a command"
                                               : "unknown command \"" + arguments[0] + "\"");
}

} // namespace balsammount
