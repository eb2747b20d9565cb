#include "trefoil/idempotency/key_date.h"

#include <charconv>
#include <cstddef>
#include <cstdint>

namespace trefoil {
namespace {

constexpr std::size_t kMaxKeyBytes = 128;
constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidVersionOffset = 14;
constexpr std::size_t kUuidHighDigits = 8;
constexpr std::size_t kUuidLowOffset = 9;
constexpr std::size_t kUuidLowDigits = 4;
constexpr int kUuidLowBits = 16;
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;
constexpr std::int64_t kMaxSeconds = 100'000'000'000;

// Returns the non-negative number that makes up the whole text, or std::nullopt.
std::optional<std::int64_t>
ParseNumber(std::string_view aText, int aBase)
{
  std::int64_t number = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), number, aBase);
  if (error != std::errc{} || end != aText.data() + aText.size() || number < 0) {
    return std::nullopt;
  }
  return number;
}

// Returns the timestamp in the first 48 bits of a UUID of version 7, in milliseconds.
std::optional<WallTime>
DateOfUuid(std::string_view aKey)
{
  if (aKey.size() != kUuidLength || aKey[kUuidVersionOffset] != '7' ||
      aKey[kUuidHighDigits] != '-' || aKey[kUuidVersionOffset - 1] != '-') {
    return std::nullopt;
  }
  const auto high = ParseNumber(aKey.substr(0, kUuidHighDigits), kHexadecimal);
  const auto low = ParseNumber(aKey.substr(kUuidLowOffset, kUuidLowDigits), kHexadecimal);
  if (!high.has_value() || !low.has_value()) {
    return std::nullopt;
  }
  return FromUnixMilliseconds((*high << kUuidLowBits) | *low);
}

std::optional<WallTime>
DateOfUnixSeconds(std::string_view aKey)
{
  const std::size_t end = aKey.find('-');
  if (end == std::string_view::npos || end + 1 == aKey.size()) {
    return std::nullopt;
  }
  const auto seconds = ParseNumber(aKey.substr(0, end), kDecimal);
  if (!seconds.has_value() || *seconds > kMaxSeconds) {
    return std::nullopt;
  }
  return WallTime{ std::chrono::seconds{ *seconds } };
}

} // namespace

std::optional<WallTime>
DateOfKey(std::string_view aKey)
{
  if (aKey.size() > kMaxKeyBytes) {
    return std::nullopt;
  }
  const auto date = DateOfUuid(aKey);
  return date.has_value() ? date : DateOfUnixSeconds(aKey);
}

KeyAge
AgeOfKey(const ClaimOptions& aOptions, WallTime aDate, WallTime aNow)
{
  const std::int64_t age = UnixMilliseconds(aNow) - UnixMilliseconds(aDate);
  if (age > aOptions.mRetentionMilliseconds) {
    return KeyAge::kExpired;
  }
  return age < -aOptions.mMaxFutureMilliseconds ? KeyAge::kInFuture : KeyAge::kValid;
}

} // namespace trefoil
