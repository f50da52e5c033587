// Prometheus metrics of one node, by service and rank.
#pragma once

#include "call_context.h"

#include <functional>
#include <memory>
#include <string>

namespace balsammount {

class Metrics
{
public:
  Metrics();
  ~Metrics();

  void OnOffered(const std::string& aService, const std::string& aRank);
  void OnAnswered(const std::string& aService, const std::string& aRank, const CallResult& aResult,
                  Duration aLatency);
  void OnRefused(const std::string& aService, const std::string& aRank, CallReason aReason);
  void OnRetry(const std::string& aService);

  // Adds a gauge whose value is read at each scrape.
  void AddGauge(const std::string& aName, const std::string& aHelp, std::function<double()> aRead);

  // Returns the metrics in the Prometheus text format.
  std::string Serialize() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace balsammount
