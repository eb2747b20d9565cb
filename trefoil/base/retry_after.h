// When a caller should try again, carried by the status of a refusal.
//
//   absl::Status status = WithRetryAfter(absl::ResourceExhaustedError("..."), 3);
//   std::optional<std::int64_t> seconds = RetryAfterSeconds(status);    // 3
#pragma once

#include "absl/status/status.h"

#include <cstdint>
#include <optional>

namespace trefoil {

absl::Status
WithRetryAfter(absl::Status aStatus, std::int64_t aSeconds);

// Returns nothing if the status does not say.
std::optional<std::int64_t>
RetryAfterSeconds(const absl::Status& aStatus);

} // namespace trefoil
