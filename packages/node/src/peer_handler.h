// Answers the HTTP/2 streams of other nodes: forwarded calls and control messages.
#pragma once

#include "call_target.h"
#include "config_service.h"
#include "member_service.h"

namespace balsammount {

class PeerHandler
{
public:
  PeerHandler(const Clock& aClock, CallTarget& aLocal, MemberService& aMembers,
              ConfigService& aConfig)
    : mClock(aClock)
    , mLocal(aLocal)
    , mMembers(aMembers)
    , mConfig(aConfig)
  {
  }

  void Handle(const std::shared_ptr<Exchange>& aExchange);

private:
  void HandleCall(const std::shared_ptr<Exchange>& aExchange);

  const Clock& mClock;
  CallTarget& mLocal;
  MemberService& mMembers;
  ConfigService& mConfig;
};

} // namespace balsammount
