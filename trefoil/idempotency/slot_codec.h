// Turns the value of a slot into text for the store and back.
//
//   std::string text = EncodeSlot(value);
//   absl::StatusOr<SlotValue> value = DecodeSlot(text);
//
// cereal's portable binary form, in base 64 because the store holds text. Thread-safe.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/idempotency/claim.h"

#include <string>
#include <string_view>

namespace trefoil {

std::string
EncodeSlot(const SlotValue& aValue);

// Returns an empty value for an empty text, DataLoss for a text that is no slot value.
absl::StatusOr<SlotValue>
DecodeSlot(std::string_view aText);

} // namespace trefoil
