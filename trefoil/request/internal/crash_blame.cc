#include "trefoil/request/internal/crash_blame.h"

#include "trefoil/request/internal/crash_lists.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace trefoil {
namespace {

// Answers that a server sent before it crashed arrive within this time.
constexpr Milliseconds kMaxAnswerDelay{ 50 };
// The first refusal of a suspect. Each is kRefusalFactor times as long as the one before, up to
// kMaxRefusal.
constexpr std::chrono::seconds kFirstRefusal{ 60 };
constexpr int kRefusalFactor = 4;

// Returns whether an answer at `aAnsweredAt` shows that the server has not crashed.
bool
IsDisprovedBy(const ServerCrash& aCrash, Instant aAnsweredAt)
{
  return aAnsweredAt - aCrash.mAt > kMaxAnswerDelay && aAnsweredAt - aCrash.mAt < kMinDowntime;
}

void
AddBlame(Blame& aBlame, Instant aAt)
{
  if (aBlame.mCrashes == 0 || aAt - aBlame.mLastCrashAt >= kMinCrashDistance) {
    ++aBlame.mCrashes;
    aBlame.mLastCrashAt = aAt;
  }
}

// Returns how long the refusal of a level lasts; the first level is 1.
Instant::duration
RefusalTime(std::int64_t aLevel)
{
  Instant::duration time = kFirstRefusal;
  for (std::int64_t i = 1; i < aLevel && time < kMaxRefusal; ++i) {
    time *= kRefusalFactor;
  }
  return std::min<Instant::duration>(time, kMaxRefusal);
}

// Refuses a suspect from `aNow` on, for longer than the time before if it has not been answered
// since.
void
Refuse(CrashTracker& aTracker, SuspectKey aSuspect, Instant aNow)
{
  if (!aTracker.mRefusals.contains(aSuspect)) {
    LimitRefusals(aTracker);
  }
  Refusal& refusal = aTracker.mRefusals[aSuspect];
  const std::int64_t level = refusal.mAnswered ? 0 : refusal.mLevel;
  refusal = { .mUntil = aNow + RefusalTime(level + 1),
              .mGeneration = refusal.mGeneration + 1,
              .mLevel = level + 1,
              .mChangedAt = aNow };
}

// Returns whether this host knows enough of a request to end a refusal of it that another host may
// have decided on. Without the crashes, as after a start, the refusal is all that is known.
bool
MayJudge(const CrashTracker& aTracker, SuspectKey aRequest)
{
  const auto crashes = CountCrashes(aTracker, &ServerCrash::mRequests, aRequest);
  return crashes >= kMinCrashesToRefuse ||
         (crashes > 0 && (LastAnswerAt(aTracker, aRequest).has_value() ||
                          BlameOfRequest(aTracker, aRequest).mDistant.mAnsweredBefore));
}

void
EndRefusal(CrashTracker& aTracker, SuspectKey aSuspect, Instant aNow)
{
  Refusal& refusal = aTracker.mRefusals.at(aSuspect);
  refusal.mAnswered = true;
  refusal.mChangedAt = aNow;
}

// The parts that are likeliest to be the cause of the crashes that no refused part explains.
struct LikeliestParts
{
  std::vector<PromptPartKey> mParts;
  // The number of crashes that each of them may have caused, with those whose lists were cut.
  int mCrashes = 0;
  // Whether a part that lists lack may have been in as many crashes.
  bool mMayLackCause = false;
};

// The crashes that a part is blamed for.
struct PartBlame
{
  PromptPartKey mPart = 0;
  Blame mListed;
  // With the crashes whose cut lists may lack it.
  Blame mPossible;
};

PartBlame
BlameOfPart(const std::vector<const ServerCrash*>& aCrashes, PromptPartKey aPart)
{
  PartBlame blame{ .mPart = aPart };
  for (const ServerCrash* crash : aCrashes) {
    const auto listed = crash->mParts.find(aPart);
    if (listed == crash->mParts.end()) {
      if (crash->mPartsCut) {
        AddBlame(blame.mPossible, crash->mAt);
      }
    } else if (IsBlamed(*crash, listed->second)) {
      AddBlame(blame.mListed, crash->mAt);
      AddBlame(blame.mPossible, crash->mAt);
      blame.mListed.mAnsweredBefore =
        blame.mListed.mAnsweredBefore || listed->second == SuspectStanding::kAnsweredBefore;
    }
  }
  return blame;
}

// Returns the parts that are blamed for enough crashes and may have caused the most. If some of
// them have never been answered, these only.
LikeliestParts
FindLikeliestParts(const CrashTracker& aTracker)
{
  std::vector<const ServerCrash*> crashes;
  int cutLists = 0;
  for (const ServerCrash& crash : aTracker.mCrashes) {
    if (!crash.mDisproved && !IsExplained(aTracker, crash)) {
      crashes.push_back(&crash);
      cutLists += crash.mPartsCut ? 1 : 0;
    }
  }
  LikeliestParts likeliest;
  if (crashes.size() < static_cast<std::size_t>(kMinCrashesToRefusePart)) {
    return likeliest;
  }
  std::set<PromptPartKey> repeated;
  for (const ServerCrash* crash : crashes) {
    for (const auto& [part, standing] : crash->mParts) {
      if (IsListedOften(aTracker, part)) {
        repeated.insert(part);
      }
    }
  }
  std::vector<PartBlame> blamed;
  for (const PromptPartKey part : repeated) {
    const PartBlame blame = BlameOfPart(crashes, part);
    if (blame.mListed.mCrashes >= kMinCrashesToRefusePart) {
      blamed.push_back(blame);
      likeliest.mCrashes = std::max(likeliest.mCrashes, blame.mPossible.mCrashes);
    }
  }
  std::erase_if(blamed, [&likeliest](const PartBlame& aBlame) {
    return aBlame.mPossible.mCrashes < likeliest.mCrashes;
  });
  // A part that is listed too seldom to be blamed may be in all cut lists besides.
  likeliest.mMayLackCause = cutLists > 0 && cutLists + kMinCrashesToRefusePart > likeliest.mCrashes;
  const auto isAnswered = [](const PartBlame& aBlame) { return aBlame.mListed.mAnsweredBefore; };
  if (likeliest.mMayLackCause || !std::ranges::all_of(blamed, isAnswered)) {
    std::erase_if(blamed, isAnswered);
  }
  for (const PartBlame& blame : blamed) {
    likeliest.mParts.push_back(blame.mPart);
  }
  return likeliest;
}

// Drops the refusals that are over if there is no room left.
void
DropRefusalsThatAreOver(CrashTracker& aTracker, Instant aNow)
{
  if (aTracker.mRefusals.size() >= kMaxRefusals) {
    const auto dropped = std::erase_if(
      aTracker.mRefusals, [aNow](const auto& aItem) { return !IsInForce(aItem.second, aNow); });
    CountLeftOut(aTracker, CrashList::kRefusals, dropped);
  }
}

} // namespace

void
LimitRefusals(CrashTracker& aTracker)
{
  if (aTracker.mRefusals.size() >= kMaxRefusals) {
    aTracker.mRefusals.erase(std::ranges::min_element(
      aTracker.mRefusals, {}, [](const auto& aItem) { return aItem.second.mUntil; }));
    CountLeftOut(aTracker, CrashList::kRefusals, 1);
  }
}

bool
IsBlamed(const ServerCrash& aCrash, SuspectStanding aStanding)
{
  return !aCrash.mDisproved && aStanding != SuspectStanding::kAnsweredAfter;
}

bool
IsBlamed(const ServerCrash& aCrash,
         const std::map<SuspectKey, SuspectStanding>& aSuspects,
         SuspectKey aSuspect)
{
  const auto suspect = aSuspects.find(aSuspect);
  return suspect != aSuspects.end() && IsBlamed(aCrash, suspect->second);
}

bool
IsExplained(const CrashTracker& aTracker, const ServerCrash& aCrash)
{
  return std::ranges::any_of(aTracker.mRefusals, [&](const auto& aItem) {
    const auto& [suspect, refusal] = aItem;
    if (refusal.mAnswered) {
      return false;
    }
    return IsBlamed(aCrash, aCrash.mParts, suspect) ||
           (aCrash.mPartsCut && !aCrash.mParts.contains(suspect) &&
            aCrash.mAt <= refusal.mUntil - RefusalTime(refusal.mLevel) &&
            aTracker.mPartListings.contains(suspect));
  });
}

std::optional<Instant>
LastAnswerAt(const CrashTracker& aTracker, SuspectKey aSuspect)
{
  for (const auto* answers : { &aTracker.mAnsweredAt, &aTracker.mAnsweredEarlier }) {
    const auto answered = answers->find(aSuspect);
    if (answered != answers->end()) {
      return answered->second;
    }
  }
  return std::nullopt;
}

bool
IsDisprovedHere(const CrashTracker& aTracker, const ServerCrash& aCrash)
{
  const auto answered = aTracker.mServerAnsweredAt.find(aCrash.mServer);
  return answered != aTracker.mServerAnsweredAt.end() && IsDisprovedBy(aCrash, answered->second);
}

SuspectStanding
StandingAt(const CrashTracker& aTracker, SuspectKey aSuspect, Instant aCrashedAt)
{
  const auto answeredAt = LastAnswerAt(aTracker, aSuspect);
  if (!answeredAt.has_value()) {
    return SuspectStanding::kNeverAnswered;
  }
  return *answeredAt > aCrashedAt ? SuspectStanding::kAnsweredAfter
                                  : SuspectStanding::kAnsweredBefore;
}

RequestBlame
BlameOfRequest(const CrashTracker& aTracker, SuspectKey aRequest)
{
  RequestBlame blame;
  for (const ServerCrash& crash : aTracker.mCrashes) {
    const auto request = crash.mRequests.find(aRequest);
    if (request == crash.mRequests.end() || !IsBlamed(crash, request->second) ||
        IsExplained(aTracker, crash)) {
      continue;
    }
    ++blame.mCrashes;
    AddBlame(blame.mDistant, crash.mAt);
    blame.mDistant.mAnsweredBefore =
      blame.mDistant.mAnsweredBefore || request->second == SuspectStanding::kAnsweredBefore;
  }
  return blame;
}

std::ptrdiff_t
CountCrashes(const CrashTracker& aTracker,
             std::map<SuspectKey, SuspectStanding> ServerCrash::*aSuspects,
             SuspectKey aSuspect)
{
  return std::ranges::count_if(aTracker.mCrashes, [&](const ServerCrash& aCrash) {
    return (aCrash.*aSuspects).contains(aSuspect);
  });
}

bool
HasFirstRefusal(const CrashTracker& aTracker, SuspectKey aSuspect)
{
  const auto refusal = aTracker.mRefusals.find(aSuspect);
  return refusal != aTracker.mRefusals.end() && !refusal->second.mAnswered &&
         refusal->second.mLevel <= 1;
}

void
Exonerate(CrashTracker& aTracker, SuspectKey aRequest, Instant aNow)
{
  if (!HasFirstRefusal(aTracker, aRequest) || !MayJudge(aTracker, aRequest)) {
    return;
  }
  const RequestBlame blame = BlameOfRequest(aTracker, aRequest);
  if (blame.Counted() < blame.Bound()) {
    EndRefusal(aTracker, aRequest, aNow);
  }
}

void
ExoneratePart(CrashTracker& aTracker, PromptPartKey aPart, Instant aNow)
{
  if (!HasFirstRefusal(aTracker, aPart) ||
      CountCrashes(aTracker, &ServerCrash::mParts, aPart) < kMinCrashesToRefusePart) {
    return;
  }
  Blame blame;
  for (const ServerCrash& crash : aTracker.mCrashes) {
    if (IsBlamed(crash, crash.mParts, aPart)) {
      AddBlame(blame, crash.mAt);
    }
  }
  if (blame.mCrashes < kMinCrashesToRefusePart) {
    EndRefusal(aTracker, aPart, aNow);
  }
}

void
Disprove(CrashTracker& aTracker, ServerCrash& aCrash, Instant aNow)
{
  aCrash.mDisproved = true;
  aCrash.mChangedAt = aNow;
  for (const auto& [request, standing] : aCrash.mRequests) {
    Exonerate(aTracker, request, aNow);
  }
  for (const auto& [part, standing] : aCrash.mParts) {
    ExoneratePart(aTracker, part, aNow);
  }
}

bool
DisproveCrashesOf(CrashTracker& aTracker,
                  const BackendServerId& aServer,
                  Instant aAliveAt,
                  Instant aNow)
{
  bool isNews = false;
  for (ServerCrash& crash : aTracker.mCrashes) {
    if (crash.mServer != aServer || crash.mDisproved || !IsDisprovedBy(crash, aAliveAt)) {
      continue;
    }
    isNews = isNews || !crash.mParts.empty() ||
             std::ranges::any_of(crash.mRequests, [&aTracker](const auto& aItem) {
               return BlameOfRequest(aTracker, aItem.first).mCrashes >= kMinCrashesToRunAlone;
             });
    Disprove(aTracker, crash, aNow);
  }
  return isNews;
}

bool
JudgeRequest(CrashTracker& aTracker, SuspectKey aRequest, Instant aNow)
{
  const RequestBlame blame = BlameOfRequest(aTracker, aRequest);
  const auto refusal = aTracker.mRefusals.find(aRequest);
  const bool wasRefused = refusal != aTracker.mRefusals.end() && !refusal->second.mAnswered;
  if (blame.Counted() >= blame.Bound() && !wasRefused) {
    Refuse(aTracker, aRequest, aNow);
  } else {
    Exonerate(aTracker, aRequest, aNow);
  }
  return blame.mCrashes >= kMinCrashesToRunAlone;
}

bool
IsListedOften(const CrashTracker& aTracker, PromptPartKey aPart)
{
  const auto listings = aTracker.mPartListings.find(aPart);
  return listings != aTracker.mPartListings.end() &&
         listings->second >= static_cast<std::uint32_t>(kMinCrashesToRefusePart);
}

void
RenewRefusals(CrashTracker& aTracker, Instant aNow)
{
  for (const auto& [suspect, refusal] : aTracker.mRefusals) {
    for (const ServerCrash& crash : aTracker.mCrashes) {
      if (!refusal.mAnswered && crash.mAt >= refusal.mUntil &&
          (IsBlamed(crash, crash.mParts, suspect) || IsBlamed(crash, crash.mRequests, suspect))) {
        Refuse(aTracker, suspect, aNow);
      }
    }
  }
}

void
UpdateRefusals(CrashTracker& aTracker, Instant aNow)
{
  RenewRefusals(aTracker, aNow);
  DropRefusalsThatAreOver(aTracker, aNow);
  while (aTracker.mRefusals.size() < kMaxRefusals) {
    const LikeliestParts likeliest = FindLikeliestParts(aTracker);
    const bool isCertain = likeliest.mParts.size() == 1 && !likeliest.mMayLackCause;
    if (likeliest.mParts.empty() || (!isCertain && likeliest.mCrashes < kCrashesToRefuseAllParts)) {
      return;
    }
    for (const PromptPartKey part : likeliest.mParts) {
      // Refusals that are in force stay: those of other causes count as much.
      if (aTracker.mRefusals.size() >= kMaxRefusals && !aTracker.mRefusals.contains(part)) {
        CountLeftOut(aTracker, CrashList::kRefusals, 1);
      } else {
        Refuse(aTracker, part, aNow);
      }
    }
  }
}

} // namespace trefoil
