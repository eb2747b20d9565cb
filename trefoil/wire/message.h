// The messages that entry hosts send each other. Plain structs: only the codec knows their bytes.
//
//   Message message = Heartbeat{ .mHost = HostId{ "h1" }, .mIncarnation = 7, .mSequence = 12 };
//
// A message holds no deadline: clocks of two hosts are not compared.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/wire/crash_report.h"
#include "trefoil/wire/stream_messages.h"

#include <cstdint>
#include <variant>

namespace trefoil {

// Says that an entry host is alive, and what it is doing.
struct Heartbeat
{
  HostId mHost;
  AvailabilityZoneId mZone;
  Endpoint mPeerEndpoint;
  // Where callers connect.
  Endpoint mListen;
  // Rises with each start of the process.
  std::uint64_t mIncarnation = 0;
  // Rises with each heartbeat of an incarnation.
  std::uint64_t mSequence = 0;
  bool mLeaving = false;
  // The store revision of the newest documents in force on the host.
  std::uint64_t mConfigRevision = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(
      mHost, mZone, mPeerEndpoint, mListen, mIncarnation, mSequence, mLeaving, mConfigRevision);
  }
};

// New kinds go to the end: the index of a kind is part of the encoding.
using Message = std::variant<Heartbeat,
                             CrashReport,
                             ServerReservation,
                             StreamRead,
                             StreamTokens,
                             StreamHandOver,
                             StreamHandOverReply>;

} // namespace trefoil
