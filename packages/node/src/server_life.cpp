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
         mLeft->mStarted == aAnnouncement.mStarted;
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

bool ServerLife::OnDeparture(std::string_view aServerId, std::optional<uint64_t> aStarted)
{
  const bool isCurrent = mCurrent && mCurrent->mServerId == aServerId &&
                         mCurrent->mStarted == aStarted.value_or(mCurrent->mStarted);
  if (isCurrent) {
    mCurrent->mLeaving = true;
    mLeft = Left{ mCurrent->mServerId, mCurrent->mStarted };
  } else if (aStarted && (!mCurrent || *aStarted >= mCurrent->mStarted)) {
    mLeft = Left{ std::string(aServerId), *aStarted };
  }
  return isCurrent;
}

void ServerLife::RecallLeaving(const std::string& aServerId, uint64_t aStarted)
{
  mLeft = Left{ aServerId, aStarted };
  if (mCurrent && HasLeft(*mCurrent)) {
    mCurrent->mLeaving = true;
  }
}

} // namespace balsammount
