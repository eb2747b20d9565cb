// How the end of an HTTP/1.1 message is determined.
//
//   if (const std::string_view reason = FramingError(head.mHeaders); !reason.empty()) { ... }
//   stream.Send(RequestBytes(request));
#pragma once

#include "trefoil/http/message.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace trefoil {

// Returns the reason why the headers of a message do not determine unambiguously where its body
// ends (RFC 9112, section 6.3), or an empty string if they do. The only transfer coding that is
// accepted is a single `chunked`: the body of a message with another one would be relayed without
// its coding.
std::string_view
FramingError(const HttpHeaders& aHeaders);

// Returns whether the body is sent in chunks. `aHeaders` must have no framing error.
bool
IsChunked(const HttpHeaders& aHeaders);

// Returns the bytes of exactly one request. Its length follows from the body alone: headers that
// state a length or a transfer coding are left out.
std::string
RequestBytes(const HttpRequest& aRequest);

// The same with `aBody` in place of the request's own body, for a body that is not to be copied.
std::string
RequestBytes(const HttpRequest& aRequest, std::string_view aBody);

// Returns the bytes that precede a body of `aBodyBytes`, the empty line included.
std::string
RequestHead(const HttpRequest& aRequest, std::size_t aBodyBytes);

} // namespace trefoil
