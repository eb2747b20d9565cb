#include "trefoil/idempotency/claim.h"

#include "trefoil/base/digest.h"

#include <algorithm>
#include <fmt/format.h>

namespace trefoil {

SlotId
SlotOf(const ClaimOptions& aOptions, std::string_view aKey, WallTime aKeyDate)
{
  return { .mSlot = static_cast<std::uint32_t>(Digest64(aKey) % aOptions.mSlots),
           .mBucket = UnixMilliseconds(aKeyDate) / aOptions.mBucketMilliseconds };
}

std::string
StoreKeyOf(const ClaimOptions& aOptions, const SlotId& aSlot)
{
  return fmt::format("claims/{}/{}", aSlot.mSlot, aSlot.mBucket % aOptions.mRingBuckets);
}

const ClaimRecord*
FindRecord(const SlotValue& aValue, std::string_view aKey)
{
  const auto found = std::ranges::find(aValue.mRecords, aKey, &ClaimRecord::mKey);
  return found == aValue.mRecords.end() ? nullptr : &*found;
}

} // namespace trefoil
