// The control state of an entry host, and how events change it.
//
//   ControlState state = MakeControlState({ .mHost = host, ... }, aNow);
//   ControlEffects effects = Step(state, event, aNow);
//   Instant wakeAt = NextTimer(state);
//
// Plain data and functions without I/O: the control thread feeds them and carries out the effects.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/config/config_propagation.h"
#include "trefoil/health/server_health.h"
#include "trefoil/membership/gossip.h"
#include "trefoil/node/event.h"
#include "trefoil/node/internal/audit_control.h"
#include "trefoil/node/internal/idempotency_control.h"
#include "trefoil/node/moves_state.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace trefoil {

struct ControlOptions
{
  HostId mHost;
  AvailabilityZoneId mZone;
  Endpoint mPeerEndpoint;
  Endpoint mListen;
  std::vector<Endpoint> mSeeds;
  std::uint64_t mIncarnation = 0;
  // The calendar time of the start.
  WallTime mStartedAt;
  // Decides which hosts gossip goes to.
  std::uint64_t mRandomSeed = 0;
};

struct ControlState
{
  ControlOptions mOptions;
  ConfigState mConfig;
  GossipState mGossip;
  MovesState mMoves;
  HealthState mHealth;
  // A copy of the documents for other threads, and its digest.
  std::shared_ptr<const DocumentsInForce> mSharedDocuments;
  std::uint32_t mSharedDigest = 0;
  // A new host asks the store once.
  bool mWatchesStore = true;
  IdempotencyControl mIdempotency;
  AuditControl mAudit;
  bool mReady = false;
  bool mStoreReachable = false;
  bool mLeaving = false;
  std::uint64_t mSnapshotNumber = 0;
};

ControlState
MakeControlState(ControlOptions aOptions, Instant aNow);

// Applies an event and returns what is to be done.
ControlEffects
Step(ControlState& aState, const ControlEvent& aEvent, Instant aNow);

// Returns when TimerFired is due.
Instant
NextTimer(const ControlState& aState);

} // namespace trefoil
