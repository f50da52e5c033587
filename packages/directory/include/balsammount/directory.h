// The nodes of the fleet, from the list in the store and from probes of the nodes.
//
// The list is the usual source. It can lose entries of live nodes (leases expire during an outage
// of the store) and lacks nodes that cannot reach the store. A node that is no longer listed is
// therefore probed and stays known while it responds. A record from the node itself takes
// precedence over the list.
//
// A store that has returned from an older copy lists nodes and backend servers that have left
// since. Departures are therefore remembered for longer than a copy is old.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/departures.h"

#include <map>
#include <string>
#include <vector>

namespace balsammount {

// The minimum time between two updates of the list on one node. Each update is a call to the store
// by every node, so the interval grows with the fleet to keep the calls of all nodes below 17 per
// second under constant restarts, up to 117 nodes. Nodes tell each other of most changes directly;
// the list covers those that cannot. The first change after an idle period is reported immediately.
std::chrono::milliseconds MinListUpdateInterval(size_t aNodes);

struct DirectoryPolicy
{
  // Time between probes of an unlisted node. Entries have to be back within two seconds after an
  // outage of the store, so this is shorter.
  Duration mProbeInterval = std::chrono::seconds(1);
  // Consecutive failed probes after which a node is removed.
  uint32_t mMaxFailedProbes = 2;
  // How long a departure is remembered. A copy of the store is some seconds old, at most the 20 s
  // of its history; the rest is for the outage and until the list has been read again.
  Duration mDepartureTime = std::chrono::seconds(60);
  // Enough for a restart of all nodes of the largest fleet, 1400.
  size_t mMaxDepartures = 2048;

  bool operator==(const DirectoryPolicy&) const = default;
};

struct DirectoryChange
{
  NodeRecord mRecord;
  bool mRemoved = false;

  bool operator==(const DirectoryChange&) const = default;
};

// Not thread safe.
class Directory
{
public:
  Directory(const Clock& aClock, std::string aSelf, const DirectoryPolicy& aPolicy = {});

  // Replaces the list with a complete one from the store.
  void OnList(const std::vector<NodeRecord>& aRecords);
  void OnListed(const NodeRecord& aRecord);
  void OnUnlisted(const std::string& aNodeId);

  // Handles a record from the node itself, in a response or a message.
  void OnConfirmed(const NodeRecord& aRecord);
  // Handles a record from a third node. A node that is known from nowhere else is probed and stays
  // hidden until it responds.
  void OnReported(const NodeRecord& aRecord);
  // Handles a probe that got no response, or a response from another node at the same address.
  void OnProbeFailed(const std::string& aNodeId);

  // Returns the newest known record of a node, with a departure that the node itself may not know
  // of. Null for an unknown node.
  const NodeRecord* Find(const std::string& aNodeId) const;

  // Returns the nodes to probe now and schedules their next probes. While the store is unreachable
  // that includes leaving nodes, because nothing else reports their restart.
  std::vector<NodeRecord> TakeDueProbes(bool aStoreUnreachable = false);
  // Returns the changes since the last call, in order, without those of this node.
  std::vector<DirectoryChange> TakeChanges();

  // Returns the known nodes except this one, ordered by id.
  std::vector<NodeRecord> Nodes() const;
  size_t Size() const { return mNodes.size(); }
  // Returns the listed record of this node, which an earlier process wrote if this one has not yet.
  // Null when it is not listed.
  const NodeRecord* OwnListedRecord() const { return mOwnListed ? &mOwnRecord : nullptr; }

private:
  struct Node
  {
    NodeRecord mRecord;
    bool mListed = false;
    bool mPublished = false; // added to mChanges at least once
    SteadyTime mNextProbe{};
    uint32_t mFailedProbes = 0;
    bool mServerHasLeft = false;    // although the node's record says that it is serving
    bool mHasEarlierRecord = false; // of another process, received since the last probe
  };

  void Update(Node& aNode, const NodeRecord& aRecord);
  void Hide(const NodeRecord& aRecord);
  void RememberDeparture(const NodeRecord& aRecord);
  bool IsBeforeDeparture(const NodeRecord& aRecord) const;
  const NodeRecord* FindServerDeparture(const NodeRecord& aRecord) const;
  void Publish(Node& aNode);
  void Remove(const std::string& aNodeId);

  const Clock& mClock;
  std::string mSelf;
  DirectoryPolicy mPolicy;
  std::map<std::string, Node> mNodes;
  Departures mDepartures;       // records of nodes that were leaving or whose server had left
  Departures mServerDepartures; // records of nodes whose server had left
  std::vector<DirectoryChange> mChanges;
  NodeRecord mOwnRecord;
  bool mOwnListed = false;
};

} // namespace balsammount
