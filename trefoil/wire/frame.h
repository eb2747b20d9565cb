// Frames of messages on a TCP connection between entry hosts.
//
//   stream.Send(EncodeFrame(RelayOpen{ .mServer = server }));
//   absl::StatusOr<std::optional<Message>> message = TakeFrame(stream.Received(), kMaxOpenBytes);
//
// A frame consists of a four-byte length in little-endian order and an encoded message.
// Thread-safe.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/wire/message.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace trefoil {

inline constexpr std::size_t kFrameLengthBytes = 4;

std::string
EncodeFrame(const Message& aMessage);

// Returns the length of the message of a frame. `aHeader` must have kFrameLengthBytes bytes.
std::size_t
MessageLength(std::string_view aHeader);

// Removes the first frame from `aBytes` and returns its message, or std::nullopt if the frame is
// incomplete. Returns InvalidArgument if the message is invalid or longer than `aMaxBytes`.
absl::StatusOr<std::optional<Message>>
TakeFrame(std::string& aBytes, std::size_t aMaxBytes);

} // namespace trefoil
