#include "trefoil/dispatch/brittle_server.h"

#include <algorithm>

namespace trefoil {
namespace {

// A server that has not stated for this long that it is brittle is taken to have recovered.
constexpr Milliseconds kStatementLifetime{ 10'000 };
// Rejections at most this far apart are one event: the requests were sent before any host could
// know of the first.
constexpr Milliseconds kRejectionInterval{ 100 };
// The pause after a rejection. It doubles with each one that follows soon after a pause.
constexpr Milliseconds kFirstPause{ 250 };
constexpr int kMaxDoublings = 3;
// After this time without a rejection one more slot is used, and the next rejection is a first one
// again.
constexpr Milliseconds kGrowthInterval{ 1'000 };

bool
StartIncarnation(BrittleServer& aServer, std::int64_t aIncarnation)
{
  if (aIncarnation > aServer.mIncarnation) {
    aServer = { .mIncarnation = aIncarnation };
  }
  return aIncarnation == aServer.mIncarnation;
}

// Returns how many of `aSlots` slots all hosts together may use.
int
UsedSlots(const BrittleServer& aServer, int aSlots, Instant aNow)
{
  if (!aServer.mUsedSlots.has_value()) {
    return aSlots;
  }
  const auto grown = std::max<std::int64_t>(0, (aNow - aServer.mPausedUntil) / kGrowthInterval);
  return static_cast<int>(std::min<std::int64_t>(aSlots, *aServer.mUsedSlots + grown));
}

// Returns this host's part of the slots in use.
int
OwnSlots(const BrittleServer& aServer, const ServerUse& aUse, Instant aNow)
{
  const auto slots = static_cast<std::size_t>(std::max(0, UsedSlots(aServer, aUse.mSlots, aNow)));
  const std::size_t hosts = std::max<std::size_t>(1, aUse.mHosts);
  return static_cast<int>(slots / hosts + (aUse.mRank < slots % hosts ? 1 : 0));
}

} // namespace

void
ObserveBrittleness(BrittleServer& aServer, const BrittlenessObservation& aObservation, Instant aNow)
{
  if (!StartIncarnation(aServer, aObservation.mIncarnation)) {
    return;
  }
  if (!aObservation.mIsStated) {
    aServer = { .mIncarnation = aObservation.mIncarnation };
    return;
  }
  aServer.mExpiresAt = aNow + kStatementLifetime;
}

bool
IsBrittle(const BrittleServer& aServer, Instant aNow)
{
  return !HasPassed(aServer.mExpiresAt, aNow);
}

bool
RecordRejection(BrittleServer& aServer, const RejectionReport& aRejection, int aSlots, Instant aNow)
{
  const bool isKnown = !StartIncarnation(aServer, aRejection.mIncarnation) ||
                       aRejection.mAt < aServer.mRejectedAt + kRejectionInterval;
  if (isKnown) {
    return false;
  }
  const bool isFirst = aRejection.mAt >= aServer.mPausedUntil + kGrowthInterval;
  aServer.mConsecutiveRejections = isFirst ? 0 : aServer.mConsecutiveRejections + 1;
  aServer.mUsedSlots = std::max(1, UsedSlots(aServer, aSlots, aNow) / 2);
  aServer.mRejectedAt = std::min(aRejection.mAt, aNow);
  aServer.mPausedUntil =
    aServer.mRejectedAt +
    kFirstPause * (1 << std::min(aServer.mConsecutiveRejections, kMaxDoublings));
  aServer.mExpiresAt = std::max(aServer.mExpiresAt, aNow + kStatementLifetime);
  return true;
}

bool
HasRoom(const BrittleServer& aServer, const ServerUse& aUse, Instant aNow)
{
  return HasPassed(aServer.mPausedUntil, aNow) && aUse.mInFlight < OwnSlots(aServer, aUse, aNow);
}

} // namespace trefoil
