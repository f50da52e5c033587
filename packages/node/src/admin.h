// The operators' side of a node: state dump, metrics, drain and log level over HTTP.
#pragma once

#include "config_service.h"
#include "executor.h"
#include "gateway.h"
#include "metrics.h"
#include "upstreams.h"

#include <functional>

namespace balsammount {

struct AdminParts
{
  const NodeSettings& mSettings;
  const Clock& mClock;
  const ConfigService& mConfig;
  const Executor& mExecutor;
  const Upstreams& mUpstreams;
  const Gateway& mGateway;
  const Metrics& mMetrics;
  std::function<void()> mDrain;
};

class Admin final : public Service
{
public:
  explicit Admin(AdminParts aParts)
    : mParts(std::move(aParts))
  {
  }

  // GET /state, /services, /members, /config, /metrics; POST /drain; PUT /log-level.
  void Handle(const std::shared_ptr<Exchange>& aExchange);

private:
  HttpResponse State() const;
  HttpResponse Services() const;
  HttpResponse Members() const;
  HttpResponse ConfigValue() const;
  HttpResponse MetricsText() const;
  HttpResponse Drain() const;
  HttpResponse LogLevel(const HttpRequest& aRequest) const;

  AdminParts mParts;
};

} // namespace balsammount
