#include "trefoil/forward/exchange.h"
#include "trefoil/forward/server_connector.h"
#include "trefoil/http/status_code.h"

#include <utility>

namespace trefoil {
namespace {

constexpr int kFirstServerError = 500;
// Bytes of one answer that are buffered for a client that reads too slowly.
constexpr std::size_t kMaxUnsentBytes = std::size_t{ 4 } * 1024 * 1024;
// Limits on the bytes of an answer that cannot be relayed yet: a plain answer, which is relayed
// when it is complete, and an event. A server that exceeds them is faulty.
constexpr std::size_t kMaxPlainAnswerBytes = std::size_t{ 8 } * 1024 * 1024;
constexpr std::size_t kMaxEventBytes = std::size_t{ 1 } * 1024 * 1024;
// Answers to other requests that may precede the expected one on its connection.
constexpr int kMaxStrayAnswers = 8;
// The time to the first event of a shorter prompt shows the delay of the network and of the
// server's scheduling rather than its prefill rate.
constexpr double kMinPrefillTokens = 4'000;
// The part of a prompt that may wait ahead of it without disturbing its prefill.
constexpr double kMaxWaitingShare = 0.1;

} // namespace

bool
PromisesNotRun(int aStatus)
{
  return aStatus == kRequestTimeout || aStatus == kMisdirectedRequest ||
         aStatus == kTooManyRequests || aStatus == kServiceUnavailable;
}

void
Exchange::OnServerBytes()
{
  const auto keep = shared_from_this();
  while (mAttempt.has_value()) {
    std::string& received = mAttempt->mConnection->mStream->Received();
    const MessageReadState state = mAttempt->mReader->Consume(received);
    if (state != MessageReadState::kHead && state != MessageReadState::kBody &&
        state != MessageReadState::kComplete) {
      OnAttemptFailed(AttemptFailure::kBroken);
      return;
    }
    if (mAttempt->mReader->IsHeadComplete() && !mAttempt->mHeadChecked && !CheckRequestHead()) {
      return;
    }
    if (mAttempt->mSkippingAnswer && state == MessageReadState::kComplete) {
      mAttempt->mReader = ResponseReader();
      mAttempt->mHeadChecked = false;
      mAttempt->mSkippingAnswer = false;
      continue;
    }
    if (mAttempt->mSkippingAnswer) {
      mAttempt->mStrayBytes += std::exchange(mAttempt->mReader->Body(), {}).size();
      if (mAttempt->mStrayBytes > kMaxPlainAnswerBytes) {
        OnAttemptFailed(AttemptFailure::kBroken);
        return;
      }
    }
    if (mAttempt->mHeadChecked && !mAttempt->mSkippingAnswer) {
      RecordAnswerBegun();
      RelayEvents();
      if (mAttempt.has_value() && !CheckBufferedBytes(state)) {
        return;
      }
      if (mAttempt.has_value() && state == MessageReadState::kComplete) {
        OnAnswerComplete();
      }
    }
    return;
  }
}

// Checks the head of the answer. Returns false if the attempt has ended.
bool
Exchange::CheckRequestHead()
{
  Attempt& attempt = *mAttempt;
  attempt.mHeadChecked = true;
  const HttpResponse& head = attempt.mReader->Response();
  attempt.mAnswerMetadata = mState.mOptions.mCodec.mReadAnswer(head);
  const bool matches = attempt.mAnswerMetadata.mRequestId == mMetadata.mRequestId;
  const bool withoutId = attempt.mAnswerMetadata.mRequestId.empty();
  const bool isStray = !matches && !withoutId;
  if (attempt.mAnswerMetadata.mIsAmbiguous ||
      (isStray && ++attempt.mStrayAnswers > kMaxStrayAnswers)) {
    OnAttemptFailed(AttemptFailure::kBroken);
    return false;
  }
  if (isStray) {
    // An answer to an earlier request on the connection. The expected answer may still follow.
    attempt.mSkippingAnswer = true;
    return true;
  }
  // On a kept connection, an answer without an id can be a late copy of an earlier one.
  if (withoutId && attempt.mConnection->mReused) {
    OnAttemptFailed(AttemptFailure::kBroken);
    return false;
  }
  if (attempt.mAnswerMetadata.mWrongServer) {
    OnAttemptFailed(AttemptFailure::kWrongServer);
    return false;
  }
  if (attempt.mAnswerMetadata.mSealed || attempt.mAnswerMetadata.mNotRun) {
    RecordStatedLimit();
    RecordBrittleness();
    RecordLeaving();
    if (attempt.mAnswerMetadata.mPause.has_value()) {
      RecordPause(StatusOfServer(attempt.mServer.mId),
                  attempt.mServer,
                  SuspendAwareNow() + *attempt.mAnswerMetadata.mPause);
    }
  }
  if (attempt.mAnswerMetadata.mNotRun) {
    OnAttemptFailed(AttemptFailure::kTurnedAway);
    return false;
  }
  const bool needsSeal = IsSuccess(head.mStatus) || PromisesNotRun(head.mStatus);
  if (withoutId || (needsSeal && !attempt.mAnswerMetadata.mSealed)) {
    OnAttemptFailed(AttemptFailure::kBroken);
    return false;
  }
  return true;
}

// Records the limit that the answer states for its server, or that it states none.
void
Exchange::RecordStatedLimit()
{
  const RegisteredServer& server = mAttempt->mServer;
  const StatedLimit& stated = mAttempt->mAnswerMetadata.mLimit;
  ServerLimit& limit = StatusOfServer(server.mId).mLimit;
  const double before = limit.mStated.mPerSecond;
  if (!ObserveLimit(limit,
                    { .mIncarnation = server.mIncarnation,
                      .mStated = stated,
                      .mRequestSentAt = mAttempt->mSentAt,
                      .mRandomValue = std::generate_canonical<double, 32>(mState.mRandom) },
                    SuspendAwareNow())) {
    return;
  }
  ReportLimit(mState, server.mId);
  const RefillRate part = OwnPartOfLimit(mState, server.mId, limit);
  mState.mLog.Write(LogSeverity::kNotable,
                    LogEvent::kServerLimited,
                    "server={} service={} statement={} per_second={:.3f} before={:.3f} "
                    "own_per_second={:.3f} id={}",
                    server.mId.Value(),
                    mService.Value(),
                    NameOf(kLimitStatementNames, stated.mKind),
                    stated.mPerSecond,
                    before,
                    stated.mKind == LimitStatement::kLimited ? part.mPerSecond : 0.0,
                    mMetadata.mRequestId);
}

// Records whether the server states that it is brittle, and a rejection if it is.
void
Exchange::RecordBrittleness()
{
  const RegisteredServer& server = mAttempt->mServer;
  const AnswerMetadata& answer = mAttempt->mAnswerMetadata;
  const Instant now = SuspendAwareNow();
  ServerStatus& status = StatusOfServer(server.mId);
  ObserveBrittleness(
    status.mBrittle, { .mIncarnation = server.mIncarnation, .mIsStated = answer.mIsBrittle }, now);
  const RejectionReport rejection{ .mServer = server.mId,
                                   .mIncarnation = server.mIncarnation,
                                   .mAt = now };
  if (!answer.mIsBrittle || !answer.mNotRun ||
      !RecordRejection(status.mBrittle, rejection, server.mSlots, now)) {
    return;
  }
  mState.mLog.Write(LogSeverity::kNotable,
                    LogEvent::kServerAvoided,
                    "server={} service={} reason=brittle id={} ms={}",
                    server.mId.Value(),
                    mService.Value(),
                    mMetadata.mRequestId,
                    Remaining(status.mBrittle.mPausedUntil, now).count());
  if (mState.mOnRejection) {
    mState.mOnRejection(rejection);
  }
}

// Records that the server leaves, if the answer states it. Its entry in the store can say so later.
void
Exchange::RecordLeaving()
{
  const RegisteredServer& server = mAttempt->mServer;
  ServerStatus& status = StatusOfServer(server.mId);
  if (!mAttempt->mAnswerMetadata.mLeaving || status.mLeavingIncarnation >= server.mIncarnation) {
    return;
  }
  status.mLeavingIncarnation = server.mIncarnation;
  mState.mLog.Write(LogSeverity::kNotable,
                    LogEvent::kServerAvoided,
                    "server={} service={} reason=leaving id={}",
                    server.mId.Value(),
                    mService.Value(),
                    mMetadata.mRequestId);
}

// Counts the bytes of the answer that cannot be relayed yet. Returns false if there are too many of
// them and the attempt has ended. A complete answer holds nothing for longer, so it is not ended
// for lack of memory: the request may have run, and must not run again.
bool
Exchange::CheckBufferedBytes(MessageReadState aState)
{
  const std::string& body = mAttempt->mReader->Body();
  const std::string& partialEvent = mEvents.mPartialEvent;
  const std::size_t buffered = body.capacity() + partialEvent.capacity();
  const std::size_t before = std::exchange(mAttempt->mBufferedBytes, buffered);
  ChangeHeld(mState.mMemory, MemoryKind::kServerAnswers, before, buffered);
  const bool isSound = body.size() + partialEvent.size() <= kMaxPlainAnswerBytes &&
                       partialEvent.size() <= kMaxEventBytes;
  bool fits = true;
  if (buffered > before && IsExhausted(mState.mMemory)) {
    // Clients give way first. If that does not suffice, answers that grow are ended.
    RelieveMemory(*mState.mRelief, 0);
    if (!mAttempt.has_value()) {
      return false;
    }
    fits = aState == MessageReadState::kComplete ||
           TotalHeldBytes(mState.mMemory) <= mState.mMemory.mLimits.mTotal;
  }
  if (isSound && fits) {
    return true;
  }
  OnAttemptFailed(AttemptFailure::kBroken);
  return false;
}

// Updates the backlog, latency and usage counts when the server begins to answer: for a successful
// stream when the first bytes of the body arrive, otherwise when the head is complete.
void
Exchange::RecordAnswerBegun()
{
  if (mAttempt->mAnswerBegun) {
    return;
  }
  const bool stream = IsSuccessfulStream();
  if (stream && mAttempt->mReader->Body().empty()) {
    return;
  }
  const Instant now = SuspendAwareNow();
  mAttempt->mAnswerBegun = true;
  RecordPathAnswer(mState, mAttempt->mServer, *mAttempt->mConnection);
  // An answer by way of another host shows nothing of the links of this one.
  if (mAttempt->mConnection->mVia.Empty()) {
    OnServerAnswered(mState, mAttempt->mServer.mId);
  }
  if (RecordServerAnswer(mState.mCrashes, mAttempt->mServer.mId, now)) {
    ReportCrashEvidence(mState, true);
  }
  ServerStatus& status = StatusOfServer(mAttempt->mServer.mId);
  status.mPendingTokens -= std::exchange(mAttempt->mPendingTokens, 0.0);
  if (stream && !mCacheKey.empty() && !MayContainInterruption(mState.mLinks, mAttempt->mSentAt)) {
    const Instant::duration prefillTime = now - mAttempt->mSentAt;
    RecordPrefill(
      mState.mPrefillRates[mService], mBasis.mWaitingTokens + mBasis.mUncachedTokens, prefillTime);
    RecordUndisturbedPrefill(prefillTime);
  }
  if (IsServedAlikeEverywhere() && mAttempt->mConnection->mVia.Empty()) {
    RecordZoneTime(mState.mZoneChoices[mService],
                   { .mIsOwnZone = mAttempt->mServer.mZone == mState.mOptions.mZone,
                     .mTime = std::chrono::duration_cast<Milliseconds>(now - mAttempt->mSentAt) },
                   now);
  }
  mAnswerBegunAt = mAnswerBegunAt.value_or(now);
  mState.mMetrics.Observe(stream ? Latency::kFirstToken : Latency::kPlainResponse,
                          now - mArrivedAt);
  CountUsage();
}

// Counts the prefill toward the rate by which the service is scaled, unless other prompts were
// waiting at the server or the prompt is too short to show the rate.
void
Exchange::RecordUndisturbedPrefill(Instant::duration aTime)
{
  if (mBasis.mUncachedTokens < kMinPrefillTokens ||
      mBasis.mWaitingTokens > kMaxWaitingShare * mBasis.mUncachedTokens) {
    return;
  }
  ServiceLoad& load = mState.mLoads[mService];
  load.mPrefillTokens += mBasis.mUncachedTokens;
  load.mPrefillMs += std::chrono::duration<double, std::milli>(aTime).count();
}

// Adds the request to the usage of its account. Has no effect on further calls.
void
Exchange::CountUsage()
{
  if (mAccount != nullptr && !std::exchange(mUsageCounted, true)) {
    const std::int64_t window = UnixMilliseconds(WallNow() + mState.mView->mClockCorrection) /
                                mState.mOptions.mUsageWindow.count();
    ++mState.mUsage[window][mAccount->mName];
  }
}

bool
Exchange::IsSuccessfulStream() const
{
  return mRoute->mKind == RouteKind::kStream && IsSuccess(mAttempt->mReader->Response().mStatus);
}

// Relays the complete events of a successful stream to the client.
void
Exchange::RelayEvents()
{
  if (!IsSuccessfulStream()) {
    return;
  }
  const HttpResponse& head = mAttempt->mReader->Response();
  std::string& body = mAttempt->mReader->Body();
  if (body.empty()) {
    return;
  }
  const std::int64_t eventsBefore = mEvents.mEvents;
  const std::string events = ExtractCompleteEvents(mEvents, body);
  body.clear();
  if (events.empty()) {
    return;
  }
  RecordEventTime(mEvents.mEvents - eventsBefore);
  ReportPromptAnswer();
  if (!mStreaming) {
    mStreaming = true;
    mSession->StartAnswer({ .mStatus = head.mStatus,
                            .mHeaders = mState.mOptions.mCodec.mClientHeaders(head.mHeaders) });
  }
  mSession->SendBody(events);
  if (mSession->Unsent() > kMaxUnsentBytes) {
    // The client does not read the answer, so it is considered gone.
    mSession->Abort();
    return;
  }
  ArmSilenceTimer();
}

// Counts the time since the last events toward the speed of the server. By way of another host it
// would be that of the carrier, too.
void
Exchange::RecordEventTime(std::int64_t aEvents)
{
  const Instant now = SuspendAwareNow();
  const Instant before = std::exchange(mAttempt->mLastEventsAt, now);
  if (before == Instant{} || !mAttempt->mConnection->mVia.Empty()) {
    return;
  }
  const EventTotals added{ .mEvents = static_cast<double>(aEvents),
                           .mSeconds = std::chrono::duration<double>(now - before).count() };
  ServerStatus& status = StatusOfServer(mAttempt->mServer.mId);
  RecordEvents(status.mSpeed, added, now);
  status.mOwnEvents.mEvents += added.mEvents;
  status.mOwnEvents.mSeconds += added.mSeconds;
}

// Returns whether an answer that ends with its connection is a stream that was cut off: within an
// event, or before the first one of this attempt, where its end cannot be told from a crash. A
// stream with a length or chunks can end without an event, if it was resumed after the last one.
bool
Exchange::IsCutOffStream() const
{
  return IsSuccessfulStream() && (!mEvents.mPartialEvent.empty() || !mAttempt->mIsSound);
}

void
Exchange::OnAnswerComplete()
{
  HttpResponse answer = mAttempt->mReader->Response();
  if (IsSuccessfulStream()) {
    if (!mEvents.mPartialEvent.empty() || !mStreaming) {
      // The stream ended within an event or before the first event.
      OnAttemptFailed(AttemptFailure::kBroken);
      return;
    }
    ReportCompletion();
    FinishAttempt(DispatchOutcome::kServed, true);
    mSession->FinishAnswer();
    LogCompletion(answer.mStatus);
    End();
    return;
  }
  ReportPromptAnswer();
  ReportCompletion();
  answer.mBody = std::move(mAttempt->mReader->Body());
  if (answer.mStatus >= kFirstServerError ||
      (mPossibleRuns > 0 && PromisesNotRun(answer.mStatus))) {
    SetServerError(std::move(answer));
    OnAttemptFailed(AttemptFailure::kServerError);
    return;
  }
  FinishAttempt(DispatchOutcome::kServed, true);
  DeliverAnswer(std::move(answer));
}

void
Exchange::DeliverAnswer(HttpResponse aAnswer)
{
  if (mStreaming) {
    // The status of a stream has already been sent and cannot change when the stream is resumed.
    AbortAnswer(RefusalReason::kBrokenAnswer);
    return;
  }
  aAnswer.mHeaders = mState.mOptions.mCodec.mClientHeaders(aAnswer.mHeaders);
  mSession->SendAnswer(aAnswer);
  LogCompletion(aAnswer.mStatus);
  End();
}

void
Exchange::LogCompletion(int aStatus)
{
  const Instant now = SuspendAwareNow();
  RecordAnswerTime(mState.mAnswerTimes, AnswerTimesName(), mArrivedAt, now);
  mState.mLog.Write(
    LogSeverity::kRoutine,
    LogEvent::kRequestDone,
    "id={} route={} account={} access={} service={} status={} dispatches={} {} prompt={} "
    "shared={} quota_cost={:.0f} quota_level={:.0f} first_ms={} ms={} parts={}",
    mMetadata.mRequestId,
    mRoute->mName,
    mAccount == nullptr ? "" : mAccount->mName.Value(),
    AccessText(),
    mService.Value(),
    aStatus,
    mDispatches,
    BasisText(),
    mMetadata.mPromptTokens,
    mSharedTokens,
    mQuotaCost,
    mQuotaDecision.mLevel,
    (mAnswerBegunAt.value_or(now) - mArrivedAt) / Milliseconds{ 1 },
    (now - mArrivedAt) / Milliseconds{ 1 },
    SharedPartsText());
}

void
Exchange::OnServerEnd(StreamEnd aEnd)
{
  const auto keep = shared_from_this();
  if (!mAttempt.has_value()) {
    return;
  }
  const bool isComplete = aEnd == StreamEnd::kClosedByPeer && mAttempt->mHeadChecked &&
                          !mAttempt->mSkippingAnswer &&
                          mAttempt->mReader->ConsumeEof() == MessageReadState::kComplete;
  if (isComplete && !IsCutOffStream()) {
    OnAnswerComplete();
    return;
  }
  const ServerConnection& connection = *mAttempt->mConnection;
  CheckPath(mState, mAttempt->mServer, connection);
  // The host that carries the connection may have ended.
  const bool isCarrierSuspect = !connection.mVia.Empty() && aEnd == StreamEnd::kReset;
  const bool isCutOff = connection.mVia.Empty() && !mAttempt->mAnswerBegun &&
                        RecordPathUnanswered(mState, mAttempt->mServer, connection);
  // A request that crashes its servers leaves the host without answers too, so that it is blamed
  // until the links turn out to be lost.
  if (mAttempt->mIsServerBlamed && !isCarrierSuspect) {
    RecordLostServer(AttemptFailure::kBroken);
    ReportCrash();
  }
  mAttempt->mIsServerBlamed = mAttempt->mIsServerBlamed && !isCarrierSuspect && !isCutOff;
  OnAttemptFailed(AttemptFailure::kBroken);
}

} // namespace trefoil
