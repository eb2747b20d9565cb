#include "trefoil/wire/internal/archive.h"

namespace trefoil {
namespace {

constexpr unsigned kBitsPerVarintByte = 7;
constexpr std::uint8_t kContinuationBit = 0x80;
constexpr unsigned kBitsPerNumber = 64;

} // namespace

void
WireOutput::WriteVarint(std::uint64_t aNumber)
{
  while (aNumber >= kContinuationBit) {
    WriteByte(static_cast<std::uint8_t>(aNumber | kContinuationBit));
    aNumber >>= kBitsPerVarintByte;
  }
  WriteByte(static_cast<std::uint8_t>(aNumber));
}

std::uint8_t
WireInput::ReadByte()
{
  if (mRemaining.empty()) {
    throw cereal::Exception("the message is truncated");
  }
  const auto byte = static_cast<std::uint8_t>(mRemaining.front());
  mRemaining.remove_prefix(1);
  return byte;
}

void
WireInput::ReadBytes(void* aData, std::size_t aSize)
{
  if (aSize > mRemaining.size()) {
    throw cereal::Exception("the message is truncated");
  }
  std::memcpy(aData, mRemaining.data(), aSize);
  mRemaining.remove_prefix(aSize);
}

std::uint64_t
WireInput::ReadVarint()
{
  std::uint64_t number = 0;
  for (unsigned shift = 0; shift < kBitsPerNumber; shift += kBitsPerVarintByte) {
    const std::uint8_t byte = ReadByte();
    number |= static_cast<std::uint64_t>(byte & ~kContinuationBit) << shift;
    if ((byte & kContinuationBit) == 0) {
      return number;
    }
  }
  throw cereal::Exception("a varint is too long");
}

std::size_t
WireInput::ReadLength()
{
  const std::uint64_t length = ReadVarint();
  if (length > mRemaining.size()) {
    throw cereal::Exception("a length exceeds the remaining bytes of the message");
  }
  return static_cast<std::size_t>(length);
}

} // namespace trefoil
