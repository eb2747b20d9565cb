// Decides whether an entry host carries a further connection for another host.
//
//   std::optional<RelayStatus> reason = ReasonToDecline(load, limits);
//
// The clients of the host itself come first. Pure functions.
#pragma once

#include "trefoil/wire/relay_message.h"

#include <cstddef>
#include <optional>

namespace trefoil {

// What a host uses when another host asks it to carry a connection.
struct RelayLoad
{
  // Connections carried for other hosts. Each one uses two sockets.
  std::size_t mCarried = 0;
  // All open connections of the host, the carried ones included.
  std::size_t mOpenConnections = 0;
  // Bytes of carried connections that wait to be sent.
  std::size_t mBufferedBytes = 0;
  bool mStopping = false;
};

struct RelayLimits
{
  // The connections that the host can have open.
  std::size_t mMaxConnections = 0;
  std::size_t mMaxBufferedBytes = std::size_t{ 8 } * 1024 * 1024;
};

// Returns why a host does not carry a further connection, or std::nullopt if it does.
std::optional<RelayStatus>
ReasonToDecline(const RelayLoad& aLoad, const RelayLimits& aLimits);

} // namespace trefoil
