#include "trefoil/steering/internal/server_event_messages.h"

#include "trefoil/steering/internal/datagrams.h"
#include "trefoil/wire/codec.h"

#include <set>
#include <utility>

namespace trefoil {
namespace {

// The speed of a server changes seldom, so that few messages suffice.
constexpr Milliseconds kSendInterval{ 2'000 };
// What an aggregator receives within this time is forwarded together.
constexpr Milliseconds kForwardBatchDelay{ 1'000 };

void
SendToEndpoints(SteeringState& aState,
                const std::set<Endpoint>& aEndpoints,
                RelayStage aStage,
                const ServerEvents& aEvents)
{
  if (aEndpoints.empty() || aEvents.empty()) {
    return;
  }
  const std::string bytes = Encode(ToServerEventsMessage(aState.mOptions.mHost, aStage, aEvents));
  for (const Endpoint& to : aEndpoints) {
    SendBytes(aState, to, bytes);
  }
}

void
SendForwardedEvents(SteeringState& aState)
{
  const RelayRecipients recipients =
    RelayRecipientsOf(aState.mPeers, aState.mAggregation, SuspendAwareNow());
  SendToEndpoints(aState,
                  recipients.mOtherZones,
                  RelayStage::kOtherZones,
                  std::exchange(aState.mEventsForZones, {}));
  SendToEndpoints(
    aState, recipients.mMembers, RelayStage::kHosts, std::exchange(aState.mEventsForMembers, {}));
}

void
ForwardEvents(SteeringState& aState, RelayStage aStage, const ServerEvents& aEvents)
{
  if (aState.mEventsForMembers.empty()) {
    aState.mLoop.CallAt(SuspendAwareNow() + kForwardBatchDelay,
                        [&aState] { SendForwardedEvents(aState); });
  }
  AddServerEvents(aState.mEventsForMembers, aEvents);
  if (aStage == RelayStage::kZoneAggregators) {
    AddServerEvents(aState.mEventsForZones, aEvents);
  }
}

} // namespace

void
SendServerEvents(SteeringState& aState)
{
  const Instant now = SuspendAwareNow();
  if (!HasPassed(aState.mNextServerEventsAt, now)) {
    return;
  }
  aState.mNextServerEventsAt = now + kSendInterval;
  const ServerEvents events =
    TakeUnsentEvents(aState.mSentServerEvents, aState.mReport.mServerEvents);
  if (events.empty()) {
    return;
  }
  FirstRecipients first = FirstRecipientsOf(aState, now);
  if (first.mIsAggregator) {
    ForwardEvents(aState, first.mStage, events);
    return;
  }
  if (first.mStage == RelayStage::kZoneAggregators && first.mEndpoints.size() > 1) {
    // One aggregator suffices for what may be lost.
    first.mEndpoints.erase(std::next(first.mEndpoints.begin()), first.mEndpoints.end());
  }
  SendToEndpoints(aState, first.mEndpoints, first.mStage, events);
}

void
OnServerEventsMessage(SteeringState& aState, const ServerEventsMessage& aMessage)
{
  ServerEvents events = FromServerEventsMessage(aMessage);
  if (events.empty()) {
    return;
  }
  if (aMessage.mStage != RelayStage::kHosts) {
    ForwardEvents(aState, aMessage.mStage, events);
  }
  aState.mTraffic.ApplyServerEvents(std::move(events));
}

} // namespace trefoil
