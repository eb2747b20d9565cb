// Attaches to an error status the time after which the caller should retry.
//
//   absl::Status status = WithRetryAfter(absl::ResourceExhaustedError("..."), 3);
//   std::optional<std::int64_t> seconds = RetryAfterSeconds(status);    // 3
#pragma once

#include "absl/status/status.h"

#include <cstdint>
#include <optional>

namespace trefoil {

// Returns `aStatus` with a payload that contains `aSeconds`. An OK status is returned unchanged.
absl::Status
WithRetryAfter(absl::Status aStatus, std::int64_t aSeconds);

// Returns the retry time of a status in seconds, or std::nullopt if the status has none.
std::optional<std::int64_t>
RetryAfterSeconds(const absl::Status& aStatus);

} // namespace trefoil
