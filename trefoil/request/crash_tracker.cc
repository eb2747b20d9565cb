#include "trefoil/request/crash_tracker.h"

#include "trefoil/base/digest.h"
#include "trefoil/request/internal/crash_blame.h"
#include "trefoil/request/internal/crash_lists.h"
#include "trefoil/request/internal/crash_records.h"

#include <algorithm>
#include <fmt/format.h>

namespace trefoil {
namespace {

// How long crashes and answers count, and how long a refusal that has ended is remembered.
constexpr std::chrono::minutes kRetention{ 10 };

// Clears a suspect that has been answered. Returns the number of crashes that it was blamed for;
// a refusal that ends counts as the crashes that it takes.
int
Clear(CrashTracker& aTracker,
      SuspectKey aSuspect,
      std::map<SuspectKey, SuspectStanding> ServerCrash::*aSuspects,
      Instant aNow)
{
  RememberAnswer(aTracker, aSuspect, aNow);
  int cleared = 0;
  for (ServerCrash& crash : aTracker.mCrashes) {
    const auto suspect = (crash.*aSuspects).find(aSuspect);
    if (suspect != (crash.*aSuspects).end() && IsBlamed(crash, suspect->second)) {
      suspect->second = SuspectStanding::kAnsweredAfter;
      crash.mChangedAt = aNow;
      ++cleared;
    }
  }
  const auto refusal = aTracker.mRefusals.find(aSuspect);
  if (refusal != aTracker.mRefusals.end() && !refusal->second.mAnswered) {
    refusal->second.mAnswered = true;
    refusal->second.mChangedAt = aNow;
    cleared = std::max(cleared, kMinCrashesToRefuse);
  }
  return cleared;
}

} // namespace

bool
IsInForce(const Refusal& aRefusal, Instant aNow)
{
  return !aRefusal.mAnswered && !HasPassed(aRefusal.mUntil, aNow);
}

SuspectKey
RequestKeyOf(const RequestIdentity& aIdentity)
{
  const std::string_view account = aIdentity.mAccount.Value();
  const std::string_view service = aIdentity.mService.Value();
  // The texts of free length are preceded by it, so that no two requests yield the same text.
  return Digest64(fmt::format("request {}:{}{}:{}{}:{}{}:{}{:016x}",
                              account.size(),
                              account,
                              service.size(),
                              service,
                              aIdentity.mMethod.size(),
                              aIdentity.mMethod,
                              aIdentity.mTarget.size(),
                              aIdentity.mTarget,
                              Digest64(aIdentity.mBody)));
}

PromptPartKey
PromptPartKeyOf(const ServiceId& aService, std::string_view aPartId)
{
  return Digest64(fmt::format("{}:{}{}", aService.Value().size(), aService.Value(), aPartId));
}

bool
RecordCrash(CrashTracker& aTracker,
            const BackendServerId& aServer,
            const CrashSuspects& aSuspects,
            std::uint64_t aRandomId,
            Instant aNow)
{
  return RecordEarlierCrash(aTracker, aServer, aSuspects, aRandomId, aNow, aNow);
}

bool
RecordEarlierCrash(CrashTracker& aTracker,
                   const BackendServerId& aServer,
                   const CrashSuspects& aSuspects,
                   std::uint64_t aRandomId,
                   Instant aCrashedAt,
                   Instant aNow)
{
  ServerCrash crash{ .mServer = aServer,
                     .mIds = { aRandomId },
                     .mAt = aCrashedAt,
                     .mRequests = { { aSuspects.mRequest, SuspectStanding::kNeverAnswered } } };
  for (const PromptPartKey part : aSuspects.mParts) {
    crash.mParts.emplace(part, SuspectStanding::kNeverAnswered);
  }
  const CrashChanges changes = AddCrash(aTracker, crash, aNow);
  const bool isNews = JudgeRequests(aTracker, changes, aNow);
  if (isNews && changes.mRepeatsParts) {
    UpdateRefusals(aTracker, aNow);
  } else if (isNews) {
    RenewRefusals(aTracker, aNow);
  }
  return isNews;
}

bool
RecordPromptAnswer(CrashTracker& aTracker, const std::vector<PromptPartKey>& aParts, Instant aNow)
{
  bool isNews = false;
  for (const PromptPartKey part : aParts) {
    isNews = Clear(aTracker, part, &ServerCrash::mParts, aNow) > 0 || isNews;
  }
  if (isNews) {
    // The parts that are left may now be fewer.
    UpdateRefusals(aTracker, aNow);
  }
  return isNews;
}

int
RecordCompletion(CrashTracker& aTracker, SuspectKey aRequest, Instant aNow)
{
  return Clear(aTracker, aRequest, &ServerCrash::mRequests, aNow);
}

bool
RecordServerAnswer(CrashTracker& aTracker, const BackendServerId& aServer, Instant aNow)
{
  aTracker.mServerAnsweredAt[aServer] = aNow;
  return DisproveCrashesOf(aTracker, aServer, aNow, aNow);
}

bool
RecordServerReached(CrashTracker& aTracker,
                    const BackendServerId& aServer,
                    Instant aReachedAt,
                    Instant aNow)
{
  return DisproveCrashesOf(aTracker, aServer, aReachedAt, aNow);
}

std::optional<Instant>
RefusedUntil(const CrashTracker& aTracker, const std::vector<SuspectKey>& aSuspects, Instant aNow)
{
  std::optional<Instant> until;
  if (aTracker.mRefusals.empty()) {
    return until;
  }
  for (const SuspectKey suspect : aSuspects) {
    const auto refusal = aTracker.mRefusals.find(suspect);
    if (refusal != aTracker.mRefusals.end() && IsInForce(refusal->second, aNow)) {
      until = std::max(until.value_or(aNow), refusal->second.mUntil);
    }
  }
  return until;
}

CrashDecision
CrashDecisionFor(const CrashTracker& aTracker, SuspectKey aRequest, Instant aNow)
{
  if (RefusedUntil(aTracker, { aRequest }, aNow).has_value()) {
    return CrashDecision::kRefuse;
  }
  return BlameOfRequest(aTracker, aRequest).Counted() >= kMinCrashesToRunAlone
           ? CrashDecision::kRunAlone
           : CrashDecision::kRun;
}

void
ExpireCrashes(CrashTracker& aTracker, Instant aNow)
{
  std::erase_if(aTracker.mCrashes, [&aTracker, aNow](const ServerCrash& aCrash) {
    const bool isOver = HasPassed(aCrash.mAt + kRetention, aNow);
    if (isOver) {
      ForgetListings(aTracker, aCrash);
    }
    return isOver;
  });
  for (auto* answers : { &aTracker.mAnsweredAt, &aTracker.mAnsweredEarlier }) {
    std::erase_if(*answers,
                  [aNow](const auto& aItem) { return HasPassed(aItem.second + kRetention, aNow); });
  }
  std::erase_if(aTracker.mServerAnsweredAt,
                [aNow](const auto& aItem) { return HasPassed(aItem.second + kRetention, aNow); });
  std::erase_if(aTracker.mRefusals, [aNow](const auto& aItem) {
    return HasPassed(aItem.second.mUntil + kRetention, aNow);
  });
}

} // namespace trefoil
