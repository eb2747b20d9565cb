// Computes the share of a limit that one entry host may use.
//
//   HostShare share = MakeHostShare({ .mSelf = host, .mHostsAtStart = 9 }, aNow);
//   ApplyHostView(share, { .mAlive = alive, .mLeaving = leaving, .mOtherZones = counts });
//   double rate = limit * ShareOf(share, aNow);
//
// Each host uses 1/N of a limit, where N is the number of hosts. Hosts of its own availability
// zone are tracked by ID, those of other zones by their number. If a view contains at most half
// of the tracked hosts, this host is considered cut off and keeps its tracked hosts and
// therefore its share. Otherwise the missing hosts are considered gone. This keeps the sum of
// the shares on both sides of a partition below 1.5. Plain data and pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"

#include <cstddef>
#include <map>
#include <set>

namespace trefoil {

struct HostShareOptions
{
  HostId mSelf;
  // Minimum number of hosts assumed during startup, before the other hosts have been observed.
  std::size_t mHostsAtStart = 1;
};

// The other entry hosts that this host is in contact with.
struct HostView
{
  // Live hosts of this host's availability zone.
  std::set<HostId> mAlive;
  // Hosts that have announced that they are shutting down.
  std::set<HostId> mLeaving;
  // Number of live hosts of each other zone, for the zones in contact.
  std::map<AvailabilityZoneId, std::size_t> mOtherZones;
};

struct HostShare
{
  HostShareOptions mOptions;
  // The tracked hosts of this host's zone, including itself.
  std::set<HostId> mHosts;
  std::map<AvailabilityZoneId, std::size_t> mOtherZones;
  // End of the startup period, in which at least mHostsAtStart hosts are assumed.
  Instant mStartupEndsAt;
};

HostShare
MakeHostShare(HostShareOptions aOptions, Instant aNow);

// Applies a view of the other hosts. Returns false if this host is considered cut off.
bool
ApplyHostView(HostShare& aShare, HostView aView);

// Returns the number of tracked hosts, including this one.
std::size_t
HostCount(const HostShare& aShare);

// Returns this host's share of a limit, greater than 0 and at most 1.
double
ShareOf(const HostShare& aShare, Instant aNow);

} // namespace trefoil
