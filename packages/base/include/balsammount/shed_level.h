// The scale of shed levels. Admission publishes a level, entries refuse by it; both must use the
// same scale and hash.
#pragma once

#include <cstdint>

namespace balsammount {

// At ten times the demand with callers that resend, one of 64 cohorts is 40% of the capacity, which
// makes the level swing; one of 1024 is 3%.
inline constexpr uint32_t kShedCohorts = 1024;

// The cohort of a request. Every hop must use the same hash.
constexpr uint32_t ShedCohort(uint64_t aRequestHash)
{
  return static_cast<uint32_t>(aRequestHash % kShedCohorts);
}

// True when aLevel refuses the request. aRanksBelow is the number of ranks of less worth. Level 0
// refuses nothing; level kShedCohorts * n + c refuses the n ranks of least worth and cohorts below
// c of the next one.
constexpr bool IsShed(uint32_t aLevel, uint32_t aRanksBelow, uint64_t aRequestHash)
{
  return aRanksBelow * kShedCohorts + ShedCohort(aRequestHash) < aLevel;
}

} // namespace balsammount
