// Sample configurations for the tests.
#pragma once

#include "balsammount/config_revision.h"

namespace balsammount::test {

inline FileMap SampleFiles()
{
  return {
    { "10-services.json", R"({
  // Order desk
  "services": {
    "orders": { "paths": ["/orders"], "slots": 50, "max_connections": 400 },
    "catalogue": { "paths": ["/catalogue", "/orders/catalogue"], "slots": 50, "max_connections": 400 }
  }
})" },
    { "20-ranks.json", R"({
  "ranks": {
    "certify": { "target_ms": 200, "worth": 100, "floor": 0.3 },
    "order": { "target_ms": 400, "worth": 50, "floor": 0.2 },
    "browse": { "target_ms": 2000, "worth": 1 }
  },
  "rules": {
    "all-orders": { "service": "orders", "rank": "order" },
    "place": { "service": "orders", "rank": "certify", "path": "/orders/certify", "method": "POST" },
    "read": { "service": "orders", "rank": "browse", "path": "/orders/certify", "idempotent": true }
  },
  "limits": { "default": { "max_queue": 10 }, "orders": { "min_concurrency": 2 } },
  "retries": { "orders": { "ratio": 0.05 } }
})" },
  };
}

inline ConfigRevision SampleRevision(uint64_t aRevision, const std::string& aChangeId,
                                     FileMap aFiles = SampleFiles())
{
  ConfigRevision previous;
  previous.mRevision = aRevision - 1;
  return NextRevision(&previous, aRevision - 1, std::move(aFiles),
                      { aChangeId, "author", WallTime(std::chrono::milliseconds(aRevision)) });
}

} // namespace balsammount::test
