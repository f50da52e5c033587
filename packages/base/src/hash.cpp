#include "balsammount/hash.h"

#include <xxhash.h>

namespace balsammount {

uint64_t Hash64(std::string_view aBytes, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

uint64_t HashCombine(uint64_t aLeft, uint64_t aRight)
{
  const uint64_t values[] = { aLeft, aRight };
  return XXH3_64bits(values, sizeof(values));
}

} // namespace balsammount
