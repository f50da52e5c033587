// Queue of records to gossip with other datagrams, ordered by number of transmissions and then from
// newest to oldest.
#pragma once

#include <cstdint>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace balsammount::detail {

class GossipQueue
{
public:
  // aSent is the number of transmissions already counted. Negative values add transmissions.
  void Push(uint64_t aIdHash, int32_t aSent)
  {
    Remove(aIdHash);
    Insert({ aSent, --mOrder, aIdHash });
  }

  void Remove(uint64_t aIdHash)
  {
    const auto found = mKeys.find(aIdHash);
    if (found != mKeys.end()) {
      mQueue.erase(found->second);
      mKeys.erase(found);
    }
  }

  // Offers records until aAccept returns false. Removes those that were accepted aLimit times.
  template <class Accept>
  void Take(int32_t aLimit, Accept aAccept)
  {
    std::vector<Key> taken;
    for (const Key& key : mQueue) {
      if (!aAccept(std::get<2>(key))) {
        break;
      }
      taken.push_back(key);
    }
    for (Key key : taken) {
      Remove(std::get<2>(key));
      if (++std::get<0>(key) < aLimit) {
        Insert(key);
      }
    }
  }

  bool Contains(uint64_t aIdHash) const { return mKeys.contains(aIdHash); }
  bool Empty() const { return mQueue.empty(); }
  size_t Size() const { return mQueue.size(); }

private:
  using Key = std::tuple<int32_t, uint64_t, uint64_t>; // sent, order, hash of the id

  void Insert(const Key& aKey)
  {
    mQueue.insert(aKey);
    mKeys[std::get<2>(aKey)] = aKey;
  }

  std::set<Key> mQueue;
  std::unordered_map<uint64_t, Key> mKeys;
  uint64_t mOrder = UINT64_MAX;
};

} // namespace balsammount::detail
