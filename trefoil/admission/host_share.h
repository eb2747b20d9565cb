// The share of a limit that one entry host may use.
//
//   HostShare share = MakeHostShare({ .mSelf = host, .mHostsAtStart = 9 }, aNow);
//   ApplyView(share, { .mAlive = alive, .mLeaving = leaving, .mOtherZones = counts });
//   double rate = limit * ShareOf(share, aNow);
//
// Every host takes one part in the number of hosts: those of its own availability zone by name,
// those of other zones by number. A host that hears half of the hosts it knew or fewer is taken to
// be cut off and keeps its last share; one that hears more takes the others for gone. So the shares
// of both sides of a partition add up to less than 1.5. Plain data and pure functions.
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
  // How many hosts are assumed until the others have been heard of.
  std::size_t mHostsAtStart = 1;
};

// Which other entry hosts are heard of.
struct HostView
{
  // Of this host's availability zone.
  std::set<HostId> mAlive;
  // Those that say that they leave.
  std::set<HostId> mLeaving;
  // The live hosts of each other zone that is heard of.
  std::map<AvailabilityZoneId, std::size_t> mOtherZones;
};

struct HostShare
{
  HostShareOptions mOptions;
  // The hosts that share the limits, this one among them.
  std::set<HostId> mHosts;
  std::map<AvailabilityZoneId, std::size_t> mOtherZones;
  // Until when mHostsAtStart is the least number assumed.
  Instant mStartedBy;
};

HostShare
MakeHostShare(HostShareOptions aOptions, Instant aNow);

// Takes in which hosts are heard of. Returns false if this host is taken to be cut off.
bool
ApplyView(HostShare& aShare, HostView aView);

// Returns the number of hosts that share the limits.
std::size_t
HostCount(const HostShare& aShare);

// Returns this host's part of a limit, over 0 and at most 1.
double
ShareOf(const HostShare& aShare, Instant aNow);

} // namespace trefoil
