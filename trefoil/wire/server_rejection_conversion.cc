#include "trefoil/wire/server_rejection_conversion.h"

#include "trefoil/wire/age.h"

namespace trefoil {
ServerRejectionMessage
ToServerRejectionMessage(const HostId& aHost,
                         RelayStage aStage,
                         const std::vector<RejectionReport>& aReports,
                         Instant aNow)
{
  ServerRejectionMessage message{ .mHost = aHost, .mStage = aStage };
  for (const RejectionReport& report : aReports) {
    message.mEntries.push_back(
      { .mServer = report.mServer,
        .mIncarnation = report.mIncarnation,
        .mAgeMilliseconds = std::chrono::duration_cast<Milliseconds>(aNow - report.mAt).count() });
  }
  return message;
}

std::vector<RejectionReport>
ToRejectionReports(const ServerRejectionMessage& aMessage, Instant aNow)
{
  std::vector<RejectionReport> reports;
  for (const ServerRejectionEntry& entry : aMessage.mEntries) {
    reports.push_back({ .mServer = entry.mServer,
                        .mIncarnation = entry.mIncarnation,
                        .mAt = aNow - BoundedAge(entry.mAgeMilliseconds) });
  }
  return reports;
}

} // namespace trefoil
