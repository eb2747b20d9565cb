// The state of the control thread, shared by the parts that run on it.
#pragma once

#include "trefoil/duty/duty.h"
#include "trefoil/http/http_channel.h"
#include "trefoil/steering/control.h"
#include "trefoil/steering/peer_book.h"
#include "trefoil/steering/prefix_watch.h"
#include "trefoil/steering/scaling.h"
#include "trefoil/steering/store_relay.h"
#include "trefoil/steering/usage_duty.h"
#include "trefoil/steering/version_moves.h"

#include <Poco/Net/DatagramSocket.h>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace trefoil {

struct ControlState
{
  ControlState(ControlOptions aOptions, Traffic& aTraffic, EventLog& aLog);

  ControlOptions mOptions;
  Traffic& mTraffic;
  EventLog& mLog;
  EventLoop mLoop;
  // Lists and short writes; the watches have connections of their own.
  StoreChannel mStore;
  std::optional<HttpChannel> mCloud;
  std::optional<PrefixWatch> mOperatorWatch;
  std::optional<PrefixWatch> mServerWatch;
  Poco::Net::DatagramSocket mPeerSocket;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  bool mLeaving = false;

  TrafficView mView;
  std::int64_t mCatalogueRevision = 0;
  ServerRegistry mServers;
  // Removals that came just after an outage of the store; the servers may still register again.
  std::map<BackendServerId, std::int64_t> mDoubtfulRemovals;
  std::optional<Instant> mServersRegainedAt;

  PeerBook mPeers;
  StoreRelay mRelay;
  // What peers told since it was last passed on to the traffic thread.
  PeerUpdate mPeerUpdate;
  std::vector<DispatchNote> mHeardDispatches;
  Instant mQuotaWrittenAt;
  std::size_t mPeersInTouch = 0;
  TrafficReport mReport;
  // Own counts of crashes, newest last, repeated in each message for a while.
  std::deque<std::pair<Instant, CrashCount>> mCrashes;

  DutyState mDuties;
  EventLoop::TimerId mDutyTimer = 0;
  bool mHoldsDuties = false;
  std::uint64_t mListedUnderLease = 0;
  UsageDuty mUsage;
  ScalingState mScaling;
  VersionMoves mMoves;
  std::mt19937_64 mRandom;
};

} // namespace trefoil
