// The nodes of the fleet, from the list in the store and from probes of the nodes.
//
// The list is the usual source. It can lose entries of live nodes (leases expire during an outage
// of the store) and lacks nodes that cannot reach the store. A node that is no longer listed is
// therefore probed and stays known while it responds. A record from the node itself takes
// precedence over the list.
#pragma once

#include "balsammount/clock.h"
#include "balsammount/error.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace balsammount {

enum class DirectoryError
{
  Malformed = 1,
  MissingField,
  WrongType,
  BadValue,
};

std::error_code make_error_code(DirectoryError aError);

// The state that a node publishes about itself and its backend server.
struct NodeRecord
{
  std::string mNodeId;
  uint64_t mStarted = 0;  // when the node's process started, wall clock in ms
  uint64_t mSequence = 0; // grows with each record of the process
  std::string mAddress;   // of the listener for other nodes
  uint16_t mPort = 0;
  std::string mService;
  std::string mDataCentre;
  std::string mServerId;         // of the backend server; empty when none has registered
  uint64_t mServerStarted = 0;   // wall clock in ms; the latest start that has left, if any has
  uint64_t mServerWarmUntil = 0; // end of the server's warm-up, wall clock in ms
  bool mServing = false;         // accepts new calls
  bool mServerLeft = false;      // the backend server has announced its shutdown
  bool mLeaving = false;         // the node is shutting down

  bool operator==(const NodeRecord&) const = default;

  bool IsNewerThan(const NodeRecord& aOther) const
  {
    return mStarted != aOther.mStarted ? mStarted > aOther.mStarted : mSequence > aOther.mSequence;
  }
};

// Encodes as JSON. Decoding ignores unknown fields; a failure names the field.
std::string EncodeNodeRecord(const NodeRecord& aRecord);
Result<NodeRecord> DecodeNodeRecord(std::string_view aText);
// A JSON array of records. Decoding skips malformed records and adds their number to aSkipped.
std::string EncodeNodeRecords(const std::vector<NodeRecord>& aRecords);
Result<std::vector<NodeRecord>> DecodeNodeRecords(std::string_view aText, size_t& aSkipped);

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

  // Returns null for an unknown node.
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
  };

  void Update(Node& aNode, const NodeRecord& aRecord);
  void Publish(Node& aNode);
  void Remove(const std::string& aNodeId);

  const Clock& mClock;
  std::string mSelf;
  DirectoryPolicy mPolicy;
  std::map<std::string, Node> mNodes;
  std::vector<DirectoryChange> mChanges;
  NodeRecord mOwnRecord;
  bool mOwnListed = false;
};

} // namespace balsammount

template <>
struct std::is_error_code_enum<balsammount::DirectoryError> : std::true_type
{
};
