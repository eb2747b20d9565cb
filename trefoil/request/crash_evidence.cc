// The exchange of evidence between hosts.
#include "trefoil/request/crash_tracker.h"
#include "trefoil/request/internal/crash_blame.h"
#include "trefoil/request/internal/crash_records.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace trefoil {
namespace {

// How long evidence is repeated, since a datagram can be lost.
constexpr Milliseconds kReportTime{ 3'000 };
// Bounds on the size of messages.
constexpr std::size_t kMaxReportedCrashes = 32;
// Requests in a report, over all crashes in it.
constexpr std::size_t kMaxReportedRequests = 48;

bool
MergeRefusal(CrashTracker& aTracker, SuspectKey aSuspect, const Refusal& aRefusal, Instant aNow)
{
  if (!aTracker.mRefusals.contains(aSuspect)) {
    LimitRefusals(aTracker);
  }
  Refusal& known = aTracker.mRefusals[aSuspect];
  const bool isLater = known.mGeneration < aRefusal.mGeneration;
  const bool isAnswered = known.mGeneration == aRefusal.mGeneration && aRefusal.mAnswered;
  if (!isLater && (!isAnswered || known.mAnswered)) {
    // The sender has missed the end of the refusal, as a host that has read it in the store may.
    if (known.mAnswered && IsInForce(aRefusal, aNow) &&
        HasPassed(known.mChangedAt + kReportTime, aNow)) {
      known.mChangedAt = aNow;
      aTracker.mKnowsBetter = true;
    }
    return false;
  }
  if (isLater) {
    known = aRefusal;
  }
  known.mAnswered = known.mAnswered || isAnswered;
  known.mChangedAt = aNow;
  return true;
}

// Returns the requests of the crashes that a report contains: those with the most crashes, and of
// the others those of the latest crashes. An outage breaks very many at once.
std::set<SuspectKey>
RequestsToReport(const CrashTracker& aTracker, const std::vector<ServerCrash>& aCrashes)
{
  std::vector<std::pair<int, SuspectKey>> ranked;
  std::set<SuspectKey> requests;
  for (const ServerCrash& crash : aCrashes) {
    for (const auto& [request, standing] : crash.mRequests) {
      if (requests.insert(request).second) {
        ranked.emplace_back(BlameOfRequest(aTracker, request).mCrashes, request);
      }
    }
  }
  if (ranked.size() <= kMaxReportedRequests) {
    return requests;
  }
  // Crashes are ordered from the latest one, and so are requests with equally many crashes.
  std::ranges::stable_sort(ranked, std::greater<>{}, [](const auto& aItem) { return aItem.first; });
  requests.clear();
  for (std::size_t i = 0; i < kMaxReportedRequests; ++i) {
    requests.insert(ranked[i].second);
  }
  return requests;
}

} // namespace

CrashEvidence
EvidenceToReport(const CrashTracker& aTracker, Instant aNow)
{
  CrashEvidence evidence = EvidenceChangedSince(aTracker, aNow - kReportTime);
  for (const auto& [part, refusal] : aTracker.mRefusals) {
    if (IsInForce(refusal, aNow)) {
      evidence.mRefusals[part] = refusal;
    }
  }
  return evidence;
}

CrashEvidence
EvidenceChangedSince(const CrashTracker& aTracker, Instant aSince)
{
  CrashEvidence evidence;
  for (auto crash = aTracker.mCrashes.rbegin();
       crash != aTracker.mCrashes.rend() && evidence.mCrashes.size() < kMaxReportedCrashes;
       ++crash) {
    if (crash->mChangedAt >= aSince) {
      evidence.mCrashes.push_back(*crash);
    }
  }
  const std::set<SuspectKey> requests = RequestsToReport(aTracker, evidence.mCrashes);
  for (ServerCrash& crash : evidence.mCrashes) {
    std::erase_if(crash.mRequests,
                  [&requests](const auto& aItem) { return !requests.contains(aItem.first); });
  }
  std::erase_if(evidence.mCrashes, [](const ServerCrash& aCrash) {
    return aCrash.mRequests.empty() && aCrash.mParts.empty();
  });
  for (const auto& [part, refusal] : aTracker.mRefusals) {
    if (refusal.mChangedAt >= aSince) {
      evidence.mRefusals[part] = refusal;
    }
  }
  return evidence;
}

bool
MergeEvidence(CrashTracker& aTracker, const CrashEvidence& aEvidence, Instant aNow)
{
  bool isNews = false;
  std::vector<SuspectKey> refused;
  for (const auto& [suspect, refusal] : aEvidence.mRefusals) {
    if (MergeRefusal(aTracker, suspect, refusal, aNow)) {
      refused.push_back(suspect);
    }
  }
  isNews = !refused.empty();
  for (const ServerCrash& crash : aEvidence.mCrashes) {
    const CrashChanges changes = AddCrash(aTracker, crash, aNow);
    isNews = JudgeRequests(aTracker, changes, aNow) || isNews;
    aTracker.mKnowsBetter =
      aTracker.mKnowsBetter || changes.mDisprovedHere ||
      std::ranges::any_of(changes.mRequests.mKnownBetter, [&aTracker](SuspectKey aRequest) {
        return CountCrashes(aTracker, &ServerCrash::mRequests, aRequest) >= kMinCrashesToRunAlone;
      });
  }
  for (const SuspectKey suspect : refused) {
    const bool wasRefused = HasFirstRefusal(aTracker, suspect);
    Exonerate(aTracker, suspect, aNow);
    ExoneratePart(aTracker, suspect, aNow);
    aTracker.mKnowsBetter =
      aTracker.mKnowsBetter || (wasRefused && !HasFirstRefusal(aTracker, suspect));
  }
  isNews = isNews || aTracker.mKnowsBetter;
  if (isNews) {
    UpdateRefusals(aTracker, aNow);
  }
  return isNews;
}

} // namespace trefoil
