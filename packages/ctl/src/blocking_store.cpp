#include "balsammount/blocking_store.h"

#include "balsammount/endpoint.h"
#include "balsammount/etcd_store.h"

#include <sstream>

namespace balsammount {

namespace {

// Owns an open store. The store is destroyed before its event loop.
struct StoreSession
{
  explicit StoreSession(EtcdStoreSettings aSettings)
    : mStore(mContext, std::move(aSettings))
    , mBlocking(mStore, mClock, [this] {
      mContext.restart();
      mContext.run_one_for(std::chrono::milliseconds(10));
    })
  {
  }

  boost::asio::io_context mContext{ 1 };
  SystemClock mClock;
  EtcdStore mStore;
  BlockingStore mBlocking;
};

} // namespace

StoreResult<StoreRead> BlockingStore::Get(const std::string& aKey)
{
  // Shared with the callback, which may outlive this call if mStep throws.
  auto result = std::make_shared<std::optional<StoreResult<StoreRead>>>();
  mStore.Get(aKey, [result](StoreResult<StoreRead> aResult) { *result = std::move(aResult); });
  while (!result->has_value()) {
    mStep();
  }
  return **result;
}

StoreResult<Revision> BlockingStore::CompareAndSwap(const std::string& aKey, Revision aExpected,
                                                    const std::string& aValue)
{
  auto result = std::make_shared<std::optional<StoreResult<Revision>>>();
  mStore.CompareAndSwap(aKey, aExpected, aValue, kNoLease,
                        [result](StoreResult<Revision> aResult) { *result = std::move(aResult); });
  while (!result->has_value()) {
    mStep();
  }
  return **result;
}

void BlockingStore::Pause(Duration aDuration)
{
  const SteadyTime end = mClock.Now() + aDuration;
  while (mClock.Now() < end) {
    mStep();
  }
}

Result<std::shared_ptr<BlockingStore>> OpenStore(const std::string& aEndpoints)
{
  EtcdStoreSettings settings;
  std::istringstream stream(aEndpoints);
  for (std::string text; std::getline(stream, text, ',');) {
    const auto endpoint = ParseEndpoint(text);
    if (!endpoint || endpoint->port() == 0) {
      return Failure{ std::make_error_code(std::errc::invalid_argument),
                      "expected IP:PORT for the store, got \"" + text + "\"" };
    }
    settings.mEndpoints.push_back(*endpoint);
  }
  if (settings.mEndpoints.empty()) {
    return Failure{ std::make_error_code(std::errc::invalid_argument),
                    "no store: set --store IP:PORT or BALSAMCTL_STORE" };
  }
  auto session = std::make_shared<StoreSession>(std::move(settings));
  return std::shared_ptr<BlockingStore>(session, &session->mBlocking);
}

} // namespace balsammount
