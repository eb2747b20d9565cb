#include "trefoil/wire/internal/archive.h"

namespace trefoil {
namespace {

constexpr unsigned kBitsInByte = 7;
constexpr std::uint8_t kMoreFollows = 0x80;
constexpr unsigned kBitsInNumber = 64;

} // namespace

void
WireOutput::PutNumber(std::uint64_t aNumber)
{
  while (aNumber >= kMoreFollows) {
    PutByte(static_cast<std::uint8_t>(aNumber | kMoreFollows));
    aNumber >>= kBitsInByte;
  }
  PutByte(static_cast<std::uint8_t>(aNumber));
}

std::uint8_t
WireInput::TakeByte()
{
  if (mLeft.empty()) {
    throw cereal::Exception("the message ends too soon");
  }
  const auto byte = static_cast<std::uint8_t>(mLeft.front());
  mLeft.remove_prefix(1);
  return byte;
}

void
WireInput::TakeBytes(void* aData, std::size_t aSize)
{
  if (aSize > mLeft.size()) {
    throw cereal::Exception("the message ends too soon");
  }
  std::memcpy(aData, mLeft.data(), aSize);
  mLeft.remove_prefix(aSize);
}

std::uint64_t
WireInput::TakeNumber()
{
  std::uint64_t number = 0;
  for (unsigned shift = 0; shift < kBitsInNumber; shift += kBitsInByte) {
    const std::uint8_t byte = TakeByte();
    number |= static_cast<std::uint64_t>(byte & ~kMoreFollows) << shift;
    if ((byte & kMoreFollows) == 0) {
      return number;
    }
  }
  throw cereal::Exception("a number is too long");
}

std::size_t
WireInput::TakeLength()
{
  const std::uint64_t length = TakeNumber();
  if (length > mLeft.size()) {
    throw cereal::Exception("a length is over the size of the message");
  }
  return static_cast<std::size_t>(length);
}

} // namespace trefoil
