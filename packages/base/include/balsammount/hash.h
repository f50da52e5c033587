// Hash functions whose results are the same in every process and release.
#pragma once

#include <cstdint>
#include <string_view>

namespace balsammount {

uint64_t Hash64(std::string_view aBytes, uint64_t aSeed = 0);

// Combines two hashes. The result depends on their order.
uint64_t HashCombine(uint64_t aLeft, uint64_t aRight);

} // namespace balsammount
