#include "balsammount/load_generator.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

namespace balsammount {

float Percentile(std::vector<float> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto rank = static_cast<size_t>(std::ceil(aFraction * static_cast<double>(aValues.size())));
  const auto position =
    aValues.begin() + static_cast<std::ptrdiff_t>(std::clamp<size_t>(rank, 1, aValues.size()) - 1);
  std::nth_element(aValues.begin(), position, aValues.end());
  return *position;
}

std::string FormatTable(const LoadReport& aReport)
{
  std::string text = fmt::format("{:<16}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>7}{:>10}{:>10}\n",
                                 "flow", "offered", "goodput", "attempts", "not-run", "unknown",
                                 "timeouts", "errors", "wrong", "p50 ms", "p99 ms");
  for (const FlowReport& flow : aReport.mFlows) {
    text += fmt::format("{:<16}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>7}{:>10.2f}{:>10.2f}\n",
                        flow.mName, flow.mOffered, flow.Count(Outcome::Success), flow.mAttempts,
                        flow.Count(Outcome::NotRun), flow.Count(Outcome::Unknown),
                        flow.Count(Outcome::TimedOut), flow.Count(Outcome::Error),
                        flow.Count(Outcome::WrongResponse), Percentile(flow.mLatencies, 0.5),
                        Percentile(flow.mLatencies, 0.99));
  }
  text += fmt::format("{} s, requests sent at most {:.2f} ms after their intended time\n",
                      aReport.mDurationSeconds, aReport.mMaxSendDelay);
  return text;
}

std::string FormatJson(const LoadReport& aReport)
{
  nlohmann::json flows = nlohmann::json::array();
  for (const FlowReport& flow : aReport.mFlows) {
    flows.push_back({ { "name", flow.mName },
                      { "offered", flow.mOffered },
                      { "goodput", flow.Count(Outcome::Success) },
                      { "attempts", flow.mAttempts },
                      { "not_run", flow.Count(Outcome::NotRun) },
                      { "unknown", flow.Count(Outcome::Unknown) },
                      { "timeouts", flow.Count(Outcome::TimedOut) },
                      { "errors", flow.Count(Outcome::Error) },
                      { "wrong", flow.Count(Outcome::WrongResponse) },
                      { "p50_ms", Percentile(flow.mLatencies, 0.5) },
                      { "p99_ms", Percentile(flow.mLatencies, 0.99) },
                      { "offered_per_second", flow.mOfferedPerSecond },
                      { "goodput_per_second", flow.mGoodputPerSecond } });
  }
  return nlohmann::json{
    { "seconds", aReport.mDurationSeconds },
    { "max_send_delay_ms", aReport.mMaxSendDelay },
    { "flows", std::move(flows) }
  }.dump(2);
}

} // namespace balsammount
