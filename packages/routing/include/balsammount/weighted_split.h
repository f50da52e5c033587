// Distributes requests among targets by weight.
#pragma once

#include "balsammount/random.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <span>
#include <vector>

namespace balsammount {

// Smooth weighted round robin. After any number of choices, each target's count deviates from its
// weighted share by less than one request. The sequence starts at a random position, so that the
// first choices of many nodes follow the weights as well.
class WeightedSplit
{
public:
  // Returns the index of the next target, or 0 when all weights are 0. Weights may change between
  // calls.
  size_t Next(std::span<const uint32_t> aWeights, Random& aRandom)
  {
    const auto total = std::accumulate(aWeights.begin(), aWeights.end(), uint64_t{ 0 });
    if (!std::equal(aWeights.begin(), aWeights.end(), mWeights.begin(), mWeights.end())) {
      mWeights.assign(aWeights.begin(), aWeights.end());
      mCurrentWeights.assign(aWeights.size(), 0);
      const uint64_t start = aRandom.Below(total);
      for (uint64_t i = 0; i < start && i < kMaxInitialSteps; ++i) {
        Step(total);
      }
    }
    return Step(total);
  }

private:
  // Limits the work of choosing the start position. Weights are usually percentages.
  static constexpr uint64_t kMaxInitialSteps = 1000;

  size_t Step(uint64_t aTotal)
  {
    size_t best = 0;
    for (size_t i = 0; i < mCurrentWeights.size(); ++i) {
      mCurrentWeights[i] += mWeights[i];
      if (mCurrentWeights[i] > mCurrentWeights[best]) {
        best = i;
      }
    }
    if (!mCurrentWeights.empty()) {
      mCurrentWeights[best] -= static_cast<int64_t>(aTotal);
    }
    return best;
  }

  std::vector<uint32_t> mWeights;
  std::vector<int64_t> mCurrentWeights;
};

} // namespace balsammount
