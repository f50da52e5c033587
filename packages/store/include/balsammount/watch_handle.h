// The handle of a watch that goes on in an object of its own.
#pragma once

#include "balsammount/store.h"

#include <memory>

namespace balsammount {

// For the adapters: Loop has a Cancel() that may be called twice, and may have a SetPause.
template <class Loop>
class WatchHandle final : public StoreWatch
{
public:
  explicit WatchHandle(std::shared_ptr<Loop> aLoop)
    : mLoop(std::move(aLoop))
  {
  }
  ~WatchHandle() override { mLoop->Cancel(); }
  void Cancel() override { mLoop->Cancel(); }
  void SetMinReportInterval(std::chrono::milliseconds aInterval) override
  {
    if constexpr (requires { mLoop->SetMinReportInterval(aInterval); }) {
      mLoop->SetMinReportInterval(aInterval);
    }
  }

private:
  std::shared_ptr<Loop> mLoop;
};

} // namespace balsammount
