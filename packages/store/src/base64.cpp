#include "balsammount/base64.h"

#include <array>
#include <cstdint>

namespace balsammount {

namespace {

constexpr std::string_view kAlphabet =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr uint8_t kInvalid = 64;

constexpr std::array<uint8_t, 256> MakeDigits()
{
  std::array<uint8_t, 256> digits{};
  digits.fill(kInvalid);
  for (size_t i = 0; i < kAlphabet.size(); ++i) {
    digits[static_cast<uint8_t>(kAlphabet[i])] = static_cast<uint8_t>(i);
  }
  return digits;
}

constexpr std::array<uint8_t, 256> kDigits = MakeDigits();

uint32_t ByteAt(std::string_view aBytes, size_t aIndex)
{
  return aIndex < aBytes.size() ? static_cast<uint8_t>(aBytes[aIndex]) : 0;
}

} // namespace

std::string EncodeBase64(std::string_view aBytes)
{
  std::string text;
  text.reserve((aBytes.size() + 2) / 3 * 4);
  for (size_t i = 0; i < aBytes.size(); i += 3) {
    const uint32_t group =
      ByteAt(aBytes, i) << 16 | ByteAt(aBytes, i + 1) << 8 | ByteAt(aBytes, i + 2);
    text += kAlphabet[group >> 18];
    text += kAlphabet[group >> 12 & 63];
    text += i + 1 < aBytes.size() ? kAlphabet[group >> 6 & 63] : '=';
    text += i + 2 < aBytes.size() ? kAlphabet[group & 63] : '=';
  }
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view aText)
{
  if (aText.size() % 4 != 0) {
    return std::nullopt;
  }
  size_t padding = 0;
  while (padding < 2 && padding < aText.size() && aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  aText.remove_suffix(padding);
  std::string bytes;
  bytes.reserve(aText.size() / 4 * 3 + 2);
  uint32_t group = 0;
  int bits = 0;
  for (const char character : aText) {
    const uint8_t digit = kDigits[static_cast<uint8_t>(character)];
    if (digit == kInvalid) {
      return std::nullopt;
    }
    group = (group << 6 | digit) & 0xffffff;
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 0xff);
    }
  }
  return bytes;
}

} // namespace balsammount
