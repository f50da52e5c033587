// The nodes of the fleet, as the store lists them and as they answer for themselves.
//
// The store's list is the usual source. It can lapse while nodes live (an outage in which leases
// run out), and it can lack nodes that do not reach the store. So a node that is no longer listed
// is asked directly, and stays known while it answers. What a node says of itself goes before the
// list.
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
};

std::error_code make_error_code(DirectoryError aError);

// What a node says of itself and of the backend server beside it.
struct NodeRecord
{
  std::string mNodeId;
  uint64_t mStarted = 0;  // start of the node's process, ms of the wall clock; a later one is newer
  uint64_t mSequence = 0; // of this record within the process
  std::string mAddress;   // of the listener for other nodes
  uint16_t mPort = 0;
  std::string mService;
  std::string mDataCentre;
  std::string mServerId;         // of the backend server; empty when none has announced itself
  uint64_t mServerStarted = 0;   // ms of the wall clock
  uint64_t mServerWarmUntil = 0; // ms of the wall clock; it is slow before
  bool mServing = false;         // takes new work
  bool mServerLeft = false;      // the backend server has announced that it leaves
  bool mLeaving = false;         // the node's process ends soon

  bool operator==(const NodeRecord&) const = default;

  bool IsNewerThan(const NodeRecord& aOther) const
  {
    return mStarted != aOther.mStarted ? mStarted > aOther.mStarted : mSequence > aOther.mSequence;
  }
};

// JSON. Unknown fields are ignored. The failure names the field.
std::string EncodeNodeRecord(const NodeRecord& aRecord);
Result<NodeRecord> DecodeNodeRecord(std::string_view aText);
// A JSON array of records; records that cannot be read are left out and counted in aSkipped.
std::string EncodeNodeRecords(const std::vector<NodeRecord>& aRecords);
Result<std::vector<NodeRecord>> DecodeNodeRecords(std::string_view aText, size_t& aSkipped);

// The least time between two reports of changes of the list to one node. Every report is a call to
// the store by every node, so it grows with the fleet: while nodes restart all the time, the calls
// of the whole fleet stay below 100 per second. The first change after a quiet time is reported at
// once.
std::chrono::milliseconds MinListUpdateInterval(size_t aNodes);

struct DirectoryPolicy
{
  // A node that is not listed is asked this often. Short against the two seconds in which entries
  // are to be back after an outage of the store.
  Duration mProbeInterval = std::chrono::seconds(1);
  // Failed confirmations in a row after which a node is taken as gone.
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

  // The whole list of the store.
  void OnList(const std::vector<NodeRecord>& aRecords);
  void OnListed(const NodeRecord& aRecord);
  void OnUnlisted(const std::string& aNodeId);

  // A record from the node itself, by an answer or a message.
  void OnConfirmed(const NodeRecord& aRecord);
  // A record from a third node. A node that is not known otherwise has to be confirmed.
  void OnReported(const NodeRecord& aRecord);
  // A node that was asked did not answer, or another node answered at its address.
  void OnProbeFailed(const std::string& aNodeId);

  // Null for a node that is not known.
  const NodeRecord* Find(const std::string& aNodeId) const;

  // Nodes to ask for their record now. Each counts as asked. While the store is away that includes
  // nodes that leave: when they have started again, nobody else tells.
  std::vector<NodeRecord> TakeDueProbes(bool aStoreUnreachable = false);
  // The changes since the last call, in order. The node's own record is never among them.
  std::vector<DirectoryChange> TakeChanges();

  // Known nodes without this one, by id.
  std::vector<NodeRecord> Nodes() const;
  size_t Size() const { return mNodes.size(); }
  // The store's record of this node; from an earlier process when this one has not written yet.
  const NodeRecord* OwnListedRecord() const { return mOwnListed ? &mOwnRecord : nullptr; }

private:
  struct Node
  {
    NodeRecord mRecord;
    bool mListed = false;
    bool mPublished = false; // was among the changes
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
