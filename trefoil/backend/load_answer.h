// What a backend server tells of itself.
//
//   absl::StatusOr<std::optional<LoadAnswer>> load = AskLoad(server, Now() + kPollTimeout);
//
// Model engines answer GET /load with JSON; a server that answers anything else is alive and tells
// nothing. Thread-safe.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace trefoil {

struct LoadAnswer
{
  // Rises with each start of the server.
  std::uint64_t mIncarnation = 0;
  // Rises with each answer.
  std::uint64_t mSequence = 0;
  // Whether it has a reclaim notice.
  bool mLeaving = false;
  std::uint32_t mRunning = 0;
  std::uint32_t mQueued = 0;
  VersionId mVersion;
};

// Parses the body of an answer. Returns nothing if it tells no load.
std::optional<LoadAnswer>
ParseLoadAnswer(const std::string& aBody);

// Asks a server. Returns an error if it does not answer before the deadline, nothing if it answers
// without a load.
absl::StatusOr<std::optional<LoadAnswer>>
AskLoad(const Endpoint& aServer, Instant aDeadline);

} // namespace trefoil
