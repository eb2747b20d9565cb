#include "trefoil/request/stream_progress.h"

#include <algorithm>

namespace trefoil {
namespace {

constexpr Milliseconds kFirstPause{ 20 };
constexpr Milliseconds kLongestPause{ 1000 };
// Doublings of the pause beyond which it no longer grows.
constexpr int kMaxDoublings = 6;
// A request without a token is given up after so many attempts in a row that no server started.
constexpr int kMaxNotStarted = 10;

} // namespace

void
BeginAttempt(StreamProgress& aProgress, const AttemptId& aAttempt)
{
  aProgress.mAttempt = aAttempt;
  ++aProgress.mAttempts;
  ++aProgress.mNumber;
}

void
AttemptNotStarted(StreamProgress& aProgress)
{
  aProgress.mAttempt = {};
  --aProgress.mAttempts;
  ++aProgress.mNotStarted;
}

TokenFate
Accept(StreamProgress& aProgress, const Token& aToken)
{
  if (aToken.mAttempt != aProgress.mAttempt || aToken.mIndex < aProgress.mTokens) {
    return TokenFate::kDrop;
  }
  if (aToken.mIndex > aProgress.mTokens) {
    return TokenFate::kGap;
  }
  aProgress.mGenerated += aToken.mText;
  ++aProgress.mTokens;
  aProgress.mNotStarted = 0;
  return TokenFate::kForward;
}

NextStep
AfterFailure(const StreamProgress& aProgress, Instant aNow)
{
  const bool spent = aProgress.mAttempts >= aProgress.mMaxAttempts ||
                     (aProgress.mTokens == 0 && aProgress.mNotStarted >= kMaxNotStarted);
  return spent || HasPassed(aProgress.mDeadline, aNow) ? NextStep::kGiveUp : NextStep::kRetry;
}

Instant
RetryAt(const StreamProgress& aProgress, Instant aNow)
{
  if (aProgress.mNotStarted == 0) {
    return aNow;
  }
  const int doublings = std::min(aProgress.mNotStarted - 1, kMaxDoublings);
  return aNow + std::min(kFirstPause * (1 << doublings), kLongestPause);
}

} // namespace trefoil
