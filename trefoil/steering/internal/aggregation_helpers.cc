#include "trefoil/steering/internal/aggregation_helpers.h"

#include <algorithm>

namespace trefoil {

std::vector<const TotalsMessage*>
RecentMessages(const ZoneSums& aSums, Instant aNow)
{
  std::vector<const TotalsMessage*> recent;
  for (const auto& [host, received] : aSums.mMessages) {
    if (aNow - received.first <= kTotalsMaxAge) {
      recent.push_back(&received.second);
    }
  }
  return recent;
}

std::uint32_t
LargestOf(const ZoneSums& aSums, std::uint32_t TotalsMessage::*aField, Instant aNow)
{
  std::uint32_t largest = 0;
  for (const TotalsMessage* message : RecentMessages(aSums, aNow)) {
    largest = std::max(largest, message->*aField);
  }
  return largest;
}

HostId
HolderIn(const ZoneSums& aSums, Instant aNow)
{
  for (const auto& [host, received] : aSums.mMessages) {
    if (!received.second.mHolder.Empty() && aNow - received.first <= kHolderMaxAge) {
      return received.second.mHolder;
    }
  }
  return {};
}

} // namespace trefoil
