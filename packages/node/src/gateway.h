// Takes requests of callers and of the backend server beside this node, gives them their context,
// and forwards them.
#pragma once

#include "call_target.h"
#include "executor.h"
#include "metrics.h"

#include "balsammount/config.h"
#include "balsammount/random.h"

#include <memory>
#include <string>

namespace balsammount {

class Gateway final : public Service
{
public:
  Gateway(const Clock& aClock, Random& aRandom, const NodeSettings& aSettings, Executor& aExecutor,
          CallTarget& aTarget, Metrics& aMetrics);

  void HandleCaller(const std::shared_ptr<Exchange>& aExchange);
  void HandleEgress(const std::shared_ptr<Exchange>& aExchange);

  void ApplyConfig(const std::shared_ptr<const Config>& aConfig) { mConfig = aConfig; }

  // Requests that came in here and are not answered yet.
  size_t Pending() const { return mPending; }

private:
  // Fills in the context of a request that starts a call chain; nothing when it was answered.
  std::optional<CallContext> EntryContext(Exchange& aExchange, std::string_view aCaller);
  void HandleEntry(const std::shared_ptr<Exchange>& aExchange, std::string_view aCaller);
  void HandleSubCall(const std::shared_ptr<Exchange>& aExchange,
                     const std::shared_ptr<InFlightRequest>& aParent);
  void Forward(const std::shared_ptr<Exchange>& aExchange, CallContext aContext,
               RequestBudget aBudget, std::function<void(Answer&)> aOnAnswer);
  std::string NewRequestId();

  const Clock& mClock;
  NodeSettings mSettings;
  Executor& mExecutor;
  CallTarget& mTarget;
  Metrics& mMetrics;
  std::shared_ptr<const Config> mConfig;
  CallerBudget mCallerBudget;
  uint64_t mIdPrefix;
  uint64_t mNextId = 1;
  size_t mPending = 0;
};

} // namespace balsammount
