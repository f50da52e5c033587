// Forwards calls to upstreams and retries them within the retry budgets.
#pragma once

#include "call_handler.h"
#include "metrics.h"
#include "peers.h"
#include "upstreams.h"

#include "balsammount/config.h"
#include "balsammount/node_settings.h"
#include "balsammount/retry.h"

#include <map>
#include <memory>
#include <string>

namespace balsammount {

class Forwarder final : public CallHandler
{
public:
  // aLocal handles the calls to the backend server beside this node.
  Forwarder(const Clock& aClock, const NodeSettings& aSettings, Upstreams& aUpstreams,
            Peers& aPeers, CallHandler& aLocal, Metrics& aMetrics);
  ~Forwarder() override;

  std::shared_ptr<Call> Handle(CallContext aContext, HttpRequest aRequest, RequestBudget aBudget,
                               CallResultCallback aCallback) override;

  void ApplyConfig(const std::shared_ptr<const Config>& aConfig);
  // Number of nodes, including this one, that share the retry slack of the fleet.
  void SetFleetSize(size_t aNodes);

  // The callback receives the shed level of the called service after each call.
  void SetShedLevelCallback(std::function<void(uint32_t)> aCallback);

private:
  class ForwardedCall;

  struct ServiceState;
  ServiceState& StateOf(const std::string& aService);
  RetryLimiter& RetryLimiterOf(const std::string& aService);
  RetryLimiterPolicy MakeRetryLimiterPolicy(const ServicePolicy& aService) const;
  void ApplyRetryPolicies();

  const Clock& mClock;
  double mFleetRetryRatio;
  uint32_t mFleetRetrySlack;
  size_t mFleetSize = 1;
  Upstreams& mUpstreams;
  Peers& mPeers;
  CallHandler& mLocal;
  Metrics& mMetrics;
  std::shared_ptr<const Config> mConfig;
  std::map<std::string, std::unique_ptr<ServiceState>> mServices;
  std::function<void(uint32_t)> mOnShedLevel;
};

} // namespace balsammount
