#include "membership_service.h"

#include "balsammount/endpoint.h"
#include "balsammount/log.h"

#include <algorithm>

namespace balsammount {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::udp;

namespace {

// Nodes per data centre that hold contact entries, and that watch the store for configuration.
constexpr size_t kContactsPerDataCentre = 2;
constexpr size_t kWatchersPerDataCentre = 3;
// Nodes that read the ownership table from the store.
constexpr size_t kTableReadersPerService = 2;

constexpr auto kContactRenewalInterval = 10s;
constexpr auto kContactRetryInterval = 1s;
constexpr auto kConfigCheckInterval = 250ms;
constexpr auto kConfigFetchTimeout = 2s;

Endpoint ToCore(const asio::ip::tcp::endpoint& aEndpoint)
{
  return { aEndpoint.address().to_string(), aEndpoint.port() };
}

MemberRecord SelfRecord(const NodeSettings& aSettings, uint64_t aStarted)
{
  MemberRecord record;
  record.mId = aSettings.mNodeId;
  record.mStartMs = static_cast<int64_t>(aStarted);
  record.mPeer = ToCore(aSettings.AdvertisedPeer());
  record.mDataCentre = aSettings.mDataCentre;
  record.mService = aSettings.mService;
  return record;
}

} // namespace

MembershipService::MembershipService(asio::io_context& aContext, const Clock& aClock,
                                     Random& aRandom, Store& aStore, const NodeSettings& aSettings,
                                     uint64_t aStarted, MembershipDependencies aDependencies)
  : mClock(aClock)
  , mSettings(aSettings)
  , mDependencies(aDependencies)
  , mCore(aClock, aRandom, {}, SelfRecord(aSettings, aStarted))
  , mSocket(aContext)
  , mTimer(aContext)
  , mConfigTimer(aContext)
  , mContactTimer(aContext)
  , mContactSlot(aStore, ToText(aSettings.AdvertisedPeer()),
                 [this](const std::string& aValue) { OnContact(aValue); })
{
  for (const auto& contact : aSettings.mContacts) {
    if (contact != aSettings.AdvertisedPeer()) {
      mContacts.push_back(ToCore(contact));
    }
  }
}

Result<void> MembershipService::Start()
{
  boost::system::error_code error;
  const udp::endpoint local(mSettings.mPeerListen.address(), mSettings.mPeerListen.port());
  mSocket.open(local.protocol(), error);
  if (!error) {
    mSocket.bind(local, error);
  }
  if (error) {
    return Failure{ TransportError::ListenFailed,
                    "UDP " + ToText(mSettings.mPeerListen) + ": " + error.message() };
  }
  mSocket.non_blocking(true, error);
  mCore.Join(mContacts);
  Receive();
  SendAndApply(mCore.Tick());
  mContactSlot.ReadContacts();
  MaintainContact();
  FollowConfig();
  ApplyOwnershipMembers();
  return {};
}

void MembershipService::Stop()
{
  mStopped = true;
  mTimer.cancel();
  mConfigTimer.cancel();
  mContactTimer.cancel();
  boost::system::error_code ignored;
  mSocket.close(ignored);
}

void MembershipService::SetAvailable(bool aAvailable)
{
  mCore.UpdateSelf({ aAvailable, std::nullopt });
  ApplyRecord(mCore.Self(), true);
  ApplyOwnershipMembers();
  SendAndApply({});
}

void MembershipService::SetLeaving()
{
  mCore.Leave();
  ApplyRecord(mCore.Self(), true);
  ApplyOwnershipMembers();
  SendAndApply({});
}

void MembershipService::SetRevision(uint64_t aRevision)
{
  mCore.UpdateSelf({ std::nullopt, aRevision });
  SendAndApply({});
}

void MembershipService::Receive()
{
  mSocket.async_receive_from(asio::buffer(mBuffer), mSender,
                             [this](const auto& aError, size_t aSize) {
                               if (mStopped || aError == asio::error::operation_aborted) {
                                 return;
                               }
                               if (!aError) {
                                 OnDatagram(aSize);
                               }
                               Receive();
                             });
}

void MembershipService::OnDatagram(size_t aSize)
{
  auto replies =
    mCore.Receive({ mSender.address().to_string(), mSender.port() }, { mBuffer.data(), aSize });
  if (!replies) {
    Log("members").debug("dropped a datagram from {}: {}", mSender.address().to_string(),
                         Describe(replies.error()));
    return;
  }
  SendAndApply(*replies);
}

// Sends the datagrams, runs due timers and applies the membership changes.
void MembershipService::SendAndApply(const std::vector<Datagram>& aDatagrams)
{
  for (const Datagram& datagram : aDatagrams) {
    Send(datagram);
  }
  if (mCore.NextWake() <= mClock.Now()) {
    for (const Datagram& datagram : mCore.Tick()) {
      Send(datagram);
    }
  }
  ApplyEvents();
  ArmTimer();
}

void MembershipService::Send(const Datagram& aDatagram)
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aDatagram.mTo.mAddress, error);
  if (!error) {
    // Ignores a failed send, because the protocol tolerates lost datagrams.
    mSocket.send_to(asio::buffer(aDatagram.mBytes), udp::endpoint(address, aDatagram.mTo.mPort), 0,
                    error);
  }
}

void MembershipService::ApplyEvents()
{
  if (mCore.Superseded() && !mReportedSuperseded) {
    mReportedSuperseded = true;
    Log("members").error("another process with the node id {} and a later start is in the fleet",
                         mSettings.mNodeId);
  }
  const auto events = mCore.TakeEvents();
  bool ownService = false;
  for (const MemberEvent& event : events) {
    const bool alive = event.mKind != MemberEventKind::Dead && event.mKind != MemberEventKind::Left;
    if (event.mKind != MemberEventKind::Changed) {
      Log("members").info("node {} in data centre {} is {}", event.mRecord.mId,
                          event.mRecord.mDataCentre,
                          alive ? ToString(event.mRecord.mState) : "gone");
    }
    ApplyRecord(event.mRecord, alive);
    ownService |= event.mRecord.mService == mSettings.mService;
  }
  if (ownService) {
    ApplyOwnershipMembers();
  }
}

void MembershipService::ApplyRecord(const MemberRecord& aRecord, bool aAlive)
{
  if (aRecord.mId != mSettings.mNodeId) {
    if (aAlive) {
      boost::system::error_code error;
      const auto address = asio::ip::make_address(aRecord.mPeer.mAddress, error);
      if (!error) {
        mDependencies.mPeers.Upsert(aRecord.mId, { address, aRecord.mPeer.mPort });
      }
    } else {
      mDependencies.mPeers.Remove(aRecord.mId);
    }
  }
  if (aAlive && IsRoutable(aRecord)) {
    mDependencies.mUpstreams.Upsert({ aRecord.mId, aRecord.mService, aRecord.mDataCentre,
                                      static_cast<uint64_t>(aRecord.mStartMs), aRecord.mLeaving });
  } else {
    mDependencies.mUpstreams.Remove(aRecord.mId);
  }
}

// Suspect nodes get no requests, unless more than a third of the nodes of their service are
// suspect: then the fault is probably on this side, and routing relies on failed requests instead.
bool MembershipService::IsRoutable(const MemberRecord& aRecord) const
{
  if (!aRecord.mAvailable || aRecord.mState != MemberState::Suspect) {
    return aRecord.mAvailable;
  }
  size_t members = 0;
  size_t suspects = 0;
  for (const MemberRecord& record : mCore.Members()) {
    if (record.mService == aRecord.mService && record.mAvailable) {
      ++members;
      suspects += record.mState == MemberState::Suspect;
    }
  }
  return suspects * 3 > members;
}

void MembershipService::ApplyOwnershipMembers()
{
  std::vector<OwnershipMember> members;
  for (const MemberRecord& record : mCore.Members()) {
    if (record.mService != mSettings.mService) {
      continue;
    }
    OwnershipMember member;
    member.mIdentity = { record.mId, static_cast<uint64_t>(record.mStartMs) };
    member.mDataCentre = record.mDataCentre;
    member.mServes = record.mAvailable && !record.mLeaving;
    member.mLeaving = record.mLeaving;
    // The members are sorted by hash, so all nodes choose the same readers.
    member.mReader = members.size() < kTableReadersPerService;
    members.push_back(std::move(member));
  }
  mDependencies.mOwnership.SetMembers(std::move(members));
}

void MembershipService::ArmTimer()
{
  const SteadyTime wake = mCore.NextWake();
  if (mStopped || mTimer.expiry() == wake) {
    return;
  }
  mTimer.expires_at(wake);
  mTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      mTimer.expires_at(SteadyTime::min());
      SendAndApply(mCore.Tick());
    }
  });
}

// Watches the store for configuration if this node is one of the watchers, and fetches a newer
// configuration from a member that has it.
void MembershipService::FollowConfig()
{
  mDependencies.mConfig.SetWatching(mCore.IsContactCandidate(kWatchersPerDataCentre));
  const RevisionHolder highest = mCore.HighestRevision();
  if (!mFetch && highest.mHolder && highest.mRevision > mDependencies.mConfig.Holder().Revision()) {
    FetchConfig(highest.mHolder->mId);
  }
  mConfigTimer.expires_after(kConfigCheckInterval);
  mConfigTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      FollowConfig();
    }
  });
}

void MembershipService::FetchConfig(const std::string& aNodeId)
{
  HttpRequest request;
  request.mTarget = "/balsammount/config";
  auto done = std::make_shared<bool>(false);
  auto call = mDependencies.mPeers.Send(aNodeId, std::move(request), kConfigFetchTimeout,
                                        [this, aNodeId, done](const Result<HttpResponse>& aResult) {
                                          *done = true;
                                          mFetch = nullptr;
                                          if (aResult && aResult->mStatus == 200) {
                                            mDependencies.mConfig.Offer(aResult->mBody, aNodeId);
                                          }
                                        });
  if (!*done) {
    mFetch = std::move(call);
  }
}

void MembershipService::OnContact(const std::string& aValue)
{
  const auto endpoint = ParseEndpoint(aValue);
  if (!endpoint || *endpoint == mSettings.AdvertisedPeer()) {
    return;
  }
  const Endpoint contact = ToCore(*endpoint);
  if (std::find(mContacts.begin(), mContacts.end(), contact) == mContacts.end()) {
    mContacts.push_back(contact);
    mCore.Join(mContacts);
    SendAndApply({});
  }
}

// The contacts are read again while no other member is known.
void MembershipService::MaintainContact()
{
  if (mCore.Count() == 1) {
    mContactSlot.ReadContacts();
  }
  mContactSlot.Maintain(mCore.IsContactCandidate(kContactsPerDataCentre));
  mContactTimer.expires_after(mCore.Count() == 1
                                ? std::chrono::milliseconds(kContactRetryInterval)
                                : std::chrono::milliseconds(kContactRenewalInterval));
  mContactTimer.async_wait([this](const auto& aError) {
    if (!aError) {
      MaintainContact();
    }
  });
}

} // namespace balsammount
