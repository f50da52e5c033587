// Runs scenario files and prints a table of results for each.
#include "balsammount/experiment.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>

namespace options = boost::program_options;
using namespace balsammount;

namespace {

struct Settings
{
  ExperimentOptions mOptions;
  std::vector<std::string> mFiles;
  std::string mCsv;
};

options::options_description Describe()
{
  options::options_description description("Usage: experiment [options] SCENARIO...");
  auto add = description.add_options();
  add("help", "print this help");
  add("seed", options::value<uint64_t>()->default_value(1), "random seed");
  add("policy", options::value<std::string>()->default_value("project"), "none, static or project");
  add("off", options::value<std::vector<std::string>>(),
      "disable a mechanism: floors, shed, retry, deadline or limit");
  add("csv", options::value<std::string>(), "also write the results to this file");
  add("scenario", options::value<std::vector<std::string>>(), "scenario files");
  return description;
}

Result<Settings> Parse(const options::variables_map& aValues)
{
  Settings settings;
  settings.mOptions.mSeed = aValues["seed"].as<uint64_t>();
  const auto policy = ParsePolicy(aValues["policy"].as<std::string>());
  if (!policy) {
    return policy.error();
  }
  settings.mOptions.mPolicy = *policy;
  if (aValues.contains("off")) {
    for (const auto& name : aValues["off"].as<std::vector<std::string>>()) {
      if (const auto result = DisableMechanism(settings.mOptions.mMechanisms, name); !result) {
        return result.error();
      }
    }
  }
  if (aValues.contains("csv")) {
    settings.mCsv = aValues["csv"].as<std::string>();
  }
  if (aValues.contains("scenario")) {
    settings.mFiles = aValues["scenario"].as<std::vector<std::string>>();
  }
  return settings;
}

// Returns the exit code: 0 if all expectations are met, 1 if one is missed, 2 on an error.
int Run(const Settings& aSettings)
{
  std::ofstream csv;
  if (!aSettings.mCsv.empty()) {
    csv.open(aSettings.mCsv);
  }
  bool met = true;
  bool first = true;
  for (const std::string& file : aSettings.mFiles) {
    const auto result = RunScenarioFile(file, aSettings.mOptions);
    if (!result) {
      std::cerr << "experiment: " << Describe(result.error()) << '\n';
      return 2;
    }
    std::cout << FormatTable(*result) << std::endl;
    const std::string lines = FormatCsv(*result);
    csv << (first ? lines : lines.substr(lines.find('\n') + 1));
    first = false;
    met = met && result->Met();
  }
  if (!aSettings.mCsv.empty() && !csv.flush()) {
    std::cerr << "experiment: cannot write " << aSettings.mCsv << '\n';
    return 2;
  }
  return met ? 0 : 1;
}

} // namespace

int main(int aCount, char** aArguments)
{
  const auto description = Describe();
  options::variables_map values;
  try {
    options::positional_options_description positional;
    positional.add("scenario", -1);
    options::store(options::command_line_parser(aCount, aArguments)
                     .options(description)
                     .positional(positional)
                     .run(),
                   values);
  } catch (const options::error& error) {
    std::cerr << "experiment: " << error.what() << '\n';
    return 2;
  }
  if (values.contains("help") || !values.contains("scenario")) {
    std::cout << description;
    return values.contains("help") ? 0 : 2;
  }
  const auto settings = Parse(values);
  if (!settings) {
    std::cerr << "experiment: " << Describe(settings.error()) << '\n';
    return 2;
  }
  return Run(*settings);
}
