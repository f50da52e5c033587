// Pseudorandom numbers. A seed gives the same sequence on every platform.
#pragma once

#include <cstdint>
#include <random>

namespace balsammount {

class Random
{
public:
  explicit Random(uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  uint64_t Next() { return mEngine(); }

  // Returns a value in [0, aBound), or 0 if aBound is 0. The modulo bias is below 2^-32 for bounds
  // under 2^32.
  uint64_t Below(uint64_t aBound) { return aBound == 0 ? 0 : mEngine() % aBound; }

  // Returns a value in [0, 1).
  double Uniform() { return static_cast<double>(mEngine() >> 11) * 0x1.0p-53; }

private:
  std::mt19937_64 mEngine;
};

} // namespace balsammount
