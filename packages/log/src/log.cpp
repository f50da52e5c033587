#include "balsammount/log.h"

#include "stdout_sink.h"

#include <nlohmann/json.hpp>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>

#include <array>
#include <memory>
#include <mutex>
#include <string>

namespace balsammount {

namespace {

using Formatter = std::unique_ptr<spdlog::formatter>;

constexpr const char* kTextPattern = "%Y-%m-%dT%H:%M:%S.%eZ %l %n: %v";

Formatter TextFormatter()
{
  return std::make_unique<spdlog::pattern_formatter>(kTextPattern, spdlog::pattern_time_type::utc);
}

// Formats each message as a JSON object on one line.
class JsonFormatter final : public spdlog::formatter
{
public:
  void format(const spdlog::details::log_msg& aMessage, spdlog::memory_buf_t& aTarget) override
  {
    const auto level = spdlog::level::to_string_view(aMessage.level);
    const nlohmann::ordered_json line = {
      { "time", detail::FormatTime(aMessage.time) },
      { "level", std::string(level.data(), level.size()) },
      { "part", std::string(aMessage.logger_name.data(), aMessage.logger_name.size()) },
      { "message", std::string(aMessage.payload.data(), aMessage.payload.size()) }
    };
    const std::string text =
      line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
    aTarget.append(text.data(), text.data() + text.size());
  }
  Formatter clone() const override { return std::make_unique<JsonFormatter>(); }
};

class StdoutSink final : public spdlog::sinks::base_sink<std::mutex>
{
protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    spdlog::memory_buf_t line;
    formatter_->format(aMessage, line);
    detail::WriteLine({ line.data(), line.size() });
  }
  void flush_() override {}
};

const std::shared_ptr<StdoutSink>& Sink()
{
  static const auto sSink = [] {
    auto sink = std::make_shared<StdoutSink>();
    sink->set_formatter(TextFormatter());
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

void LogToStandardError()
{
  detail::UseStandardError();
}

void SetLogFormat(std::string_view aFormat)
{
  Sink()->set_formatter(aFormat == "json" ? Formatter(std::make_unique<JsonFormatter>())
                                          : TextFormatter());
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
