// What is left of the quotas, as one record in the store, for hosts that start when there is nobody
// left to ask.
//
//   std::string text = RenderQuotaRecord(record);
//   absl::StatusOr<QuotaRecord> record = ParseQuotaRecord(text);
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/ids.h"

#include <map>
#include <string>

namespace trefoil {

// By account: what its bucket held when the record was written. Negative if it was overdrawn.
using QuotaRecord = std::map<ClientAccountId, double>;

inline constexpr const char* kQuotaKey = "quota";

std::string
RenderQuotaRecord(const QuotaRecord& aRecord);

// Returns DataLoss for a text that is no record.
absl::StatusOr<QuotaRecord>
ParseQuotaRecord(const std::string& aText);

} // namespace trefoil
