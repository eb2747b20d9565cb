// The control state of an entry host as a state machine: events change it and return effects.
//
//   NodeControlState state = MakeNodeControlState({ .mHost = host, ... }, aNow);
//   ControlEffects effects = Step(state, event, aNow);
//   Instant wakeAt = NextTimer(state);
//
// Plain data and functions without I/O: the control thread passes events to Step and has other
// threads execute the effects. Not thread-safe.
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

struct NodeControlOptions
{
  HostId mHost;
  AvailabilityZoneId mZone;
  Endpoint mPeerEndpoint;
  Endpoint mListen;
  std::vector<Endpoint> mSeeds;
  std::uint64_t mIncarnation = 0;
  // The wall-clock time of the start.
  WallTime mStartedAt;
  // Seeds the choice of gossip targets, and the random delays and nonces of duties.
  std::uint64_t mRandomSeed = 0;
};

struct NodeControlState
{
  NodeControlOptions mOptions;
  ConfigState mConfig;
  GossipState mGossip;
  MovesState mMoves;
  HealthState mHealth;
  // An immutable copy of the documents for the snapshots, and the digest of its revisions.
  std::shared_ptr<const DocumentsInForce> mPublishedDocuments;
  std::uint32_t mPublishedDigest = 0;
  // Starts as true since a new host reads the store before it is ready.
  bool mWatchesStore = true;
  IdempotencyControlState mIdempotency;
  AuditControlState mAudit;
  bool mReady = false;
  bool mStoreReachable = false;
  bool mLeaving = false;
  std::uint64_t mSnapshotNumber = 0;
};

// Returns the state of a host that starts at `aNow`.
NodeControlState
MakeNodeControlState(NodeControlOptions aOptions, Instant aNow);

// Applies an event at `aNow` and returns the effects to execute, in order.
ControlEffects
Step(NodeControlState& aState, const ControlEvent& aEvent, Instant aNow);

// Returns when the next TimerFired is due.
Instant
NextTimer(const NodeControlState& aState);

} // namespace trefoil
