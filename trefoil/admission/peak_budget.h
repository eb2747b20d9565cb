// Holds back deferrable work, so that the busiest minute of all hosts stays under a budget.
//
//   PeakBudget budget{ .mWorkPerMinute = 600'000 };
//   NoteAdmitted(budget, work, aNow);                     // work that is not held back
//   ApplyDemand(budget, { .mHost = peer, .mUnheldPerMinute = 20'000 }, aNow);
//   Refresh(budget, share, aNow);
//   if (HasHeadroom(budget)) { TakeHeadroom(budget, work); }
//
// The headroom is the budget less the work of all hosts that is not held back, by what they last
// said; each host takes its share of it. No host asks another: demands spread by gossip, and a host
// that is cut off keeps what it last heard. Plain data and pure functions.
#pragma once

#include "trefoil/admission/token_bucket.h"
#include "trefoil/base/ids.h"

#include <cstdint>
#include <map>

namespace trefoil {

// What a host says of the work that it does not hold back, a minute.
struct HostDemand
{
  HostId mHost;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  double mUnheldPerMinute = 0;
  // When the host is taken for gone unless it says more.
  Instant mSilentAt;
};

struct PeakBudget
{
  // The budget of all hosts; 0 holds nothing back.
  double mWorkPerMinute = 0;
  std::map<HostId, HostDemand> mPeers;
  // The decayed rate of this host's work that is not held back.
  double mOwnPerMinute = 0;
  Instant mOwnAt;
  // What this host may take for deferrable work.
  TokenBucket mHeadroom;
  double mGrantedPerSecond = 0;
};

// Counts work that was admitted without being held back.
void
NoteAdmitted(PeakBudget& aBudget, double aWork, Instant aNow);

// Returns this host's work a minute that is not held back.
double
OwnDemand(const PeakBudget& aBudget, Instant aNow);

// Takes in what another host says, unless it is older than what is known.
void
ApplyDemand(PeakBudget& aBudget, const HostDemand& aDemand, Instant aNow);

// Forgets the demands of hosts that have been silent for long. Not called while this host is cut
// off, so that it keeps what it last heard.
void
ForgetSilent(PeakBudget& aBudget, Instant aNow);

// Adds what has been granted since the last call, and works out the grant of this host from now on;
// it has the share `aShare` of the headroom.
void
Refresh(PeakBudget& aBudget, double aShare, Instant aNow);

// Returns whether a deferrable request may go now. What it takes beyond the headroom is repaid
// before the next one goes.
bool
HasHeadroom(const PeakBudget& aBudget);

void
TakeHeadroom(PeakBudget& aBudget, double aWork);

// Returns when there may be headroom again.
Instant
HeadroomAt(const PeakBudget& aBudget, Instant aNow);

} // namespace trefoil
