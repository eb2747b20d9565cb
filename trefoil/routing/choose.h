// Chooses one of several candidates according to a routing policy.
//
//   std::optional<std::size_t> index = Choose(RoutingPolicy::kPowerOfTwo, candidates, random);
//
// Pure functions. The caller gathers the candidates (see routing_state.h) and supplies the
// random number.
#pragma once

#include "trefoil/base/name_table.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace trefoil {

enum class RoutingPolicy
{
  kRandom,
  kLeastInFlight,
  // The candidate with fewer requests in flight of two drawn at random (Mitzenmacher, "The
  // Power of Two Choices in Randomized Load Balancing", 2001).
  kPowerOfTwo,
  // The candidate with the lowest expected cost of the request; see score.h.
  kScored,
};

inline constexpr NameTable<RoutingPolicy, 4> kRoutingPolicyNames{ {
  { RoutingPolicy::kRandom, "random" },
  { RoutingPolicy::kLeastInFlight, "least_in_flight" },
  { RoutingPolicy::kPowerOfTwo, "power_of_two" },
  { RoutingPolicy::kScored, "scored" },
} };

// Index of a backend server in the routing state of its service.
using ServerSlot = std::uint32_t;

// A backend server that may receive the attempt.
struct Candidate
{
  ServerSlot mSlot = 0;
  // Requests of this entry host that are in flight at the server.
  std::int64_t mInFlight = 0;
  // Expected cost of the request on the server in milliseconds; used only by kScored.
  double mScore = 0;
};

// Returns the index of the chosen candidate, or `std::nullopt` if there are no candidates.
// `aRandom` is a uniformly distributed 64-bit number.
std::optional<std::size_t>
Choose(RoutingPolicy aPolicy, std::span<const Candidate> aCandidates, std::uint64_t aRandom);

} // namespace trefoil
