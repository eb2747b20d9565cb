// State of the control thread, shared by the modules that run on it.
#pragma once

#include "trefoil/duty/duty.h"
#include "trefoil/http/http_channel.h"
#include "trefoil/steering/aggregation.h"
#include "trefoil/steering/control_thread.h"
#include "trefoil/steering/evacuation.h"
#include "trefoil/steering/peer_table.h"
#include "trefoil/steering/prefix_watch.h"
#include "trefoil/steering/scaling.h"
#include "trefoil/steering/server_events.h"
#include "trefoil/steering/store_relay.h"
#include "trefoil/steering/totals_messages.h"
#include "trefoil/steering/usage_duty.h"
#include "trefoil/steering/version_moves.h"

#include <Poco/Net/DatagramSocket.h>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace trefoil {

struct SteeringState
{
  SteeringState(ControlThreadOptions aOptions, TrafficThread& aTraffic, EventLog& aLog);

  ControlThreadOptions mOptions;
  TrafficThread& mTraffic;
  EventLog& mLog;
  EventLoop mLoop;
  // For lists and short writes; each PrefixWatch has its own connection.
  StoreChannel mStore;
  std::optional<HttpChannel> mCloud;
  std::optional<PrefixWatch> mOperatorWatch;
  std::optional<PrefixWatch> mServerWatch;
  Poco::Net::DatagramSocket mPeerSocket;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  bool mLeaving = false;

  // The latest era that the store has stated.
  std::int64_t mStoreEra = 0;
  TrafficView mView;
  std::int64_t mCatalogueRevision = 0;
  EvacuationState mEvacuation;
  ServerRegistry mServers;
  // Whether mView may lack changes of mServers, since an exception ended their handling.
  bool mServersUnpublished = false;
  // Servers whose entries disappeared shortly after an outage of the store, with the revision
  // of the removal. They may still register again.
  std::map<BackendServerId, std::int64_t> mUnconfirmedRemovals;
  // When an entry was last relayed to other hosts, by key; see ServerChangesToRelay.
  std::map<std::string, Instant> mServersRelayedAt;
  // When the store came back after its last outage, as this host or another one observed it.
  std::optional<Instant> mStoreRegainedAt;

  // Whether the list of hosts has been read once.
  bool mHostsRefreshed = false;
  // The failed reads of the list since the last one that succeeded, and the timer of the next one;
  // 0 if none is scheduled beside the regular reads.
  int mHostsReadFailures = 0;
  EventLoop::TimerId mHostsRetryTimer = 0;
  PeerTable mPeers;
  AggregationState mAggregation;
  StoreRelay mRelay;
  // The timer of the next push to subscribers; 0 if none waits.
  EventLoop::TimerId mPushTimer = 0;
  // Updates received from peers since the last PeerUpdate was posted to the traffic thread.
  PeerUpdate mPeerUpdate;
  std::vector<DispatchReport> mReceivedDispatches;
  // Dispatches that this host forwards as an aggregator: those of its zone to other zones, and all
  // to the hosts of its zone.
  std::vector<DispatchUpdate> mDispatchesForZones;
  std::vector<DispatchUpdate> mDispatchesForMembers;
  // Limits of servers that this host forwards as an aggregator, and the last one that it forwarded
  // of each server.
  std::vector<LimitReport> mLimitsForZones;
  std::vector<LimitReport> mLimitsForMembers;
  std::map<BackendServerId, LimitReport> mForwardedLimits;
  // What this host has told of the events of servers, when it tells more, and what it forwards as
  // an aggregator.
  ServerEvents mSentServerEvents;
  Instant mNextServerEventsAt;
  ServerEvents mEventsForZones;
  ServerEvents mEventsForMembers;
  // Totals to send, and when they were made.
  std::deque<std::pair<Instant, Datagram>> mWaitingTotals;
  std::size_t mTotalsPerSlice = 0;
  // Whether the next slice of totals is scheduled.
  bool mSendsTotals = false;
  Instant mRecordsWrittenAt;
  // The revisions of the shared records' keys, 0 for keys that do not exist as far as is known.
  std::map<std::string, std::int64_t> mSharedRecordRevisions;
  // Whether the record of refused parts of prompts, as this host read or would have written it
  // last, has any.
  bool mHasRefusals = false;
  // The number of live peers that was logged last.
  std::size_t mPeersInTouch = 0;
  TrafficReport mReport;

  DutyState mDuties;
  EventLoop::TimerId mDutyTimer = 0;
  bool mHoldsDuties = false;
  // When this host became the holder; meaningful while mHoldsDuties is true.
  Instant mHoldsDutiesSince;
  // The lease under which this host's entry was written to the store; 0 if none was written.
  std::uint64_t mHostEntryLease = 0;
  // The earliest time of the next write of the entry; a write in progress has timed out by then.
  Instant mNextRegistrationAt;
  UsageDuty mUsage;
  ScalingState mScaling;
  VersionMoves mMoves;
  // When the stage of a move last changed, and when the stages were last told to the other hosts.
  Instant mDecisionsChangedAt;
  Instant mDecisionsToldAt;
  std::mt19937_64 mRandom;
};

} // namespace trefoil
