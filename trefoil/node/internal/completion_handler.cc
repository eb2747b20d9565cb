#include "trefoil/node/internal/completion_handler.h"

#include "trefoil/base/digest.h"
#include "trefoil/frontend/completion.h"
#include "trefoil/frontend/verdict_response.h"
#include "trefoil/node/internal/admission_request.h"
#include "trefoil/node/internal/answer_stream.h"
#include "trefoil/node/internal/caller.h"
#include "trefoil/node/internal/generation.h"
#include "trefoil/node/internal/peer_streams.h"
#include "trefoil/node/internal/shared_request_state.h"
#include "trefoil/request/hand_over.h"

namespace trefoil {
namespace {

// A parsed request with its caller.
struct AcceptedCompletion
{
  CompletionRequest mRequest;
  Caller mCaller;
};

// Parses a request and authenticates its caller. Returns FailedPrecondition for a request that is
// refused because backend servers crashed each time they ran it.
absl::StatusOr<AcceptedCompletion>
AcceptCompletion(const TrafficContext& aContext, const HttpRequest& aHttp, CompletionApi aForm)
{
  const auto request = ParseCompletion(aForm, aHttp.mBody);
  if (!request.ok()) {
    return request.status();
  }
  const auto caller =
    AuthenticateCaller(*aContext.mSnapshots->Read(), request->mService, aHttp, Now());
  if (!caller.ok()) {
    return caller.status();
  }
  if (caller->mDocument->mKind != ServiceKind::kModel) {
    return absl::InvalidArgumentError("the service is no model service");
  }
  const SuspectKey key =
    RequestKeyOfCompletion(caller->mAccount, request->mService, aForm, request->mBody);
  if (aContext.mRequestState->mCrashes.CurrentDecision(key) == CrashDecision::kRefuse) {
    return absl::FailedPreconditionError("backend servers crashed each time they ran this request");
  }
  return AcceptedCompletion{ .mRequest = *request, .mCaller = *caller };
}

} // namespace

void
ServeCompletion(const TrafficContext& aContext, HttpExchange& aExchange, CompletionApi aForm)
{
  const RequestId id = MakeRequestId(aContext.mHost, RandomHex());
  const auto refuse = [&aExchange, &id](const absl::Status& aStatus) {
    aExchange.Respond(RenderFailure(id, { .mVerdict = Verdict::kNotRun, .mStatus = aStatus }));
  };
  const auto accepted = AcceptCompletion(aContext, aExchange.Request(), aForm);
  if (!accepted.ok()) {
    refuse(accepted.status());
    return;
  }
  const Caller& caller = accepted->mCaller;
  const auto admission =
    Admit(aContext, caller, aExchange.Request(), ExpectedWork(accepted->mRequest));
  if (!admission.ok()) {
    refuse(admission.status());
    return;
  }
  const auto record = aContext.mRequestState->mStreams.Add(
    MakeStreamIdentity(id, caller.mAccount, accepted->mRequest, caller.mDeadline), {}, Now());
  const AnswerStream answer{ .mExchange = aExchange,
                             .mRequest = accepted->mRequest,
                             .mId = id,
                             .mPromptTokens = record->Identity().mPromptTokens };
  Generation generation{ .mContext = aContext,
                         .mRecord = *record,
                         .mDocument = caller.mDocument,
                         .mProgress = { .mRequest = id, .mDeadline = caller.mDeadline } };
  if (accepted->mRequest.mStream) {
    BeginEventStream(answer);
    generation.mOnToken = [&answer](const TokenEvent& aToken) {
      return WriteToken(answer, aToken);
    };
  }
  Generate(generation);
  FinishAnswer(answer, record->Read(0, Now()));
}

} // namespace trefoil
