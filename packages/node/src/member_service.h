// Learns the other nodes and keeps the router's view of the fleet up to date.
#pragma once

#include "peers.h"
#include "upstreams.h"

#include "balsammount/kernel.h"
#include "balsammount/node_settings.h"

#include <boost/asio/steady_timer.hpp>

namespace balsammount {

class MemberService final : public Service
{
public:
  MemberService(boost::asio::io_context& aContext, const Clock& aClock,
                const NodeSettings& aSettings, Upstreams& aUpstreams, Peers& aPeers);

  Result<void> Start() override;
  void Stop() override;

  // What other nodes read about this one: JSON of the node's record.
  std::string SelfRecord() const;
  void SetAvailable(bool aAvailable);
  void SetLeaving(bool aLeaving);

private:
  void PollContacts();
  void OnRecord(const boost::asio::ip::tcp::endpoint& aContact, const std::string& aBody);
  void ApplySelf();

  const Clock& mClock;
  NodeSettings mSettings;
  Upstreams& mUpstreams;
  Peers& mPeers;
  boost::asio::steady_timer mTimer;
  uint64_t mIncarnation;
  bool mAvailable = false;
  bool mLeaving = false;
  bool mStopped = false;
};

} // namespace balsammount
