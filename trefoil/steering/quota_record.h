// What all hosts let through of the quotas lately, as one record in the store, for hosts that start
// when there is nobody left to ask.
//
//   std::string text = RenderQuotaRecord(record);
//   std::vector<PastUse> uses = PastUses(*ParseQuotaRecord(text), WallNow());
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/forward/traffic_view.h"

#include <map>
#include <string>
#include <vector>

namespace trefoil {

struct QuotaRecord
{
  WallTime mAt;
  Milliseconds mSlice{ 0 };
  // By account: what was let through in each slice of time, the newest last.
  std::map<ClientAccountId, std::vector<std::int64_t>> mSlices;
};

inline constexpr const char* kQuotaKey = "quota";

std::string
RenderQuotaRecord(const QuotaRecord& aRecord);

// Returns DataLoss for a text that is no record.
absl::StatusOr<QuotaRecord>
ParseQuotaRecord(const std::string& aText);

// Returns the uses with their ages. Clocks of hosts may differ: no use is taken for younger than 0.
std::vector<PastUse>
PastUses(const QuotaRecord& aRecord, WallTime aNow);

// Returns the record of the uses that a traffic thread reported.
QuotaRecord
MakeQuotaRecord(const std::map<ClientAccountId, QuotaUse>& aUses, WallTime aNow);

} // namespace trefoil
