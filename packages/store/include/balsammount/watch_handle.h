// StoreWatch that owns a shared watch implementation and cancels it on destruction.
#pragma once

#include "balsammount/store.h"

#include <memory>

namespace balsammount {

// Loop must have an idempotent Cancel() and may have SetMinReportInterval() and CheckNow().
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
  void CheckNow(const std::function<void(Revision)>& aOnChecked) override
  {
    if constexpr (requires { mLoop->CheckNow(aOnChecked); }) {
      mLoop->CheckNow(aOnChecked);
    }
  }

private:
  std::shared_ptr<Loop> mLoop;
};

} // namespace balsammount
