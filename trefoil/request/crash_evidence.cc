// The exchange of evidence between hosts.
#include "trefoil/request/crash_tracker.h"
#include "trefoil/request/internal/crash_blame.h"
#include "trefoil/request/internal/crash_lists.h"
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
// The same for parts. A report with as many of all fits into one datagram.
constexpr std::size_t kMaxReportedParts = 2'048;

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
// the others those of the latest crashes, in an order that `aSalt` determines. An outage breaks
// very many at once.
std::set<SuspectKey>
RequestsToReport(const CrashTracker& aTracker,
                 const std::vector<ServerCrash>& aCrashes,
                 std::uint64_t aSalt)
{
  std::vector<std::pair<int, SuspectKey>> ranked;
  std::set<SuspectKey> requests;
  for (const ServerCrash& crash : aCrashes) {
    std::vector<std::pair<std::uint64_t, SuspectKey>> ordered;
    for (const auto& [request, standing] : crash.mRequests) {
      ordered.emplace_back(OrderOf(aTracker, request, standing, aSalt).second, request);
    }
    std::ranges::sort(ordered);
    for (const auto& [order, request] : ordered) {
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

// Leaves out the parts of a report that do not fit into it. Among parts of the same rank those of
// the latest crashes stay, and of these a choice that `aSalt` determines.
void
LimitParts(const CrashTracker& aTracker, CrashEvidence& aEvidence, std::uint64_t aSalt)
{
  struct ReportedPart
  {
    SuspectRank mRank = SuspectRank::kAnsweredAfter;
    // Crashes are ordered from the latest one.
    std::size_t mCrash = 0;
    std::uint64_t mOrder = 0;
    PromptPartKey mPart = 0;

    auto operator<=>(const ReportedPart&) const = default;
  };
  std::size_t total = 0;
  for (const ServerCrash& crash : aEvidence.mCrashes) {
    total += crash.mParts.size();
  }
  if (total <= kMaxReportedParts) {
    return;
  }
  std::vector<ReportedPart> parts;
  parts.reserve(total);
  for (std::size_t i = 0; i < aEvidence.mCrashes.size(); ++i) {
    for (const auto& [part, standing] : aEvidence.mCrashes[i].mParts) {
      const auto [rank, order] = OrderOf(aTracker, part, standing, aSalt);
      parts.push_back({ .mRank = rank, .mCrash = i, .mOrder = order, .mPart = part });
    }
  }
  const auto firstLeftOut = parts.begin() + kMaxReportedParts;
  std::ranges::nth_element(parts, firstLeftOut);
  for (auto leftOut = firstLeftOut; leftOut != parts.end(); ++leftOut) {
    ServerCrash& crash = aEvidence.mCrashes[leftOut->mCrash];
    crash.mPartsCut = crash.mPartsCut || leftOut->mRank != SuspectRank::kAnsweredAfter;
    crash.mParts.erase(leftOut->mPart);
  }
  aEvidence.mPartsLeftOut = total - kMaxReportedParts;
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
  const auto salt = static_cast<std::uint64_t>(aSince.time_since_epoch().count());
  const std::set<SuspectKey> requests = RequestsToReport(aTracker, evidence.mCrashes, salt);
  for (ServerCrash& crash : evidence.mCrashes) {
    std::erase_if(crash.mRequests,
                  [&requests](const auto& aItem) { return !requests.contains(aItem.first); });
  }
  LimitParts(aTracker, evidence, salt);
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

void
CountLeftOutOfReport(CrashTracker& aTracker, const CrashEvidence& aEvidence)
{
  CountLeftOut(aTracker, CrashList::kReportedParts, aEvidence.mPartsLeftOut);
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
