#include "trefoil/wire/crash_evidence_conversion.h"

#include "trefoil/wire/age.h"

#include <algorithm>

namespace trefoil {
namespace {

std::int64_t
MillisecondsBetween(Instant aFrom, Instant aTo)
{
  return std::chrono::duration_cast<Milliseconds>(aTo - aFrom).count();
}

} // namespace

CrashEvidenceMessage
ToCrashEvidenceMessage(const HostId& aHost, const CrashEvidence& aEvidence, Instant aNow)
{
  CrashEvidenceMessage message{ .mHost = aHost };
  for (const ServerCrash& crash : aEvidence.mCrashes) {
    ServerCrashEntry entry{ .mServer = crash.mServer,
                            .mIds = { crash.mIds.begin(), crash.mIds.end() },
                            .mAgeMilliseconds = MillisecondsBetween(crash.mAt, aNow),
                            .mDisproved = crash.mDisproved };
    for (const auto& [part, standing] : crash.mParts) {
      entry.mParts.push_back({ .mPart = part, .mStanding = static_cast<std::uint8_t>(standing) });
    }
    for (const auto& [request, standing] : crash.mRequests) {
      entry.mParts.push_back({ .mPart = request,
                               .mStanding = static_cast<std::uint8_t>(
                                 static_cast<std::uint8_t>(standing) + kRequestStandingOffset) });
    }
    if (crash.mPartsCut) {
      entry.mParts.push_back({ .mStanding = kPartsCutStanding });
    }
    message.mCrashes.push_back(std::move(entry));
  }
  for (const auto& [part, refusal] : aEvidence.mRefusals) {
    message.mRefusals.push_back(
      { .mPart = part,
        .mRemainingMilliseconds = MillisecondsBetween(aNow, refusal.mUntil),
        .mGeneration = refusal.mGeneration,
        .mLevel = refusal.mLevel,
        .mAnswered = refusal.mAnswered });
  }
  return message;
}

CrashEvidence
ToCrashEvidence(const CrashEvidenceMessage& aMessage, Instant aNow)
{
  CrashEvidence evidence;
  for (const ServerCrashEntry& entry : aMessage.mCrashes) {
    ServerCrash crash{ .mServer = entry.mServer,
                       .mIds = { entry.mIds.begin(), entry.mIds.end() },
                       .mAt = aNow - BoundedAge(entry.mAgeMilliseconds),
                       .mDisproved = entry.mDisproved };
    for (const SuspectMessage& suspect : entry.mParts) {
      if (suspect.mStanding == kPartsCutStanding) {
        crash.mPartsCut = true;
        continue;
      }
      const bool isRequest = suspect.mStanding >= kRequestStandingOffset &&
                             suspect.mStanding < 2 * kRequestStandingOffset;
      const int standing = suspect.mStanding - (isRequest ? kRequestStandingOffset : 0);
      auto& suspects = isRequest ? crash.mRequests : crash.mParts;
      suspects[suspect.mPart] =
        std::min(static_cast<SuspectStanding>(standing), SuspectStanding::kAnsweredAfter);
    }
    evidence.mCrashes.push_back(std::move(crash));
  }
  for (const RefusalEntry& entry : aMessage.mRefusals) {
    evidence.mRefusals[entry.mPart] = { .mUntil = aNow + BoundedTime(entry.mRemainingMilliseconds),
                                        .mGeneration = entry.mGeneration,
                                        .mLevel = entry.mLevel,
                                        .mAnswered = entry.mAnswered };
  }
  return evidence;
}

} // namespace trefoil
