#include "trefoil/node/internal/peer_streams.h"

#include "trefoil/node/internal/active_guard.h"
#include "trefoil/node/internal/generation.h"
#include "trefoil/node/internal/shared_request_state.h"
#include "trefoil/node/internal/stream_source.h"
#include "trefoil/request/reclaim.h"
#include "trefoil/wire/peer_link.h"

#include "absl/cleanup/cleanup.h"
#include <algorithm>
#include <spdlog/spdlog.h>

namespace trefoil {
namespace {

// Maximum time that a reply to a read waits for tokens.
constexpr Milliseconds kMaxReadWait{ 5000 };
// Timeout of one hand-over request to a peer.
constexpr Milliseconds kHandOverTimeout{ 1000 };
// Maximum number of hand-over requests to one peer while it does not reply.
constexpr int kMaxHandOverRequests = 3;
// Maximum number of hosts to which a stream is offered.
constexpr std::size_t kMaxHandOverHosts = 3;

StreamReadReply
ToStreamTokens(const StreamRead& aRead, SourceUpdate aUpdate)
{
  return { .mRequest = aRead.mRequest,
           .mFound = true,
           .mService = aUpdate.mService,
           .mAccount = aUpdate.mAccount,
           .mPath = std::string{ NameOf(kCompletionPaths, aUpdate.mApi) },
           .mBody = aRead.mWithBody ? std::move(aUpdate.mBody) : "",
           .mState = std::string{ NameOf(kStreamStateNames, aUpdate.mUpdate.mState) },
           .mFrom = aUpdate.mUpdate.mFrom,
           .mTokens = std::move(aUpdate.mUpdate.mTokens),
           .mFinishReason = aUpdate.mUpdate.mFinishReason,
           .mError = std::string{ aUpdate.mUpdate.mFailure.mStatus.message() },
           .mHandedTo = aUpdate.mUpdate.mHandedTo };
}

Message
AnswerStreamRead(const TrafficContext& aContext, const StreamRead& aRead)
{
  const Milliseconds wait =
    std::clamp(Milliseconds{ aRead.mWaitMilliseconds }, Milliseconds{ 0 }, kMaxReadWait);
  const auto record = aContext.mRequestState->mStreams.Find(aRead.mRequest);
  if (record != nullptr) {
    return ToStreamTokens(aRead, ReadRecord(*record, aRead.mFrom, Now() + wait));
  }
  if (!aRead.mRelay) {
    return StreamReadReply{ .mRequest = aRead.mRequest };
  }
  StreamSource source{ .mContext = aContext,
                       .mRequest = aRead.mRequest,
                       .mMayRelay = false,
                       .mWithBody = aRead.mWithBody };
  auto update = ReadUpdate(source, aRead.mFrom, Now() + wait);
  return update.ok() ? ToStreamTokens(aRead, std::move(*update))
                     : StreamReadReply{ .mRequest = aRead.mRequest };
}

StreamProgress
ProgressOf(const StreamIdentity& aIdentity, const std::vector<std::string>& aTokens)
{
  StreamProgress progress{ .mRequest = aIdentity.mRequest, .mDeadline = aIdentity.mDeadline };
  for (const std::string& token : aTokens) {
    progress.mGenerated += token;
  }
  progress.mTokens = static_cast<std::int64_t>(aTokens.size());
  return progress;
}

// Continues a stream of another host on a new thread. Returns false if there is no thread for it.
bool
ContinueStream(const TrafficContext& aContext,
               const StreamIdentity& aIdentity,
               const std::vector<std::string>& aTokens,
               std::shared_ptr<const ServiceDocument> aDocument)
{
  StreamTable& streams = aContext.mRequestState->mStreams;
  const StreamProgress progress = ProgressOf(aIdentity, aTokens);
  const auto active = std::make_shared<ActiveGuard>(*aContext.mActiveRequests);
  const auto record = streams.Add(aIdentity, aTokens, Now());
  try {
    aContext.mRequestState->mContinuedStreams.Start(
      [&aContext, record, progress, active, document = std::move(aDocument)] {
        Generation generation{ .mContext = aContext,
                               .mRecord = *record,
                               .mDocument = document,
                               .mProgress = progress,
                               .mMayHaveRunBefore = true };
        Generate(generation);
      });
    return true;
  } catch (const std::exception& error) {
    spdlog::error("a stream of another host is refused: {}", error.what());
    // Ends the wait of those who have found the stream meanwhile.
    record->Fail({ .mVerdict = Verdict::kMayHaveRun,
                   .mStatus = absl::UnavailableError("the host cannot continue the stream") });
    streams.Remove(aIdentity.mRequest);
    return false;
  }
}

Message
AnswerStreamHandOver(const TrafficContext& aContext, const StreamHandOver& aHandOver)
{
  const StreamHandOverReply refusal{ .mRequest = aHandOver.mRequest };
  const StreamHandOverReply acceptance{ .mRequest = aHandOver.mRequest, .mAccepted = true };
  const auto form = ValueOf(kCompletionPaths, aHandOver.mPath);
  const auto snapshot = aContext.mSnapshots->Read();
  const ServiceView* service = FindService(*snapshot, aHandOver.mService);
  if (aContext.mRequestState->mLeaving.load() || !form.has_value() || service == nullptr) {
    return refusal;
  }
  const auto completion = ParseCompletion(*form, aHandOver.mBody);
  if (!completion.ok()) {
    return refusal;
  }
  const absl::MutexLock lock{ &aContext.mRequestState->mContinueMutex };
  if (aContext.mRequestState->mStreams.Find(aHandOver.mRequest) != nullptr) {
    return acceptance;
  }
  const bool continues =
    ContinueStream(aContext,
                   MakeStreamIdentity(aHandOver.mRequest,
                                      aHandOver.mAccount,
                                      *completion,
                                      Now() + Milliseconds{ aHandOver.mRemainingMilliseconds }),
                   aHandOver.mTokens,
                   service->mDocument);
  return continues ? acceptance : refusal;
}

// Offers a stream to one host and retries while the host does not reply. The host accepts a
// repeated offer without starting the stream again.
HandOverOutcome
OfferStream(const Endpoint& aPeer, const StreamHandOver& aHandOver, Instant aDeadline)
{
  HandOverOutcome outcome = HandOverOutcome::kRefused;
  for (int request = 0; request < kMaxHandOverRequests && !HasPassed(aDeadline, Now()); ++request) {
    const auto reply = CallPeer(aPeer, aHandOver, std::min(aDeadline, Now() + kHandOverTimeout));
    if (reply.ok()) {
      const auto* answer = std::get_if<StreamHandOverReply>(&*reply);
      return answer != nullptr && answer->mAccepted ? HandOverOutcome::kAccepted
                                                    : HandOverOutcome::kRefused;
    }
    if (WasNotSent(reply.status())) {
      // This request did not reach the peer, but the peer may have accepted an earlier one.
      return outcome;
    }
    outcome = HandOverOutcome::kUnknown;
  }
  return outcome;
}

std::vector<HostId>
RemainingHosts(const Snapshot& aSnapshot, const HostId& aSelf)
{
  std::vector<HostId> hosts;
  for (const auto& [host, member] : aSnapshot.mMembers.mByHost) {
    if (IsAlive(member) && host != aSelf) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

// Hands one stream over. Returns whether another host accepted it or may have accepted it.
bool
HandOver(const TrafficContext& aContext, StreamRecord& aRecord, Instant aDeadline)
{
  auto tokens = aRecord.BeginHandOver();
  if (!tokens.has_value()) {
    return false;
  }
  // The host that has accepted the stream, or may have: then no other host may generate it. Empty
  // if there is none.
  HostId acceptedBy;
  const absl::Cleanup endHandOver = [&aRecord, &acceptedBy] {
    aRecord.EndHandOver(acceptedBy.Empty() ? HandOverOutcome::kRefused : HandOverOutcome::kAccepted,
                        acceptedBy);
  };
  const StreamIdentity& identity = aRecord.Identity();
  const auto snapshot = aContext.mSnapshots->Read();
  const StreamHandOver handOver{ .mRequest = identity.mRequest,
                                 .mService = identity.mService,
                                 .mAccount = identity.mAccount,
                                 .mPath = std::string{ NameOf(kCompletionPaths, identity.mApi) },
                                 .mBody = identity.mBody,
                                 .mTokens = std::move(*tokens),
                                 .mRemainingMilliseconds =
                                   Remaining(identity.mDeadline, Now()).count() };
  for (const HostId& host : HandOverHostsFor(
         identity.mRequest, RemainingHosts(*snapshot, aContext.mHost), kMaxHandOverHosts)) {
    const Member& member = snapshot->mMembers.mByHost.at(host);
    acceptedBy = host;
    if (OfferStream(member.mHeartbeat.mPeerEndpoint, handOver, aDeadline) !=
        HandOverOutcome::kRefused) {
      return true;
    }
    acceptedBy = {};
  }
  return false;
}

} // namespace

StreamIdentity
MakeStreamIdentity(const RequestId& aRequest,
                   const ClientAccountId& aAccount,
                   const CompletionRequest& aCompletion,
                   Instant aDeadline)
{
  return { .mRequest = aRequest,
           .mService = aCompletion.mService,
           .mAccount = aAccount,
           .mApi = aCompletion.mApi,
           .mBody = aCompletion.mBody,
           .mPrompt = aCompletion.mPrompt,
           .mPromptTokens = EstimateTokens(aCompletion.mPrompt),
           .mMaxTokens = aCompletion.mMaxTokens,
           .mDeadline = aDeadline };
}

std::optional<Message>
AnswerStreamMessage(const TrafficContext& aContext, const Message& aMessage)
{
  if (const auto* read = std::get_if<StreamRead>(&aMessage)) {
    return AnswerStreamRead(aContext, *read);
  }
  if (const auto* handOver = std::get_if<StreamHandOver>(&aMessage)) {
    return AnswerStreamHandOver(aContext, *handOver);
  }
  return std::nullopt;
}

std::int64_t
HandOverStreams(const TrafficContext& aContext, Instant aFinishBy, Instant aDeadline)
{
  aContext.mRequestState->mLeaving = true;
  std::vector<HandOverCandidate> candidates;
  for (const auto& record : aContext.mRequestState->mStreams.Running()) {
    candidates.push_back(record->AsHandOverCandidate(Now()));
  }
  std::int64_t acceptedCount = 0;
  for (const RequestId& request : PlanHandOver(candidates, aFinishBy, Now())) {
    const auto record = aContext.mRequestState->mStreams.Find(request);
    if (record != nullptr && HandOver(aContext, *record, aDeadline)) {
      ++acceptedCount;
    }
  }
  spdlog::info("{} of {} streams handed over", acceptedCount, candidates.size());
  return acceptedCount;
}

} // namespace trefoil
