// Messages with which entry hosts share the results of their health checks of backend servers.
//
//   ServerReports reports{ .mReports = { { .mServer = BackendServerId{ "engine-7" } } } };
//
// Plain structs; trefoil/wire/codec.h encodes them.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <vector>

namespace trefoil {

enum class ServerState : std::uint8_t
{
  kUp,
  // The server does not answer.
  kDown,
  // The server has received a reclaim notice and accepts no new work.
  kLeaving,
};

inline constexpr NameTable<ServerState, 3> kServerStateNames{ {
  { ServerState::kUp, "up" },
  { ServerState::kDown, "down" },
  { ServerState::kLeaving, "leaving" },
} };

// The result of a health check of one backend server.
struct ServerReport
{
  BackendServerId mServer;
  // Increases with each start of the server's process; 0 if the server does not report it.
  std::uint64_t mIncarnation = 0;
  // Increases with each answer of the same incarnation.
  std::uint64_t mSequence = 0;
  ServerState mState = ServerState::kUp;
  // Requests that run on the server, and requests in its queue.
  std::uint32_t mRunning = 0;
  std::uint32_t mQueued = 0;
  // The version that the server runs; empty if the server does not report it.
  VersionId mVersion;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer, mIncarnation, mSequence, mState, mRunning, mQueued, mVersion);
  }
};

struct ServerReports
{
  std::vector<ServerReport> mReports;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mReports);
  }
};

} // namespace trefoil
