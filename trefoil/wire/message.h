// The messages that entry hosts send each other. Plain structs: only the codec knows their bytes.
//
//   Message message = Heartbeat{ .mHost = HostId{ "h1" }, .mIncarnation = 7, .mSequence = 12 };
//
// A message holds no deadline: clocks of two hosts are not compared.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/wire/admission_message.h"
#include "trefoil/wire/config_message.h"
#include "trefoil/wire/crash_report.h"
#include "trefoil/wire/dispatch_message.h"
#include "trefoil/wire/gossip_message.h"
#include "trefoil/wire/health_message.h"
#include "trefoil/wire/move_message.h"
#include "trefoil/wire/store_relay_message.h"
#include "trefoil/wire/stream_messages.h"
#include "trefoil/wire/traffic_message.h"

#include <variant>
#include <vector>

namespace trefoil {

// New kinds go to the end: the index of a kind is part of the encoding.
using Message = std::variant<Heartbeat,
                             Gossip,
                             ZoneGossip,
                             HeartbeatsWanted,
                             Heartbeats,
                             ServerReports,
                             DocumentsWanted,
                             DocumentsOffered,
                             AdmissionDemands,
                             DutiesHeld,
                             VersionReport,
                             PermitGranted,
                             VersionStopped,
                             CrashReport,
                             ServerReservation,
                             StreamRead,
                             StreamTokens,
                             StreamHandOver,
                             StreamHandOverReply,
                             TrafficUpdate,
                             StoreQuery,
                             StoreReply,
                             DispatchUpdate>;

// A message and where it goes.
struct Datagram
{
  Endpoint mTo;
  Message mMessage;
};

using Datagrams = std::vector<Datagram>;

} // namespace trefoil
