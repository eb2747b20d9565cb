// What an entry host knows of the backend servers of one service, and the choice among them.
//
//   RoutingState state = MakeRoutingState({});
//   SetServers(state, servers);
//   std::optional<ServerSlot> slot =
//     ChooseServer(state, RoutingPolicy::kScored, { .mMarks = &marks }, random, aNow);
//   RecordPlacement(state, *slot, request, aNow);
//   RecordOwnStart(state.mServers[*slot].mLoad, aNow);
//
// Plain data and pure functions. The cost of a choice does not depend on the number of servers
// beyond kScoreAllServers: the probable holders of the prefix and a few random servers are scored.
#pragma once

#include "absl/container/flat_hash_map.h"
#include "trefoil/base/ids.h"
#include "trefoil/routing/choose.h"
#include "trefoil/routing/prefix_index.h"
#include "trefoil/routing/score.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace trefoil {

// Up to so many servers of a version are all scored.
inline constexpr std::size_t kScoreAllServers = 32;

// A backend server as the operators and the platform describe it.
struct RoutableServer
{
  BackendServerId mServer;
  VersionId mVersion;
  // Whether it may take new work.
  bool mAvailable = true;
  // Whether it is in this entry host's availability zone.
  bool mNear = false;
  double mDistanceMs = 0;
  // Price relative to the cheapest class, 1 or more.
  double mPrice = 1;
  double mReclaimsPerHour = 0;

  friend bool operator==(const RoutableServer&, const RoutableServer&) = default;
};

struct RoutedServer
{
  RoutableServer mSpec;
  TrackedLoad mLoad;
  // The digest of the server's name, the same on every host.
  std::uint64_t mDigest = 0;
};

// The servers of one version.
struct VersionServers
{
  VersionId mVersion;
  std::vector<ServerSlot> mSlots;
  // Those of mSlots that are near.
  std::vector<ServerSlot> mNear;
};

struct RoutingOptions
{
  ScoreWeights mWeights;
  std::size_t mMaxPrefixMarks = std::size_t{ 1 } << 16;
};

struct RoutingState
{
  RoutingOptions mOptions;
  std::vector<RoutedServer> mServers;
  // Slots of servers that are gone, to be used again.
  std::vector<ServerSlot> mFreeSlots;
  absl::flat_hash_map<BackendServerId, ServerSlot> mSlots;
  std::vector<VersionServers> mVersions;
  PrefixIndex mPrefixes;
};

// How much of the traffic a version should receive, relative to the others.
struct VersionWeight
{
  VersionId mVersion;
  double mWeight = 0;
};

struct RoutingRequest
{
  // The prompt's prefixes; null if it has none.
  const PrefixMarks* mMarks = nullptr;
  std::int64_t mPromptTokens = 0;
  std::int64_t mExpectedTokens = 0;
  // Servers that must not take the attempt.
  std::span<const ServerSlot> mExcluded;
  // Versions that may take it; any version if empty.
  std::span<const VersionWeight> mVersions;
};

RoutingState
MakeRoutingState(RoutingOptions aOptions);

// Replaces the list of servers. Servers that stay keep their slots and what is known of them.
void
SetServers(RoutingState& aState, std::span<const RoutableServer> aServers);

std::optional<ServerSlot>
FindSlot(const RoutingState& aState, const BackendServerId& aServer);

// Returns the server for an attempt: available, not excluded and of a version with a weight.
// Returns nothing if there is none. `aRandom` is a uniform 64-bit number.
std::optional<ServerSlot>
ChooseServer(const RoutingState& aState,
             RoutingPolicy aPolicy,
             const RoutingRequest& aRequest,
             std::uint64_t aRandom,
             Instant aNow);

// Notes that the prompt of a request goes to a server. Starts and ends of attempts are noted in the
// server's load.
void
RecordPlacement(RoutingState& aState,
                ServerSlot aSlot,
                const RoutingRequest& aRequest,
                Instant aNow);

} // namespace trefoil
