// Chooses among candidates by a routing policy.
//
//   std::optional<std::size_t> index = Choose(RoutingPolicy::kPowerOfTwo, candidates, random);
//
// Pure functions: the caller gathers the candidates (routing_state.h) and draws the random number.
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
  // The less loaded of two drawn at random (Mitzenmacher, "The Power of Two Choices in Randomized
  // Load Balancing", 2001).
  kPowerOfTwo,
  // The least expected cost of the request, see score.h.
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

// What is known of one backend server that may take the attempt.
struct Candidate
{
  ServerSlot mSlot = 0;
  // Requests of this entry host that the server runs now.
  std::int64_t mInFlight = 0;
  // Expected cost of the request there in milliseconds; used by kScored alone.
  double mScore = 0;
};

// Returns the index of the candidate that takes the attempt, nothing if there are none. `aRandom`
// is a uniform 64-bit number.
std::optional<std::size_t>
Choose(RoutingPolicy aPolicy, std::span<const Candidate> aCandidates, std::uint64_t aRandom);

} // namespace trefoil
