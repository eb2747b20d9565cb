#include "trefoil/request/internal/crash_blame.h"

#include <algorithm>
#include <utility>

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
  Instant::duration duration = kFirstRefusal;
  for (std::int64_t i = 0; i < level && duration < kMaxRefusal; ++i) {
    duration *= kRefusalFactor;
  }
  refusal = { .mUntil = aNow + std::min<Instant::duration>(duration, kMaxRefusal),
              .mGeneration = refusal.mGeneration + 1,
              .mLevel = level + 1,
              .mChangedAt = aNow };
}

// Refuses the suspects again that crashed a server after their refusal had ended.
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

// Returns the parts that are blamed for the most crashes that no refused part explains. If some of
// them have never been answered, these only.
std::map<PromptPartKey, Blame>
MostBlamedParts(const CrashTracker& aTracker)
{
  std::map<PromptPartKey, Blame> blamed;
  int most = 0;
  for (const ServerCrash& crash : aTracker.mCrashes) {
    if (IsExplained(aTracker, crash)) {
      continue;
    }
    for (const auto& [part, standing] : crash.mParts) {
      if (IsBlamed(crash, standing)) {
        Blame& blame = blamed[part];
        AddBlame(blame, crash.mAt);
        blame.mAnsweredBefore =
          blame.mAnsweredBefore || standing == SuspectStanding::kAnsweredBefore;
        most = std::max(most, blame.mCrashes);
      }
    }
  }
  std::erase_if(blamed, [most](const auto& aItem) { return aItem.second.mCrashes < most; });
  const auto isAnswered = [](const auto& aItem) { return aItem.second.mAnsweredBefore; };
  if (!std::ranges::all_of(blamed, isAnswered)) {
    std::erase_if(blamed, isAnswered);
  }
  return blamed;
}

} // namespace

void
LimitRefusals(CrashTracker& aTracker)
{
  if (aTracker.mRefusals.size() >= kMaxRefusals) {
    aTracker.mRefusals.erase(std::ranges::min_element(
      aTracker.mRefusals, {}, [](const auto& aItem) { return aItem.second.mUntil; }));
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
    return !aItem.second.mAnswered && IsBlamed(aCrash, aCrash.mParts, aItem.first);
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

void
UpdateRefusals(CrashTracker& aTracker, Instant aNow)
{
  RenewRefusals(aTracker, aNow);
  while (aTracker.mRefusals.size() < kMaxRefusals) {
    const auto blamed = MostBlamedParts(aTracker);
    const int crashes = blamed.empty() ? 0 : blamed.begin()->second.mCrashes;
    if (crashes < kMinCrashesToRefusePart ||
        (blamed.size() > 1 && crashes < kCrashesToRefuseAllParts)) {
      return;
    }
    for (const auto& [part, blame] : blamed) {
      Refuse(aTracker, part, aNow);
    }
  }
}

} // namespace trefoil
