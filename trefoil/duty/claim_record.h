// How a claim stands in the store, as JSON.
//
//   std::string text = RenderClaim({ .mHost = host, .mNonce = 7 });
//   ClaimRecord record = ParseClaim(text).value();
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/duty/duty.h"

#include <string>
#include <string_view>

namespace trefoil {

// Returns the store's key of a duty.
std::string
ClaimKey(const ServiceId& aService);

std::string
RenderClaim(const ClaimRecord& aRecord);

// Returns DataLoss for a text that is no claim.
absl::StatusOr<ClaimRecord>
ParseClaim(const std::string& aText);

} // namespace trefoil
