#include "trefoil/relay/relay_limits.h"

namespace trefoil {
namespace {

constexpr std::size_t kSocketsPerRelay = 2;
// Carried connections use at most this fraction of the connections of a host, and none of its last
// quarter, so that clients find room.
constexpr std::size_t kCarriedDivisor = 2;
constexpr std::size_t kReservedDivisor = 4;

} // namespace

std::optional<RelayStatus>
ReasonToDecline(const RelayLoad& aLoad, const RelayLimits& aLimits)
{
  if (aLoad.mStopping) {
    return RelayStatus::kStopping;
  }
  const std::size_t carriedSockets = (aLoad.mCarried + 1) * kSocketsPerRelay;
  const std::size_t reserved = aLimits.mMaxConnections / kReservedDivisor;
  if (carriedSockets > aLimits.mMaxConnections / kCarriedDivisor ||
      aLoad.mOpenConnections + kSocketsPerRelay + reserved > aLimits.mMaxConnections ||
      aLoad.mBufferedBytes >= aLimits.mMaxBufferedBytes) {
    return RelayStatus::kFull;
  }
  return std::nullopt;
}

} // namespace trefoil
