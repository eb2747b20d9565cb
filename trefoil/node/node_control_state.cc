#include "trefoil/node/node_control_state.h"

#include "trefoil/node/internal/move_control.h"
#include "trefoil/node/internal/peer_control.h"

#include <algorithm>
#include <iterator>
#include <string_view>

namespace trefoil {
namespace {

constexpr std::string_view kDocumentPrefix = "services/";
// The number of hosts, in this zone and in others, that receive each sample of this host's demands.
constexpr std::size_t kDemandTargetsInZone = 2;
constexpr std::size_t kDemandTargetsInOtherZones = 1;

std::shared_ptr<const Snapshot>
MakeSnapshot(NodeControlState& aState)
{
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->mNumber = ++aState.mSnapshotNumber;
  snapshot->mReady = aState.mReady && !aState.mLeaving;
  snapshot->mStoreReachable = aState.mStoreReachable;
  for (const auto& [service, document] : aState.mConfig.mDocuments.mByService) {
    snapshot->mServices[service] = { .mDocument = document.mDocument,
                                     .mRevision = document.mRevision,
                                     .mRefusal = document.mRefusal };
    SetMoveView(aState, service, snapshot->mServices[service]);
  }
  SetPeerFields(aState, *snapshot);
  return snapshot;
}

ControlEffects
Publish(NodeControlState& aState)
{
  ControlEffects effects;
  effects.emplace_back(PublishSnapshot{ MakeSnapshot(aState) });
  return effects;
}

// Appends the effects of version moves, after a new snapshot if a traffic share has changed.
void
AppendMoveEffects(NodeControlState& aState, ControlEffects& aEffects, ControlEffects aMoveEffects)
{
  if (aState.mMoves.mChanged) {
    aState.mMoves.mChanged = false;
    aEffects.emplace_back(PublishSnapshot{ MakeSnapshot(aState) });
  }
  std::move(aMoveEffects.begin(), aMoveEffects.end(), std::back_inserter(aEffects));
}

ControlEffects
HandleEvent(NodeControlState& aState, const DocumentsRead& aEvent, Instant aNow)
{
  std::vector<DocumentRevision> documents;
  for (const StoreEntry& entry : aEvent.mListing.mEntries) {
    if (entry.mKey.starts_with(kDocumentPrefix)) {
      documents.push_back({ .mService = ServiceId{ entry.mKey.substr(kDocumentPrefix.size()) },
                            .mRevision = entry.mRevision,
                            .mText = entry.mValue,
                            .mDeleted = entry.mDeleted });
    }
  }
  OnStoreListed(aState.mConfig, documents, aNow);
  OnDocumentsChanged(aState, aNow);
  aState.mStoreReachable = true;
  return Publish(aState);
}

ControlEffects
HandleEvent(NodeControlState& aState, const StoreUnreachable&, Instant aNow)
{
  aState.mStoreReachable = false;
  OnStoreFailed(aState.mConfig);
  OnDocumentsChanged(aState, aNow);
  return Publish(aState);
}

ControlEffects
HandleEvent(NodeControlState& aState, const DocumentsFetched& aEvent, Instant aNow)
{
  if (aEvent.mOffered.ok()) {
    OnFetched(aState.mConfig, aEvent.mHost, *aEvent.mOffered, aNow);
  } else {
    OnFetchFailed(aState.mConfig, aEvent.mHost, aNow);
  }
  OnDocumentsChanged(aState, aNow);
  ControlEffects effects = Publish(aState);
  AppendFetch(aState, effects, aNow);
  return effects;
}

// Appends a new snapshot if a new map of server reports was published.
void
AppendReportSnapshot(NodeControlState& aState, ControlEffects& aEffects, Instant aNow)
{
  if (PublishReports(aState.mHealth, aNow)) {
    aEffects.emplace_back(PublishSnapshot{ MakeSnapshot(aState) });
  }
}

ControlEffects
HandleEvent(NodeControlState& aState, const ServerPolled& aEvent, Instant aNow)
{
  ControlEffects effects;
  AppendSendMessages(effects,
                     OnPollCompleted(aState.mHealth, aState.mGossip, aEvent.mResult, aNow));
  AppendReportSnapshot(aState, effects, aNow);
  return effects;
}

ControlEffects
HandleEvent(NodeControlState& aState, const MessageReceived& aEvent, Instant aNow)
{
  ControlEffects effects;
  AppendSendMessages(effects, OnPeerMessage(aState, aEvent.mMessage, aNow));
  const auto onMoveMessage = [&aState, aNow](const auto& aAlternative) -> ControlEffects {
    if constexpr (requires { OnMoveMessage(aState, aAlternative, aNow); }) {
      return OnMoveMessage(aState, aAlternative, aNow);
    } else {
      return {};
    }
  };
  AppendMoveEffects(aState, effects, std::visit(onMoveMessage, aEvent.mMessage));
  AppendReportSnapshot(aState, effects, aNow);
  AppendFetch(aState, effects, aNow);
  return effects;
}

ControlEffects
HandleEvent(NodeControlState& aState, const StopRequested&, Instant aNow)
{
  aState.mLeaving = true;
  ControlEffects effects = Publish(aState);
  AppendSendMessages(effects, AnnounceLeaving(aState.mGossip, aNow));
  AppendMoveEffects(aState, effects, OnMovesShutdown(aState, aNow));
  return effects;
}

ControlEffects
HandleEvent(NodeControlState& aState, const TimerFired&, Instant aNow)
{
  ControlEffects effects = OnIdempotencyTimer(aState.mIdempotency, aNow);
  std::ranges::move(OnAuditTimer(aState.mAudit, aNow), std::back_inserter(effects));
  if (!HasPassed(std::min(NextPeerTimer(aState), NextMovesTimer(aState)), aNow)) {
    return effects;
  }
  RecordConfiguration(
    aState.mAudit,
    { .mDocuments = aState.mConfig.mDocuments, .mMembers = aState.mGossip.mMembers },
    aNow);
  ControlEffects peerEffects = OnPeerTimer(aState, aNow);
  PublishReports(aState.mHealth, aNow);
  ControlEffects moveEffects = OnMovesTimer(aState, aNow);
  effects.emplace_back(PublishSnapshot{ MakeSnapshot(aState) });
  std::ranges::move(peerEffects, std::back_inserter(effects));
  AppendMoveEffects(aState, effects, std::move(moveEffects));
  return effects;
}

ControlEffects
HandleEvent(NodeControlState& aState, const DemandsSampled& aEvent, Instant)
{
  ControlEffects effects;
  for (Endpoint& target :
       RandomGossipTargets(aState.mGossip, kDemandTargetsInZone, kDemandTargetsInOtherZones)) {
    effects.emplace_back(SendMessage{ .mTo = std::move(target), .mMessage = aEvent.mDemands });
  }
  return effects;
}

ControlEffects
HandleEvent(NodeControlState& aState, const StoreReadCompleted& aEvent, Instant aNow)
{
  if (aEvent.mTopic == StoreTopic::kClaims) {
    return OnIdempotency(aState.mIdempotency, aEvent, aNow);
  }
  if (aEvent.mTopic == StoreTopic::kAudit) {
    return OnAudit(aState.mAudit, aEvent, aNow);
  }
  ControlEffects effects;
  AppendMoveEffects(aState, effects, OnMovesRead(aState, aEvent, aNow));
  return effects;
}

ControlEffects
HandleEvent(NodeControlState& aState, const StoreWriteCompleted& aEvent, Instant aNow)
{
  if (aEvent.mTopic == StoreTopic::kClaims) {
    return OnIdempotency(aState.mIdempotency, aEvent, aNow);
  }
  if (aEvent.mTopic == StoreTopic::kAudit) {
    return OnAudit(aState.mAudit, aEvent, aNow);
  }
  ControlEffects effects;
  AppendMoveEffects(aState, effects, OnMovesWrite(aState, aEvent, aNow));
  return effects;
}

ControlEffects
HandleEvent(NodeControlState& aState, const LeaseCallCompleted& aEvent, Instant aNow)
{
  ControlEffects effects;
  AppendMoveEffects(aState, effects, OnLeaseCall(aState, aEvent, aNow));
  return effects;
}

ControlEffects
HandleEvent(NodeControlState& aState, const AttemptsCompleted& aEvent, Instant aNow)
{
  ControlEffects effects;
  AppendMoveEffects(aState, effects, OnAttemptsCompleted(aState, aEvent, aNow));
  return effects;
}

// Handles the events of traffic threads.
template<typename Event>
ControlEffects
HandleEvent(NodeControlState& aState, const Event& aEvent, Instant aNow)
{
  return OnIdempotency(aState.mIdempotency, aEvent, aNow);
}

} // namespace

NodeControlState
MakeNodeControlState(NodeControlOptions aOptions, Instant aNow)
{
  NodeControlState state;
  state.mGossip = MakeGossipState({ .mHost = aOptions.mHost,
                                    .mZone = aOptions.mZone,
                                    .mPeerEndpoint = aOptions.mPeerEndpoint,
                                    .mListen = aOptions.mListen,
                                    .mSeeds = aOptions.mSeeds,
                                    .mIncarnation = aOptions.mIncarnation,
                                    .mRandomSeed = aOptions.mRandomSeed },
                                  aNow);
  // The incarnation is the time of the start in milliseconds.
  state.mMoves = MakeMovesState(
    aOptions, aNow, FromUnixMilliseconds(static_cast<std::int64_t>(aOptions.mIncarnation)));
  state.mConfig = MakeConfigState(aNow);
  state.mPublishedDocuments = std::make_shared<const DocumentsInForce>();
  state.mIdempotency.mTickets.mIssuer = { .mZone = aOptions.mZone,
                                          .mHost = aOptions.mHost,
                                          .mEndpoint = aOptions.mListen,
                                          .mIncarnation = aOptions.mIncarnation };
  state.mAudit = { .mHost = aOptions.mHost,
                   .mZone = aOptions.mZone,
                   .mStartedAt = aNow,
                   .mStartedAtWall = aOptions.mStartedAt };
  state.mOptions = std::move(aOptions);
  return state;
}

ControlEffects
Step(NodeControlState& aState, const ControlEvent& aEvent, Instant aNow)
{
  return std::visit(
    [&aState, aNow](const auto& aAlternative) { return HandleEvent(aState, aAlternative, aNow); },
    aEvent);
}

Instant
NextTimer(const NodeControlState& aState)
{
  const Instant next = NextTimer(aState.mAudit.mRecorder, NextPeerTimer(aState));
  return std::min(NextTimer(aState.mIdempotency.mClaims, next), NextMovesTimer(aState));
}

} // namespace trefoil
