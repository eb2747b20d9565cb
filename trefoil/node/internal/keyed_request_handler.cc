#include "trefoil/node/internal/keyed_request_handler.h"

#include "trefoil/base/digest.h"
#include "trefoil/frontend/verdict_response.h"
#include "trefoil/idempotency/key_date.h"
#include "trefoil/idempotency/ticket_codec.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <utility>

namespace trefoil {
namespace {

// Maximum time that a claim waits for the store.
constexpr Milliseconds kMaxClaimWait{ 2'500 };
// Time beyond a claim's deadline within which the control thread must answer.
constexpr Milliseconds kControlThreadGrace{ 500 };
constexpr std::string_view kForwardedHeader = "X-Trefoil-Forwarded";
constexpr std::string_view kRecordedHeader = "X-Trefoil-Recorded";
constexpr std::string_view kFirstAttempt = "1";
constexpr std::string_view kRetryAfterSeconds = "1";
constexpr int kHttpCreated = 201;
constexpr std::size_t kKeyDigestDigits = 32;
const ClaimOptions kClaimOptions;

std::string
DigestOfKey(const KeyedRequest& aRequest)
{
  const std::string_view key = HeaderValue(aRequest.mRequest.mHeaders, kIdempotencyKeyHeader);
  return Sha256Hex(fmt::format("{}\n{}\n{}",
                               aRequest.mCaller.mDocument->mService.Value(),
                               aRequest.mCaller.mAccount.Value(),
                               key))
    .substr(0, kKeyDigestDigits);
}

std::string
DigestOfRequest(const HttpRequest& aRequest)
{
  return Sha256Hex(fmt::format("{}\n{}\n{}", aRequest.mMethod, aRequest.mTarget, aRequest.mBody));
}

// Returns the verdict of a request that was not dispatched this time: may have run, unless the
// caller asserts that it is the first sending.
Verdict
VerdictWithoutDispatch(const HttpRequest& aRequest)
{
  const bool first = HeaderValue(aRequest.mHeaders, kAttemptHeader) == kFirstAttempt;
  return first ? Verdict::kNotRun : Verdict::kMayHaveRun;
}

HttpResponse
Refuse(const RequestId& aId, Verdict aVerdict, absl::Status aStatus)
{
  HttpResponse answer = RenderFailure(aId, { .mVerdict = aVerdict, .mStatus = std::move(aStatus) });
  SetHeader(answer.mHeaders, "Retry-After", kRetryAfterSeconds);
  return answer;
}

ClaimOutcome
OutcomeOf(const HttpResult& aResult)
{
  if (const auto* failure = std::get_if<Failure>(&aResult)) {
    const bool notRun = failure->mVerdict == Verdict::kNotRun;
    return { .mStage = notRun ? ClaimStage::kNotRun : ClaimStage::kMayHaveRun };
  }
  const auto& answer = std::get<HttpResponse>(aResult);
  ClaimOutcome outcome{ .mStage = ClaimStage::kRan,
                        .mHttpStatus = answer.mStatus,
                        .mBodySha256 = Sha256Hex(answer.mBody) };
  if (answer.mBody.size() <= kMaxRecordedBodyBytes) {
    outcome.mBody = answer.mBody;
  }
  return outcome;
}

HttpResponse
RenderResult(const RequestId& aId, const HttpResult& aResult)
{
  if (const auto* failure = std::get_if<Failure>(&aResult)) {
    return RenderFailure(aId, *failure);
  }
  HttpResponse answer = std::get<HttpResponse>(aResult);
  AddVerdictHeaders(answer, aId, Verdict::kRan);
  return answer;
}

// Returns a response with the recorded outcome of an earlier request with the same key.
HttpResponse
RenderRecorded(const RequestId& aId, const ClaimOutcome& aOutcome)
{
  if (aOutcome.mStage != ClaimStage::kRan) {
    return Refuse(aId,
                  Verdict::kMayHaveRun,
                  absl::UnavailableError("the earlier request with this key got no answer"));
  }
  HttpResponse answer{ .mStatus = aOutcome.mHttpStatus, .mBody = aOutcome.mBody };
  SetHeader(answer.mHeaders, kRecordedHeader, aOutcome.mBodySha256);
  AddVerdictHeaders(answer, aId, Verdict::kRan);
  return answer;
}

HttpResponse
RefuseUnclaimed(const KeyedRequest& aRequest, ClaimAnswer aAnswer)
{
  const RequestId& id = aRequest.mId;
  switch (aAnswer) {
    case ClaimAnswer::kInProgress:
      return Refuse(id,
                    Verdict::kMayHaveRun,
                    absl::AbortedError("an earlier request with this key is running"));
    case ClaimAnswer::kOtherRequest:
      return Refuse(
        id, Verdict::kNotRun, absl::InvalidArgumentError("the key was used with another request"));
    case ClaimAnswer::kExpired:
      return Refuse(
        id, Verdict::kMayHaveRun, absl::FailedPreconditionError("the key is past its retention"));
    case ClaimAnswer::kFull:
      return Refuse(
        id, Verdict::kNotRun, absl::ResourceExhaustedError("too many keys of this time"));
    default:
      return Refuse(id,
                    VerdictWithoutDispatch(aRequest.mRequest),
                    absl::UnavailableError("the store does not answer; a ticket needs none"));
  }
}

HttpResponse
RefuseKeyDate(const KeyedRequest& aRequest, std::optional<WallTime> aDate)
{
  if (!aDate.has_value()) {
    return Refuse(aRequest.mId,
                  Verdict::kNotRun,
                  absl::InvalidArgumentError("the idempotency key must be a UUID of version 7 or "
                                             "'SECONDS-TEXT', seconds since 1970"));
  }
  return Refuse(aRequest.mId,
                Verdict::kMayHaveRun,
                absl::FailedPreconditionError(
                  fmt::format("the key's date is over {} s old or ahead of the calendar",
                              kClaimOptions.mRetentionMilliseconds / 1000)));
}

// Claims the key through the control thread. Returns std::nullopt if the control thread did not
// answer in time; the claim is then completed as not run, since this request is not dispatched.
std::optional<AnswerClaim>
RequestClaim(const TrafficContext& aContext,
             const SlotId& aSlot,
             const ClaimRecord& aRecord,
             Instant aDeadline)
{
  auto decided = aContext.mRequestBroker->PostAndWait<AnswerClaim>(
    aDeadline + kControlThreadGrace, [&](std::uint64_t aWaiter) {
      return ClaimRequested{
        .mWaiter = aWaiter, .mSlot = aSlot, .mRecord = aRecord, .mDeadline = aDeadline
      };
    });
  if (!decided.has_value()) {
    ClaimRecord record = aRecord;
    record.mOutcome.mStage = ClaimStage::kNotRun;
    aContext.mRequestBroker->Post(ClaimCompleted{ .mSlot = aSlot, .mRecord = record });
  }
  return decided;
}

HttpResponse
ServeWithClaim(const TrafficContext& aContext,
               const KeyedRequest& aRequest,
               const Dispatch& aDispatch)
{
  const std::string_view key = HeaderValue(aRequest.mRequest.mHeaders, kIdempotencyKeyHeader);
  const auto date = DateOfKey(key);
  if (!date.has_value() || AgeOfKey(kClaimOptions, *date, WallNow()) != KeyAge::kValid) {
    return RefuseKeyDate(aRequest, date);
  }
  ClaimRecord record{ .mKey = DigestOfKey(aRequest),
                      .mNonce = RandomHex(),
                      .mClaimant = aContext.mHost,
                      .mRequestSha256 = DigestOfRequest(aRequest.mRequest) };
  const SlotId slot = SlotOf(kClaimOptions, record.mKey, *date);
  const Instant deadline = std::min(aRequest.mCaller.mDeadline, Now() + kMaxClaimWait);
  const auto decided = RequestClaim(aContext, slot, record, deadline);
  if (!decided.has_value()) {
    return RefuseUnclaimed(aRequest, ClaimAnswer::kStoreUnavailable);
  }
  if (decided->mAnswer == ClaimAnswer::kRecorded) {
    return RenderRecorded(aRequest.mId, decided->mRecord.mOutcome);
  }
  if (decided->mAnswer != ClaimAnswer::kDispatch) {
    return RefuseUnclaimed(aRequest, decided->mAnswer);
  }
  const HttpResult result = aDispatch();
  record.mOutcome = OutcomeOf(result);
  aContext.mRequestBroker->Post(ClaimCompleted{ .mSlot = slot, .mRecord = record });
  return RenderResult(aRequest.mId, result);
}

// Forwards a request to the host that minted its ticket, unless it has been forwarded before.
HttpResponse
ForwardToMintingHost(const KeyedRequest& aRequest, const Ticket& aTicket)
{
  const bool forwardedBefore = !HeaderValue(aRequest.mRequest.mHeaders, kForwardedHeader).empty();
  HttpResult result = Failure{ .mVerdict = Verdict::kNotRun };
  if (!forwardedBefore) {
    HttpRequest request = aRequest.mRequest;
    SetHeader(request.mHeaders, kForwardedHeader, "1");
    result = Call({ .mServer = aTicket.mEndpoint,
                    .mRequest = std::move(request),
                    .mDeadline = aRequest.mCaller.mDeadline });
  }
  if (const auto* failure = std::get_if<Failure>(&result)) {
    const Verdict verdict = failure->mVerdict == Verdict::kNotRun
                              ? VerdictWithoutDispatch(aRequest.mRequest)
                              : failure->mVerdict;
    return Refuse(
      aRequest.mId, verdict, absl::UnavailableError("the ticket's host does not answer"));
  }
  return std::get<HttpResponse>(std::move(result));
}

HttpResponse
RefuseTicket(const RequestId& aId, TicketDecision aDecision)
{
  switch (aDecision) {
    case TicketDecision::kInProgress:
      return Refuse(
        aId, Verdict::kMayHaveRun, absl::AbortedError("the ticket's request is running"));
    case TicketDecision::kOtherRequest:
      return Refuse(aId,
                    Verdict::kNotRun,
                    absl::InvalidArgumentError("the ticket was used with another request"));
    case TicketDecision::kFull:
      return Refuse(
        aId, Verdict::kNotRun, absl::ResourceExhaustedError("too many tickets are in use"));
    case TicketDecision::kExpired:
      return Refuse(
        aId, Verdict::kMayHaveRun, absl::FailedPreconditionError("the ticket has expired"));
    default:
      return Refuse(aId,
                    Verdict::kMayHaveRun,
                    absl::UnavailableError("the host that minted the ticket has ended"));
  }
}

HttpResponse
ServeOwnTicket(const TrafficContext& aContext,
               const KeyedRequest& aRequest,
               const Ticket& aTicket,
               const Dispatch& aDispatch)
{
  const auto decided = aContext.mRequestBroker->PostAndWait<AnswerTicketUse>(
    aRequest.mCaller.mDeadline, [&](std::uint64_t aWaiter) {
      return TicketUsed{ .mWaiter = aWaiter,
                         .mTicket = aTicket,
                         .mRequestSha256 = DigestOfRequest(aRequest.mRequest),
                         .mNow = WallNow() };
    });
  if (!decided.has_value()) {
    return RefuseTicket(aRequest.mId, TicketDecision::kInProgress);
  }
  switch (decided->mAnswer.mDecision) {
    case TicketDecision::kDispatch:
      break;
    case TicketDecision::kRecorded:
      return RenderRecorded(aRequest.mId, decided->mAnswer.mOutcome);
    default:
      return RefuseTicket(aRequest.mId, decided->mAnswer.mDecision);
  }
  const HttpResult result = aDispatch();
  aContext.mRequestBroker->Post(
    TicketRequestCompleted{ .mSerial = aTicket.mSerial, .mOutcome = OutcomeOf(result) });
  return RenderResult(aRequest.mId, result);
}

HttpResponse
ServeTicket(const TrafficContext& aContext, const KeyedRequest& aRequest, const Dispatch& aDispatch)
{
  const std::string_view key = HeaderValue(aRequest.mRequest.mHeaders, kIdempotencyKeyHeader);
  const auto ticket = DecodeTicket(key, aContext.mClusterSecret);
  if (aContext.mClusterSecret.empty() || !ticket.ok()) {
    return Refuse(aRequest.mId,
                  Verdict::kNotRun,
                  absl::PermissionDeniedError("the ticket was not minted by this system"));
  }
  if (ticket->mAccount != aRequest.mCaller.mAccount ||
      ticket->mService != aRequest.mCaller.mDocument->mService) {
    return RefuseTicket(aRequest.mId, TicketDecision::kOtherRequest);
  }
  if (ticket->mHost != aContext.mHost) {
    return ForwardToMintingHost(aRequest, *ticket);
  }
  return ServeOwnTicket(aContext, aRequest, *ticket, aDispatch);
}

} // namespace

bool
HasIdempotencyKey(const HttpRequest& aRequest)
{
  return !HeaderValue(aRequest.mHeaders, kIdempotencyKeyHeader).empty();
}

HttpResponse
ServeKeyed(const TrafficContext& aContext, const KeyedRequest& aRequest, const Dispatch& aDispatch)
{
  const std::string_view key = HeaderValue(aRequest.mRequest.mHeaders, kIdempotencyKeyHeader);
  return LooksLikeTicket(key) ? ServeTicket(aContext, aRequest, aDispatch)
                              : ServeWithClaim(aContext, aRequest, aDispatch);
}

HttpResponse
MintTicket(const TrafficContext& aContext, const HttpRequest& aRequest)
{
  const RequestId id = NewRequestId();
  const ServiceId service{ QueryValue(aRequest.mTarget, "service") };
  const auto caller = AuthenticateCaller(*aContext.mSnapshots->Read(), service, aRequest, Now());
  if (!caller.ok()) {
    return RenderFailure(id, { .mVerdict = Verdict::kNotRun, .mStatus = caller.status() });
  }
  std::optional<AnswerTicketRequest> minted;
  if (!aContext.mClusterSecret.empty()) {
    minted = aContext.mRequestBroker->PostAndWait<AnswerTicketRequest>(
      caller->mDeadline, [&](std::uint64_t aWaiter) {
        return TicketRequested{
          .mWaiter = aWaiter, .mAccount = caller->mAccount, .mService = service, .mNow = WallNow()
        };
      });
  }
  if (!minted.has_value()) {
    return Refuse(id, Verdict::kNotRun, absl::UnavailableError("this host mints no tickets"));
  }
  const std::string text = EncodeTicket(minted->mTicket, aContext.mClusterSecret);
  return { .mStatus = kHttpCreated,
           .mHeaders = { { .mName = "Content-Type", .mValue = "application/json" } },
           .mBody = fmt::format("{{\"ticket\":\"{}\",\"expires_at_unix_ms\":{}}}\n",
                                text,
                                UnixMilliseconds(minted->mTicket.mExpiresAt)) };
}

} // namespace trefoil
