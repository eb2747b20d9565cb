// Turns a piece of an audit trail into JSON and back, so that any tool can read it.
//
//   std::string text = EncodePiece(piece);
//   absl::StatusOr<AuditPiece> piece = DecodePiece(text);
//
// Thread-safe.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/audit/trail.h"

#include <string>
#include <string_view>

namespace trefoil {

std::string
EncodePiece(const AuditPiece& aPiece);

// Returns an empty piece for an empty text, DataLoss for a text that is no piece.
absl::StatusOr<AuditPiece>
DecodePiece(std::string_view aText);

// Returns a record as one line for an operator.
std::string
RenderRecord(const AuditRecord& aRecord);

} // namespace trefoil
