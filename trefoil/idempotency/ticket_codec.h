// Encodes a ticket as authenticated text.
//
//   std::string text = EncodeTicket(ticket, secret);        // "ticket1.<payload>.<mac>"
//   absl::StatusOr<Ticket> ticket = DecodeTicket(text, secret);
//
// The payload is cereal's portable binary format in URL-safe Base64. The authentication code is
// HMAC-SHA-256 (RFC 2104) with a secret that all entry hosts share. Thread-safe.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/idempotency/ticket.h"

#include <string>
#include <string_view>

namespace trefoil {

// Returns whether a key starts like a ticket. It may still be invalid.
bool
LooksLikeTicket(std::string_view aKey);

// Returns the text of a ticket, authenticated with `aSecret`.
std::string
EncodeTicket(const Ticket& aTicket, const std::string& aSecret);

// Returns the ticket, or PermissionDenied for a text that was not encoded with `aSecret`.
absl::StatusOr<Ticket>
DecodeTicket(std::string_view aText, const std::string& aSecret);

} // namespace trefoil
