// Handles the HTTP/2 requests of other nodes: forwarded calls and control messages.
#pragma once

#include "call_handler.h"
#include "config_service.h"
#include "directory_service.h"
#include "ownership_service.h"
#include "quarantine_service.h"

namespace balsammount {

class PeerHandler
{
public:
  // aOwnership and aDirectory are null in a deployment without them.
  PeerHandler(const Clock& aClock, CallHandler& aLocal, ConfigService& aConfig,
              OwnershipService* aOwnership, QuarantineService& aQuarantine,
              DirectoryService* aDirectory, const HeaderNames& aNames)
    : mClock(aClock)
    , mNames(aNames)
    , mLocal(aLocal)
    , mConfig(aConfig)
    , mOwnership(aOwnership)
    , mQuarantine(aQuarantine)
    , mDirectory(aDirectory)
  {
  }

  void Handle(const std::shared_ptr<Exchange>& aExchange);

private:
  void HandleCall(const std::shared_ptr<Exchange>& aExchange);
  void HandleQuarantine(Exchange& aExchange);

  const Clock& mClock;
  const HeaderNames& mNames;
  CallHandler& mLocal;
  ConfigService& mConfig;
  OwnershipService* mOwnership;
  QuarantineService& mQuarantine;
  DirectoryService* mDirectory;
};

} // namespace balsammount
