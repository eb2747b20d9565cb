// The levels of the quota buckets as one record in the store. A host reads it when it starts,
// for the case that no other host is running that could send its usage.
//
//   std::string text = RenderQuotaRecord(record);
//   absl::StatusOr<QuotaRecord> record = ParseQuotaRecord(text);
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/ids.h"

#include <map>
#include <string>

namespace trefoil {

// The level of each account's bucket when the record was written; negative if it was overdrawn.
using QuotaRecord = std::map<ClientAccountId, double>;

inline constexpr const char* kQuotaRecordKey = "quota";

// Returns a record as JSON.
std::string
RenderQuotaRecord(const QuotaRecord& aRecord);

// Returns DataLoss if `aText` is not a valid record.
absl::StatusOr<QuotaRecord>
ParseQuotaRecord(const std::string& aText);

} // namespace trefoil
