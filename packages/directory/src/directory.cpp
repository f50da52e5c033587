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

Directory::Directory(const Clock& aClock, std::string aSelf, const DirectoryPolicy& aPolicy)
  : mClock(aClock)
  , mSelf(std::move(aSelf))
  , mPolicy(aPolicy)
{
}

void Directory::Publish(Node& aNode)
{
  aNode.mPublished = true;
  mChanges.push_back({ aNode.mRecord, false });
}

void Directory::Update(Node& aNode, const NodeRecord& aRecord)
{
  const bool isChanged = !aNode.mPublished || !(aNode.mRecord == aRecord);
  aNode.mRecord = aRecord;
  if (isChanged) {
    Publish(aNode);
  }
}

void Directory::Remove(const std::string& aNodeId)
{
  const auto found = mNodes.find(aNodeId);
  if (found == mNodes.end()) {
    return;
  }
  if (found->second.mPublished) {
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
  Node& node = mNodes[aRecord.mNodeId];
  node.mListed = true;
  // A stale list must not replace a newer record from the node itself.
  if (!node.mPublished || aRecord.IsNewerThan(node.mRecord)) {
    Update(node, aRecord);
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
  if (found != mNodes.end() && !aRecord.IsNewerThan(found->second.mRecord)) {
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
    const bool mayHaveRestarted = aStoreUnreachable && node.mRecord.mLeaving;
    if ((!node.mListed || !node.mPublished || mayHaveRestarted) && node.mNextProbe <= now) {
      node.mNextProbe = now + mPolicy.mProbeInterval;
      due.push_back(node.mRecord);
    }
  }
  return due;
}

const NodeRecord* Directory::Find(const std::string& aNodeId) const
{
  const auto found = mNodes.find(aNodeId);
  return found == mNodes.end() ? nullptr : &found->second.mRecord;
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
