#include "balsammount/server_lifecycle.h"

#include <algorithm>
#include <array>

namespace balsammount {

const char* ToString(AnnouncementResult aResult)
{
  constexpr std::array kNames = { "applied", "late", "foreign" };
  return kNames[static_cast<size_t>(aResult)];
}

bool ServerLifecycle::HasDeparted(const ServerAnnouncement& aAnnouncement) const
{
  return std::any_of(mDepartures.begin(), mDepartures.end(), [&](const DepartedServer& aDeparted) {
    return aDeparted.mServerId == aAnnouncement.mServerId &&
           aAnnouncement.mStarted <= aDeparted.mLatestStart;
  });
}

void ServerLifecycle::MarkDeparted(const std::string& aServerId, uint64_t aLatestStart)
{
  DepartedServer departed{ aServerId, aLatestStart };
  const auto known = std::find_if(mDepartures.begin(), mDepartures.end(), [&](const auto& aOther) {
    return aOther.mServerId == aServerId;
  });
  if (known != mDepartures.end()) {
    departed.mLatestStart = std::max(departed.mLatestStart, known->mLatestStart);
    mDepartures.erase(known);
  } else if (mDepartures.size() == kMaxDepartures) {
    mDepartures.erase(mDepartures.begin());
  }
  mDepartures.push_back(std::move(departed));
  if (mCurrent && HasDeparted(*mCurrent)) {
    mCurrent->mLeaving = true;
  }
}

const DepartedServer* ServerLifecycle::Departed() const
{
  if (mCurrent) {
    const auto found =
      std::find_if(mDepartures.begin(), mDepartures.end(),
                   [this](const auto& aOther) { return aOther.mServerId == mCurrent->mServerId; });
    if (found != mDepartures.end()) {
      return &*found;
    }
  }
  return mDepartures.empty() ? nullptr : &mDepartures.back();
}

AnnouncementResult ServerLifecycle::OnAnnouncement(const ServerAnnouncement& aAnnouncement)
{
  if (aAnnouncement.mService != mService || aAnnouncement.mAddress != mAddress) {
    return AnnouncementResult::Foreign;
  }
  const bool isSame = mCurrent && mCurrent->mServerId == aAnnouncement.mServerId &&
                      mCurrent->mStarted == aAnnouncement.mStarted;
  if (isSame && aAnnouncement.mLeaving) {
    // Even an outdated announcement counts: a server that has announced it is leaving does leave.
    mCurrent->mLeaving = true;
  }
  if (mCurrent && (aAnnouncement.mStarted < mCurrent->mStarted ||
                   (isSame && aAnnouncement.mSequence <= mCurrent->mSequence))) {
    return AnnouncementResult::Late;
  }
  const bool isLeaving =
    aAnnouncement.mLeaving || HasDeparted(aAnnouncement) || (isSame && mCurrent->mLeaving);
  mCurrent = aAnnouncement;
  mCurrent->mLeaving = isLeaving;
  return AnnouncementResult::Applied;
}

bool ServerLifecycle::OnDeparture(std::string_view aServerId, std::optional<uint64_t> aStarted,
                                  WallTime aNow)
{
  const std::string id(aServerId);
  const bool isCurrentId = mCurrent && mCurrent->mServerId == id;
  // Without a start time the current time is an upper bound: the server has started by now, and its
  // next incarnation starts later.
  const uint64_t latestStart =
    aStarted.value_or(std::max(MillisecondsSinceEpoch(aNow), isCurrentId ? mCurrent->mStarted : 0));
  MarkDeparted(id, latestStart);
  return isCurrentId && mCurrent->mStarted <= latestStart;
}

void ServerLifecycle::RestoreDeparture(const std::string& aServerId, uint64_t aLatestStart)
{
  MarkDeparted(aServerId, aLatestStart);
}

} // namespace balsammount
