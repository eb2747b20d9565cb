// Messages with which an entry host that cannot connect to a backend server asks another host to
// carry the bytes of a connection.
//
//   RelayOpen open{ .mHost = self, .mServer = server, .mIncarnation = incarnation };
//   RelayOpened opened{ .mStatus = RelayStatus::kConnected };
//
// They are the first frames of a TCP connection (frame.h). After kConnected the connection carries
// the bytes of both sides unchanged; after any other status the carrier closes it. Plain structs;
// trefoil/wire/codec.h encodes them.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/name_table.h"

#include <cstdint>

namespace trefoil {

// Whether a host carries a connection, or why not.
enum class RelayStatus : std::uint8_t
{
  kConnected,
  // The host could not connect to the server.
  kUnreachable,
  // The host does not know this incarnation of the server, or knows that the server leaves or that
  // its zone is evacuated.
  kUnknownServer,
  // The host has lost its own paths to servers.
  kCutOff,
  // The host needs its connections or its memory for its own clients.
  kFull,
  kStopping,
};

inline constexpr NameTable<RelayStatus, 6> kRelayStatusNames{ {
  { RelayStatus::kConnected, "connected" },
  { RelayStatus::kUnreachable, "unreachable" },
  { RelayStatus::kUnknownServer, "unknown_server" },
  { RelayStatus::kCutOff, "cut_off" },
  { RelayStatus::kFull, "full" },
  { RelayStatus::kStopping, "stopping" },
} };

// Requests a connection to a server. The carrier connects to the endpoint in its own registry, and
// never by way of a third host.
struct RelayOpen
{
  // The host that asks.
  HostId mHost;
  BackendServerId mServer;
  // The start of the server in Unix milliseconds.
  std::int64_t mIncarnation = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mServer, mIncarnation);
  }
};

struct RelayOpened
{
  RelayStatus mStatus = RelayStatus::kUnreachable;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mStatus);
  }
};

} // namespace trefoil
