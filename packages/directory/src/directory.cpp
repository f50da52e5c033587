#include "balsammount/directory.h"

#include <algorithm>
#include <set>

namespace balsammount {

std::chrono::milliseconds MinListUpdateInterval(size_t aNodes)
{
  constexpr std::chrono::milliseconds kIntervalPerNode{ 60 };
  // A node that starts together with the fleet knows few others yet, although many changes follow.
  constexpr std::chrono::milliseconds kMin{ 1000 };
  // A change has to reach all nodes of the largest fleet in 14 s; the interval may take half.
  constexpr std::chrono::milliseconds kMax{ 7000 };
  return std::clamp(kIntervalPerNode * static_cast<int64_t>(aNodes), kMin, kMax);
}

namespace {

bool IsNewer(const NodeRecord& aEarlier, const NodeRecord& aLater)
{
  return aLater.IsNewerThan(aEarlier);
}

// The records may be of processes whose clock has been set back.
bool IsOfLaterServer(const NodeRecord& aEarlier, const NodeRecord& aLater)
{
  return aLater.mServerStarted > aEarlier.mServerStarted;
}

} // namespace

Directory::Directory(const Clock& aClock, std::string aSelf, const DirectoryPolicy& aPolicy)
  : mClock(aClock)
  , mSelf(std::move(aSelf))
  , mPolicy(aPolicy)
  , mDepartures(aClock, IsNewer, aPolicy.mDepartureTime, aPolicy.mMaxDepartures)
  , mServerDepartures(aClock, IsOfLaterServer, aPolicy.mDepartureTime, aPolicy.mMaxDepartures)
{
}

void Directory::Publish(Node& aNode)
{
  aNode.mPublished = true;
  mChanges.push_back({ aNode.mRecord, false });
}

void Directory::Update(Node& aNode, const NodeRecord& aRecord)
{
  if (aNode.mPublished) {
    RememberDeparture(aNode.mRecord);
  }
  RememberDeparture(aRecord);
  NodeRecord record = aRecord;
  const NodeRecord* departure = FindServerDeparture(record);
  aNode.mServerHasLeft = departure != nullptr;
  if (departure) {
    // The probe carries this record, so that the node learns of the departure.
    record.mServing = false;
    record.mServerLeft = true;
    record.mServerStarted = departure->mServerStarted;
    aNode.mNextProbe = mClock.Now();
  }
  const bool isChanged = !aNode.mPublished || !(aNode.mRecord == record);
  aNode.mRecord = std::move(record);
  if (isChanged) {
    Publish(aNode);
  }
}

// Handles a record from before a departure. A node with an earlier start may be a later process
// whose clock has been set back, and a node whose server has left may still be there; so the node
// is probed, which also tells it of the departure.
void Directory::Hide(const NodeRecord& aRecord)
{
  RememberDeparture(aRecord);
  const NodeRecord* departure = mDepartures.Find(aRecord.mNodeId);
  if (!departure || (departure->mLeaving && departure->mStarted == aRecord.mStarted)) {
    return;
  }
  Node& node = mNodes[aRecord.mNodeId];
  node.mFailedProbes = 0;
  if (!node.mPublished) {
    node.mRecord = aRecord;
  } else if (aRecord.mStarted < node.mRecord.mStarted) {
    node.mHasEarlierRecord = true;
  }
}

void Directory::RememberDeparture(const NodeRecord& aRecord)
{
  if (aRecord.mLeaving || aRecord.mServerLeft) {
    mDepartures.Remember(aRecord);
  }
  if (aRecord.mServerLeft && !aRecord.mServerId.empty()) {
    mServerDepartures.Remember(aRecord);
  }
}

bool Directory::IsBeforeDeparture(const NodeRecord& aRecord) const
{
  const NodeRecord* departure = mDepartures.Find(aRecord.mNodeId);
  return departure && departure->IsNewerThan(aRecord);
}

// Returns the departure of the server that the record says is serving. A restarted node that has
// read an older copy of its record does not know that its server has left.
const NodeRecord* Directory::FindServerDeparture(const NodeRecord& aRecord) const
{
  const NodeRecord* departure = mServerDepartures.Find(aRecord.mNodeId);
  const bool hasLeft = departure && aRecord.mServing && aRecord.mServerId == departure->mServerId &&
                       aRecord.mServerStarted <= departure->mServerStarted;
  return hasLeft ? departure : nullptr;
}

void Directory::Remove(const std::string& aNodeId)
{
  const auto found = mNodes.find(aNodeId);
  if (found == mNodes.end()) {
    return;
  }
  if (found->second.mPublished) {
    RememberDeparture(found->second.mRecord);
    mChanges.push_back({ found->second.mRecord, true });
  }
  mNodes.erase(found);
}

void Directory::OnList(const std::vector<NodeRecord>& aRecords)
{
  std::set<std::string> listed;
  for (const NodeRecord& record : aRecords) {
    listed.insert(record.mNodeId);
    OnListed(record);
  }
  std::vector<std::string> missing;
  for (const auto& [id, node] : mNodes) {
    if (node.mListed && !listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    OnUnlisted(id);
  }
  if (!listed.contains(mSelf)) {
    mOwnListed = false;
  }
}

void Directory::OnListed(const NodeRecord& aRecord)
{
  if (aRecord.mNodeId == mSelf) {
    mOwnRecord = aRecord;
    mOwnListed = true;
    return;
  }
  if (IsBeforeDeparture(aRecord)) {
    Hide(aRecord);
    if (const auto found = mNodes.find(aRecord.mNodeId); found != mNodes.end()) {
      found->second.mListed = true;
    }
    return;
  }
  Node& node = mNodes[aRecord.mNodeId];
  node.mListed = true;
  // A stale list must not replace a newer record from the node itself.
  if (!node.mPublished || aRecord.IsNewerThan(node.mRecord)) {
    Update(node, aRecord);
  } else if (aRecord.mStarted < node.mRecord.mStarted) {
    // An older copy of the store, or a later process whose clock has been set back.
    node.mHasEarlierRecord = true;
  }
}

void Directory::OnUnlisted(const std::string& aNodeId)
{
  if (aNodeId == mSelf) {
    mOwnListed = false;
    return;
  }
  const auto found = mNodes.find(aNodeId);
  if (found == mNodes.end()) {
    return;
  }
  Node& node = found->second;
  if (node.mRecord.mLeaving) {
    Remove(aNodeId);
    return;
  }
  node.mListed = false;
  node.mFailedProbes = 0;
  node.mNextProbe = mClock.Now();
}

void Directory::OnConfirmed(const NodeRecord& aRecord)
{
  if (aRecord.mNodeId == mSelf) {
    return;
  }
  if (IsBeforeDeparture(aRecord)) {
    Hide(aRecord);
    return;
  }
  Node& node = mNodes[aRecord.mNodeId];
  node.mFailedProbes = 0;
  node.mNextProbe = mClock.Now() + mPolicy.mProbeInterval;
  // Messages of a node can arrive out of order.
  if (!node.mPublished || !node.mRecord.IsNewerThan(aRecord)) {
    Update(node, aRecord);
  }
}

void Directory::OnReported(const NodeRecord& aRecord)
{
  if (aRecord.mNodeId == mSelf) {
    return;
  }
  const auto found = mNodes.find(aRecord.mNodeId);
  if (IsBeforeDeparture(aRecord) ||
      (found != mNodes.end() && !aRecord.IsNewerThan(found->second.mRecord))) {
    return;
  }
  Node& node = mNodes[aRecord.mNodeId];
  if (!node.mPublished) {
    node.mRecord = aRecord;
  }
  node.mNextProbe = mClock.Now();
}

void Directory::OnProbeFailed(const std::string& aNodeId)
{
  const auto found = mNodes.find(aNodeId);
  if (found == mNodes.end() || found->second.mListed) {
    return;
  }
  if (++found->second.mFailedProbes >= mPolicy.mMaxFailedProbes) {
    Remove(aNodeId);
  }
}

std::vector<NodeRecord> Directory::TakeDueProbes(bool aStoreUnreachable)
{
  const SteadyTime now = mClock.Now();
  std::vector<NodeRecord> due;
  for (auto& [id, node] : mNodes) {
    const bool mayHaveRestarted =
      node.mHasEarlierRecord || (aStoreUnreachable && node.mRecord.mLeaving);
    if ((!node.mListed || !node.mPublished || node.mServerHasLeft || mayHaveRestarted) &&
        node.mNextProbe <= now) {
      node.mHasEarlierRecord = false;
      node.mNextProbe = now + mPolicy.mProbeInterval;
      due.push_back(node.mRecord);
    }
  }
  return due;
}

const NodeRecord* Directory::Find(const std::string& aNodeId) const
{
  const auto found = mNodes.find(aNodeId);
  if (found == mNodes.end()) {
    return nullptr;
  }
  const NodeRecord& record = found->second.mRecord;
  const bool isHidden = !found->second.mPublished && IsBeforeDeparture(record);
  return isHidden ? mDepartures.Find(aNodeId) : &record;
}

std::vector<DirectoryChange> Directory::TakeChanges()
{
  return std::exchange(mChanges, {});
}

std::vector<NodeRecord> Directory::Nodes() const
{
  std::vector<NodeRecord> nodes;
  nodes.reserve(mNodes.size());
  for (const auto& [id, node] : mNodes) {
    if (node.mPublished) {
      nodes.push_back(node.mRecord);
    }
  }
  return nodes;
}

} // namespace balsammount
