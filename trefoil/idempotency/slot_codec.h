// Encodes the value of a slot as text for the store and decodes it.
//
//   std::string text = EncodeSlot(value);
//   absl::StatusOr<SlotValue> value = DecodeSlot(text);
//
// The text is a version digit and cereal's portable binary format, in Base64 because the store only
// holds text. Thread-safe.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/idempotency/claim.h"

#include <string>
#include <string_view>

namespace trefoil {

// Returns the text for the store.
std::string
EncodeSlot(const SlotValue& aValue);

// Returns the value, which is empty for an empty text. Returns DataLoss for any other text that is
// not an encoded slot value.
absl::StatusOr<SlotValue>
DecodeSlot(std::string_view aText);

} // namespace trefoil
