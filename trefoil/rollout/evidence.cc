#include "trefoil/rollout/evidence.h"

namespace trefoil {
namespace {

void
DropOld(Evidence& aEvidence, std::uint64_t aWindow)
{
  const auto isOld = [aWindow](const auto& aEntry) {
    return aEntry.first.mWindow + kMaxWindows < aWindow;
  };
  std::erase_if(aEvidence.mStrata, isOld);
  std::erase_if(aEvidence.mLost, isOld);
}

} // namespace

void
Add(Tally& aTally, const Tally& aOther)
{
  aTally.mRequests += aOther.mRequests;
  aTally.mErrors += aOther.mErrors;
  Add(aTally.mFirstToken, aOther.mFirstToken);
  Add(aTally.mTokenGap, aOther.mTokenGap);
}

std::uint64_t
WindowAt(const Evidence& aEvidence, Instant aNow)
{
  return static_cast<std::uint64_t>((aNow - aEvidence.mStart) / kWindowLength);
}

void
Add(Evidence& aEvidence, const HealthReport& aReport, Instant aNow)
{
  std::uint64_t& seen = aEvidence.mSequences[aReport.mHost];
  if (aReport.mSequence <= seen) {
    return;
  }
  seen = aReport.mSequence;
  const std::uint64_t window = WindowAt(aEvidence, aNow);
  DropOld(aEvidence, window);
  for (const ReportLine& line : aReport.mLines) {
    const StratumKey key{ .mWindow = window, .mZone = line.mZone, .mRoute = line.mRoute };
    Add(aEvidence.mStrata[key][line.mVersion], line.mTally);
    if (!line.mLost.empty()) {
      auto& lost = aEvidence.mLost[{ .mWindow = window, .mZone = line.mZone }][line.mVersion];
      lost.insert(line.mLost.begin(), line.mLost.end());
    }
  }
}

std::uint64_t
Requests(const Evidence& aEvidence, const VersionId& aVersion, std::uint64_t aFromWindow)
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
