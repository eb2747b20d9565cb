// Sends messages to other entry hosts over UDP.
#pragma once

#include "trefoil/steering/steering_state.h"
#include "trefoil/steering/totals_messages.h"
#include "trefoil/wire/message.h"
#include "trefoil/wire/server_limit_message.h"

#include <set>
#include <string_view>

namespace trefoil {

// Sends one datagram. A failure is logged and not reported to the caller, since each message is
// followed by a newer one.
void
SendBytes(SteeringState& aState, const Endpoint& aTo, std::string_view aBytes);

// Encodes and sends a message, as SendBytes does.
void
SendDatagram(SteeringState& aState, const Endpoint& aTo, const Message& aMessage);

// Sends totals over a part of the update interval, since many at once exceed what a link carries.
// While the host leaves, they are sent at once.
void
SendTotals(SteeringState& aState, const Datagrams& aTotals);

// Whom a host tells what it has observed of a server. In large fleets the aggregators of its zone
// forward it.
struct FirstRecipients
{
  // Whether this host is an aggregator, which forwards the observation itself.
  bool mIsAggregator = false;
  std::set<Endpoint> mEndpoints;
  RelayStage mStage = RelayStage::kHosts;
};

FirstRecipients
FirstRecipientsOf(const SteeringState& aState, Instant aNow);

} // namespace trefoil
