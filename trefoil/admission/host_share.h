// The share of a limit that one entry host may use.
//
//   HostShare share = MakeHostShare({ .mSelf = host, .mHostsAtStart = 9 }, aNow);
//   ApplyView(share, alive, leaving);
//   double rate = limit * ShareOf(share, aNow);
//
// Every host takes one part in the number of hosts. A host that hears half of the hosts it knew or
// fewer is taken to be cut off and keeps its last share; one that hears more takes the others for
// gone. So the shares of both sides of a partition add up to less than 1.5. Plain data and pure
// functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"

#include <cstddef>
#include <set>

namespace trefoil {

struct HostShareOptions
{
  HostId mSelf;
  // How many hosts are assumed until the others have been heard of.
  std::size_t mHostsAtStart = 1;
};

struct HostShare
{
  HostShareOptions mOptions;
  // The hosts that share the limits.
  std::set<HostId> mHosts;
  // Until when mHostsAtStart is the least number assumed.
  Instant mStartedBy;
};

HostShare
MakeHostShare(HostShareOptions aOptions, Instant aNow);

// Takes in which other hosts are heard of and which of them say that they leave.
void
ApplyView(HostShare& aShare, std::set<HostId> aAlive, const std::set<HostId>& aLeaving);

// Returns this host's part of a limit, over 0 and at most 1.
double
ShareOf(const HostShare& aShare, Instant aNow);

} // namespace trefoil
