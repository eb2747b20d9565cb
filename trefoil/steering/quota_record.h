// The quotas of all accounts as one record in the store. A host reads it when it starts: what other
// hosts have used and are asked for reaches it only later.
//
//   std::string text = RenderQuotaRecord(record);
//   absl::StatusOr<QuotaRecord> record = ParseQuotaRecord(text);
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/ids.h"
#include "trefoil/dispatch/quota.h"

#include <map>
#include <string>

namespace trefoil {

// The quota of each account when the record was written.
using QuotaRecord = std::map<ClientAccountId, QuotaSnapshot>;

inline constexpr const char* kQuotaRecordKey = "quota";

// Returns a record as JSON.
std::string
RenderQuotaRecord(const QuotaRecord& aRecord);

// Returns DataLoss if `aText` is not a valid record. A record of an earlier version has no demands;
// they are read as 0.
absl::StatusOr<QuotaRecord>
ParseQuotaRecord(const std::string& aText);

} // namespace trefoil
