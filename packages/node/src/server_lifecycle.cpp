#include "balsammount/server_lifecycle.h"

#include <array>

namespace balsammount {

const char* ToString(AnnouncementResult aResult)
{
  constexpr std::array kNames = { "applied", "late", "foreign" };
  return kNames[static_cast<size_t>(aResult)];
}

bool ServerLifecycle::HasDeparted(const ServerAnnouncement& aAnnouncement) const
{
  return mDeparted && mDeparted->mServerId == aAnnouncement.mServerId &&
         aAnnouncement.mStarted <= mDeparted->mLatestStart;
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
  const bool isCurrent = mCurrent && mCurrent->mServerId == aServerId &&
                         mCurrent->mStarted == aStarted.value_or(mCurrent->mStarted);
  if (isCurrent) {
    mCurrent->mLeaving = true;
    mDeparted = DepartedServer{ mCurrent->mServerId, mCurrent->mStarted };
    return true;
  }
  // Without a start time the current time is an upper bound: the server has started by now, and its
  // next incarnation starts later.
  const uint64_t latestStart = aStarted.value_or(MillisecondsSinceEpoch(aNow));
  if (!mCurrent || latestStart >= mCurrent->mStarted) {
    mDeparted = DepartedServer{ std::string(aServerId), latestStart };
  }
  return false;
}

void ServerLifecycle::RestoreDeparture(const std::string& aServerId, uint64_t aLatestStart)
{
  if (!mDeparted || mDeparted->mLatestStart < aLatestStart) {
    mDeparted = DepartedServer{ aServerId, aLatestStart };
  }
  if (mCurrent && HasDeparted(*mCurrent)) {
    mCurrent->mLeaving = true;
  }
}

} // namespace balsammount
