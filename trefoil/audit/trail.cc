#include "trefoil/audit/trail.h"

#include <algorithm>
#include <fmt/format.h>

namespace trefoil {

bool
IsSameFact(const AuditRecord& aLeft, const AuditRecord& aRight)
{
  const bool sameSubject = aLeft.mKind == aRight.mKind && aLeft.mRevision == aRight.mRevision &&
                           aLeft.mWhere == aRight.mWhere;
  return sameSubject && (aLeft.mKind != AuditKind::kVersionMove || aLeft.mText == aRight.mText);
}

bool
Holds(const AuditPiece& aPiece, const AuditRecord& aRecord)
{
  return std::ranges::any_of(
    aPiece.mRecords, [&aRecord](const AuditRecord& aOther) { return IsSameFact(aOther, aRecord); });
}

std::optional<TrailPlan>
PlanAppend(const AuditOptions& aOptions,
           const AuditPiece& aHead,
           const std::vector<AuditRecord>& aRecords)
{
  TrailPlan plan{ .mHead = aHead };
  bool added = false;
  for (const AuditRecord& record : aRecords) {
    if (Holds(aHead, record) || Holds(plan.mHead, record)) {
      continue;
    }
    if (plan.mHead.mRecords.size() >= aOptions.mMaxRecords) {
      if (added || plan.mSealed.has_value()) {
        break;
      }
      plan.mSealed = aHead;
      plan.mHead = { .mNumber = aHead.mNumber + 1 };
    }
    plan.mHead.mRecords.push_back(record);
    std::string& text = plan.mHead.mRecords.back().mText;
    text.resize(std::min(text.size(), aOptions.mMaxTextBytes));
    added = true;
  }
  return added ? std::optional{ plan } : std::nullopt;
}

std::string
HeadKeyOf(const ServiceId& aService)
{
  return fmt::format("audit/{}/head", aService.Value());
}

std::string
SealedKeyOf(const AuditOptions& aOptions, const ServiceId& aService, std::uint64_t aNumber)
{
  return fmt::format("audit/{}/{}", aService.Value(), aNumber % aOptions.mRingPieces);
}

} // namespace trefoil
