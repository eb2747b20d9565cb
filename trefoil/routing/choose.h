// Chooses the backend server for an attempt.
//
//   std::optional<std::size_t> index = Choose(RoutingPolicy::kPowerOfTwo, candidates, random);
//
// Pure functions: the caller gathers the candidates and draws the random number.
#pragma once

#include "trefoil/base/ids.h"
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
};

inline constexpr NameTable<RoutingPolicy, 3> kRoutingPolicyNames{ {
  { RoutingPolicy::kRandom, "random" },
  { RoutingPolicy::kLeastInFlight, "least_in_flight" },
  { RoutingPolicy::kPowerOfTwo, "power_of_two" },
} };

// What is known of one backend server that may take the attempt.
struct Candidate
{
  BackendServerId mServer;
  // Requests of this entry host that the server runs now.
  std::int64_t mInFlight = 0;
};

// Returns the index of the candidate that takes the attempt, nothing if there are none. `aRandom`
// is a uniform 64-bit number.
std::optional<std::size_t>
Choose(RoutingPolicy aPolicy, std::span<const Candidate> aCandidates, std::uint64_t aRandom);

} // namespace trefoil
