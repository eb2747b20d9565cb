#include "trefoil/rollout/evidence.h"

namespace trefoil {
namespace {

void
RemoveExpiredWindows(Evidence& aEvidence, std::uint64_t aWindow)
{
  const auto isExpired = [aWindow](const auto& aEntry) {
    return aEntry.first.mWindow + kMaxWindows < aWindow;
  };
  std::erase_if(aEvidence.mStrata, isExpired);
  std::erase_if(aEvidence.mLostServers, isExpired);
}

} // namespace

void
Merge(VersionRequestStats& aStats, const VersionRequestStats& aOther)
{
  aStats.mRequests += aOther.mRequests;
  aStats.mErrors += aOther.mErrors;
  Merge(aStats.mFirstToken, aOther.mFirstToken);
  Merge(aStats.mTokenGap, aOther.mTokenGap);
}

std::uint64_t
WindowAt(const Evidence& aEvidence, Instant aNow)
{
  return static_cast<std::uint64_t>((aNow - aEvidence.mStart) / kWindowDuration);
}

void
ApplyHealthReport(Evidence& aEvidence, const VersionHealthReport& aReport, Instant aNow)
{
  std::uint64_t& lastSequence = aEvidence.mLastSequences[aReport.mHost];
  if (aReport.mSequence <= lastSequence) {
    return;
  }
  lastSequence = aReport.mSequence;
  const std::uint64_t window = WindowAt(aEvidence, aNow);
  RemoveExpiredWindows(aEvidence, window);
  for (const ReportLine& line : aReport.mLines) {
    const StratumKey key{ .mWindow = window, .mZone = line.mZone, .mRoute = line.mRoute };
    Merge(aEvidence.mStrata[key][line.mVersion], line.mRequestStats);
    if (!line.mLostServers.empty()) {
      auto& lostServers =
        aEvidence.mLostServers[{ .mWindow = window, .mZone = line.mZone }][line.mVersion];
      lostServers.insert(line.mLostServers.begin(), line.mLostServers.end());
    }
  }
}

std::uint64_t
RequestCount(const Evidence& aEvidence, const VersionId& aVersion, std::uint64_t aFromWindow)
{
  std::uint64_t requests = 0;
  for (const auto& [key, versions] : aEvidence.mStrata) {
    const auto found = versions.find(aVersion);
    if (key.mWindow >= aFromWindow && found != versions.end()) {
      requests += found->second.mRequests;
    }
  }
  return requests;
}

} // namespace trefoil
