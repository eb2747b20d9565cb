// What to do with a stream whose engine announced that it leaves.
//
//   const ReclaimPlan plan = PlanReclaim({ .mPromptTokens = 4000, .mTokensSoFar = 120, ... },
//   aNow); if (plan.mChoice == ReclaimChoice::kTransfer) { ... export the KV cache ... }
//
// Chooses the way that recomputes the fewest tokens among those that fit into the notice. Plain
// data and pure functions.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <string_view>

namespace trefoil {

enum class ReclaimChoice
{
  // The engine completes the stream before it leaves.
  kFinish,
  // Another engine goes on from the exported KV cache.
  kTransfer,
  // Another engine goes on from the prompt and the tokens so far.
  kResume,
};

inline constexpr NameTable<ReclaimChoice, 3> kReclaimChoiceNames{ {
  { ReclaimChoice::kFinish, "finish" },
  { ReclaimChoice::kTransfer, "transfer" },
  { ReclaimChoice::kResume, "resume" },
} };

// A stream on an engine that is leaving.
struct ReclaimView
{
  std::int64_t mPromptTokens = 0;
  std::int64_t mTokensSoFar = 0;
  // The longest that the answer can become.
  std::int64_t mMaxTokens = 0;
  // As observed on this stream; 0 if unknown.
  double mTokensPerSecond = 0;
  // How fast the engine exports its KV cache; 0 if it does not.
  double mTransferTokensPerSecond = 0;
  // When the engine ends.
  Instant mEndsAt;
};

struct ReclaimPlan
{
  ReclaimChoice mChoice = ReclaimChoice::kResume;
  // What another engine has to prefill again.
  std::int64_t mTokensRecomputed = 0;
};

ReclaimPlan
PlanReclaim(const ReclaimView& aView, Instant aNow);

// Returns about how many tokens `aText` has.
std::int64_t
EstimateTokens(std::string_view aText);

} // namespace trefoil
