#include "config_fetcher.h"

#include <utility>

namespace balsammount {

namespace {

// Time after which the configuration is fetched from another node as well. A quarter of the time
// limit, so that three more nodes can be asked while the first one is silent.
constexpr Duration kFetchPatience = kConfigFetchTimeout / 4;

} // namespace

ConfigFetcher::ConfigFetcher(const Clock& aClock, Peers& aPeers, ConfigService& aConfig)
  : mClock(aClock)
  , mPeers(aPeers)
  , mConfig(aConfig)
{
}

void ConfigFetcher::OnStated(std::string aNodeId, uint64_t aRevision)
{
  if (aRevision <= mConfig.Holder().Revision()) {
    return;
  }
  const auto fetch = mFetches.find(aNodeId);
  const bool isFetched = fetch != mFetches.end();
  if (isFetched && aRevision <= fetch->second) {
    return;
  }
  if (!isFetched && (mFetches.empty() || mClock.Now() >= mLastFetch + kFetchPatience)) {
    Fetch({ std::move(aNodeId), aRevision });
  } else if (!mNextSource || aRevision >= mNextSource->mRevision) {
    mNextSource = Source{ std::move(aNodeId), aRevision };
  }
}

void ConfigFetcher::TryNextSource()
{
  if (auto source = std::exchange(mNextSource, std::nullopt)) {
    OnStated(std::move(source->mNodeId), source->mRevision);
  }
}

void ConfigFetcher::Fetch(const Source& aSource)
{
  HttpRequest request;
  request.mTarget = "/balsammount/config";
  mFetches[aSource.mNodeId] = aSource.mRevision;
  mLastFetch = mClock.Now();
  mPeers.Send(aSource.mNodeId, std::move(request), kConfigFetchTimeout,
              [this, node = aSource.mNodeId](const Result<HttpResponse>& aResult) {
                mFetches.erase(node);
                if (mStopped) {
                  return;
                }
                if (aResult && aResult->mStatus == 200) {
                  mConfig.Offer(aResult->mBody, node);
                }
                TryNextSource();
              });
}

} // namespace balsammount
