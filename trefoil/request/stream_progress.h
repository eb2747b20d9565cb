// Tracks the progress of a streamed response across all its attempts.
//
//   StreamProgress progress{ .mRequest = id, .mDeadline = deadline };
//   BeginAttempt(progress, attempt);
//   const Token token{ .mAttempt = attempt, .mIndex = 0, .mText = "a" };
//   const bool forward = AcceptToken(progress, token) == TokenResult::kForward;
//   const bool retry = DecideRetry(progress, aNow) == RetryDecision::kRetry;
//
// A retry resumes after progress.mGenerated. Plain data and pure functions; the progress of a
// request is used by one thread only.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <string>

namespace trefoil {

// A token that an attempt generated.
struct Token
{
  AttemptId mAttempt;
  // Zero-based index in the whole response, not in the attempt.
  std::int64_t mIndex = 0;
  std::string mText;
};

struct StreamProgress
{
  RequestId mRequest;
  Instant mDeadline;
  // The current attempt. Tokens of all other attempts are dropped.
  AttemptId mAttempt;
  // Number of attempts that a server may have started.
  int mAttempts = 0;
  int mMaxAttempts = 8;
  // Number of all attempts, including those that no server started. Makes attempt IDs unique.
  int mAttemptNumber = 0;
  // Number of attempts that no server started since the last accepted token.
  int mNotStartedSinceToken = 0;
  // Text and number of the accepted tokens.
  std::string mGenerated;
  std::int64_t mTokens = 0;
};

enum class TokenResult
{
  // The token is the next one of the response.
  kForward,
  // The token is a duplicate or belongs to an abandoned attempt.
  kDrop,
  // At least one token before this one is missing. The attempt has failed.
  kGap,
};

inline constexpr NameTable<TokenResult, 3> kTokenResultNames{ {
  { TokenResult::kForward, "forward" },
  { TokenResult::kDrop, "drop" },
  { TokenResult::kGap, "gap" },
} };

enum class RetryDecision
{
  kRetry,
  kGiveUp,
};

// Makes `aAttempt` the current attempt. Tokens of earlier attempts are dropped from now on.
void
BeginAttempt(StreamProgress& aProgress, const AttemptId& aAttempt);

// Records that no server started the current attempt. The attempt does not count towards
// mMaxAttempts.
void
RecordAttemptNotStarted(StreamProgress& aProgress);

// Adds `aToken` to the response if it is the next token of the current attempt.
TokenResult
AcceptToken(StreamProgress& aProgress, const Token& aToken);

// Returns whether another attempt may follow a failed one. Returns kGiveUp after the deadline,
// after mMaxAttempts attempts, or if no server starts the request and it has no token yet.
RetryDecision
DecideRetry(const StreamProgress& aProgress, Instant aNow);

// Returns when the next attempt may start: `aNow` if every attempt since the last accepted token
// was started by a server; otherwise later, with a backoff that doubles with each attempt that was
// not.
Instant
RetryAt(const StreamProgress& aProgress, Instant aNow);

} // namespace trefoil
