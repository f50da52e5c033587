#include "balsammount/server_life.h"

#include <array>

namespace balsammount {

const char* ToString(AnnouncementResult aResult)
{
  constexpr std::array kNames = { "applied", "late", "foreign" };
  return kNames[static_cast<size_t>(aResult)];
}

bool ServerLife::HasLeft(const ServerAnnouncement& aAnnouncement) const
{
  return mLeft && mLeft->mServerId == aAnnouncement.mServerId &&
         aAnnouncement.mStarted <= mLeft->mStartedUntil;
}

AnnouncementResult ServerLife::OnAnnouncement(const ServerAnnouncement& aAnnouncement)
{
  if (aAnnouncement.mService != mService || aAnnouncement.mAddress != mAddress) {
    return AnnouncementResult::Foreign;
  }
  const bool isSame = mCurrent && mCurrent->mServerId == aAnnouncement.mServerId &&
                      mCurrent->mStarted == aAnnouncement.mStarted;
  if (isSame && aAnnouncement.mLeaving) {
    // Also by a late announcement: a server that has said once that it leaves does leave.
    mCurrent->mLeaving = true;
  }
  if (mCurrent && (aAnnouncement.mStarted < mCurrent->mStarted ||
                   (isSame && aAnnouncement.mSequence <= mCurrent->mSequence))) {
    return AnnouncementResult::Late;
  }
  const bool isLeaving =
    aAnnouncement.mLeaving || HasLeft(aAnnouncement) || (isSame && mCurrent->mLeaving);
  mCurrent = aAnnouncement;
  mCurrent->mLeaving = isLeaving;
  return AnnouncementResult::Applied;
}

bool ServerLife::OnDeparture(std::string_view aServerId, std::optional<uint64_t> aStarted,
                             WallTime aNow)
{
  const bool isCurrent = mCurrent && mCurrent->mServerId == aServerId &&
                         mCurrent->mStarted == aStarted.value_or(mCurrent->mStarted);
  if (isCurrent) {
    mCurrent->mLeaving = true;
    mLeft = LeftServer{ mCurrent->mServerId, mCurrent->mStarted };
    return true;
  }
  // A server that has not announced itself to this process started before it departed. Its next
  // incarnation starts after that.
  const uint64_t startedUntil = aStarted.value_or(MillisecondsSinceEpoch(aNow));
  if (!mCurrent || startedUntil >= mCurrent->mStarted) {
    mLeft = LeftServer{ std::string(aServerId), startedUntil };
  }
  return false;
}

void ServerLife::RecallLeaving(const std::string& aServerId, uint64_t aStartedUntil)
{
  if (!mLeft || mLeft->mStartedUntil < aStartedUntil) {
    mLeft = LeftServer{ aServerId, aStartedUntil };
  }
  if (mCurrent && HasLeft(*mCurrent)) {
    mCurrent->mLeaving = true;
  }
}

} // namespace balsammount
