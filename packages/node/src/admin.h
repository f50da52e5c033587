// HTTP interface for operators: state, metrics, draining, quarantine and log level.
#pragma once

#include "config_service.h"
#include "directory_service.h"
#include "executor.h"
#include "gateway.h"
#include "membership_service.h"
#include "metrics.h"
#include "ownership_service.h"
#include "quarantine_service.h"
#include "upstreams.h"

#include <functional>

namespace balsammount {

struct AdminDependencies
{
  const NodeSettings& mSettings;
  const Clock& mClock;
  const ConfigService& mConfig;
  const Executor& mExecutor;
  const Upstreams& mUpstreams;
  const Gateway& mGateway;
  const Metrics& mMetrics;
  // Null in a deployment without the service.
  const MembershipService* mMembership;
  const OwnershipService* mOwnership;
  const DirectoryService* mDirectory;
  QuarantineService& mQuarantine;
  std::function<void()> mDrain;
  std::function<bool()> mReady;
};

class Admin final : public Service
{
public:
  explicit Admin(AdminDependencies aDependencies)
    : mDependencies(std::move(aDependencies))
  {
  }

  // GET /ready (200 when the node accepts requests from callers, else 503), /state, /services,
  // /members, /config, /quarantine and /metrics; POST /drain; PUT /log-level with the level as
  // body; DELETE /quarantine with a fingerprint as body.
  void Handle(const std::shared_ptr<Exchange>& aExchange);

private:
  HttpResponse Ready() const;
  HttpResponse State() const;
  HttpResponse Services() const;
  HttpResponse Members() const;
  HttpResponse ConfigValue() const;
  HttpResponse MetricsText() const;
  HttpResponse Drain() const;
  HttpResponse LogLevel(const HttpRequest& aRequest) const;
  HttpResponse Quarantined() const;
  HttpResponse Release(const HttpRequest& aRequest) const;

  AdminDependencies mDependencies;
};

} // namespace balsammount
