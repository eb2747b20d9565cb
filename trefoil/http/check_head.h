// Checks the head of a request before its body is read.
//
//   if (const auto refusal = CheckHead(head)) { ... answer *refusal and close ... }
#pragma once

#include "trefoil/http/message.h"

#include <cstddef>
#include <optional>

namespace trefoil {

// A request with longer headers, their names included, is answered 431. The library refuses more
// than 100 headers.
inline constexpr std::size_t kMaxHeaderBytes = std::size_t{ 32 } * 1024;
// A request with a longer target is answered 414.
inline constexpr std::size_t kMaxTargetBytes = std::size_t{ 8 } * 1024;

// Returns the answer to a request whose head breaks HTTP or a limit, nothing for a good one.
// Refuses heads that leave open where the body ends.
std::optional<HttpAnswer>
CheckHead(const HttpRequest& aHead);

} // namespace trefoil
