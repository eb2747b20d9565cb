#include "trefoil/wire/codec.h"

#include "trefoil/base/digest.h"
#include "trefoil/wire/internal/archive.h"

#include <exception>
#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr std::size_t kChecksumBytes = 8;
constexpr std::size_t kHeaderBytes = 1 + kChecksumBytes;
constexpr unsigned kBitsPerByte = 8;

std::string
EncodeChecksum(std::string_view aPayload)
{
  const std::uint64_t digest = Digest64(aPayload);
  std::string bytes;
  for (std::size_t i = 0; i < kChecksumBytes; ++i) {
    bytes.push_back(static_cast<char>(digest >> (i * kBitsPerByte)));
  }
  return bytes;
}

} // namespace

std::string
Encode(const Message& aMessage)
{
  WireOutput archive;
  archive(aMessage);
  const std::string& payload = archive.Bytes();
  return static_cast<char>(kProtocolVersion) + EncodeChecksum(payload) + payload;
}

absl::StatusOr<Message>
Decode(std::string_view aBytes)
{
  if (aBytes.size() < kHeaderBytes || aBytes.size() > kMaxMessageBytes) {
    return absl::InvalidArgumentError(
      fmt::format("{} bytes is not a valid message length", aBytes.size()));
  }
  if (static_cast<unsigned char>(aBytes.front()) != kProtocolVersion) {
    return absl::InvalidArgumentError("the message has an unsupported protocol version");
  }
  const std::string_view payload = aBytes.substr(kHeaderBytes);
  if (aBytes.substr(1, kChecksumBytes) != EncodeChecksum(payload)) {
    return absl::InvalidArgumentError("the message checksum does not match");
  }
  try {
    WireInput archive{ payload };
    Message message;
    archive(message);
    if (!archive.AtEnd()) {
      return absl::InvalidArgumentError("the message has trailing bytes");
    }
    return message;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

} // namespace trefoil
