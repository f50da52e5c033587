// The operators' side of a node: state dump, metrics, drain and log level over HTTP.
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
  // Null in a deployment without them.
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

  // GET /ready (200 when the node takes requests of callers, else 503), /state, /services,
  // /members, /config, /quarantine, /metrics; POST /drain; PUT /log-level with the level; DELETE
  // /quarantine with a fingerprint.
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
