// Encodes messages between entry hosts as bytes and decodes them.
//
//   std::string bytes = Encode(message);
//   absl::StatusOr<Message> message = Decode(bytes);
//
// Layout: one byte of protocol version, an eight-byte XXH3 checksum of the payload in little-endian
// order, then the payload: the message as written by internal/archive.h. Thread-safe.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/wire/message.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace trefoil {

inline constexpr unsigned char kProtocolVersion = 6;
// Decode() rejects longer messages. 72 MiB.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{ 72 } << 20;

// Returns the encoded message. Does not check the result against kMaxMessageBytes.
std::string
Encode(const Message& aMessage);

// Returns InvalidArgument if the bytes are not a valid message of this protocol version.
absl::StatusOr<Message>
Decode(std::string_view aBytes);

} // namespace trefoil
