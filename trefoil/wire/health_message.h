// Messages by which entry hosts pass on what they found at backend servers.
//
//   ServerReports reports{ .mReports = { { .mServer = BackendServerId{ "engine-7" } } } };
//
// Plain structs: only the codec knows their bytes.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <vector>

namespace trefoil {

enum class ServerState : std::uint8_t
{
  kUp,
  // It does not answer.
  kDown,
  // It has a reclaim notice: it takes no new work.
  kLeaving,
};

inline constexpr NameTable<ServerState, 3> kServerStateNames{ {
  { ServerState::kUp, "up" },
  { ServerState::kDown, "down" },
  { ServerState::kLeaving, "leaving" },
} };

// What was found at one backend server.
struct ServerReport
{
  BackendServerId mServer;
  // Rises with each start of the server's process; 0 if it does not tell.
  std::uint64_t mIncarnation = 0;
  // Rises with each answer of an incarnation.
  std::uint64_t mSequence = 0;
  ServerState mState = ServerState::kUp;
  std::uint32_t mRunning = 0;
  std::uint32_t mQueued = 0;
  // What it runs; empty if it does not tell.
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
