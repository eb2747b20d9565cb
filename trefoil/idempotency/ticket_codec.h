// The authenticated text of a ticket.
//
//   std::string text = EncodeTicket(ticket, secret);        // "ticket1.<payload>.<mac>"
//   absl::StatusOr<Ticket> ticket = DecodeTicket(text, secret);
//
// The payload is cereal's portable binary form in base 64 for URLs, and the code is HMAC-SHA-256
// (RFC 2104) under a secret that all entry hosts share. Thread-safe.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/idempotency/ticket.h"

#include <string>
#include <string_view>

namespace trefoil {

// Returns whether a key has the form of a ticket.
bool
LooksLikeTicket(std::string_view aKey);

std::string
EncodeTicket(const Ticket& aTicket, const std::string& aSecret);

// Returns PermissionDenied for a text that was not made with `aSecret`.
absl::StatusOr<Ticket>
DecodeTicket(std::string_view aText, const std::string& aSecret);

} // namespace trefoil
