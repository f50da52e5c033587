// Prefixes of keys in the store.
#pragma once

#include <string>

namespace balsammount {

inline const std::string kContactsPrefix = "/balsammount/contacts/";
inline const std::string kOwnersPrefix = "/balsammount/owners/";

} // namespace balsammount
