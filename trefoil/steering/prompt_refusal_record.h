// The refused parts of prompts as one record in the store. A host reads it when it starts: if all
// hosts were killed, no other host can tell it.
//
//   std::string text = RenderPromptRefusalRecord(refusals, clock);
//   absl::StatusOr<PromptRefusalRecord> record = ParsePromptRefusalRecord(text, clock);
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/instant.h"
#include "trefoil/request/prompt_crash_tracker.h"

#include <map>
#include <string>

namespace trefoil {

// The parts that are refused.
using PromptRefusalRecord = std::map<PromptPartKey, PartRefusal>;

inline constexpr const char* kPromptRefusalRecordKey = "prompt_refusals";

// The same moment on the monotonic clock of a host and in the time of day, which its record is
// kept in. The time of day may be wrong.
struct ClockReading
{
  Instant mNow;
  WallTime mWallNow;
};

// Returns the refusals of `aRefusals` that are in force.
PromptRefusalRecord
RefusalsInForce(const std::map<PromptPartKey, PartRefusal>& aRefusals, Instant aNow);

// Returns a record as JSON.
std::string
RenderPromptRefusalRecord(const PromptRefusalRecord& aRecord, const ClockReading& aClock);

// Returns DataLoss if `aText` is not a valid record. Refusals that have ended are left out, and
// none lasts longer than kMaxPartRefusal.
absl::StatusOr<PromptRefusalRecord>
ParsePromptRefusalRecord(const std::string& aText, const ClockReading& aClock);

} // namespace trefoil
