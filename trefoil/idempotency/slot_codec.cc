#include "trefoil/idempotency/slot_codec.h"

#include "absl/strings/escaping.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <sstream>

namespace trefoil {
namespace {

constexpr char kFormatVersion = '1';

} // namespace

std::string
EncodeSlot(const SlotValue& aValue)
{
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive{ out };
  archive(aValue);
  return kFormatVersion + absl::Base64Escape(out.str());
}

absl::StatusOr<SlotValue>
DecodeSlot(std::string_view aText)
{
  if (aText.empty()) {
    return SlotValue{};
  }
  std::string bytes;
  const std::string_view encoded = aText.substr(1);
  if (aText.front() != kFormatVersion ||
      !absl::Base64Unescape({ encoded.data(), encoded.size() }, &bytes)) {
    return absl::DataLossError("the value is not an encoded claim slot");
  }
  try {
    std::istringstream in{ bytes };
    cereal::PortableBinaryInputArchive archive{ in };
    SlotValue value;
    archive(value);
    return value;
  } catch (const std::exception& error) {
    return absl::DataLossError(error.what());
  }
}

} // namespace trefoil
