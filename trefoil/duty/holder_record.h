// The store key and the JSON encoding of a holder record.
//
//   std::string text = RenderHolder({ .mHost = host, .mNonce = 7 });
//   HolderRecord record = ParseHolder(text).value();
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/duty/duty.h"

#include <string>
#include <string_view>

namespace trefoil {

// Returns the store key of a service's duty.
std::string
ClaimKey(const ServiceId& aService);

// Returns the record as JSON.
std::string
RenderHolder(const HolderRecord& aRecord);

// Returns DataLoss if the text is not a valid holder record.
absl::StatusOr<HolderRecord>
ParseHolder(const std::string& aText);

} // namespace trefoil
