// Cereal archives for the binary encoding of messages. Integers and lengths are varints (base 128).
//
//   WireOutput out;
//   out(value);
//   WireInput in{ out.Bytes() };
//   in(value);
//
// A varint has 7 bits per byte, the least significant first; signed integers are zigzag encoded.
// WireInput throws cereal::Exception if the input is truncated, or if a varint or a length is too
// large; it does not check whether a number fits into a narrower integer type. Its allocations are
// bounded by the size of the input, whatever lengths the input claims. Not thread-safe.
#pragma once

#include <bit>
#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <concepts>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace trefoil {

class WireOutput : public cereal::OutputArchive<WireOutput, cereal::AllowEmptyClassElision>
{
public:
  WireOutput()
    : cereal::OutputArchive<WireOutput, cereal::AllowEmptyClassElision>(this)
  {
  }

  void WriteByte(std::uint8_t aByte) { mBytes.push_back(static_cast<char>(aByte)); }
  void WriteBytes(const void* aData, std::size_t aSize)
  {
    mBytes.append(static_cast<const char*>(aData), aSize);
  }
  void WriteVarint(std::uint64_t aNumber);
  const std::string& Bytes() const { return mBytes; }

private:
  std::string mBytes;
};

class WireInput : public cereal::InputArchive<WireInput, cereal::AllowEmptyClassElision>
{
public:
  // `aBytes` must outlive the archive.
  explicit WireInput(std::string_view aBytes)
    : cereal::InputArchive<WireInput, cereal::AllowEmptyClassElision>(this)
    , mRemaining(aBytes)
  {
  }

  std::uint8_t ReadByte();
  void ReadBytes(void* aData, std::size_t aSize);
  std::uint64_t ReadVarint();
  // Returns a length. Throws if it exceeds the number of remaining bytes.
  std::size_t ReadLength();
  bool AtEnd() const { return mRemaining.empty(); }

private:
  std::string_view mRemaining;
};

template<typename T>
concept WireByte = std::same_as<T, bool> ||(std::integral<T> && sizeof(T) == 1);

template<typename T>
concept WireNumber = std::integral<T> && !WireByte<T>;

template<WireByte T>
void
CEREAL_SAVE_FUNCTION_NAME(WireOutput& aArchive, const T& aValue)
{
  aArchive.WriteByte(static_cast<std::uint8_t>(aValue));
}

template<WireByte T>
void
CEREAL_LOAD_FUNCTION_NAME(WireInput& aArchive, T& aValue)
{
  aValue = static_cast<T>(aArchive.ReadByte());
}

template<WireNumber T>
void
CEREAL_SAVE_FUNCTION_NAME(WireOutput& aArchive, const T& aValue)
{
  if constexpr (std::signed_integral<T>) {
    const auto wide = static_cast<std::int64_t>(aValue);
    aArchive.WriteVarint((static_cast<std::uint64_t>(wide) << 1) ^
                         static_cast<std::uint64_t>(wide >> 63));
  } else {
    aArchive.WriteVarint(aValue);
  }
}

template<WireNumber T>
void
CEREAL_LOAD_FUNCTION_NAME(WireInput& aArchive, T& aValue)
{
  const std::uint64_t number = aArchive.ReadVarint();
  if constexpr (std::signed_integral<T>) {
    const std::uint64_t sign = (number & 1) != 0 ? ~std::uint64_t{ 0 } : 0;
    aValue = static_cast<T>((number >> 1) ^ sign);
  } else {
    aValue = static_cast<T>(number);
  }
}

template<std::floating_point T>
void
CEREAL_SAVE_FUNCTION_NAME(WireOutput& aArchive, const T& aValue)
{
  const auto bits = std::bit_cast<std::uint64_t>(static_cast<double>(aValue));
  aArchive.WriteBytes(&bits, sizeof(bits));
}

template<std::floating_point T>
void
CEREAL_LOAD_FUNCTION_NAME(WireInput& aArchive, T& aValue)
{
  std::uint64_t bits = 0;
  aArchive.ReadBytes(&bits, sizeof(bits));
  aValue = static_cast<T>(std::bit_cast<double>(bits));
}

template<typename T>
void
CEREAL_SAVE_FUNCTION_NAME(WireOutput& aArchive, const cereal::SizeTag<T>& aTag)
{
  aArchive.WriteVarint(aTag.size);
}

template<typename T>
void
CEREAL_LOAD_FUNCTION_NAME(WireInput& aArchive, cereal::SizeTag<T>& aTag)
{
  aTag.size = aArchive.ReadLength();
}

template<typename T>
void
CEREAL_SAVE_FUNCTION_NAME(WireOutput& aArchive, const cereal::BinaryData<T>& aData)
{
  aArchive.WriteBytes(aData.data, static_cast<std::size_t>(aData.size));
}

template<typename T>
void
CEREAL_LOAD_FUNCTION_NAME(WireInput& aArchive, cereal::BinaryData<T>& aData)
{
  aArchive.ReadBytes(aData.data, static_cast<std::size_t>(aData.size));
}

template<typename Archive, typename T>
requires std::same_as<Archive, WireOutput> || std::same_as<Archive, WireInput>
void
CEREAL_SERIALIZE_FUNCTION_NAME(Archive& aArchive, cereal::NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

template<typename T>
void
CEREAL_SAVE_FUNCTION_NAME(WireOutput& aArchive, const std::vector<T>& aList)
{
  aArchive.WriteVarint(aList.size());
  for (const T& item : aList) {
    aArchive(item);
  }
}

// Grows the list as its items are read, so that a forged length cannot cause a large allocation.
template<typename T>
void
CEREAL_LOAD_FUNCTION_NAME(WireInput& aArchive, std::vector<T>& aList)
{
  const std::size_t length = aArchive.ReadLength();
  aList.clear();
  for (std::size_t i = 0; i < length; ++i) {
    T item{};
    aArchive(item);
    aList.push_back(std::move(item));
  }
}

} // namespace trefoil

CEREAL_SETUP_ARCHIVE_TRAITS(trefoil::WireInput, trefoil::WireOutput)
