#include "trefoil/request/prompt_crash_tracker.h"

#include "trefoil/base/digest.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace trefoil {
namespace {

// How long crashes and answers count, and how long a refusal that has ended is remembered.
constexpr std::chrono::minutes kRetention{ 10 };
// How long evidence is repeated, since a datagram can be lost.
constexpr Milliseconds kReportTime{ 3'000 };
// Connections to a server that break within this time broke in the same crash, and a server that
// has crashed does not answer within it.
constexpr Milliseconds kMinDowntime{ 1'000 };
// Answers that a server sent before it crashed arrive within this time.
constexpr Milliseconds kMaxAnswerDelay{ 50 };
// The first refusal of a part. Each is kRefusalFactor times as long as the one before, up to
// kMaxPartRefusal.
constexpr std::chrono::seconds kFirstRefusal{ 60 };
constexpr int kRefusalFactor = 4;
// Bounds on memory and on the size of messages.
constexpr std::size_t kMaxCrashes = 256;
constexpr std::size_t kMaxPartsOfCrash = 64;
constexpr std::size_t kMaxIdsOfCrash = 16;
constexpr std::size_t kMaxAnswered = 20'000;
constexpr std::size_t kMaxRefusals = 256;
constexpr std::size_t kMaxReportedCrashes = 32;

bool
IsBlamed(const PromptCrash& aCrash, PartStanding aStanding)
{
  return !aCrash.mDisproved && aStanding != PartStanding::kAnsweredAfter;
}

bool
IsBlamed(const PromptCrash& aCrash, PromptPartKey aPart)
{
  const auto part = aCrash.mParts.find(aPart);
  return part != aCrash.mParts.end() && IsBlamed(aCrash, part->second);
}

// Returns whether a part that is or was refused explains the crash.
bool
IsExplained(const PromptCrashTracker& aTracker, const PromptCrash& aCrash)
{
  return std::ranges::any_of(aTracker.mRefusals, [&](const auto& aItem) {
    return !aItem.second.mAnswered && IsBlamed(aCrash, aItem.first);
  });
}

// Returns the standing of a part by the answers on this host.
PartStanding
StandingAt(const PromptCrashTracker& aTracker, PromptPartKey aPart, Instant aCrashedAt)
{
  const auto answered = aTracker.mAnsweredAt.find(aPart);
  if (answered == aTracker.mAnsweredAt.end()) {
    return PartStanding::kNeverAnswered;
  }
  return answered->second > aCrashedAt ? PartStanding::kAnsweredAfter
                                       : PartStanding::kAnsweredBefore;
}

// The crashes that a part is blamed for.
struct Blame
{
  int mCrashes = 0;
  Instant mLastCrashAt;
  bool mAnsweredBefore = false;
};

void
AddBlame(Blame& aBlame, Instant aAt)
{
  if (aBlame.mCrashes == 0 || aAt - aBlame.mLastCrashAt >= kMinPromptCrashDistance) {
    ++aBlame.mCrashes;
    aBlame.mLastCrashAt = aAt;
  }
}

// Refuses a part from `aNow` on, for longer than the time before if it has not been answered since.
void
RefusePart(PromptCrashTracker& aTracker, PromptPartKey aPart, Instant aNow)
{
  PartRefusal& refusal = aTracker.mRefusals[aPart];
  const std::int64_t level = refusal.mAnswered ? 0 : refusal.mLevel;
  Instant::duration duration = kFirstRefusal;
  for (std::int64_t i = 0; i < level && duration < kMaxPartRefusal; ++i) {
    duration *= kRefusalFactor;
  }
  refusal = { .mUntil = aNow + std::min<Instant::duration>(duration, kMaxPartRefusal),
              .mGeneration = refusal.mGeneration + 1,
              .mLevel = level + 1,
              .mChangedAt = aNow };
}

// Refuses the parts again that crashed a server after their refusal had ended.
void
RenewRefusals(PromptCrashTracker& aTracker, Instant aNow)
{
  for (const auto& [part, refusal] : aTracker.mRefusals) {
    for (const PromptCrash& crash : aTracker.mCrashes) {
      if (!refusal.mAnswered && crash.mAt >= refusal.mUntil && IsBlamed(crash, part)) {
        RefusePart(aTracker, part, aNow);
      }
    }
  }
}

// Returns the parts that are blamed for the most crashes that no refused part explains. If some of
// them have never been answered, these only.
std::map<PromptPartKey, Blame>
MostBlamedParts(const PromptCrashTracker& aTracker)
{
  std::map<PromptPartKey, Blame> blamed;
  int most = 0;
  for (const PromptCrash& crash : aTracker.mCrashes) {
    if (IsExplained(aTracker, crash)) {
      continue;
    }
    for (const auto& [part, standing] : crash.mParts) {
      if (IsBlamed(crash, standing)) {
        Blame& blame = blamed[part];
        AddBlame(blame, crash.mAt);
        blame.mAnsweredBefore = blame.mAnsweredBefore || standing == PartStanding::kAnsweredBefore;
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

// Decides which parts are refused. Must be called when crashes have been added.
void
UpdateRefusals(PromptCrashTracker& aTracker, Instant aNow)
{
  RenewRefusals(aTracker, aNow);
  while (aTracker.mRefusals.size() < kMaxRefusals) {
    const auto blamed = MostBlamedParts(aTracker);
    const int crashes = blamed.empty() ? 0 : blamed.begin()->second.mCrashes;
    if (crashes < kMinPromptCrashesToRefuse ||
        (blamed.size() > 1 && crashes < kPromptCrashesToRefuseAll)) {
      return;
    }
    for (const auto& [part, blame] : blamed) {
      RefusePart(aTracker, part, aNow);
    }
  }
}

// Merges the standing of the parts of a report into `aCrash`, and what this host knows of them.
// Returns whether `aCrash` has changed.
bool
MergeParts(const PromptCrashTracker& aTracker,
           PromptCrash& aCrash,
           const std::map<PromptPartKey, PartStanding>& aParts)
{
  bool changed = false;
  for (const auto& [part, standing] : aParts) {
    if (!aCrash.mParts.contains(part) && aCrash.mParts.size() >= kMaxPartsOfCrash) {
      continue;
    }
    const PartStanding merged = std::max(standing, StandingAt(aTracker, part, aCrash.mAt));
    const auto [known, inserted] = aCrash.mParts.try_emplace(part, merged);
    changed = changed || inserted || known->second < merged;
    known->second = std::max(known->second, merged);
  }
  return changed;
}

// Returns whether two records are of the same crash.
bool
IsSameCrash(const PromptCrash& aLeft, const PromptCrash& aRight)
{
  const bool sharesId = std::ranges::any_of(
    aRight.mIds, [&aLeft](std::uint64_t aId) { return aLeft.mIds.contains(aId); });
  const Instant::duration distance =
    std::max(aLeft.mAt, aRight.mAt) - std::min(aLeft.mAt, aRight.mAt);
  return sharesId || (aLeft.mServer == aRight.mServer && distance < kMinDowntime);
}

// Adds a crash or merges it with the known one. Returns whether it contained something new.
bool
AddCrash(PromptCrashTracker& aTracker, const PromptCrash& aAdded, Instant aNow)
{
  auto crash = std::ranges::find_if(aTracker.mCrashes, [&aAdded](const PromptCrash& aCrash) {
    return IsSameCrash(aCrash, aAdded);
  });
  const bool isNew = crash == aTracker.mCrashes.end();
  if (isNew) {
    if (aTracker.mCrashes.size() >= kMaxCrashes) {
      aTracker.mCrashes.erase(aTracker.mCrashes.begin());
    }
    const auto position =
      std::ranges::upper_bound(aTracker.mCrashes, aAdded.mAt, {}, &PromptCrash::mAt);
    crash = aTracker.mCrashes.insert(position, { .mServer = aAdded.mServer, .mAt = aAdded.mAt });
  }
  crash->mIds.insert(aAdded.mIds.begin(), aAdded.mIds.end());
  while (crash->mIds.size() > kMaxIdsOfCrash) {
    crash->mIds.erase(std::prev(crash->mIds.end()));
  }
  const bool partsChanged = MergeParts(aTracker, *crash, aAdded.mParts);
  const bool disproved = aAdded.mDisproved && !crash->mDisproved;
  crash->mDisproved = crash->mDisproved || aAdded.mDisproved;
  if (!isNew && !partsChanged && !disproved) {
    return false;
  }
  crash->mChangedAt = aNow;
  return true;
}

bool
MergeRefusal(PromptCrashTracker& aTracker,
             PromptPartKey aPart,
             const PartRefusal& aRefusal,
             Instant aNow)
{
  PartRefusal& known = aTracker.mRefusals[aPart];
  const bool isLater = known.mGeneration < aRefusal.mGeneration;
  const bool isAnswered = known.mGeneration == aRefusal.mGeneration && aRefusal.mAnswered;
  if (!isLater && (!isAnswered || known.mAnswered)) {
    return false;
  }
  if (isLater) {
    known = aRefusal;
  }
  known.mAnswered = known.mAnswered || isAnswered;
  known.mChangedAt = aNow;
  return true;
}

} // namespace

bool
IsInForce(const PartRefusal& aRefusal, Instant aNow)
{
  return !aRefusal.mAnswered && !HasPassed(aRefusal.mUntil, aNow);
}

PromptPartKey
PromptPartKeyOf(const ServiceId& aService, std::string_view aPartId)
{
  return Digest64(fmt::format("{}:{}{}", aService.Value().size(), aService.Value(), aPartId));
}

bool
RecordPromptCrash(PromptCrashTracker& aTracker,
                  const BackendServerId& aServer,
                  const std::vector<PromptPartKey>& aParts,
                  std::uint64_t aRandomId,
                  Instant aNow)
{
  if (aParts.empty()) {
    return false;
  }
  PromptCrash crash{ .mServer = aServer, .mIds = { aRandomId }, .mAt = aNow };
  for (const PromptPartKey part : aParts) {
    crash.mParts.emplace(part, PartStanding::kNeverAnswered);
  }
  const bool isNews = AddCrash(aTracker, crash, aNow);
  if (isNews) {
    UpdateRefusals(aTracker, aNow);
  }
  return isNews;
}

bool
RecordPromptAnswer(PromptCrashTracker& aTracker,
                   const std::vector<PromptPartKey>& aParts,
                   Instant aNow)
{
  bool isNews = false;
  for (const PromptPartKey key : aParts) {
    if (aTracker.mAnsweredAt.size() >= kMaxAnswered) {
      aTracker.mAnsweredAt.clear();
    }
    aTracker.mAnsweredAt[key] = aNow;
    for (PromptCrash& crash : aTracker.mCrashes) {
      const auto part = crash.mParts.find(key);
      if (part != crash.mParts.end() && IsBlamed(crash, part->second)) {
        part->second = PartStanding::kAnsweredAfter;
        crash.mChangedAt = aNow;
        isNews = true;
      }
    }
    const auto refusal = aTracker.mRefusals.find(key);
    if (refusal != aTracker.mRefusals.end() && !refusal->second.mAnswered) {
      refusal->second.mAnswered = true;
      refusal->second.mChangedAt = aNow;
      isNews = true;
    }
  }
  if (isNews) {
    // The parts that are left may now be fewer.
    UpdateRefusals(aTracker, aNow);
  }
  return isNews;
}

bool
RecordServerAnswer(PromptCrashTracker& aTracker, const BackendServerId& aServer, Instant aNow)
{
  bool isNews = false;
  for (PromptCrash& crash : aTracker.mCrashes) {
    if (crash.mServer == aServer && !crash.mDisproved && aNow - crash.mAt > kMaxAnswerDelay &&
        aNow - crash.mAt < kMinDowntime) {
      crash.mDisproved = true;
      crash.mChangedAt = aNow;
      isNews = true;
    }
  }
  return isNews;
}

PromptCrashEvidence
EvidenceToReport(const PromptCrashTracker& aTracker, Instant aNow)
{
  PromptCrashEvidence evidence = EvidenceChangedSince(aTracker, aNow - kReportTime);
  for (const auto& [part, refusal] : aTracker.mRefusals) {
    if (IsInForce(refusal, aNow)) {
      evidence.mRefusals[part] = refusal;
    }
  }
  return evidence;
}

PromptCrashEvidence
EvidenceChangedSince(const PromptCrashTracker& aTracker, Instant aSince)
{
  PromptCrashEvidence evidence;
  for (auto crash = aTracker.mCrashes.rbegin();
       crash != aTracker.mCrashes.rend() && evidence.mCrashes.size() < kMaxReportedCrashes;
       ++crash) {
    if (crash->mChangedAt >= aSince) {
      evidence.mCrashes.push_back(*crash);
    }
  }
  for (const auto& [part, refusal] : aTracker.mRefusals) {
    if (refusal.mChangedAt >= aSince) {
      evidence.mRefusals[part] = refusal;
    }
  }
  return evidence;
}

bool
MergeEvidence(PromptCrashTracker& aTracker, const PromptCrashEvidence& aEvidence, Instant aNow)
{
  bool isNews = false;
  for (const auto& [part, refusal] : aEvidence.mRefusals) {
    if (aTracker.mRefusals.contains(part) || aTracker.mRefusals.size() < kMaxRefusals) {
      isNews = MergeRefusal(aTracker, part, refusal, aNow) || isNews;
    }
  }
  for (const PromptCrash& crash : aEvidence.mCrashes) {
    isNews = AddCrash(aTracker, crash, aNow) || isNews;
  }
  if (isNews) {
    UpdateRefusals(aTracker, aNow);
  }
  return isNews;
}

std::optional<Instant>
RefusedUntil(const PromptCrashTracker& aTracker,
             const std::vector<PromptPartKey>& aParts,
             Instant aNow)
{
  std::optional<Instant> until;
  if (aTracker.mRefusals.empty()) {
    return until;
  }
  for (const PromptPartKey part : aParts) {
    const auto refusal = aTracker.mRefusals.find(part);
    if (refusal != aTracker.mRefusals.end() && IsInForce(refusal->second, aNow)) {
      until = std::max(until.value_or(aNow), refusal->second.mUntil);
    }
  }
  return until;
}

void
ExpirePromptCrashes(PromptCrashTracker& aTracker, Instant aNow)
{
  std::erase_if(aTracker.mCrashes, [aNow](const PromptCrash& aCrash) {
    return HasPassed(aCrash.mAt + kRetention, aNow);
  });
  std::erase_if(aTracker.mAnsweredAt,
                [aNow](const auto& aItem) { return HasPassed(aItem.second + kRetention, aNow); });
  std::erase_if(aTracker.mRefusals, [aNow](const auto& aItem) {
    return HasPassed(aItem.second.mUntil + kRetention, aNow);
  });
}

} // namespace trefoil
