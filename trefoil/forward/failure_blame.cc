#include "trefoil/forward/failure_blame.h"

#include "trefoil/forward/lost_link.h"
#include "trefoil/forward/traffic_state.h"

namespace trefoil {
namespace {

constexpr Milliseconds kMaxHold{ 1'000 };
// Bounds memory.
constexpr std::size_t kMaxHeldFailures = 10'000;

void
CountFailure(TrafficState& aState, const HeldFailure& aFailure)
{
  ++aState.mOutcomes[aFailure.mService][aFailure.mVersion].mFailed;
}

} // namespace

void
BlameForCrash(TrafficState& aState,
              const RegisteredServer& aServer,
              const CrashSuspects& aSuspects,
              bool aIsDirect)
{
  const bool isNews = RecordOrHold(aState.mHeldBlame.mCrashes,
                                   aState.mCrashes,
                                   aState.mLinks,
                                   { .mServer = aServer.mId,
                                     .mSuspects = aSuspects,
                                     .mRandomId = aState.mRandom(),
                                     .mAt = SuspendAwareNow() });
  if (isNews) {
    ReportCrashEvidence(aState, true);
  }
  // A single crash refuses nothing, and an outage causes very many of them.
  if (!isNews || !aIsDirect) {
    return;
  }
  CheckLink(aState, aServer, [&aState, server = aServer.mId](Instant aReachedAt) {
    if (DisproveCrashes(
          aState.mHeldBlame.mCrashes, aState.mCrashes, server, aReachedAt, SuspendAwareNow())) {
      ReportCrashEvidence(aState, true);
    }
  });
}

void
BlameVersion(TrafficState& aState, const ServiceId& aService, const VersionId& aVersion)
{
  if (aState.mHeldBlame.mFailures.size() < kMaxHeldFailures) {
    aState.mHeldBlame.mFailures.push_back(
      { .mService = aService, .mVersion = aVersion, .mAt = SuspendAwareNow() });
  }
}

void
OnServerAnswered(TrafficState& aState, const BackendServerId& aServer)
{
  SettleBlame(aState);
  const LinkFinding finding = RecordAnswer(aState.mLinks, aServer);
  if (SettleCrashes(aState.mHeldBlame.mCrashes, aState.mCrashes, finding, SuspendAwareNow())) {
    ReportCrashEvidence(aState, true);
  }
  if (finding == LinkFinding::kSound) {
    for (const HeldFailure& failure : aState.mHeldBlame.mFailures) {
      CountFailure(aState, failure);
    }
  }
  aState.mHeldBlame.mFailures.clear();
}

void
SettleBlame(TrafficState& aState)
{
  const Instant now = SuspendAwareNow();
  std::erase_if(aState.mHeldBlame.mFailures, [&](const HeldFailure& aFailure) {
    if (MayBlameVersion(aState.mLinks, aFailure.mService, aFailure.mVersion, now)) {
      CountFailure(aState, aFailure);
      return true;
    }
    return HasPassed(aFailure.mAt + kMaxHold, now);
  });
}

} // namespace trefoil
