// Base64 with the standard alphabet and padding, as the JSON API of the store uses it.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace balsammount {

std::string EncodeBase64(std::string_view aBytes);

// Returns nullopt if the text is not valid base64 with padding.
std::optional<std::string> DecodeBase64(std::string_view aText);

} // namespace balsammount
