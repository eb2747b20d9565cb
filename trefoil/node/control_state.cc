#include "trefoil/node/control_state.h"

#include <set>
#include <string_view>

namespace trefoil {
namespace {

constexpr Milliseconds kHeartbeatEvery{ 250 };
constexpr std::string_view kDocumentPrefix = "services/";

std::shared_ptr<const Snapshot>
MakeSnapshot(ControlState& aState)
{
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->mNumber = ++aState.mSnapshotNumber;
  snapshot->mReady = aState.mReady && !aState.mLeaving;
  snapshot->mStoreReachable = aState.mStoreReachable;
  snapshot->mMembers = aState.mMembers;
  for (const auto& [service, document] : aState.mDocuments.mByService) {
    snapshot->mServices[service] = { .mDocument = document.mDocument,
                                     .mRevision = document.mRevision,
                                     .mRefusal = document.mRefusal };
  }
  return snapshot;
}

Heartbeat
MakeHeartbeat(ControlState& aState)
{
  return { .mHost = aState.mOptions.mHost,
           .mZone = aState.mOptions.mZone,
           .mPeerEndpoint = aState.mOptions.mPeerEndpoint,
           .mListen = aState.mOptions.mListen,
           .mIncarnation = aState.mOptions.mIncarnation,
           .mSequence = ++aState.mSequence,
           .mLeaving = aState.mLeaving,
           .mConfigRevision = NewestRevision(aState.mDocuments) };
}

// Returns where heartbeats go: to the seeds and to every known member.
std::set<Endpoint>
HeartbeatTargets(const ControlState& aState)
{
  std::set<Endpoint> targets{ aState.mOptions.mSeeds.begin(), aState.mOptions.mSeeds.end() };
  for (const auto& [host, member] : aState.mMembers.mByHost) {
    targets.insert(member.mLast.mPeerEndpoint);
  }
  targets.erase(aState.mOptions.mPeerEndpoint);
  return targets;
}

void
SendHeartbeats(ControlState& aState, ControlEffects& aEffects, Instant aNow)
{
  aState.mNextHeartbeatAt = aNow + kHeartbeatEvery;
  const Heartbeat heartbeat = MakeHeartbeat(aState);
  for (const Endpoint& target : HeartbeatTargets(aState)) {
    aEffects.emplace_back(SendMessage{ .mTo = target, .mMessage = heartbeat });
  }
}

ControlEffects
Publish(ControlState& aState)
{
  ControlEffects effects;
  effects.emplace_back(PublishSnapshot{ MakeSnapshot(aState) });
  return effects;
}

ControlEffects
On(ControlState& aState, const DocumentsRead& aEvent, Instant)
{
  for (const StoreEntry& entry : aEvent.mListing.mEntries) {
    if (!entry.mKey.starts_with(kDocumentPrefix)) {
      continue;
    }
    Apply(aState.mDocuments,
          { .mService = ServiceId{ entry.mKey.substr(kDocumentPrefix.size()) },
            .mRevision = entry.mRevision,
            .mText = entry.mValue,
            .mDeleted = entry.mDeleted });
  }
  aState.mReady = true;
  aState.mStoreReachable = true;
  return Publish(aState);
}

ControlEffects
On(ControlState& aState, const StoreUnreachable&, Instant)
{
  aState.mStoreReachable = false;
  return Publish(aState);
}

ControlEffects
On(ControlState& aState, const MessageArrived& aEvent, Instant aNow)
{
  if (const auto* heartbeat = std::get_if<Heartbeat>(&aEvent.mMessage)) {
    if (heartbeat->mHost != aState.mOptions.mHost) {
      ApplyHeartbeat(aState.mMembers, *heartbeat, aNow);
    }
  }
  return {};
}

ControlEffects
On(ControlState& aState, const StopAnnounced&, Instant aNow)
{
  aState.mLeaving = true;
  ControlEffects effects = Publish(aState);
  SendHeartbeats(aState, effects, aNow);
  return effects;
}

ControlEffects
On(ControlState& aState, const TimerFired&, Instant aNow)
{
  if (!HasPassed(aState.mNextHeartbeatAt, aNow)) {
    return {};
  }
  ExpireMembers(aState.mMembers, aNow);
  ControlEffects effects = Publish(aState);
  SendHeartbeats(aState, effects, aNow);
  return effects;
}

ControlEffects
On(ControlState&, const StoreReadDone&, Instant)
{
  return {};
}

ControlEffects
On(ControlState&, const StoreWriteDone&, Instant)
{
  return {};
}

} // namespace

ControlState
MakeControlState(ControlOptions aOptions, Instant aNow)
{
  ControlState state;
  state.mOptions = std::move(aOptions);
  state.mNextHeartbeatAt = aNow;
  return state;
}

ControlEffects
Step(ControlState& aState, const ControlEvent& aEvent, Instant aNow)
{
  return std::visit([&aState, aNow](const auto& aKind) { return On(aState, aKind, aNow); }, aEvent);
}

Instant
NextTimer(const ControlState& aState)
{
  return aState.mNextHeartbeatAt;
}

} // namespace trefoil
