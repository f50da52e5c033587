// scenario: runs a scenario file on real processes.

#include "lua/language.h"

#include <boost/program_options.hpp>

#include <chrono>
#include <cstdlib>
#include <iostream>

using namespace balsammount;
namespace po = boost::program_options;

namespace {

std::filesystem::path MakeDirectory()
{
  std::string path = (std::filesystem::temp_directory_path() / "scenario-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) {
    throw std::system_error(errno, std::generic_category(), path);
  }
  return path;
}

int Run(const std::string& aFile, uint64_t aSeed, const std::filesystem::path& aDirectory)
{
  const auto start = std::chrono::steady_clock::now();
  Cluster cluster({ BM_NODE_PROGRAM, BM_BACKEND_PROGRAM, BM_STORE_PROGRAM, BM_LOAD_PROGRAM },
                  aDirectory, aSeed);
  const std::string failure = RunScenario(cluster, aFile, aSeed);
  const std::chrono::duration<double> time = std::chrono::steady_clock::now() - start;
  if (!failure.empty()) {
    std::cerr << failure << "\n" << cluster.Report() << "\n" << failure << "\n";
    std::cerr << "FAILED with seed " << aSeed << " after " << time.count() << " s\n";
    return 1;
  }
  std::cout << "passed with seed " << aSeed << " in " << time.count() << " s\n";
  return 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  po::options_description options("scenario FILE.lua runs a scenario on real processes");
  // clang-format off
  options.add_options()
    ("file", po::value<std::string>()->required(), "scenario file; also the first positional argument")
    ("seed", po::value<uint64_t>()->default_value(1), "random seed of the scenario")
    ("keep", "keep the directory with settings and logs")
    ("help", "print this text");
  // clang-format on
  po::positional_options_description positionalOptions;
  positionalOptions.add("file", 1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(aCount, aArguments)
                .options(options)
                .positional(positionalOptions)
                .run(),
              values);
    if (values.contains("help")) {
      std::cout << options;
      return 0;
    }
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  const auto directory = MakeDirectory();
  const int status =
    Run(values["file"].as<std::string>(), values["seed"].as<uint64_t>(), directory);
  if (values.contains("keep")) {
    std::cout << "settings and logs are in " << directory.string() << "\n";
  } else {
    std::filesystem::remove_all(directory);
  }
  return status;
}
