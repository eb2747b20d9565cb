// The state of one service's backend servers on an entry host, and the choice of a server.
//
//   RoutingState state = MakeRoutingState({});
//   SetServers(state, servers);
//   std::optional<ServerSlot> slot =
//     ChooseServer(state, RoutingPolicy::kScored, { .mPrefixDigests = &digests }, random, aNow);
//   RecordPlacement(state, *slot, request, aNow);
//   RecordOwnStart(state.mServers[*slot].mLoad, aNow);
//
// If a version has more than kMaxServersForFullScan servers, only the probable holders of the
// prefix and a few random servers are compared, so that the cost of a choice does not grow with the
// number of servers. Exceptions are RoutingPolicy::kLeastInFlight, which compares all servers,
// and the search for any selectable server when none of those is. Plain data and pure
// functions.
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

// If a version has at most this many servers, all of them are compared.
inline constexpr std::size_t kMaxServersForFullScan = 32;

// A backend server as described by the service document and the platform.
struct RoutableServer
{
  BackendServerId mServer;
  VersionId mVersion;
  // Whether it accepts new requests.
  bool mAvailable = true;
  // Whether it is in this entry host's availability zone.
  bool mSameZone = false;
  double mRoundTripMs = 0;
  // Price relative to the cheapest class, at least 1.
  double mPrice = 1;
  double mReclaimsPerHour = 0;

  friend bool operator==(const RoutableServer&, const RoutableServer&) = default;
};

struct RoutedServer
{
  RoutableServer mSpec;
  TrackedLoad mLoad;
  // Digest of the server's ID, the same on every host.
  std::uint64_t mDigest = 0;
};

// The servers of one version.
struct VersionServers
{
  VersionId mVersion;
  std::vector<ServerSlot> mSlots;
  // The slots of mSlots whose servers are in this host's zone.
  std::vector<ServerSlot> mSameZoneSlots;
};

struct RoutingOptions
{
  ScoreWeights mWeights;
  std::size_t mMaxPrefixDigests = std::size_t{ 1 } << 16;
};

struct RoutingState
{
  RoutingOptions mOptions;
  std::vector<RoutedServer> mServers;
  // Slots of removed servers, available for reuse.
  std::vector<ServerSlot> mFreeSlots;
  absl::flat_hash_map<BackendServerId, ServerSlot> mSlots;
  std::vector<VersionServers> mVersions;
  PrefixIndex mPrefixes;
};

// A version's share of the traffic, relative to the weights of the others.
struct VersionWeight
{
  VersionId mVersion;
  double mWeight = 0;
};

struct RoutingRequest
{
  // Digests of the prompt's prefixes; null if there is no prompt.
  const PrefixDigests* mPrefixDigests = nullptr;
  std::int64_t mPromptTokens = 0;
  std::int64_t mExpectedTokens = 0;
  // Servers that must not receive the attempt.
  std::span<const ServerSlot> mExcluded;
  // Versions that may receive the attempt. If empty, all versions may, weighted by their number
  // of servers.
  std::span<const VersionWeight> mVersions;
};

RoutingState
MakeRoutingState(RoutingOptions aOptions);

// Replaces the list of servers. Servers that remain keep their slots and their load.
void
SetServers(RoutingState& aState, std::span<const RoutableServer> aServers);

// Returns the slot of a server, or `std::nullopt` if the server has none.
std::optional<ServerSlot>
FindSlot(const RoutingState& aState, const BackendServerId& aServer);

// Returns the server for an attempt: an available one that is not excluded, of a version drawn
// by weight. Returns `std::nullopt` if there is none. `aRandom` is a uniformly distributed
// 64-bit number.
std::optional<ServerSlot>
ChooseServer(const RoutingState& aState,
             RoutingPolicy aPolicy,
             const RoutingRequest& aRequest,
             std::uint64_t aRandom,
             Instant aNow);

// Records that the prompt of a request is sent to a server. The start and the end of the attempt
// are recorded separately, with RecordOwnStart and RecordOwnEnd on the server's load.
void
RecordPlacement(RoutingState& aState,
                ServerSlot aSlot,
                const RoutingRequest& aRequest,
                Instant aNow);

} // namespace trefoil
