// An in-memory store that speaks the JSON form of the etcd v3 API, with faults on request.
#pragma once

#include "balsammount/http_server.h"
#include "balsammount/key_value_model.h"

#include <boost/asio/steady_timer.hpp>

#include <list>

namespace balsammount {

struct StoreFaults
{
  bool mDown = false;                    // calls are refused as without a leader, watches are cut
  std::chrono::milliseconds mDelay{ 0 }; // between a call's effect and its answer
  bool mLoseAnswers = false;             // writes take effect, then their connection is closed
};

// Calls since the start, by kind. A waiting watch counts as one.
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
  // Closes the connections of the waiting watches.
  void AbortWatches();
  // Reports changes that were made on the model directly.
  void NotifyWatches();

  KeyValueModel& Model();
  const StoreCounters& Counters() const;
  size_t OpenWatches() const;

private:
  struct State;
  std::shared_ptr<State> mState;
};

} // namespace balsammount
