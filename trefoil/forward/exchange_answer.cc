#include "trefoil/forward/exchange.h"
#include "trefoil/http/status_code.h"

#include <utility>

namespace trefoil {
namespace {

constexpr int kFirstServerError = 500;
// Bytes of one answer kept for a client that does not take them.
constexpr std::size_t kMaxUnsentBytes = std::size_t{ 4 } * 1024 * 1024;

} // namespace

bool
PromisesNotRun(int aStatus)
{
  return aStatus == kRequestTimeout || aStatus == kMisdirected || aStatus == kTooManyRequests ||
         aStatus == kUnavailable;
}

void
Exchange::OnServerBytes()
{
  const auto keep = shared_from_this();
  while (mAttempt.has_value()) {
    std::string& received = mAttempt->mConnection->mStream->Received();
    const ReadState state = mAttempt->mReader->Consume(received);
    if (state != ReadState::kHead && state != ReadState::kBody && state != ReadState::kComplete) {
      AttemptFailed(AttemptEnd::kBroken);
      return;
    }
    if (mAttempt->mReader->HeadDone() && !mAttempt->mHeadChecked && !CheckHead()) {
      return;
    }
    if (mAttempt->mSkipping && state == ReadState::kComplete) {
      mAttempt->mReader = MessageReader::ForAnswer({}, mRequest.mMethod != "HEAD");
      mAttempt->mHeadChecked = false;
      mAttempt->mSkipping = false;
      continue;
    }
    if (mAttempt->mHeadChecked && !mAttempt->mSkipping) {
      NoteBegun();
      Relay();
      if (mAttempt.has_value() && state == ReadState::kComplete) {
        OnWholeAnswer();
      }
    }
    return;
  }
}

// Returns false once the attempt is over.
bool
Exchange::CheckHead()
{
  Attempt& attempt = *mAttempt;
  attempt.mHeadChecked = true;
  const HttpAnswer& head = attempt.mReader->Answer();
  attempt.mFacts = mState.mOptions.mCodec.mReadAnswer(head);
  const bool own = attempt.mFacts.mRequestId == mFacts.mRequestId;
  const bool unnamed = attempt.mFacts.mRequestId.empty();
  if (!own && !unnamed) {
    // An answer to an earlier request of the connection; the right one may still follow.
    attempt.mSkipping = true;
    attempt.mSpoiled = true;
    return true;
  }
  if (attempt.mFacts.mOtherServer) {
    AttemptFailed(AttemptEnd::kOtherServer);
    return false;
  }
  if (attempt.mFacts.mNotRun) {
    AttemptFailed(AttemptEnd::kTurnedAway);
    return false;
  }
  const bool needsSeal = IsSuccess(head.mStatus) || PromisesNotRun(head.mStatus);
  if (unnamed || (needsSeal && !attempt.mFacts.mSealed)) {
    AttemptFailed(AttemptEnd::kBroken);
    return false;
  }
  return true;
}

// Counts the request for usage once its server has begun to answer it.
void
Exchange::NoteBegun()
{
  if (mAttempt->mBegun) {
    return;
  }
  const bool stream =
    mRoute->mKind == RouteKind::kStream && IsSuccess(mAttempt->mReader->Answer().mStatus);
  if (stream && mAttempt->mReader->Body().empty()) {
    return;
  }
  const Instant now = SuspendAwareNow();
  mAttempt->mBegun = true;
  ServerStatus& standing = StandingOf(mAttempt->mServer.mId);
  standing.mPendingTokens -= std::exchange(mAttempt->mPendingTokens, 0.0);
  if (stream && !mCacheKey.empty()) {
    RecordPrefill(
      mState.mReadRates[mService], mBasis.mWaiting + mBasis.mOwnTokens, now - mAttempt->mSentAt);
  }
  mBegunAt = mBegunAt.value_or(now);
  mState.mMetrics.Observe(stream ? Latency::kFirstToken : Latency::kPlainAnswer, now - mArrivedAt);
  CountUsage();
}

// Counts the request for the usage of its account, once.
void
Exchange::CountUsage()
{
  if (mAccount != nullptr && !std::exchange(mUsageCounted, true)) {
    const std::int64_t window = UnixMilliseconds(WallNow() + mState.mView->mClockCorrection) /
                                mState.mOptions.mUsageWindow.count();
    ++mState.mUsage[window][mAccount->mName];
  }
}

// Passes on the events of a stream that have arrived whole.
void
Exchange::Relay()
{
  const HttpAnswer& head = mAttempt->mReader->Answer();
  if (mRoute->mKind != RouteKind::kStream || !IsSuccess(head.mStatus)) {
    return;
  }
  std::string& body = mAttempt->mReader->Body();
  if (body.empty()) {
    return;
  }
  const std::string events = TakeWholeEvents(mEvents, body);
  body.clear();
  if (events.empty()) {
    return;
  }
  if (!mStreaming) {
    mStreaming = true;
    mSession->StartAnswer({ .mStatus = head.mStatus,
                            .mHeaders = mState.mOptions.mCodec.mClientHeaders(head.mHeaders) });
  }
  mSession->SendBody(events);
  if (mSession->Unsent() > kMaxUnsentBytes) {
    // The client takes nothing: it counts as gone.
    mSession->Abort();
    return;
  }
  ArmSilenceTimer();
}

void
Exchange::OnWholeAnswer()
{
  HttpAnswer answer = mAttempt->mReader->Answer();
  if (mRoute->mKind == RouteKind::kStream && IsSuccess(answer.mStatus)) {
    if (!mEvents.mRest.empty() || !mStreaming) {
      // The stream ended inside an event, or before its first one.
      AttemptFailed(AttemptEnd::kBroken);
      return;
    }
    FinishAttempt(DispatchOutcome::kServed, true);
    mSession->FinishAnswer();
    LogDone(answer.mStatus);
    End();
    return;
  }
  answer.mBody = std::move(mAttempt->mReader->Body());
  if (answer.mStatus >= kFirstServerError || (mRuns > 0 && PromisesNotRun(answer.mStatus))) {
    mServerError = std::move(answer);
    AttemptFailed(AttemptEnd::kServerError);
    return;
  }
  FinishAttempt(DispatchOutcome::kServed, true);
  DeliverAnswer(std::move(answer));
}

void
Exchange::DeliverAnswer(HttpAnswer aAnswer)
{
  if (mStreaming) {
    // A resumed stream cannot end with another status.
    CutOff(RefusalReason::kBrokenAnswer);
    return;
  }
  aAnswer.mHeaders = mState.mOptions.mCodec.mClientHeaders(aAnswer.mHeaders);
  mSession->SendWhole(aAnswer);
  LogDone(aAnswer.mStatus);
  End();
}

void
Exchange::LogDone(int aStatus)
{
  const Instant now = SuspendAwareNow();
  mState.mLog.Write(LogWeight::kRoutine,
                    LogEvent::kRequestDone,
                    "id={} route={} service={} status={} dispatches={} {} prompt={} shared={} "
                    "first_ms={} ms={}",
                    mFacts.mRequestId,
                    mRoute->mName,
                    mService.Value(),
                    aStatus,
                    mDispatches,
                    BasisText(),
                    mFacts.mPromptTokens,
                    mSharedTokens,
                    (mBegunAt.value_or(now) - mArrivedAt) / Milliseconds{ 1 },
                    (now - mArrivedAt) / Milliseconds{ 1 });
}

void
Exchange::OnServerEnd(StreamEnd aEnd)
{
  const auto keep = shared_from_this();
  if (!mAttempt.has_value()) {
    return;
  }
  if (aEnd == StreamEnd::kConnectFailed) {
    AttemptFailed(AttemptEnd::kConnectFailed);
    return;
  }
  if (aEnd == StreamEnd::kClosedByPeer && mAttempt->mHeadChecked && !mAttempt->mSkipping &&
      mAttempt->mReader->ConsumeEnd() == ReadState::kComplete) {
    OnWholeAnswer();
    return;
  }
  AttemptFailed(AttemptEnd::kBroken);
}

} // namespace trefoil
