#include "balsammount/log.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <array>
#include <memory>
#include <string>

namespace balsammount {

namespace {

constexpr const char* kTextPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %n: %v";
constexpr const char* kJsonPattern =
  R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","part":"%n","message":"%v"})";

const std::shared_ptr<spdlog::sinks::stderr_sink_st>& Sink()
{
  static const auto sSink = [] {
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
    sink->set_formatter(
      std::make_unique<spdlog::pattern_formatter>(kTextPattern, spdlog::pattern_time_type::utc));
    return sink;
  }();
  return sSink;
}

} // namespace

spdlog::logger& Log(std::string_view aPart)
{
  const std::string name(aPart);
  if (auto existing = spdlog::get(name)) {
    return *existing;
  }
  auto logger = std::make_shared<spdlog::logger>(name, Sink());
  logger->set_level(spdlog::get_level());
  spdlog::register_logger(logger);
  return *logger;
}

void SetLogFormat(std::string_view aFormat)
{
  Sink()->set_formatter(std::make_unique<spdlog::pattern_formatter>(
    aFormat == "json" ? kJsonPattern : kTextPattern, spdlog::pattern_time_type::utc));
}

bool SetLogLevel(std::string_view aLevel)
{
  constexpr std::array<std::string_view, 5> kLevels = { "trace", "debug", "info", "warning",
                                                        "error" };
  if (std::find(kLevels.begin(), kLevels.end(), aLevel) == kLevels.end()) {
    return false;
  }
  spdlog::set_level(spdlog::level::from_str(std::string(aLevel)));
  return true;
}

} // namespace balsammount
