// Scale of the shed level, by which an overloaded node tells entry nodes which requests to refuse.
// All nodes must use the same scale and hash.
#pragma once

#include <cstdint>

namespace balsammount {

// Cohorts per rank. The level changes by whole cohorts, so a coarse scale makes it oscillate:
// at ten times the normal demand with retrying callers, one of 64 cohorts carries 40% of the
// capacity, and one of 1024 carries 3%.
inline constexpr uint32_t kShedCohorts = 1024;

// Returns the cohort of a request. Every hop must pass the same hash.
constexpr uint32_t ShedCohort(uint64_t aRequestHash)
{
  return static_cast<uint32_t>(aRequestHash % kShedCohorts);
}

// Returns true if a request is refused at aLevel. aRanksBelow is the number of ranks of lower worth
// than that of the request. Level 0 refuses nothing; level kShedCohorts * n + c refuses the n ranks
// of lowest worth and the cohorts below c of the next rank.
constexpr bool IsShed(uint32_t aLevel, uint32_t aRanksBelow, uint64_t aRequestHash)
{
  return aRanksBelow * kShedCohorts + ShedCohort(aRequestHash) < aLevel;
}

} // namespace balsammount
