// An in-memory store for tests that serves the JSON gateway of the etcd v3 API and injects faults.
#pragma once

#include "balsammount/http_server.h"
#include "balsammount/key_value_model.h"

#include <boost/asio/steady_timer.hpp>

#include <list>

namespace balsammount {

struct StoreFaults
{
  bool mDown = false; // requests fail as if there were no leader, and open watches are aborted
  std::chrono::milliseconds mDelay{ 0 }; // between executing a request and responding
  bool mLoseAnswers = false;             // writes are executed, then the connection is closed
};

// Requests since the start, by method. An open watch counts once.
struct StoreCounters
{
  uint64_t mRange = 0;
  uint64_t mPut = 0;
  uint64_t mDeleteRange = 0;
  uint64_t mTransaction = 0;
  uint64_t mLeaseGrant = 0;
  uint64_t mLeaseKeepAlive = 0;
  uint64_t mLeaseRevoke = 0;
  uint64_t mWatch = 0;
};

class StoreStandin
{
public:
  StoreStandin(boost::asio::io_context& aContext, boost::asio::ip::tcp::endpoint aEndpoint,
               const Clock& aClock);
  ~StoreStandin();
  StoreStandin(const StoreStandin&) = delete;
  StoreStandin& operator=(const StoreStandin&) = delete;

  Result<void> Start();
  void Stop();
  uint16_t Port() const;

  void SetFaults(const StoreFaults& aFaults);
  // Closes the connections of all open watches.
  void AbortWatches();
  // Sends watches the changes that were made directly on Model().
  void NotifyWatches();

  KeyValueModel& Model();
  const StoreCounters& Counters() const;
  size_t OpenWatches() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace balsammount
