#include "trefoil/wire/frame.h"

#include "trefoil/wire/codec.h"

#include <fmt/format.h>
#include <utility>

namespace trefoil {
namespace {

constexpr unsigned kBitsPerByte = 8;

} // namespace

std::string
EncodeFrame(const Message& aMessage)
{
  const std::string bytes = Encode(aMessage);
  std::string frame;
  for (std::size_t i = 0; i < kFrameLengthBytes; ++i) {
    frame.push_back(static_cast<char>(bytes.size() >> (i * kBitsPerByte)));
  }
  return frame + bytes;
}

std::size_t
MessageLength(std::string_view aHeader)
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFrameLengthBytes; ++i) {
    length |= static_cast<std::size_t>(static_cast<unsigned char>(aHeader[i]))
              << (i * kBitsPerByte);
  }
  return length;
}

absl::StatusOr<std::optional<Message>>
TakeFrame(std::string& aBytes, std::size_t aMaxBytes)
{
  if (aBytes.size() < kFrameLengthBytes) {
    return std::nullopt;
  }
  const std::size_t length = MessageLength(aBytes);
  if (length > aMaxBytes) {
    return absl::InvalidArgumentError(
      fmt::format("a frame of {} bytes exceeds the maximum message size", length));
  }
  if (aBytes.size() < kFrameLengthBytes + length) {
    return std::nullopt;
  }
  auto message = Decode(std::string_view{ aBytes }.substr(kFrameLengthBytes, length));
  if (!message.ok()) {
    return message.status();
  }
  aBytes.erase(0, kFrameLengthBytes + length);
  return std::optional<Message>{ *std::move(message) };
}

} // namespace trefoil
