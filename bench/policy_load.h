// Generates the two loads on which policies are compared.
//
//   std::vector<SimulatedRequest> load = MakeLoad(LoadKind::kShortBursts, seed);
#pragma once

#include "bench/policy_engine.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <vector>

namespace trefoil::bench {

enum class LoadKind
{
  // Bursts of short urgent queries at the start of each tournament round, and some long reviews
  // of game histories.
  kShortBursts,
  // Mostly long reviews of season logs, with several requests for each log, and some short checks.
  kLongReviews,
};

inline constexpr NameTable<LoadKind, 2> kLoadKindNames{ {
  { LoadKind::kShortBursts, "moreton" },
  { LoadKind::kLongReviews, "quispe" },
} };

inline constexpr double kLoadMinutes = 15;
inline constexpr double kMsPerMinute = 60'000;

// Returns the requests of `kLoadMinutes` in order of arrival. Deterministic for a seed.
std::vector<SimulatedRequest>
MakeLoad(LoadKind aKind, std::uint64_t aSeed);

// Returns the expected work of a request in the unit of admission: one output token.
double
ExpectedWork(const SimulatedRequest& aRequest);

} // namespace trefoil::bench
