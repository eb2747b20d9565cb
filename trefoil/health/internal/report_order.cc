#include "trefoil/health/internal/report_order.h"

#include <algorithm>

namespace trefoil {

bool
MergeReport(ServerReport& aReport, const ServerReport& aOther)
{
  if (aOther.mIncarnation < aReport.mIncarnation) {
    return false;
  }
  if (aOther.mIncarnation > aReport.mIncarnation) {
    aReport = aOther;
    return true;
  }
  const bool leaving =
    aReport.mState == ServerState::kLeaving || aOther.mState == ServerState::kLeaving;
  const ServerState before = aReport.mState;
  const bool newer = aOther.mSequence > aReport.mSequence;
  if (newer) {
    aReport = aOther;
  } else if (aOther.mSequence == aReport.mSequence) {
    aReport.mState = std::max(aReport.mState, aOther.mState);
  }
  if (leaving) {
    aReport.mState = ServerState::kLeaving;
  }
  return newer || aReport.mState != before;
}

} // namespace trefoil
