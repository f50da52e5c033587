// Hashing that is stable across processes and releases.
#pragma once

#include <cstdint>
#include <string_view>

namespace balsammount {

uint64_t Hash64(std::string_view aBytes, uint64_t aSeed = 0);

// Combines two hashes; the order matters.
uint64_t HashCombine(uint64_t aLeft, uint64_t aRight);

} // namespace balsammount
