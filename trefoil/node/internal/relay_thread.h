// The thread that carries connections to servers for other entry hosts, and probes the direct paths
// to servers that have failed.
//
//   RelayThread relays{ { .mConnector = &connector, .mSnapshots = &snapshots } };
//   relays.Carry(socket, open);
//
// Thread-safe.
#pragma once

#include "trefoil/node/internal/server_connector.h"
#include "trefoil/wire/relay_message.h"

#include <Poco/Net/StreamSocket.h>
#include <cstddef>
#include <memory>

namespace trefoil {

struct RelayThreadOptions
{
  ServerConnector* mConnector = nullptr;
  const SnapshotCell* mSnapshots = nullptr;
  // The connections that the host can have open for other hosts.
  std::size_t mMaxConnections = 0;
};

class RelayThread
{
public:
  explicit RelayThread(RelayThreadOptions aOptions);
  // Ends the connections that are still carried.
  ~RelayThread();
  RelayThread(const RelayThread&) = delete;
  RelayThread& operator=(const RelayThread&) = delete;

  // Takes over a connection of another host.
  void Carry(const Poco::Net::StreamSocket& aSocket, const RelayOpen& aOpen);
  // Declines further connections from now on. Those that are carried go on.
  void Decline();

private:
  struct State;
  std::unique_ptr<State> mState;
};

} // namespace trefoil
