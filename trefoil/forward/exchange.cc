#include "trefoil/forward/exchange.h"

#include "trefoil/forward/request_memory.h"
#include "trefoil/http/status_code.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace trefoil {
namespace {

// Retry-After value over quota: the time in which an account's bucket refills for one request.
constexpr Milliseconds kRetryAfterOverQuota{ 500 };
// Clients honor a Retry-After value only up to one third of their remaining time.
constexpr int kRetryAfterDivisor = 3;

} // namespace

Exchange::Exchange(TrafficState& aState,
                   const std::shared_ptr<ClientSession>& aSession,
                   HttpRequest aRequest,
                   EndCallback aOnEnd)
  : mState(aState)
  , mSession(aSession)
  , mRequest(std::move(aRequest))
  , mOnEnd(std::move(aOnEnd))
{
}

std::shared_ptr<Exchange>
Exchange::Begin(TrafficState& aState,
                const std::shared_ptr<ClientSession>& aSession,
                HttpRequest aRequest,
                EndCallback aOnEnd)
{
  auto exchange =
    std::make_shared<Exchange>(aState, aSession, std::move(aRequest), std::move(aOnEnd));
  try {
    exchange->Start();
  } catch (const std::exception&) {
    // Nobody else could end an attempt that has begun.
    exchange->OnClientGone();
    throw;
  }
  return exchange;
}

void
Exchange::Start()
{
  mArrivedAt = SuspendAwareNow();
  mState.mMetrics.Add(Counter::kRequests, 1);
  mMetadata = mState.mOptions.mCodec.mReadRequest(mRequest);
  mDeadline = mArrivedAt + mMetadata.mClientTimeout.value_or(Milliseconds{ 0 });
  if (!CheckMemory() || !CheckConnections() || !CheckRequest() || !CanEndBeforeStop() ||
      !CheckAccess() || !CheckCrashes() || !CheckQuota()) {
    return;
  }
  mDeadlineTimer =
    mState.mLoop.CallAt(mDeadline, [self = shared_from_this()] { self->OnDeadline(); });
  CountServiceRequest(mState.mRetries, mService, mArrivedAt);
  TryNextServer();
}

// Counts the request, and ends other clients if the budget is exhausted. Returns false if the
// request was refused because there is no room for it.
bool
Exchange::CheckMemory()
{
  mRequestBytes = MemoryOfRequest(mRequest, mMetadata);
  ChangeHeld(mState.mMemory, MemoryKind::kRequests, 0, mRequestBytes);
  if (MakeRoomForRequest(*mState.mRelief, mRequestBytes)) {
    return true;
  }
  mState.mMetrics.IncrementLabelled(LabelledCounter::kMemoryRefusals,
                                    NameOf(kMemoryRefusalNames, MemoryRefusal::kNoRoom));
  Refuse(kServiceUnavailable, RefusalReason::kNoMemory, RetryAfter(kRetryAfterFull));
  return false;
}

// Returns false if the request was refused because no connection to a server is left for it.
bool
Exchange::CheckConnections()
{
  if (mState.mMakeRoomForServerConnection()) {
    return true;
  }
  mState.mMetrics.IncrementLabelled(LabelledCounter::kMemoryRefusals,
                                    NameOf(kMemoryRefusalNames, MemoryRefusal::kConnectionLimit));
  Refuse(kServiceUnavailable, RefusalReason::kNoConnection, RetryAfter(kRetryAfterFull));
  return false;
}

// Determines route, service and deadline. Returns false if the request was answered with a
// refusal.
bool
Exchange::CheckRequest()
{
  if (!mState.mView || !mState.mView->mCatalogue) {
    Refuse(kServiceUnavailable, RefusalReason::kNoConfiguration, RetryAfter(kRetryAfterFull));
    return false;
  }
  mCatalogue = mState.mView->mCatalogue;
  // Servers could choose another of several values than this host (RFC 9112, section 3.2).
  if (mMetadata.mHost.empty() || mMetadata.mRequestId.empty() || mMetadata.mIsAmbiguous) {
    Refuse(kBadRequest, RefusalReason::kMalformedHead, std::nullopt);
    return false;
  }
  mRoute = FindRoute(
    mCatalogue->mCatalogue, mCatalogue->mIndex, mMetadata.mHost, PathOf(mRequest.mTarget));
  const RouteTarget* target = mRoute == nullptr ? nullptr : DrawTarget(*mRoute, mState.mRandom());
  if (target == nullptr) {
    Refuse(kNotFound, RefusalReason::kNoRoute, std::nullopt);
    return false;
  }
  mService = target->mService;
  if (mRoute->mTimeout > Milliseconds{ 0 }) {
    const Milliseconds timeout = mMetadata.mClientTimeout.value_or(mRoute->mTimeout);
    mDeadline = mArrivedAt + std::min(timeout, mRoute->mTimeout);
  }
  for (std::size_t i = 0; i + 1 < mMetadata.mPrompt.size(); ++i) {
    mSharedParts.push_back(PromptPartKeyOf(mService, mMetadata.mPrompt[i].mId));
  }
  if (mRoute->mUsesCacheAffinity && mMetadata.mPrompt.size() > 1) {
    for (std::size_t i = 0; i + 1 < mMetadata.mPrompt.size(); ++i) {
      mSharedTokens += mMetadata.mPrompt[i].mTokens;
    }
    mCacheKey = mMetadata.mPrompt[mMetadata.mPrompt.size() - 2].mId;
  }
  return true;
}

// Determines the account. Returns false if the request was answered with a refusal.
bool
Exchange::CheckAccess()
{
  const RequestAccess access =
    DecideAccess(mCatalogue->mCatalogue,
                 mCatalogue->mIndex,
                 { .mRoute = *mRoute,
                   .mKey = mMetadata.mKey,
                   .mConfigurationIsCurrent = mArrivedAt - mState.mView->mConfirmedCurrentAt <=
                                              mState.mOptions.mMaxConfigurationAge });
  mAccess = access.mDecision;
  mState.mMetrics.IncrementLabelled(LabelledCounter::kRequestAccess, AccessText());
  if (access.mDecision == AccessDecision::kStaleConfiguration) {
    // Counts toward the demand for the service and on the quota, although this host may not serve
    // the request.
    RecordPromptDemand();
    if (access.mAccount != nullptr) {
      RecordQuotaDemand(
        mState.mQuotas,
        access.mAccount->mName,
        QuotaCost(*access.mAccount, mMetadata.mPromptTokens + mMetadata.mOutputTokens),
        QuotaParametersNow(mState));
    }
    Refuse(kServiceUnavailable, RefusalReason::kStaleConfiguration, RetryAfter(kRetryAfterFull));
    return false;
  }
  if (!IsAdmitted(access.mDecision)) {
    Refuse(kUnauthorized, RefusalReason::kUnknownApiKey, std::nullopt);
    return false;
  }
  mAccount = access.mAccount;
  mAllowedRegions = RegionsAllowedFor(*mRoute, mAccount);
  return true;
}

// Returns false if the request was refused because it, or a part of its prompt, crashes servers.
bool
Exchange::CheckCrashes()
{
  mRequestKey =
    RequestKeyOf({ .mAccount = mAccount == nullptr ? ClientAccountId{} : mAccount->mName,
                   .mService = mService,
                   .mMethod = mRequest.mMethod,
                   .mTarget = mRequest.mTarget,
                   .mBody = mRequest.mBody });
  // The Retry-After values are not limited to the client's time: a client that came back within it
  // would be refused again.
  if (const auto until = RefusedUntil(mState.mCrashes, { mRequestKey }, mArrivedAt)) {
    Refuse(kServiceUnavailable, RefusalReason::kCrashesServers, Remaining(*until, mArrivedAt));
    return false;
  }
  if (const auto until = RefusedUntil(mState.mCrashes, mSharedParts, mArrivedAt)) {
    Refuse(
      kServiceUnavailable, RefusalReason::kPromptCrashesServers, Remaining(*until, mArrivedAt));
    return false;
  }
  return true;
}

// Returns false if the request was refused because the quota of its account is used up.
bool
Exchange::CheckQuota()
{
  if (mAccount != nullptr) {
    mQuotaCost = QuotaCost(*mAccount, mMetadata.mPromptTokens + mMetadata.mOutputTokens);
    mQuotaDecision =
      ConsumeQuota(mState.mQuotas, *mAccount, mQuotaCost, QuotaParametersNow(mState), mArrivedAt);
    if (!mQuotaDecision.mAllowed) {
      Refuse(kTooManyRequests, RefusalReason::kOverQuota, RetryAfter(kRetryAfterOverQuota));
      return false;
    }
    mQuotaConsumed = true;
  }
  RecordPromptDemand();
  return true;
}

// Returns the name of the access decision; empty before it.
std::string_view
Exchange::AccessText() const
{
  return mAccess.has_value() ? NameOf(kAccessDecisionNames, *mAccess) : std::string_view{};
}

void
Exchange::RecordPromptDemand()
{
  mState.mLoads[mService].mPromptTokens += static_cast<double>(mMetadata.mPromptTokens);
}

void
Exchange::OnDeadline()
{
  mDeadlineTimer = 0;
  if (mOver) {
    return;
  }
  if (mAttempt.has_value() && mAttempt->mSent) {
    CountPossibleRun();
    FinishAttempt(DispatchOutcome::kFailed, false);
  } else if (mAttempt.has_value()) {
    AbandonAttempt();
  }
  RecordAnswerTime(mState.mAnswerTimes, AnswerTimesName(), mArrivedAt, SuspendAwareNow());
  EndUnanswered(RefusalReason::kDeadlineExceeded);
}

void
Exchange::OnHostStops()
{
  if (mOver) {
    return;
  }
  if (mAttempt.has_value()) {
    if (mAttempt->mSent) {
      CountPossibleRun();
    }
    AbandonAttempt();
  }
  EndUnanswered(RefusalReason::kHostStops);
}

// Counts an attempt that ends here while its server may be running the request. A stream has run
// only if its answer has begun, which is counted then.
void
Exchange::CountPossibleRun()
{
  ++mPossibleRuns;
  if (mRoute->mKind != RouteKind::kStream) {
    CountUsage();
  }
}

// Ends a request whose attempts have ended.
void
Exchange::EndUnanswered(RefusalReason aReason)
{
  if (mStreaming) {
    AbortAnswer(aReason);
    return;
  }
  Refuse(mPossibleRuns > 0 ? kGatewayTimeout : kServiceUnavailable, aReason, std::nullopt);
}

// Returns the name under which the times of answers are kept. Streams share one: how long a stream
// takes follows from its request more than from its route, so that the streams of a route that were
// seen lately can all have been short.
std::string
Exchange::AnswerTimesName() const
{
  return mRoute->mKind == RouteKind::kStream
           ? std::string{ NameOf(kRouteKindNames, RouteKind::kStream) }
           : mRoute->mName;
}

// Returns false if the host stops too soon to finish the request, which was refused then. Its
// client can go to another host at once.
bool
Exchange::CanEndBeforeStop()
{
  if (!mState.mStopping || CanEndBefore(mState.mAnswerTimes,
                                        { .mRoute = AnswerTimesName(), .mDeadline = mDeadline },
                                        mState.mStopsAt,
                                        mArrivedAt)) {
    return true;
  }
  Refuse(kServiceUnavailable, RefusalReason::kHostStops, Milliseconds{ 0 });
  return false;
}

void
Exchange::OnClientGone()
{
  if (mOver) {
    return;
  }
  if (mAttempt.has_value()) {
    // Closing the connection makes the server stop the work. The outcome is not recorded, since it
    // is not caused by the server, except for the time that the server took.
    const Attempt attempt = ReleaseAttempt();
    CountForRoute(attempt, 0);
    Discard(*attempt.mConnection);
  }
  mState.mLog.Write(LogSeverity::kRoutine,
                    LogEvent::kRequestCancelled,
                    "id={} route={} dispatches={} ms={}",
                    mMetadata.mRequestId,
                    mRoute == nullptr ? "" : mRoute->mName,
                    mDispatches,
                    (SuspendAwareNow() - mArrivedAt) / Milliseconds{ 1 });
  End();
}

void
Exchange::Refuse(int aStatus, RefusalReason aReason, std::optional<Milliseconds> aRetryAfter)
{
  mState.mMetrics.Add(
    PromisesNotRun(aStatus) ? Counter::kRequestsNotRun : Counter::kRequestsMayHaveRun, 1);
  mState.mMetrics.IncrementLabelled(LabelledCounter::kRefusals,
                                    NameOf(kRefusalReasonNames, aReason));
  mState.mLog.Write(
    LogSeverity::kNotable,
    LogEvent::kRequestRefused,
    "id={} route={} account={} access={} service={} status={} reason={} dispatches={} version={} "
    "proof_age_ms={} quota_cost={:.0f} quota_level={:.0f} quota_probability={:.2f} "
    "quota_share={:.2f} quota_capacity={:.0f} quota_asked_per_s={:.0f} quota_allowance={:.0f} "
    "ms={}",
    mMetadata.mRequestId,
    mRoute == nullptr ? "" : mRoute->mName,
    mAccount == nullptr ? "" : mAccount->mName.Value(),
    AccessText(),
    mService.Value(),
    aStatus,
    NameOf(kRefusalReasonNames, aReason),
    mDispatches,
    mCatalogue ? mCatalogue->mCatalogue.mVersion : 0,
    mState.mView ? (SuspendAwareNow() - mState.mView->mConfirmedCurrentAt) / Milliseconds{ 1 } : 0,
    mQuotaCost,
    mQuotaDecision.mLevel,
    mQuotaDecision.mProbability,
    mState.mView ? mState.mView->mQuotaShare : 0,
    mQuotaDecision.mCapacity,
    mQuotaDecision.mAskedPerSecond,
    mQuotaDecision.mAllowanceLeft,
    (SuspendAwareNow() - mArrivedAt) / Milliseconds{ 1 });
  if (mQuotaConsumed && mDispatches == 0) {
    RefundQuota(mState.mQuotas, mAccount->mName, mQuotaCost);
  }
  mSession->SendAnswer(
    { .mStatus = aStatus,
      .mHeaders = mState.mOptions.mCodec.mOwnHeaders(mMetadata.mRequestId, aRetryAfter),
      .mBody = fmt::format("{}\n", NameOf(kRefusalReasonNames, aReason)) });
  End();
}

// Closes the client's connection before the answer is complete.
void
Exchange::AbortAnswer(RefusalReason aReason)
{
  mState.mLog.Write(LogSeverity::kNotable,
                    LogEvent::kRequestFailed,
                    "id={} route={} reason={} dispatches={} last_event={}",
                    mMetadata.mRequestId,
                    mRoute->mName,
                    NameOf(kRefusalReasonNames, aReason),
                    mDispatches,
                    mEvents.mLastId);
  const auto session = mSession;
  End();
  session->Abort();
}

void
Exchange::End()
{
  if (mOver) {
    return;
  }
  mOver = true;
  mState.mLoop.Cancel(std::exchange(mDeadlineTimer, 0));
  mState.mLoop.Cancel(std::exchange(mSilenceTimer, 0));
  ChangeHeld(mState.mMemory, MemoryKind::kRequests, std::exchange(mRequestBytes, 0), 0);
  SetServerError(std::nullopt);
  const ClientSession* session = mSession.get();
  mSession.reset();
  if (mOnEnd) {
    std::exchange(mOnEnd, nullptr)(session);
  }
}

// Keeps an error answer of a server, which takes memory until the request ends.
void
Exchange::SetServerError(std::optional<HttpResponse> aAnswer)
{
  const auto bytes = [](const std::optional<HttpResponse>& aHeld) {
    return aHeld.has_value() ? aHeld->mBody.size() : 0;
  };
  ChangeHeld(mState.mMemory, MemoryKind::kServerAnswers, bytes(mServerError), bytes(aAnswer));
  mServerError = std::move(aAnswer);
}

Milliseconds
Exchange::TimeLeft() const
{
  return Remaining(mDeadline, SuspendAwareNow());
}

Milliseconds
Exchange::RetryAfter(Milliseconds aDelay) const
{
  const Milliseconds timeout =
    mMetadata.mClientTimeout.value_or(aDelay * kRetryAfterDivisor) -
    std::chrono::duration_cast<Milliseconds>(SuspendAwareNow() - mArrivedAt);
  return std::clamp(
    aDelay, Milliseconds{ 0 }, std::max(Milliseconds{ 0 }, timeout / kRetryAfterDivisor));
}

} // namespace trefoil
