#include "trefoil/node/control_state.h"

#include "trefoil/node/internal/peer_control.h"

#include <string_view>

namespace trefoil {
namespace {

constexpr std::string_view kDocumentPrefix = "services/";

std::shared_ptr<const Snapshot>
MakeSnapshot(ControlState& aState)
{
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->mNumber = ++aState.mSnapshotNumber;
  snapshot->mReady = aState.mReady && !aState.mLeaving;
  snapshot->mStoreReachable = aState.mStoreReachable;
  snapshot->mMembers = aState.mGossip.mMembers;
  snapshot->mFreshUntil = aState.mGossip.mFreshUntil;
  for (const auto& [service, document] : aState.mDocuments.mByService) {
    snapshot->mServices[service] = { .mDocument = document.mDocument,
                                     .mRevision = document.mRevision,
                                     .mRefusal = document.mRefusal };
  }
  return snapshot;
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

void
AddDatagrams(ControlEffects& aEffects, Datagrams aDatagrams)
{
  for (Datagram& datagram : aDatagrams) {
    aEffects.emplace_back(
      SendMessage{ .mTo = std::move(datagram.mTo), .mMessage = std::move(datagram.mMessage) });
  }
}

ControlEffects
On(ControlState& aState, const MessageArrived& aEvent, Instant aNow)
{
  ControlEffects effects;
  AddDatagrams(effects, OnPeerMessage(aState, aEvent.mMessage, aNow));
  return effects;
}

ControlEffects
On(ControlState& aState, const StopAnnounced&, Instant aNow)
{
  aState.mLeaving = true;
  ControlEffects effects = Publish(aState);
  AddDatagrams(effects, AnnounceLeaving(aState.mGossip, aNow));
  return effects;
}

ControlEffects
On(ControlState& aState, const TimerFired&, Instant aNow)
{
  Datagrams datagrams = OnPeerTimer(aState, aNow);
  ControlEffects effects = Publish(aState);
  AddDatagrams(effects, std::move(datagrams));
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
  state.mGossip = MakeGossipState({ .mHost = aOptions.mHost,
                                    .mZone = aOptions.mZone,
                                    .mPeerEndpoint = aOptions.mPeerEndpoint,
                                    .mListen = aOptions.mListen,
                                    .mSeeds = aOptions.mSeeds,
                                    .mIncarnation = aOptions.mIncarnation,
                                    .mRandomSeed = aOptions.mRandomSeed },
                                  aNow);
  state.mOptions = std::move(aOptions);
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
  return NextPeerTimer(aState);
}

} // namespace trefoil
