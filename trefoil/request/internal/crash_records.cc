#include "trefoil/request/internal/crash_records.h"

#include "trefoil/request/internal/crash_blame.h"
#include "trefoil/request/internal/crash_lists.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace trefoil {
namespace {

// Bounds on memory and on the size of messages.
constexpr std::size_t kMaxCrashes = 256;
constexpr std::size_t kMaxIdsOfCrash = 16;
constexpr std::size_t kMaxAnswered = 20'000;
// The parts of several requests whose heads are as large as the default limit.
constexpr SuspectListBounds kPartBounds{ .mList = CrashList::kParts,
                                         .mMaxOfCrash = 32'768,
                                         .mKeptOfCrash = 16'384,
                                         .mMaxOfAll = 65'536 };
constexpr SuspectListBounds kRequestBounds{ .mList = CrashList::kRequests,
                                            .mMaxOfCrash = 128,
                                            .mKeptOfCrash = 64,
                                            .mMaxOfAll = 16'384 };

// Merges the standing of suspects of a report into those of a crash at `aCrashedAt`, and what this
// host knows of them.
SuspectChanges
MergeSuspects(const CrashTracker& aTracker,
              SuspectListings& aListings,
              SuspectMap& aKnown,
              const SuspectMap& aAdded,
              Instant aCrashedAt)
{
  SuspectChanges changes;
  for (const auto& [suspect, standing] : aAdded) {
    const SuspectStanding merged = std::max(standing, StandingAt(aTracker, suspect, aCrashedAt));
    const auto [known, inserted] = aKnown.try_emplace(suspect, merged);
    if (inserted) {
      ++aListings[suspect];
    }
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
RememberAnswersOf(CrashTracker& aTracker, const SuspectMap& aSuspects, Instant aCrashedAt)
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
      ForgetListings(aTracker, aTracker.mCrashes.front());
      aTracker.mCrashes.erase(aTracker.mCrashes.begin());
      CountLeftOut(aTracker, CrashList::kCrashes, 1);
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
  const std::vector<SuspectKey> changedParts =
    MergeSuspects(aTracker, aTracker.mPartListings, crash->mParts, aAdded.mParts, crash->mAt)
      .mChanged;
  const bool partsChanged = !changedParts.empty();
  CrashChanges changes{
    .mRequests = MergeSuspects(
      aTracker, aTracker.mRequestListings, crash->mRequests, aAdded.mRequests, crash->mAt)
  };
  // Hosts that cut a list would otherwise report again and again what they have from each other.
  const bool hasNewSuspects = (partsChanged && !crash->mPartsCut) ||
                              (!changes.mRequests.mChanged.empty() && !crash->mRequestsCut);
  const bool isNewlyCut = aAdded.mPartsCut && !crash->mPartsCut;
  crash->mPartsCut = crash->mPartsCut || aAdded.mPartsCut;
  changes.mRepeatsParts = std::ranges::any_of(
    changedParts, [&aTracker](PromptPartKey aPart) { return IsListedOften(aTracker, aPart); });
  changes.mDisprovedHere =
    !aAdded.mDisproved && !crash->mDisproved && IsDisprovedHere(aTracker, *crash);
  const bool disproved = (aAdded.mDisproved && !crash->mDisproved) || changes.mDisprovedHere;
  if (disproved) {
    Disprove(aTracker, *crash, aNow);
  }
  changes.mParts = partsChanged || disproved;
  if (isNew || isNewlyCut || hasNewSuspects || disproved) {
    crash->mChangedAt = aNow;
  }
  BoundLists(aTracker, *crash, &ServerCrash::mParts, kPartBounds);
  BoundLists(aTracker, *crash, &ServerCrash::mRequests, kRequestBounds);
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
