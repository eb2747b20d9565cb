// Tables of the names of an enum class, for logs, documents and HTTP headers.
//
//   enum class Colour { kRed, kBlue };
//   inline constexpr NameTable<Colour, 2> kColourNames{ { { Colour::kRed, "red" },
//                                                         { Colour::kBlue, "blue" } } };
//   NameOf(kColourNames, Colour::kRed);      // "red"
//   ValueOf(kColourNames, "blue");           // Colour::kBlue
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace trefoil {

// A value of an enum class and its name.
template<typename Enum>
struct NameEntry
{
  Enum mValue;
  std::string_view mName;
};

template<typename Enum, std::size_t Size>
using NameTable = std::array<NameEntry<Enum>, Size>;

// Returns the name of `aValue`, or "unknown" if the table does not contain it.
template<typename Enum, std::size_t Size>
constexpr std::string_view
NameOf(const NameTable<Enum, Size>& aTable, Enum aValue)
{
  for (const auto& entry : aTable) {
    if (entry.mValue == aValue) {
      return entry.mName;
    }
  }
  return "unknown";
}

// Returns the value with the name `aName`, or std::nullopt if the table does not contain it.
template<typename Enum, std::size_t Size>
constexpr std::optional<Enum>
ValueOf(const NameTable<Enum, Size>& aTable, std::string_view aName)
{
  for (const auto& entry : aTable) {
    if (entry.mName == aName) {
      return entry.mValue;
    }
  }
  return std::nullopt;
}

} // namespace trefoil
