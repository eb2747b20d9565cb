// The refused requests and parts of prompts as one record in the store. A host reads it when it
// starts: if all hosts were killed, no other host can tell it.
//
//   std::string text = RenderRefusalRecord(refusals, clock);
//   absl::StatusOr<RefusalRecord> record = ParseRefusalRecord(text, clock);
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/request/crash_tracker.h"
#include "trefoil/steering/clock_reading.h"

#include <map>
#include <string>

namespace trefoil {

// The requests and parts that are refused.
using RefusalRecord = std::map<SuspectKey, Refusal>;

inline constexpr const char* kRefusalRecordKey = "prompt_refusals";

// Returns the refusals of `aRefusals` that are in force.
RefusalRecord
RefusalsInForce(const std::map<SuspectKey, Refusal>& aRefusals, Instant aNow);

// Returns a record as JSON.
std::string
RenderRefusalRecord(const RefusalRecord& aRecord, const ClockReading& aClock);

// Returns DataLoss if `aText` is not a valid record. Refusals that have ended are left out, and
// none lasts longer than kMaxRefusal.
absl::StatusOr<RefusalRecord>
ParseRefusalRecord(const std::string& aText, const ClockReading& aClock);

} // namespace trefoil
