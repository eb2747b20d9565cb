// Polls the load of a backend server.
//
//   absl::StatusOr<std::optional<LoadResponse>> load = QueryLoad(server, Now() + kPollTimeout);
//
// Model engines respond to GET /load with a JSON object. Any other response below status 500 means
// that the server is alive but does not report its load. Thread-safe.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace trefoil {

struct LoadResponse
{
  // Increases with each start of the server.
  std::uint64_t mIncarnation = 0;
  // Increases with each response.
  std::uint64_t mSequence = 0;
  // Whether the server has received a reclaim notice.
  bool mLeaving = false;
  // Numbers of requests.
  std::uint32_t mRunning = 0;
  std::uint32_t mQueued = 0;
  VersionId mVersion;
};

// Parses the body of a response. Returns std::nullopt if it does not report a load.
std::optional<LoadResponse>
ParseLoadResponse(const std::string& aBody);

// Queries the load of a server. Returns an error if the server does not respond before `aDeadline`
// or responds with status 5xx, and std::nullopt if the response does not report a load. Blocks.
absl::StatusOr<std::optional<LoadResponse>>
QueryLoad(const Endpoint& aServer, Instant aDeadline);

} // namespace trefoil
