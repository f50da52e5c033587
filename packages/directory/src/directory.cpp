#include "balsammount/directory.h"

#include <algorithm>
#include <set>

namespace balsammount {

std::chrono::milliseconds ListPause(size_t aNodes)
{
  constexpr std::chrono::milliseconds kPerNode{ 12 };
  constexpr std::chrono::milliseconds kLeast{ 100 };
  // Half of the time in which a large fleet has to know a change.
  constexpr std::chrono::milliseconds kMost{ 7000 };
  return std::clamp(kPerNode * static_cast<int64_t>(aNodes), kLeast, kMost);
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
  const bool isNew = !aNode.mPublished || !(aNode.mRecord == aRecord);
  aNode.mRecord = aRecord;
  if (isNew) {
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
    mOwn = aRecord;
    mOwnListed = true;
    return;
  }
  Node& node = mNodes[aRecord.mNodeId];
  node.mListed = true;
  // A stale list must not take back what the node itself has said since.
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
  node.mFailedConfirmations = 0;
  node.mNextConfirmation = mClock.Now();
}

void Directory::OnConfirmed(const NodeRecord& aRecord)
{
  if (aRecord.mNodeId == mSelf) {
    return;
  }
  Node& node = mNodes[aRecord.mNodeId];
  node.mFailedConfirmations = 0;
  node.mNextConfirmation = mClock.Now() + mPolicy.mConfirmInterval;
  Update(node, aRecord);
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
  node.mNextConfirmation = mClock.Now();
}

void Directory::OnConfirmationFailed(const std::string& aNodeId)
{
  const auto found = mNodes.find(aNodeId);
  if (found == mNodes.end() || found->second.mListed) {
    return;
  }
  if (++found->second.mFailedConfirmations >= mPolicy.mMaxFailedConfirmations) {
    Remove(aNodeId);
  }
}

std::vector<NodeRecord> Directory::TakeDueConfirmations(bool aStoreAway)
{
  const SteadyTime now = mClock.Now();
  std::vector<NodeRecord> due;
  for (auto& [id, node] : mNodes) {
    const bool mayBeBack = aStoreAway && node.mRecord.mLeaving;
    if ((!node.mListed || !node.mPublished || mayBeBack) && node.mNextConfirmation <= now) {
      node.mNextConfirmation = now + mPolicy.mConfirmInterval;
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
