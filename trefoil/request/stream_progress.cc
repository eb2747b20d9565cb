#include "trefoil/request/stream_progress.h"

#include <algorithm>

namespace trefoil {
namespace {

constexpr Milliseconds kInitialBackoff{ 20 };
constexpr Milliseconds kMaxBackoff{ 1000 };
// Number of doublings after which the backoff no longer grows.
constexpr int kMaxBackoffDoublings = 6;
// A request that has no token yet fails after this number of attempts that no server started.
constexpr int kMaxNotStartedAttempts = 10;

} // namespace

void
BeginAttempt(StreamProgress& aProgress, const AttemptId& aAttempt)
{
  aProgress.mAttempt = aAttempt;
  ++aProgress.mAttempts;
  ++aProgress.mAttemptNumber;
}

void
RecordAttemptNotStarted(StreamProgress& aProgress)
{
  aProgress.mAttempt = {};
  --aProgress.mAttempts;
  ++aProgress.mNotStartedSinceToken;
}

TokenResult
AcceptToken(StreamProgress& aProgress, const Token& aToken)
{
  if (aToken.mAttempt != aProgress.mAttempt || aToken.mIndex < aProgress.mTokens) {
    return TokenResult::kDrop;
  }
  if (aToken.mIndex > aProgress.mTokens) {
    return TokenResult::kGap;
  }
  aProgress.mGenerated += aToken.mText;
  ++aProgress.mTokens;
  aProgress.mNotStartedSinceToken = 0;
  return TokenResult::kForward;
}

RetryDecision
DecideRetry(const StreamProgress& aProgress, Instant aNow)
{
  const bool exhausted =
    aProgress.mAttempts >= aProgress.mMaxAttempts ||
    (aProgress.mTokens == 0 && aProgress.mNotStartedSinceToken >= kMaxNotStartedAttempts);
  return exhausted || HasPassed(aProgress.mDeadline, aNow) ? RetryDecision::kGiveUp
                                                           : RetryDecision::kRetry;
}

Instant
RetryAt(const StreamProgress& aProgress, Instant aNow)
{
  if (aProgress.mNotStartedSinceToken == 0) {
    return aNow;
  }
  const int doublings = std::min(aProgress.mNotStartedSinceToken - 1, kMaxBackoffDoublings);
  return aNow + std::min(kInitialBackoff * (1 << doublings), kMaxBackoff);
}

} // namespace trefoil
