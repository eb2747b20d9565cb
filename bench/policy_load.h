// The two loads that policies are compared on.
//
//   std::vector<ModelRequest> load = MakeLoad(LoadKind::kMoreton, seed);
#pragma once

#include "bench/policy_engine.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <vector>

namespace trefoil::bench {

enum class LoadKind
{
  // Rounds: bursts of short urgent queries about a tournament, some long reviews of histories.
  kMoreton,
  // Mostly long reviews of season logs, each asked about a few times, some short checks.
  kQuispe,
};

inline constexpr NameTable<LoadKind, 2> kLoadKindNames{ {
  { LoadKind::kMoreton, "moreton" },
  { LoadKind::kQuispe, "quispe" },
} };

inline constexpr double kLoadMinutes = 15;
inline constexpr double kMsPerMinute = 60'000;

// Returns the requests in the order of their arrival.
std::vector<ModelRequest>
MakeLoad(LoadKind aKind, std::uint64_t aSeed);

// Returns the expected work of a request as admission counts it.
double
ExpectedWork(const ModelRequest& aRequest);

} // namespace trefoil::bench
