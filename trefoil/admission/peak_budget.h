// Defers deferrable requests so that the work of all hosts in their busiest minute stays within
// a budget.
//
//   PeakBudget budget{ .mWorkPerMinute = 600'000 };
//   RecordUndeferred(budget, work, aNow);
//   ApplyDemand(budget, { .mHost = peer, .mUndeferredPerMinute = 20'000 }, aNow);
//   RefreshHeadroom(budget, share, aNow);
//   if (HasHeadroom(budget)) { ConsumeHeadroom(budget, work); }
//
// The headroom is the budget minus the undeferred work of all hosts according to their latest
// reports, and each host uses its share of it. Hosts do not query each other: demands spread by
// gossip, and a host that is cut off keeps the demands it last received. Work is measured in
// tokens. Plain data and pure functions.
#pragma once

#include "trefoil/admission/token_bucket.h"
#include "trefoil/base/ids.h"

#include <cstdint>
#include <map>

namespace trefoil {

// The undeferred work per minute that a host reports.
struct HostDemand
{
  HostId mHost;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  double mUndeferredPerMinute = 0;
  // When the report expires unless the host sends a newer one.
  Instant mReportExpiresAt;
};

struct PeakBudget
{
  // The budget of all hosts in work per minute; 0 for no budget.
  double mWorkPerMinute = 0;
  std::map<HostId, HostDemand> mPeers;
  // Undeferred work of this host per minute, as an exponentially decaying rate at
  // mOwnUpdatedAt.
  double mOwnPerMinute = 0;
  Instant mOwnUpdatedAt;
  // Work that this host may admit as deferrable requests; negative while it is overdrawn.
  TokenBucket mHeadroom;
  // This host's current grant of headroom, in work per second.
  double mGrantedPerSecond = 0;
};

// Records work that was admitted without being subject to the headroom.
void
RecordUndeferred(PeakBudget& aBudget, double aWork, Instant aNow);

// Returns this host's undeferred work per minute.
double
OwnDemand(const PeakBudget& aBudget, Instant aNow);

// Applies another host's report, unless a newer one of that host was applied already.
void
ApplyDemand(PeakBudget& aBudget, const HostDemand& aDemand, Instant aNow);

// Removes the demands of hosts that have sent no report for 60 s. Must not be called while this
// host is cut off, so that it keeps the demands it last received.
void
RemoveExpiredDemands(PeakBudget& aBudget, Instant aNow);

// Adds the headroom granted since the last call and computes the rate of this host's grant from
// now on. `aShare` is this host's share of the headroom, from 0 to 1.
void
RefreshHeadroom(PeakBudget& aBudget, double aShare, Instant aNow);

// Returns whether a deferrable request may run now. Its work may overdraw the headroom; no
// further request runs until that is made up for.
bool
HasHeadroom(const PeakBudget& aBudget);

// Consumes headroom for a deferrable request that starts to run.
void
ConsumeHeadroom(PeakBudget& aBudget, double aWork);

// Returns when there may be headroom again, at most 1 s after `aNow`.
Instant
NextHeadroomAt(const PeakBudget& aBudget, Instant aNow);

} // namespace trefoil
