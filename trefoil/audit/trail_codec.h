// Encodes the segments of an audit trail as JSON, which any tool can read, and decodes them.
//
//   std::string text = EncodeSegment(segment);
//   absl::StatusOr<AuditSegment> segment = DecodeSegment(text);
//
// Thread-safe.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/audit/trail.h"

#include <string>
#include <string_view>

namespace trefoil {

// Returns the JSON text of a segment.
std::string
EncodeSegment(const AuditSegment& aSegment);

// Returns the segment of a JSON text, an empty segment for an empty text, and DataLossError for a
// text that is not a valid segment.
absl::StatusOr<AuditSegment>
DecodeSegment(std::string_view aText);

// Returns a record as a line of text for an operator.
std::string
RenderRecord(const AuditRecord& aRecord);

} // namespace trefoil
