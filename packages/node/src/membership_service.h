// Runs the gossip protocol over UDP and passes changes of the fleet to other components.
#pragma once

#include "config_service.h"
#include "contact_slot.h"
#include "ownership_service.h"
#include "peers.h"
#include "upstreams.h"

#include "balsammount/kernel.h"
#include "balsammount/membership.h"
#include "balsammount/node_settings.h"
#include "balsammount/store.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>

namespace balsammount {

// The components that are updated when members of the fleet change.
struct MembershipDependencies
{
  Upstreams& mUpstreams;
  Peers& mPeers;
  OwnershipService& mOwnership;
  ConfigService& mConfig;
};

class MembershipService final : public Service
{
public:
  MembershipService(boost::asio::io_context& aContext, const Clock& aClock, Random& aRandom,
                    Store& aStore, const NodeSettings& aSettings, uint64_t aStarted,
                    MembershipDependencies aDependencies);

  Result<void> Start() override;
  void Stop() override;

  // aAvailable: the backend server accepts connections and has not announced that it is leaving.
  void SetAvailable(bool aAvailable);
  // Announces that this node is leaving. Cannot be undone.
  void SetLeaving();
  void SetRevision(uint64_t aRevision);

  const Membership& Core() const { return mCore; }

private:
  void Receive();
  void OnDatagram(size_t aSize);
  void SendAndApply(const std::vector<Datagram>& aDatagrams);
  void Send(const Datagram& aDatagram);
  void ApplyEvents();
  void ApplyRecord(const MemberRecord& aRecord, bool aAlive);
  bool IsRoutable(const MemberRecord& aRecord) const;
  void ApplyOwnershipMembers();
  void ArmTimer();
  void FollowConfig();
  void FetchConfig(const std::string& aNodeId);
  void OnContact(const std::string& aValue);
  void MaintainContact();

  const Clock& mClock;
  NodeSettings mSettings;
  MembershipDependencies mDependencies;
  Membership mCore;
  boost::asio::ip::udp::socket mSocket;
  boost::asio::steady_timer mTimer;
  boost::asio::steady_timer mConfigTimer;
  boost::asio::steady_timer mContactTimer;
  boost::asio::ip::udp::endpoint mSender;
  std::array<uint8_t, 2048> mBuffer{};
  std::vector<Endpoint> mContacts;
  ContactSlot mContactSlot;
  std::shared_ptr<Call> mFetch; // fetch of the configuration from a peer
  bool mReportedSuperseded = false;
  bool mStopped = false;
};

} // namespace balsammount
