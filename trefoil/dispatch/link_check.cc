#include "trefoil/dispatch/link_check.h"

namespace trefoil {
namespace {

// A server that is crashing may accept connections for a moment.
constexpr Milliseconds kFirstAskDelay{ 60 };
constexpr Milliseconds kAskInterval{ 100 };
// Carriers may have lost their links too.
constexpr int kMaxAsked = 3;
// A server that has crashed may return after this time.
constexpr Milliseconds kMaxCheckTime{ 1'000 };

} // namespace

LinkCheck
BeginLinkCheck(Instant aLostAt)
{
  return { .mLostAt = aLostAt, .mAskAt = aLostAt + kFirstAskDelay };
}

LinkCheckStep
RecordCarrierOutcome(LinkCheck& aCheck, bool aIsReached, Instant aNow)
{
  const Instant until = aCheck.mLostAt + kMaxCheckTime;
  ++aCheck.mAsked;
  if (HasPassed(until, aNow)) {
    return LinkCheckStep::kGiveUp;
  }
  if (aIsReached) {
    aCheck.mReachedAt = aNow;
    return LinkCheckStep::kConnect;
  }
  aCheck.mAskAt = aNow + kAskInterval;
  return aCheck.mAsked < kMaxAsked && aCheck.mAskAt < until ? LinkCheckStep::kAsk
                                                            : LinkCheckStep::kGiveUp;
}

LinkCheckStep
RecordOwnOutcome(bool aIsConnected, bool aHasHealthCheck)
{
  if (!aIsConnected) {
    return LinkCheckStep::kLost;
  }
  return aHasHealthCheck ? LinkCheckStep::kAskHealth : LinkCheckStep::kGiveUp;
}

LinkCheckStep
RecordCarrierAnswer(LinkCheck& aCheck, bool aIsAnswered, Instant aNow)
{
  if (!aIsAnswered || HasPassed(aCheck.mLostAt + kMaxCheckTime, aNow)) {
    return LinkCheckStep::kGiveUp;
  }
  aCheck.mReachedAt = aNow;
  return LinkCheckStep::kTryHealth;
}

} // namespace trefoil
