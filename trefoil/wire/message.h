// The messages that entry hosts send to each other. Plain structs; trefoil/wire/codec.h encodes
// them.
//
//   Message message = Heartbeat{ .mHost = HostId{ "h1" }, .mIncarnation = 7, .mSequence = 12 };
//
// Messages contain durations and ages instead of deadlines, because the clocks of two hosts cannot
// be compared.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/wire/admission_message.h"
#include "trefoil/wire/config_message.h"
#include "trefoil/wire/crash_evidence_message.h"
#include "trefoil/wire/crash_report.h"
#include "trefoil/wire/dispatch_message.h"
#include "trefoil/wire/gossip_message.h"
#include "trefoil/wire/health_message.h"
#include "trefoil/wire/move_decision_message.h"
#include "trefoil/wire/move_message.h"
#include "trefoil/wire/relay_message.h"
#include "trefoil/wire/server_events_message.h"
#include "trefoil/wire/server_limit_message.h"
#include "trefoil/wire/server_rejection_message.h"
#include "trefoil/wire/store_relay_message.h"
#include "trefoil/wire/stream_messages.h"
#include "trefoil/wire/totals_message.h"
#include "trefoil/wire/traffic_message.h"

#include <variant>
#include <vector>

namespace trefoil {

// The encoding contains the index of the alternative, so new message types must be appended.
using Message = std::variant<Heartbeat,
                             Gossip,
                             ZoneGossip,
                             HeartbeatsRequest,
                             HeartbeatsReply,
                             ServerReports,
                             DocumentsRequest,
                             DocumentsReply,
                             AdmissionDemands,
                             HolderAnnouncement,
                             VersionReport,
                             PermitGranted,
                             VersionStopped,
                             CrashReport,
                             ServerReservation,
                             StreamRead,
                             StreamReadReply,
                             StreamHandOver,
                             StreamHandOverReply,
                             TrafficUpdate,
                             StoreQuery,
                             StoreReply,
                             DispatchUpdate,
                             TotalsMessage,
                             HostReport,
                             UsageUpdate,
                             RelayedDispatches,
                             CrashEvidenceMessage,
                             ServerLimitMessage,
                             MoveDecisionMessage,
                             RelayOpen,
                             RelayOpened,
                             ServerRejectionMessage,
                             ServerEventsMessage>;

// A message and its destination.
struct Datagram
{
  Endpoint mTo;
  Message mMessage;
};

using Datagrams = std::vector<Datagram>;

} // namespace trefoil
