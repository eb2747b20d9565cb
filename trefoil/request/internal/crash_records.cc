#include "trefoil/request/internal/crash_records.h"

#include "trefoil/request/internal/crash_blame.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace trefoil {
namespace {

// Bounds on memory and on the size of messages.
constexpr std::size_t kMaxCrashes = 256;
constexpr std::size_t kMaxPartsOfCrash = 64;
constexpr std::size_t kMaxIdsOfCrash = 16;
constexpr std::size_t kMaxRequestsOfCrash = 64;
constexpr std::size_t kMaxAnswered = 20'000;

// Merges the standing of suspects of a report into those of a crash at `aCrashedAt`, and what this
// host knows of them.
SuspectChanges
MergeSuspects(const CrashTracker& aTracker,
              std::map<SuspectKey, SuspectStanding>& aKnown,
              const std::map<SuspectKey, SuspectStanding>& aAdded,
              std::size_t aMaxSuspects,
              Instant aCrashedAt)
{
  SuspectChanges changes;
  for (const auto& [suspect, standing] : aAdded) {
    if (!aKnown.contains(suspect) && aKnown.size() >= aMaxSuspects) {
      continue;
    }
    const SuspectStanding merged = std::max(standing, StandingAt(aTracker, suspect, aCrashedAt));
    const auto [known, inserted] = aKnown.try_emplace(suspect, merged);
    if (inserted || known->second < merged) {
      changes.mChanged.push_back(suspect);
      if (merged > standing) {
        changes.mKnownBetter.push_back(suspect);
      }
    }
    known->second = std::max(known->second, merged);
  }
  return changes;
}

// Returns whether two records are of the same crash.
bool
IsSameCrash(const ServerCrash& aLeft, const ServerCrash& aRight)
{
  const bool sharesId = std::ranges::any_of(
    aRight.mIds, [&aLeft](std::uint64_t aId) { return aLeft.mIds.contains(aId); });
  const Instant::duration distance =
    std::max(aLeft.mAt, aRight.mAt) - std::min(aLeft.mAt, aRight.mAt);
  return sharesId || (aLeft.mServer == aRight.mServer && distance < kMinDowntime);
}

// Remembers the answers after the crash that a report tells of, as answers on this host would be.
void
RememberAnswersOf(CrashTracker& aTracker,
                  const std::map<SuspectKey, SuspectStanding>& aSuspects,
                  Instant aCrashedAt)
{
  for (const auto& [suspect, standing] : aSuspects) {
    const auto known = LastAnswerAt(aTracker, suspect);
    if (standing == SuspectStanding::kAnsweredAfter && known.value_or(Instant{}) <= aCrashedAt) {
      RememberAnswer(aTracker, suspect, aCrashedAt + Instant::duration{ 1 });
    }
  }
}

} // namespace

void
RememberAnswer(CrashTracker& aTracker, SuspectKey aSuspect, Instant aNow)
{
  if (aTracker.mAnsweredAt.size() >= kMaxAnswered) {
    aTracker.mAnsweredEarlier = std::exchange(aTracker.mAnsweredAt, {});
  }
  aTracker.mAnsweredAt[aSuspect] = aNow;
}

CrashChanges
AddCrash(CrashTracker& aTracker, const ServerCrash& aAdded, Instant aNow)
{
  auto crash = std::ranges::find_if(aTracker.mCrashes, [&aAdded](const ServerCrash& aCrash) {
    return IsSameCrash(aCrash, aAdded);
  });
  const bool isNew = crash == aTracker.mCrashes.end();
  if (isNew) {
    if (aTracker.mCrashes.size() >= kMaxCrashes) {
      aTracker.mCrashes.erase(aTracker.mCrashes.begin());
    }
    const auto position =
      std::ranges::upper_bound(aTracker.mCrashes, aAdded.mAt, {}, &ServerCrash::mAt);
    crash = aTracker.mCrashes.insert(position, { .mServer = aAdded.mServer, .mAt = aAdded.mAt });
  }
  crash->mIds.insert(aAdded.mIds.begin(), aAdded.mIds.end());
  while (crash->mIds.size() > kMaxIdsOfCrash) {
    crash->mIds.erase(std::prev(crash->mIds.end()));
  }
  RememberAnswersOf(aTracker, aAdded.mParts, crash->mAt);
  RememberAnswersOf(aTracker, aAdded.mRequests, crash->mAt);
  const bool partsChanged =
    !MergeSuspects(aTracker, crash->mParts, aAdded.mParts, kMaxPartsOfCrash, crash->mAt)
       .mChanged.empty();
  CrashChanges changes{
    .mRequests =
      MergeSuspects(aTracker, crash->mRequests, aAdded.mRequests, kMaxRequestsOfCrash, crash->mAt)
  };
  changes.mDisprovedHere =
    !aAdded.mDisproved && !crash->mDisproved && IsDisprovedHere(aTracker, *crash);
  const bool disproved = (aAdded.mDisproved && !crash->mDisproved) || changes.mDisprovedHere;
  if (disproved) {
    Disprove(aTracker, *crash, aNow);
  }
  changes.mParts = partsChanged || disproved;
  if (isNew || changes.mParts || !changes.mRequests.mChanged.empty()) {
    crash->mChangedAt = aNow;
  }
  return changes;
}

bool
JudgeRequests(CrashTracker& aTracker, const CrashChanges& aChanges, Instant aNow)
{
  bool isNews = aChanges.mParts;
  for (const SuspectKey request : aChanges.mRequests.mChanged) {
    isNews = JudgeRequest(aTracker, request, aNow) || isNews;
  }
  return isNews;
}

} // namespace trefoil
