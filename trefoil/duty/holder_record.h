// How a claim stands in the store, as JSON.
//
//   std::string text = RenderHolder({ .mHost = host, .mNonce = 7 });
//   HolderRecord record = ParseHolder(text).value();
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
RenderHolder(const HolderRecord& aRecord);

// Returns DataLoss for a text that is no claim.
absl::StatusOr<HolderRecord>
ParseHolder(const std::string& aText);

} // namespace trefoil
