#include "member_service.h"

#include <nlohmann/json.hpp>

namespace balsammount {

using namespace std::chrono_literals;

namespace {

constexpr auto kPollInterval = 500ms;

std::string ContactName(const boost::asio::ip::tcp::endpoint& aEndpoint)
{
  return "contact:" + aEndpoint.address().to_string() + ":" + std::to_string(aEndpoint.port());
}

} // namespace

MemberService::MemberService(boost::asio::io_context& aContext, const Clock& aClock,
                             const NodeSettings& aSettings, Upstreams& aUpstreams, Peers& aPeers)
  : mClock(aClock)
  , mSettings(aSettings)
  , mUpstreams(aUpstreams)
  , mPeers(aPeers)
  , mTimer(aContext)
  , mIncarnation(static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(mClock.WallNow().time_since_epoch())
        .count()))
{
}

Result<void> MemberService::Start()
{
  PollContacts();
  return {};
}

void MemberService::Stop()
{
  mStopped = true;
  mTimer.cancel();
}

std::string MemberService::SelfRecord() const
{
  return nlohmann::json{
    { "node", mSettings.mNodeId },
    { "service", mSettings.mService },
    { "data_centre", mSettings.mDataCentre },
    { "incarnation", mIncarnation },
    { "available", mAvailable },
    { "leaving", mLeaving }
  }.dump();
}

void MemberService::SetAvailable(bool aAvailable)
{
  mAvailable = aAvailable;
  ApplySelf();
}

void MemberService::SetLeaving(bool aLeaving)
{
  if (mLeaving && !aLeaving) {
    // Leaving is final for an incarnation; coming back needs a new one.
    ++mIncarnation;
  }
  mLeaving = aLeaving;
  ApplySelf();
}

void MemberService::ApplySelf()
{
  if (mAvailable) {
    mUpstreams.Upsert(
      { mSettings.mNodeId, mSettings.mService, mSettings.mDataCentre, mIncarnation, mLeaving });
  } else {
    mUpstreams.Remove(mSettings.mNodeId);
  }
}

void MemberService::PollContacts()
{
  for (const auto& contact : mSettings.mContacts) {
    if (contact == mSettings.mPeerListen) {
      continue;
    }
    const std::string name = ContactName(contact);
    mPeers.Upsert(name, contact);
    HttpRequest request;
    request.mTarget = "/balsammount/member";
    mPeers.Send(name, std::move(request), 1s, [this, contact](Result<HttpResponse> aResult) {
      if (!mStopped && aResult && aResult->mStatus == 200) {
        OnRecord(contact, aResult->mBody);
      }
    });
  }
  mTimer.expires_after(kPollInterval);
  mTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      PollContacts();
    }
  });
}

void MemberService::OnRecord(const boost::asio::ip::tcp::endpoint& aContact,
                             const std::string& aBody)
{
  const auto record = nlohmann::json::parse(aBody, nullptr, false);
  if (!record.is_object()) {
    return;
  }
  const std::string node = record.value("node", "");
  mPeers.Upsert(node, aContact);
  if (record.value("available", false)) {
    mUpstreams.Upsert({ node, record.value("service", ""), record.value("data_centre", ""),
                        record.value("incarnation", uint64_t(0)), record.value("leaving", false) });
  } else {
    mUpstreams.Remove(node);
  }
}

} // namespace balsammount
