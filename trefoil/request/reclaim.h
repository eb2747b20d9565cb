// Chooses how to continue a stream whose engine announced its termination.
//
//   const ReclaimInput input{ .mPromptTokens = 4000, .mTokensSoFar = 120 };
//   const ReclaimPlan plan = PlanReclaim(input, aNow);
//   if (plan.mChoice == ReclaimChoice::kTransfer) { ... export the KV cache ... }
//
// Finishing the stream or transferring its KV cache recomputes no tokens but has to fit into the
// notice period; resuming recomputes the whole context. Plain data and pure functions.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <string_view>

namespace trefoil {

enum class ReclaimChoice
{
  // The engine completes the stream before it terminates.
  kFinish,
  // Another engine continues from the exported KV cache.
  kTransfer,
  // Another engine continues from the prompt and the tokens generated so far.
  kResume,
};

inline constexpr NameTable<ReclaimChoice, 3> kReclaimChoiceNames{ {
  { ReclaimChoice::kFinish, "finish" },
  { ReclaimChoice::kTransfer, "transfer" },
  { ReclaimChoice::kResume, "resume" },
} };

// A stream on an engine that is about to terminate.
struct ReclaimInput
{
  std::int64_t mPromptTokens = 0;
  std::int64_t mTokensSoFar = 0;
  // Maximum number of tokens of the response.
  std::int64_t mMaxTokens = 0;
  // Observed generation rate of this stream; 0 if unknown.
  double mTokensPerSecond = 0;
  // Rate at which the engine exports its KV cache; 0 if it does not support the export.
  double mTransferTokensPerSecond = 0;
  // When the engine terminates.
  Instant mEndsAt;
};

struct ReclaimPlan
{
  ReclaimChoice mChoice = ReclaimChoice::kResume;
  // Number of tokens that another engine has to prefill again.
  std::int64_t mTokensRecomputed = 0;
};

// Returns kFinish if the rest of the response fits into the notice period, else kTransfer if the
// export of the KV cache fits, else kResume.
ReclaimPlan
PlanReclaim(const ReclaimInput& aInput, Instant aNow);

// Returns an estimate of the number of tokens in `aText`.
std::int64_t
EstimateTokens(std::string_view aText);

} // namespace trefoil
