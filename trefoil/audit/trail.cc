#include "trefoil/audit/trail.h"

#include <algorithm>
#include <fmt/format.h>

namespace trefoil {

bool
AreDuplicates(const AuditRecord& aFirst, const AuditRecord& aSecond)
{
  const bool sameSubject = aFirst.mKind == aSecond.mKind && aFirst.mRevision == aSecond.mRevision &&
                           aFirst.mScope == aSecond.mScope;
  return sameSubject && (aFirst.mKind != AuditKind::kVersionMove || aFirst.mText == aSecond.mText);
}

bool
ContainsRecord(const AuditSegment& aSegment, const AuditRecord& aRecord)
{
  return std::ranges::any_of(aSegment.mRecords, [&aRecord](const AuditRecord& aOther) {
    return AreDuplicates(aOther, aRecord);
  });
}

std::optional<AppendPlan>
PlanAppend(const AuditOptions& aOptions,
           const AuditSegment& aHead,
           const std::vector<AuditRecord>& aRecords)
{
  AppendPlan plan{ .mHead = aHead };
  bool added = false;
  for (const AuditRecord& record : aRecords) {
    if (ContainsRecord(aHead, record) || ContainsRecord(plan.mHead, record)) {
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
HeadSegmentKey(const ServiceId& aService)
{
  return fmt::format("audit/{}/head", aService.Value());
}

std::string
SealedSegmentKey(const AuditOptions& aOptions, const ServiceId& aService, std::uint64_t aNumber)
{
  return fmt::format("audit/{}/{}", aService.Value(), aNumber % aOptions.mRingSegments);
}

} // namespace trefoil
