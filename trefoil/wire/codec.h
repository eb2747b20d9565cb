// Turns messages into bytes and back.
//
//   std::string bytes = Encode(message);
//   absl::StatusOr<Message> message = Decode(bytes);
//
// Layout: one byte of protocol version, eight bytes of checksum (XXH3, little endian), then the
// message in the form of internal/archive.h. Thread-safe.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/wire/message.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace trefoil {

inline constexpr unsigned char kProtocolVersion = 6;
// The longest encoded message that is decoded.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{ 72 } << 20;

std::string
Encode(const Message& aMessage);

// Returns InvalidArgument for bytes that are no message of this protocol version.
absl::StatusOr<Message>
Decode(std::string_view aBytes);

} // namespace trefoil
