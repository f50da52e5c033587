#include "balsammount/hash.h"

#include "balsammount/ownership.h"

#include <algorithm>

namespace balsammount::detail {

namespace {

size_t OddUpTo(size_t aCount, size_t aMax)
{
  const size_t count = std::min(aCount, aMax);
  return count == 0 || count % 2 == 1 ? count : count - 1;
}

class Planner
{
public:
  Planner(const PlanInput& aInput, const std::map<ShardId, ShardOwner>& aMoves)
    : mInput(aInput)
    , mMoves(aMoves)
  {
    if (aInput.mCurrent) {
      mTable = *aInput.mCurrent;
    } else {
      mTable.mService = aInput.mService;
      mTable.mShards.resize(aInput.mShardCount);
    }
    ++mTable.mVersion;
  }

  std::optional<OwnershipTable> Plan()
  {
    AssignShards();
    KeepEarlierVoters();
    // A change of the voters adds a set to the list of the next version, which needs room for it.
    if (!mInput.mCurrent || mTable.mEarlierVoters.size() < kMaxEarlierVoterSets) {
      ChooseVoters();
    }
    if (!mChanged || mTable.mVoters.empty()) {
      return std::nullopt;
    }
    return std::move(mTable);
  }

private:
  bool IsUsable(const OwnershipMember& aMember) const
  {
    return !aMember.mLeaving && aMember.mIdentity.mNode != mInput.mDrainingNode &&
           !mInput.mIsGone(aMember.mIdentity);
  }

  void AssignShards()
  {
    std::map<NodeIdentity, size_t> load;
    for (const OwnershipMember& member : mInput.mMembers) {
      if (member.mServes && IsUsable(member)) {
        load.emplace(member.mIdentity, 0);
      }
    }
    for (const ShardOwner& shard : mTable.mShards) {
      if (auto found = load.find(shard.mOwner); found != load.end()) {
        ++found->second;
      }
    }
    for (ShardId id = 0; id < mTable.mShards.size(); ++id) {
      ShardOwner& shard = mTable.mShards[id];
      if (auto move = mMoves.find(id); move != mMoves.end()) {
        shard = move->second;
        shard.mSinceVersion = mTable.mVersion;
        mChanged = true;
        continue;
      }
      if ((!shard.mOwner.mNode.empty() && !mInput.mIsGone(shard.mOwner)) || load.empty()) {
        continue;
      }
      auto least = std::ranges::min_element(load, [&](const auto& aLeft, const auto& aRight) {
        return std::pair(aLeft.second, RendezvousHash(mTable.mService, aLeft.first.mNode)) <
               std::pair(aRight.second, RendezvousHash(mTable.mService, aRight.first.mNode));
      });
      shard = { least->first, mTable.mVersion, 0 };
      ++least->second;
      mChanged = true;
    }
  }

  void KeepEarlierVoters()
  {
    if (!mInput.mCurrent) {
      return;
    }
    const OwnershipTable& current = *mInput.mCurrent;
    std::erase_if(mTable.mEarlierVoters,
                  [&](const EarlierVoters& aSet) { return aSet.mVoters == current.mVoters; });
    // A released set is dropped even without another change: if its voters ended later, a takeover
    // could no longer learn of their release.
    const size_t released = std::erase_if(
      mTable.mEarlierVoters, [&](const EarlierVoters& aSet) { return mInput.mIsReleased(aSet); });
    mChanged = mChanged || released != 0;
    mTable.mEarlierVoters.push_back({ current.mVersion, current.mVoters });
  }

  // Replaces voters one for one and never reduces their number, so that a node that sees few
  // members cannot shrink the set to those.
  void ChooseVoters()
  {
    std::vector<const OwnershipMember*> candidates;
    for (const OwnershipMember& member : mInput.mMembers) {
      const auto same = [&](const NodeIdentity& aVoter) {
        return aVoter.mNode == member.mIdentity.mNode && !mInput.mIsGone(aVoter);
      };
      if (IsUsable(member) && std::ranges::none_of(mTable.mVoters, same)) {
        candidates.push_back(&member);
      }
    }
    // Restarted voters replace their own entries first, so that no node is listed twice.
    for (NodeIdentity& voter : mTable.mVoters) {
      const auto same = std::ranges::find_if(candidates, [&](const OwnershipMember* aMember) {
        return aMember->mIdentity.mNode == voter.mNode;
      });
      if (same != candidates.end()) {
        voter = (*same)->mIdentity;
        candidates.erase(same);
        mChanged = true;
      }
    }
    for (NodeIdentity& voter : mTable.mVoters) {
      if (!IsReplaceable(voter)) {
        continue;
      }
      if (const OwnershipMember* chosen = TakeCandidate(candidates)) {
        voter = chosen->mIdentity;
        mChanged = true;
      }
    }
    const size_t usable = mTable.mVoters.size() + candidates.size();
    while (mTable.mVoters.size() < OddUpTo(usable, mInput.mVoters)) {
      const OwnershipMember* chosen = TakeCandidate(candidates);
      if (!chosen) {
        return;
      }
      mTable.mVoters.push_back(chosen->mIdentity);
      mChanged = true;
    }
  }

  bool IsReplaceable(const NodeIdentity& aVoter) const
  {
    if (aVoter.mNode == mInput.mDrainingNode || mInput.mIsGone(aVoter)) {
      return true;
    }
    return std::ranges::any_of(mInput.mMembers, [&](const OwnershipMember& aMember) {
      return aMember.mIdentity == aVoter && aMember.mLeaving;
    });
  }

  std::string_view DataCentre(const std::string& aNode) const
  {
    const auto found = std::ranges::find_if(mInput.mMembers, [&](const OwnershipMember& aMember) {
      return aMember.mIdentity.mNode == aNode;
    });
    return found == mInput.mMembers.end() ? std::string_view{} : found->mDataCentre;
  }

  const OwnershipMember* TakeCandidate(std::vector<const OwnershipMember*>& aCandidates)
  {
    std::map<std::string_view, size_t> perDataCentre;
    for (const NodeIdentity& voter : mTable.mVoters) {
      if (!IsReplaceable(voter)) {
        ++perDataCentre[DataCentre(voter.mNode)];
      }
    }
    const auto best =
      std::ranges::min_element(aCandidates, {}, [&](const OwnershipMember* aMember) {
        return std::pair(perDataCentre[aMember->mDataCentre],
                         RendezvousHash(mTable.mService, aMember->mIdentity.mNode));
      });
    if (best == aCandidates.end()) {
      return nullptr;
    }
    const OwnershipMember* chosen = *best;
    aCandidates.erase(best);
    return chosen;
  }

  const PlanInput& mInput;
  const std::map<ShardId, ShardOwner>& mMoves;
  OwnershipTable mTable;
  bool mChanged = false;
};

} // namespace

uint64_t RendezvousHash(std::string_view aService, std::string_view aNode)
{
  return HashCombine(Hash64(aService), Hash64(aNode));
}

std::optional<OwnershipTable> PlanTable(const PlanInput& aInput,
                                        const std::map<ShardId, ShardOwner>& aMoves)
{
  return Planner(aInput, aMoves).Plan();
}

} // namespace balsammount::detail
