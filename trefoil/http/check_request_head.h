// Validates the head of a request before its body is read.
//
//   if (const auto refusal = CheckRequestHead(head)) {
//     ... send *refusal and close the connection ...
//   }
#pragma once

#include "trefoil/http/message.h"

#include <cstddef>
#include <optional>

namespace trefoil {

// Maximum total size of the header names and values. A request that exceeds it is answered with
// status 431.
inline constexpr std::size_t kMaxHeaderBytes = std::size_t{ 32 } * 1024;
// Maximum length of the request target. A request that exceeds it is answered with status 414.
inline constexpr std::size_t kMaxTargetBytes = std::size_t{ 8 } * 1024;

// Returns the error response for a request whose head violates HTTP or a limit, or std::nullopt if
// the head is valid. Refuses heads that do not determine unambiguously where the body ends.
std::optional<HttpResponse>
CheckRequestHead(const HttpRequest& aHead);

} // namespace trefoil
