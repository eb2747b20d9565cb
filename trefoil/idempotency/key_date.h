// Extracts the date from an idempotency key that a caller chose.
//
//   std::optional<WallTime> date = DateOfKey("1796371200-board-4-round-2");
//   KeyAge age = AgeOfKey(options, *date, aNow);
//
// A key must contain a date, so that a key whose claim has been overwritten in the store is refused
// and not treated as new. Two formats are supported: a UUID of version 7 (RFC 9562, section 5.7),
// and seconds since 1970 (Unix time) followed by '-' and text. Pure functions.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/idempotency/claim.h"

#include <optional>
#include <string_view>

namespace trefoil {

enum class KeyAge
{
  kValid,
  // Dated before the retention period.
  kExpired,
  // Dated further in the future than the wall clocks of hosts may differ.
  kInFuture,
};

// Returns the date of a key, or std::nullopt for a key of another format or of more than 128 bytes.
std::optional<WallTime>
DateOfKey(std::string_view aKey);

// Returns whether a key with the date `aDate` is valid at `aNow`.
KeyAge
AgeOfKey(const ClaimOptions& aOptions, WallTime aDate, WallTime aNow);

} // namespace trefoil
