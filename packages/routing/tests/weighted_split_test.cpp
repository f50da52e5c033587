#include "balsammount/weighted_split.h"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace balsammount;

TEST_GROUP(WeightedSplit){};

// Guards against shares that drift from the weights, even with few requests.
TEST(WeightedSplit, SharesFollowWeights)
{
  Random random(7);
  constexpr std::array<uint32_t, 3> kWeights = { 70, 25, 5 };
  std::array<int, 3> counts{};
  WeightedSplit split;
  for (int i = 0; i < 200; ++i) {
    ++counts[split.Next(kWeights, random)];
  }
  CHECK_COMPARE(std::abs(counts[0] - 140), <=, 1);
  CHECK_COMPARE(std::abs(counts[1] - 50), <=, 1);
  CHECK_COMPARE(std::abs(counts[2] - 10), <=, 1);
}

// Guards against many nodes that all start with the target of the highest weight.
TEST(WeightedSplit, FirstChoicesOfManyNodesFollowWeights)
{
  Random random(7);
  constexpr std::array<uint32_t, 2> kWeights = { 80, 20 };
  int second = 0;
  for (int node = 0; node < 1000; ++node) {
    WeightedSplit split;
    second += split.Next(kWeights, random) == 1 ? 1 : 0;
  }
  CHECK_COMPARE(second, >, 150);
  CHECK_COMPARE(second, <, 250);
}

// Guards against requests to a target of weight 0, and against stale shares after a change of
// weights.
TEST(WeightedSplit, ZeroWeightGetsNoRequests)
{
  Random random(7);
  WeightedSplit split;
  split.Next(std::array<uint32_t, 2>{ 50, 50 }, random);
  for (int i = 0; i < 100; ++i) {
    CHECK_EQUAL(1, split.Next(std::array<uint32_t, 2>{ 0, 3 }, random));
  }
}
