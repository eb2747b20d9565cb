// How far a streamed answer has come, over all attempts.
//
//   StreamProgress progress{ .mRequest = id, .mDeadline = deadline };
//   BeginAttempt(progress, attempt);
//   if (Accept(progress, { .mAttempt = attempt, .mIndex = 0, .mText = "a" }) ==
//   TokenFate::kForward) { ... } if (AfterFailure(progress, aNow) == NextStep::kRetry) { ... resume
//   from progress.mGenerated ... }
//
// Plain data and pure functions; one request belongs to one thread.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <string>

namespace trefoil {

// One token of an attempt.
struct Token
{
  AttemptId mAttempt;
  // Its place in the whole answer, from 0.
  std::int64_t mIndex = 0;
  std::string mText;
};

struct StreamProgress
{
  RequestId mRequest;
  Instant mDeadline;
  // The attempt whose tokens count now.
  AttemptId mAttempt;
  // Attempts that may have run.
  int mAttempts = 0;
  int mMaxAttempts = 8;
  // Rises with each attempt, so that each has its own id.
  int mNumber = 0;
  // Attempts in a row that no server started.
  int mNotStarted = 0;
  std::string mGenerated;
  std::int64_t mTokens = 0;
};

enum class TokenFate
{
  // The next token of the answer.
  kForward,
  // A repeat, or a token of an attempt that was given up.
  kDrop,
  // A token is missing before it: the attempt is broken.
  kGap,
};

inline constexpr NameTable<TokenFate, 3> kTokenFateNames{ {
  { TokenFate::kForward, "forward" },
  { TokenFate::kDrop, "drop" },
  { TokenFate::kGap, "gap" },
} };

enum class NextStep
{
  kRetry,
  kGiveUp,
};

// Starts to count the tokens of `aAttempt` and of no other.
void
BeginAttempt(StreamProgress& aProgress, const AttemptId& aAttempt);

// Takes the current attempt back: no server started it.
void
AttemptNotStarted(StreamProgress& aProgress);

// Takes a token in if it is the next one.
TokenFate
Accept(StreamProgress& aProgress, const Token& aToken);

// Says whether another attempt may follow one that failed.
NextStep
AfterFailure(const StreamProgress& aProgress, Instant aNow);

// Returns when the next attempt may follow: at once after one that ran, with growing pauses while
// no server starts one.
Instant
RetryAt(const StreamProgress& aProgress, Instant aNow);

} // namespace trefoil
