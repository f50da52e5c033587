#include "metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <vector>

namespace balsammount {

namespace {

const prometheus::Histogram::BucketBoundaries kLatencySeconds = { 0.0005, 0.001, 0.002, 0.005, 0.01,
                                                                  0.02,   0.05,  0.1,   0.2,   0.5,
                                                                  1,      2,     5,     10 };

} // namespace

struct Metrics::State
{
  using Counters = prometheus::Family<prometheus::Counter>;

  struct RankMetrics
  {
    prometheus::Counter* mOffered = nullptr;
    prometheus::Counter* mCompleted = nullptr;
    prometheus::Counter* mUnknown = nullptr;
    prometheus::Histogram* mLatency = nullptr;
    std::map<CallReason, prometheus::Counter*> mRefused;
  };

  struct GaugeReader
  {
    prometheus::Gauge* mGauge;
    std::function<double()> mRead;
  };

  State()
    : mOffered(Family("balsammount_calls_offered_total", "Calls that came in at this node."))
    , mCompleted(Family("balsammount_calls_completed_total", "Calls answered by a backend server."))
    , mUnknown(Family("balsammount_calls_unknown_total", "Calls whose end is not known."))
    , mRefused(Family("balsammount_calls_refused_total", "Calls that did not run, by reason."))
    , mRetries(Family("balsammount_retries_total", "Retries sent by this node, by service."))
    , mLatency(prometheus::BuildHistogram()
                 .Name("balsammount_call_seconds")
                 .Help("Time from the request to its answer.")
                 .Register(mRegistry))
  {
  }

  Counters& Family(const std::string& aName, const std::string& aHelp)
  {
    return prometheus::BuildCounter().Name(aName).Help(aHelp).Register(mRegistry);
  }

  RankMetrics& Rank(const std::string& aService, const std::string& aRank)
  {
    RankMetrics& metrics = mRanks[aService + '/' + aRank];
    if (!metrics.mOffered) {
      const prometheus::Labels labels = { { "service", aService }, { "rank", aRank } };
      metrics.mOffered = &mOffered.Add(labels);
      metrics.mCompleted = &mCompleted.Add(labels);
      metrics.mUnknown = &mUnknown.Add(labels);
      metrics.mLatency = &mLatency.Add(labels, kLatencySeconds);
    }
    return metrics;
  }

  prometheus::Registry mRegistry;
  Counters& mOffered;
  Counters& mCompleted;
  Counters& mUnknown;
  Counters& mRefused;
  Counters& mRetries;
  prometheus::Family<prometheus::Histogram>& mLatency;
  std::map<std::string, RankMetrics> mRanks;
  std::vector<GaugeReader> mGauges;
};

Metrics::Metrics()
  : mState(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::OnOffered(const std::string& aService, const std::string& aRank)
{
  mState->Rank(aService, aRank).mOffered->Increment();
}

void Metrics::OnAnswered(const std::string& aService, const std::string& aRank,
                         const CallResult& aResult, Duration aLatency)
{
  State::RankMetrics& rank = mState->Rank(aService, aRank);
  switch (aResult.mOutcome) {
    case AttemptOutcome::Complete:
      rank.mCompleted->Increment();
      rank.mLatency->Observe(std::chrono::duration<double>(aLatency).count());
      break;
    case AttemptOutcome::Unknown:
      rank.mUnknown->Increment();
      break;
    default:
      OnRefused(aService, aRank, aResult.mReason);
  }
}

void Metrics::OnRefused(const std::string& aService, const std::string& aRank, CallReason aReason)
{
  auto& counter = mState->Rank(aService, aRank).mRefused[aReason];
  if (!counter) {
    counter = &mState->mRefused.Add(
      { { "service", aService }, { "rank", aRank }, { "reason", ToString(aReason) } });
  }
  counter->Increment();
}

void Metrics::OnRetry(const std::string& aService)
{
  mState->mRetries.Add({ { "service", aService } }).Increment();
}

void Metrics::AddGauge(const std::string& aName, const std::string& aHelp,
                       std::function<double()> aRead)
{
  auto& family = prometheus::BuildGauge().Name(aName).Help(aHelp).Register(mState->mRegistry);
  mState->mGauges.push_back({ &family.Add({}), std::move(aRead) });
}

std::string Metrics::Serialize() const
{
  for (const State::GaugeReader& reader : mState->mGauges) {
    reader.mGauge->Set(reader.mRead());
  }
  return prometheus::TextSerializer().Serialize(mState->mRegistry.Collect());
}

} // namespace balsammount
