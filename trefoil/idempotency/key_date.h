// The date in an idempotency key that a caller chose.
//
//   std::optional<WallTime> date = DateOfKey("1796371200-board-4-round-2");
//   KeyAge age = AgeOfKey(options, *date, aNow);
//
// A key has to be datable, so that one whose claim has been dropped from the store is refused and
// not taken for a new one. Two forms are: a UUID of version 7 (RFC 9562, section 5.7), and seconds
// since 1970 followed by '-' and text.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/idempotency/claim.h"

#include <optional>
#include <string_view>

namespace trefoil {

enum class KeyAge
{
  kValid,
  // Older than the retention.
  kExpired,
  // Dated further ahead than calendars may differ.
  kAhead,
};

// Returns nothing for a key of another form or of more than 128 bytes.
std::optional<WallTime>
DateOfKey(std::string_view aKey);

KeyAge
AgeOfKey(const ClaimOptions& aOptions, WallTime aDate, WallTime aNow);

} // namespace trefoil
