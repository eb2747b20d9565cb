#include "trefoil/node/internal/peer_streams.h"

#include "trefoil/node/internal/generation.h"
#include "trefoil/node/internal/request_life.h"
#include "trefoil/node/internal/stream_source.h"
#include "trefoil/request/reclaim.h"
#include "trefoil/wire/peer_link.h"

#include <algorithm>
#include <spdlog/spdlog.h>

namespace trefoil {
namespace {

// How long a reply waits for news at most.
constexpr Milliseconds kLongestWait{ 5000 };
// How long a peer may take to answer a hand-over.
constexpr Milliseconds kPeerLimit{ 1000 };
// How often a peer is asked again whose reply is open.
constexpr int kMaxAsks = 3;
// How many hosts are asked to take a stream.
constexpr std::size_t kMaxHosts = 3;

StreamTokens
TokensOf(const StreamRead& aRead, SourceUpdate aUpdate)
{
  return { .mRequest = aRead.mRequest,
           .mFound = true,
           .mService = aUpdate.mService,
           .mAccount = aUpdate.mAccount,
           .mPath = std::string{ NameOf(kCompletionPaths, aUpdate.mForm) },
           .mBody = aRead.mWithBody ? std::move(aUpdate.mBody) : "",
           .mState = std::string{ NameOf(kStreamStateNames, aUpdate.mUpdate.mState) },
           .mFrom = aUpdate.mUpdate.mFrom,
           .mTokens = std::move(aUpdate.mUpdate.mTokens),
           .mFinishReason = aUpdate.mUpdate.mFinishReason,
           .mError = std::string{ aUpdate.mUpdate.mFailure.mStatus.message() },
           .mHandedTo = aUpdate.mUpdate.mHandedTo };
}

Message
AnswerRead(const TrafficContext& aContext, const StreamRead& aRead)
{
  const Milliseconds wait =
    std::clamp(Milliseconds{ aRead.mWaitMilliseconds }, Milliseconds{ 0 }, kLongestWait);
  const auto record = aContext.mLife->mStreams.Find(aRead.mRequest);
  if (record != nullptr) {
    return TokensOf(aRead, ReadRecord(*record, aRead.mFrom, Now() + wait));
  }
  if (!aRead.mRelay) {
    return StreamTokens{ .mRequest = aRead.mRequest };
  }
  StreamSource source{ .mContext = aContext,
                       .mRequest = aRead.mRequest,
                       .mMayRelay = false,
                       .mWithBody = aRead.mWithBody };
  auto news = ReadNews(source, aRead.mFrom, Now() + wait);
  return news.ok() ? TokensOf(aRead, std::move(*news)) : StreamTokens{ .mRequest = aRead.mRequest };
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

// Goes on with a stream of another host on a thread of its own.
void
Adopt(const TrafficContext& aContext,
      const StreamIdentity& aIdentity,
      const std::vector<std::string>& aTokens,
      std::shared_ptr<const ServiceDocument> aDocument)
{
  const auto record = aContext.mLife->mStreams.Add(aIdentity, aTokens, Now());
  const StreamProgress progress = ProgressOf(aIdentity, aTokens);
  ++*aContext.mActive;
  aContext.mLife->mAdopted.Start([&aContext, record, progress, document = std::move(aDocument)] {
    Generation generation{
      .mContext = aContext, .mRecord = *record, .mDocument = document, .mProgress = progress
    };
    Generate(generation);
    --*aContext.mActive;
  });
}

Message
AnswerHandOver(const TrafficContext& aContext, const StreamHandOver& aHandOver)
{
  const StreamHandOverReply refused{ .mRequest = aHandOver.mRequest };
  const StreamHandOverReply taken{ .mRequest = aHandOver.mRequest, .mTaken = true };
  const auto form = ValueOf(kCompletionPaths, aHandOver.mPath);
  const auto snapshot = aContext.mSnapshots->Read();
  const ServiceView* service = FindService(*snapshot, aHandOver.mService);
  if (aContext.mLife->mLeaving.load() || !form.has_value() || service == nullptr) {
    return refused;
  }
  const auto completion = ParseCompletion(*form, aHandOver.mBody);
  if (!completion.ok()) {
    return refused;
  }
  const absl::MutexLock lock{ &aContext.mLife->mAdoptMutex };
  if (aContext.mLife->mStreams.Find(aHandOver.mRequest) != nullptr) {
    return taken;
  }
  Adopt(aContext,
        IdentityOf(aHandOver.mRequest,
                   aHandOver.mAccount,
                   *completion,
                   Now() + Milliseconds{ aHandOver.mLeftMilliseconds }),
        aHandOver.mTokens,
        service->mDocument);
  return taken;
}

// Asks one host, again while its reply is open.
HandOverOutcome
AskHost(const Endpoint& aPeer, const StreamHandOver& aHandOver, Instant aStopsAt)
{
  HandOverOutcome outcome = HandOverOutcome::kRefused;
  for (int ask = 0; ask < kMaxAsks && !HasPassed(aStopsAt, Now()); ++ask) {
    const auto reply = AskPeer(aPeer, aHandOver, std::min(aStopsAt, Now() + kPeerLimit));
    if (reply.ok()) {
      const auto* answer = std::get_if<StreamHandOverReply>(&*reply);
      return answer != nullptr && answer->mTaken ? HandOverOutcome::kAccepted
                                                 : HandOverOutcome::kRefused;
    }
    if (WasNotSent(reply.status())) {
      // The peer may have taken the stream when it was asked before.
      return outcome;
    }
    outcome = HandOverOutcome::kUnknown;
  }
  return outcome;
}

std::vector<HostId>
HostsThatStay(const Snapshot& aSnapshot, const HostId& aSelf)
{
  std::vector<HostId> hosts;
  for (const auto& [host, member] : aSnapshot.mMembers.mByHost) {
    if (IsAlive(member) && host != aSelf) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

// Passes one stream on. Returns whether another host took it.
bool
HandOver(const TrafficContext& aContext, StreamRecord& aRecord, Instant aStopsAt)
{
  auto tokens = aRecord.BeginHandOver();
  if (!tokens.has_value()) {
    return false;
  }
  const StreamIdentity& identity = aRecord.Identity();
  const auto snapshot = aContext.mSnapshots->Read();
  const StreamHandOver handOver{ .mRequest = identity.mRequest,
                                 .mService = identity.mService,
                                 .mAccount = identity.mAccount,
                                 .mPath = std::string{ NameOf(kCompletionPaths, identity.mForm) },
                                 .mBody = identity.mBody,
                                 .mTokens = std::move(*tokens),
                                 .mLeftMilliseconds =
                                   Remaining(identity.mDeadline, Now()).count() };
  for (const HostId& host :
       HandOverHostsFor(identity.mRequest, HostsThatStay(*snapshot, aContext.mHost), kMaxHosts)) {
    const Member& member = snapshot->mMembers.mByHost.at(host);
    if (AskHost(member.mHeartbeat.mPeerEndpoint, handOver, aStopsAt) != HandOverOutcome::kRefused) {
      // With its reply still open, the host is the only one that may go on.
      aRecord.EndHandOver(HandOverOutcome::kAccepted, host);
      return true;
    }
  }
  aRecord.EndHandOver(HandOverOutcome::kRefused, {});
  return false;
}

} // namespace

StreamIdentity
IdentityOf(const RequestId& aRequest,
           const ClientAccountId& aAccount,
           const CompletionRequest& aCompletion,
           Instant aDeadline)
{
  return { .mRequest = aRequest,
           .mService = aCompletion.mService,
           .mAccount = aAccount,
           .mForm = aCompletion.mForm,
           .mBody = aCompletion.mBody,
           .mPrompt = aCompletion.mPrompt,
           .mPromptTokens = EstimateTokens(aCompletion.mPrompt),
           .mMaxTokens = aCompletion.mMaxTokens,
           .mDeadline = aDeadline };
}

std::optional<Message>
AnswerStreams(const TrafficContext& aContext, const Message& aMessage)
{
  if (const auto* read = std::get_if<StreamRead>(&aMessage)) {
    return AnswerRead(aContext, *read);
  }
  if (const auto* handOver = std::get_if<StreamHandOver>(&aMessage)) {
    return AnswerHandOver(aContext, *handOver);
  }
  return std::nullopt;
}

std::int64_t
HandOverStreams(const TrafficContext& aContext, Instant aEndBefore, Instant aStopsAt)
{
  aContext.mLife->mLeaving = true;
  std::vector<HandOverCandidate> outlooks;
  for (const auto& record : aContext.mLife->mStreams.Running()) {
    outlooks.push_back(record->Outlook(Now()));
  }
  std::int64_t taken = 0;
  for (const RequestId& request : PlanHandOver(outlooks, aEndBefore, Now())) {
    const auto record = aContext.mLife->mStreams.Find(request);
    if (record != nullptr && HandOver(aContext, *record, aStopsAt)) {
      ++taken;
    }
  }
  spdlog::info("{} of {} streams handed over", taken, outlooks.size());
  return taken;
}

} // namespace trefoil
