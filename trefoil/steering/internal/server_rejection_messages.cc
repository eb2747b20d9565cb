#include "trefoil/steering/internal/server_rejection_messages.h"

#include "trefoil/steering/internal/datagrams.h"
#include "trefoil/wire/codec.h"
#include "trefoil/wire/server_rejection_conversion.h"

#include <set>
#include <string>

namespace trefoil {
namespace {

void
SendToEndpoints(SteeringState& aState,
                const std::set<Endpoint>& aEndpoints,
                RelayStage aStage,
                const std::vector<RejectionReport>& aReports)
{
  const std::string bytes =
    Encode(ToServerRejectionMessage(aState.mOptions.mHost, aStage, aReports, SuspendAwareNow()));
  for (const Endpoint& to : aEndpoints) {
    SendBytes(aState, to, bytes);
  }
}

// Rejections are forwarded at once: the server fails if the others learn of them too late.
void
ForwardRejections(SteeringState& aState,
                  RelayStage aStage,
                  const std::vector<RejectionReport>& aReports)
{
  const RelayRecipients recipients =
    RelayRecipientsOf(aState.mPeers, aState.mAggregation, SuspendAwareNow());
  SendToEndpoints(aState, recipients.mMembers, RelayStage::kHosts, aReports);
  if (aStage == RelayStage::kZoneAggregators) {
    SendToEndpoints(aState, recipients.mOtherZones, RelayStage::kOtherZones, aReports);
  }
}

} // namespace

void
SendServerRejections(SteeringState& aState, const std::vector<RejectionReport>& aReports)
{
  const FirstRecipients first = FirstRecipientsOf(aState, SuspendAwareNow());
  if (first.mIsAggregator) {
    ForwardRejections(aState, first.mStage, aReports);
  } else {
    SendToEndpoints(aState, first.mEndpoints, first.mStage, aReports);
  }
}

void
OnServerRejectionMessage(SteeringState& aState, const ServerRejectionMessage& aMessage)
{
  std::vector<RejectionReport> reports = ToRejectionReports(aMessage, SuspendAwareNow());
  if (aMessage.mStage != RelayStage::kHosts) {
    ForwardRejections(aState, aMessage.mStage, reports);
  }
  aState.mTraffic.ApplyRejections(std::move(reports));
}

} // namespace trefoil
