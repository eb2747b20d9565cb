#include "trefoil/node/internal/plain_service_handler.h"

#include "trefoil/base/digest.h"
#include "trefoil/frontend/verdict_response.h"
#include "trefoil/http/client.h"
#include "trefoil/node/internal/admission_request.h"
#include "trefoil/node/internal/attempt_meter.h"
#include "trefoil/node/internal/caller.h"
#include "trefoil/node/internal/keyed_request_handler.h"
#include "trefoil/node/internal/pick_server.h"
#include "trefoil/node/internal/server_connector.h"
#include "trefoil/node/internal/shared_request_state.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace trefoil {
namespace {

constexpr int kMaxAttempts = 3;

// A request target split into the name of the service and the target that is sent to it.
struct PlainTarget
{
  ServiceId mService;
  std::string mServiceTarget;
};

PlainTarget
SplitTarget(std::string_view aTarget)
{
  const std::string_view tail = aTarget.substr(aTarget.starts_with('/') ? 1 : 0);
  const std::size_t end = tail.find_first_of("/?");
  if (end == std::string_view::npos) {
    return { .mService = ServiceId{ std::string{ tail } }, .mServiceTarget = "/" };
  }
  const std::string_view rest = tail.substr(end);
  return { .mService = ServiceId{ std::string{ tail.substr(0, end) } },
           .mServiceTarget =
             rest.starts_with('/') ? std::string{ rest } : "/" + std::string{ rest } };
}

HttpHeaders
ForwardedHeaders(const HttpHeaders& aHeaders)
{
  HttpHeaders forwarded = EndToEndHeaders(aHeaders, {});
  std::erase_if(forwarded, [](const HttpHeader& aHeader) {
    return IsSameHeaderName(aHeader.mName, "Authorization") ||
           IsSameHeaderName(aHeader.mName, "Host");
  });
  return forwarded;
}

// Returns whether a request may be sent again after a failed attempt: it did not run or it is
// repeatable, and its deadline has not passed.
bool
MayRetry(const Failure& aFailure, Repeatable aRepeatable, Instant aDeadline)
{
  if (HasPassed(aDeadline, Now())) {
    return false;
  }
  return aFailure.mVerdict == Verdict::kNotRun || aRepeatable == Repeatable::kYes;
}

Repeatable
IsRepeatable(const Caller& aCaller, const HttpRequest& aRequest)
{
  return RepeatableOf(*aCaller.mDocument, aRequest.mMethod, PathOf(aRequest.mTarget));
}

SuspectKey
KeyOf(const Caller& aCaller, const HttpRequest& aRequest)
{
  return RequestKeyOf({ .mAccount = aCaller.mAccount,
                        .mService = aCaller.mDocument->mService,
                        .mMethod = aRequest.mMethod,
                        .mTarget = aRequest.mTarget,
                        .mBody = aRequest.mBody });
}

std::optional<BackendServerSpec>
ServerForAttempt(const TrafficContext& aContext,
                 const Caller& aCaller,
                 std::set<BackendServerId> aExcluded,
                 std::optional<SuspectKey> aSuspect)
{
  aExcluded.merge(aContext.mRequestState->mCrashes.AvoidedServers());
  if (aSuspect.has_value()) {
    if (auto server = PickServerForSuspect(*aCaller.mDocument, aExcluded, *aSuspect)) {
      return server;
    }
  }
  return PickServer(aContext, *aCaller.mDocument, aExcluded);
}

// Returns whether the server ended the connection while it may have run the request.
bool
HasLostServer(const Failure& aFailure)
{
  return aFailure.mVerdict == Verdict::kMayHaveRun && absl::IsUnavailable(aFailure.mStatus);
}

// Waits until there is memory for so many bytes more of the answer (HttpCall::mReserveMemory).
using MemoryReservation = std::function<bool(std::size_t aBytes)>;

// The result of a call, and whether this host was cut off from the server, so that the server is
// not to blame for a failure.
struct ServerResult
{
  HttpResult mResult;
  bool mIsCutOff = false;
};

// Calls a server, and records whether the request completed there or ended the connection.
ServerResult
CallServer(const TrafficContext& aContext,
           const Caller& aCaller,
           const HttpRequest& aRequest,
           const WatchedRequest& aWatched,
           SuspectKey aKey,
           const MemoryReservation& aReserveMemory)
{
  const BackendServerSpec& server = aWatched.mServer;
  const InFlightGuard inFlight{ *aContext.mRouting, server.mServer };
  AttemptMeter meter{ aContext,
                      { .mService = aCaller.mDocument->mService,
                        .mServer = &server,
                        .mRoute = RouteLabel(aRequest),
                        .mIdentity =
                          aCaller.mAccount.Value() + std::to_string(Digest64(aRequest.mBody)) } };
  TakenPath path;
  AnswerWatch watch{ *aContext.mConnector, aWatched, path };
  HttpResult result =
    Call({ .mServer = server.mEndpoint,
           .mConnector = watch.MakeConnector(),
           .mRequest = { .mMethod = aRequest.mMethod,
                         .mTarget = aRequest.mTarget,
                         .mHeaders = aRequest.mHeaders },
           .mBody = aRequest.mBody,
           .mDeadline = aCaller.mDeadline,
           .mEarlierDeadlines = { &aContext.mRequestState->mStopsAt, &watch.GivenUpAt() },
           .mReserveMemory = aReserveMemory });
  CrashRegistry& crashes = aContext.mRequestState->mCrashes;
  const auto* failure = std::get_if<Failure>(&result);
  if (failure == nullptr) {
    watch.RecordAnswer();
    if (!path.mIsRelayed) {
      crashes.RecordServerAnswer(server.mServer);
    }
    crashes.RecordRequestCompletion(aKey);
    meter.ReportOutcome(OutcomeOf(std::get<HttpResponse>(result)));
    return { .mResult = std::move(result) };
  }
  if (HasLostServer(*failure) && !path.mIsRelayed &&
      crashes.RecordServerLoss({ .mServer = server.mServer,
                                 .mService = aCaller.mDocument->mService,
                                 .mVersion = server.mVersion,
                                 .mRequest = aKey })) {
    watch.RecordLoss();
  }
  const bool isCutOff = watch.IsCutOff();
  const OutcomeKind outcome = OutcomeOf(*failure);
  const bool counts = !isCutOff && (outcome != OutcomeKind::kLost ||
                                    crashes.MayBlame(aCaller.mDocument->mService, server.mVersion));
  meter.ReportOutcome(counts ? outcome : OutcomeKind::kNotCounted);
  return { .mResult = std::move(result), .mIsCutOff = isCutOff };
}

HttpResult
CallService(const TrafficContext& aContext,
            const Caller& aCaller,
            const HttpRequest& aRequest,
            const MemoryReservation& aReserveMemory)
{
  const Repeatable repeatable = IsRepeatable(aCaller, aRequest);
  const SuspectKey key = KeyOf(aCaller, aRequest);
  CrashRegistry& crashes = aContext.mRequestState->mCrashes;
  std::set<BackendServerId> failedServers;
  Failure lastFailure{ .mVerdict = Verdict::kNotRun,
                       .mStatus = absl::UnavailableError("the service has no backend server") };
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const CrashDecision decision = crashes.CurrentDecision(key);
    if (decision == CrashDecision::kRefuse) {
      lastFailure.mStatus =
        absl::FailedPreconditionError("backend servers crashed each time they ran this request");
      return lastFailure;
    }
    const bool runsAlone = decision == CrashDecision::kRunAlone;
    const auto server = ServerForAttempt(
      aContext, aCaller, failedServers, runsAlone ? std::optional{ key } : std::nullopt);
    if (!server.has_value()) {
      return lastFailure;
    }
    if (runsAlone) {
      crashes.ReserveServer(server->mServer, key);
    }
    ServerResult called = CallServer(aContext,
                                     aCaller,
                                     aRequest,
                                     { .mServer = *server,
                                       .mMayRepeat = repeatable == Repeatable::kYes,
                                       .mMayTryDirect = attempt == 0 },
                                     key,
                                     aReserveMemory);
    const auto* failure = std::get_if<Failure>(&called.mResult);
    // After a crash the reservation stays until it expires, so that the crash is not recorded for
    // the other requests that were running on the server.
    if (runsAlone && (failure == nullptr || !HasLostServer(*failure))) {
      crashes.ReleaseServer(server->mServer);
    }
    if (failure == nullptr) {
      return std::move(called.mResult);
    }
    lastFailure = { .mVerdict = CombineVerdicts(lastFailure.mVerdict, failure->mVerdict),
                    .mStatus = failure->mStatus };
    const Instant endsAt = std::min(aCaller.mDeadline, aContext.mRequestState->mStopsAt.Read());
    if (!MayRetry(*failure, repeatable, endsAt)) {
      return lastFailure;
    }
    if (!called.mIsCutOff) {
      failedServers.insert(server->mServer);
    }
  }
  return lastFailure;
}

// Returns the name under which the times of answers are kept.
std::string
AnswerTimesRoute(const Caller& aCaller, const HttpRequest& aRequest)
{
  return aCaller.mDocument->mService.Value() + " " + RouteLabel(aRequest);
}

// Returns whether the request ends before this host does, if the host stops.
bool
CanEndBeforeStop(const TrafficContext& aContext, const Caller& aCaller, const HttpRequest& aRequest)
{
  const SharedRequestState& state = *aContext.mRequestState;
  return !state.mStopsAt.IsSet() ||
         state.mPlainAnswerTimes.CanEndBefore(
           { .mRoute = AnswerTimesRoute(aCaller, aRequest), .mDeadline = aCaller.mDeadline },
           state.mStopsAt.Read(),
           Now());
}

// Calls the service, records the latency and filters the headers of the response.
HttpResult
CallAndMeasure(const TrafficContext& aContext,
               const Caller& aCaller,
               const HttpRequest& aRequest,
               const MemoryReservation& aReserveMemory)
{
  const Instant startedAt = Now();
  HttpResult result = CallService(aContext, aCaller, aRequest, aReserveMemory);
  aContext.mRequestState->mPlainAnswerTimes.Record(
    AnswerTimesRoute(aCaller, aRequest), startedAt, Now());
  aContext.mMetrics->Observe(Latency::kPlainResponse, Now() - startedAt);
  if (auto* answer = std::get_if<HttpResponse>(&result)) {
    answer->mHeaders = ForwardedHeaders(answer->mHeaders);
  }
  return result;
}

} // namespace

void
ServePlain(const TrafficContext& aContext, HttpExchange& aExchange)
{
  const RequestId id = NewRequestId();
  const PlainTarget target = SplitTarget(aExchange.Request().mTarget);
  const auto refuse = [&aExchange, &id](const absl::Status& aStatus) {
    aExchange.Respond(RenderFailure(id, { .mVerdict = Verdict::kNotRun, .mStatus = aStatus }));
  };
  const auto caller =
    AuthenticateCaller(*aContext.mSnapshots->Read(), target.mService, aExchange.Request(), Now());
  if (!caller.ok()) {
    refuse(caller.status());
    return;
  }
  if (caller->mDocument->mKind != ServiceKind::kPlain) {
    refuse(absl::InvalidArgumentError("the service is no plain service"));
    return;
  }
  HttpRequest request = aExchange.Request();
  request.mTarget = target.mServiceTarget;
  if (!CanEndBeforeStop(aContext, *caller, request)) {
    refuse(absl::UnavailableError("the host stops"));
    return;
  }
  const auto admission = Admit(aContext, *caller, aExchange.Request(), 1);
  if (!admission.ok()) {
    refuse(admission.status());
    return;
  }
  request.mHeaders = ForwardedHeaders(aExchange.Request().mHeaders);
  SetHeader(request.mHeaders, kRequestIdHeader, id.Value());
  const auto reserveMemory = [&aExchange, &caller](std::size_t aBytes) {
    return aExchange.ReserveMemory(aBytes, caller->mDeadline);
  };
  const auto dispatch = [&] { return CallAndMeasure(aContext, *caller, request, reserveMemory); };
  if (HasIdempotencyKey(request) && IsRepeatable(*caller, request) == Repeatable::kNo) {
    const KeyedRequest keyed{ .mCaller = *caller, .mRequest = aExchange.Request(), .mId = id };
    aExchange.Respond(ServeKeyed(aContext, keyed, dispatch));
    return;
  }
  HttpResult result = dispatch();
  if (const auto* failure = std::get_if<Failure>(&result)) {
    aExchange.Respond(RenderFailure(id, *failure));
    return;
  }
  auto& answer = std::get<HttpResponse>(result);
  AddVerdictHeaders(answer, id, Verdict::kRan);
  aExchange.Respond(std::move(answer));
}

} // namespace trefoil
