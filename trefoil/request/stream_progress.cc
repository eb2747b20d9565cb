#include "trefoil/request/stream_progress.h"

namespace trefoil {

void
BeginAttempt(StreamProgress& aProgress, const AttemptId& aAttempt)
{
  aProgress.mAttempt = aAttempt;
  ++aProgress.mAttempts;
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
  return TokenFate::kForward;
}

NextStep
AfterFailure(const StreamProgress& aProgress, Instant aNow)
{
  const bool spent = aProgress.mAttempts >= aProgress.mMostAttempts;
  return spent || HasPassed(aProgress.mDeadline, aNow) ? NextStep::kGiveUp : NextStep::kRetry;
}

} // namespace trefoil
