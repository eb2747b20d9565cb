// The store key and the JSON encoding of a holder record.
//
//   std::string text = RenderHolderRecord({ .mHost = host, .mNonce = 7 });
//   HolderRecord record = ParseHolderRecord(text).value();
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/duty/duty.h"

#include <string>
#include <string_view>

namespace trefoil {

// Returns the store key of a service's duty.
std::string
DutyClaimKey(const ServiceId& aService);

// Returns the record as JSON.
std::string
RenderHolderRecord(const HolderRecord& aRecord);

// Returns DataLoss if the text is not a valid holder record.
absl::StatusOr<HolderRecord>
ParseHolderRecord(const std::string& aText);

} // namespace trefoil
