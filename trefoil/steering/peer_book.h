// What the other entry hosts have told of their traffic.
//
//   PeerUpdate news = TakeNews(book, message, now);
//   double share = QuotaShare(book, now);
//
// Plain data and pure functions.
#pragma once

#include "trefoil/forward/traffic_view.h"
#include "trefoil/wire/traffic_message.h"

#include <map>
#include <set>
#include <vector>

namespace trefoil {

struct Peer
{
  TrafficUpdate mUpdate;
  Instant mHeardAt;
  // How far the peer's calendar was ahead of this host's.
  Milliseconds mClockAhead{ 0 };
};

struct PeerBook
{
  HostId mSelf;
  // The hosts that the store lists, this one included, and where they listen.
  std::map<HostId, Endpoint> mListed;
  std::map<HostId, Peer> mPeers;
  // Usage of earlier incarnations and of hosts that are gone, by window.
  std::map<HostId, std::map<std::uint64_t, UsageWindows>> mUsage;
};

// Takes in a message. Returns what it adds to what was known; nothing if it is old.
PeerUpdate
TakeNews(PeerBook& aBook, const TrafficUpdate& aUpdate, Instant aNow);

// Returns whether a message comes from an incarnation that was not heard of before.
bool
IsUnknown(const PeerBook& aBook, const TrafficUpdate& aUpdate);

// Takes in what a message says of its sender's calendar. Called after TakeNews.
void
NoteClock(PeerBook& aBook, const TrafficUpdate& aUpdate, WallTime aWallNow);

// Returns what to add to this host's calendar so that it agrees with the middle one of all hosts:
// the calendar of some may have jumped.
Milliseconds
ClockCorrection(const PeerBook& aBook, Instant aNow);

// Returns the hosts that were heard of lately, without this one.
std::vector<HostId>
LivePeers(const PeerBook& aBook, Instant aNow);

// Returns the number of entry hosts, in touch or not.
int
HostCount(const PeerBook& aBook, Instant aNow);

// Returns the part of the quotas that this host and the hosts it hears may use together.
double
QuotaShare(const PeerBook& aBook, Instant aNow);

// Returns how often hosts send their news: the more hosts there are the more rarely, since all
// receive those of all.
Milliseconds
NewsInterval(const PeerBook& aBook, Instant aNow);

// Returns where news are sent, and whether the requests of the usage windows come along: the holder
// of the duties needs them, and the hosts of the sender's zone, to which bytes cost nothing, keep
// them for the next holder.
std::map<Endpoint, bool>
Recipients(const PeerBook& aBook, const AvailabilityZoneId& aZone, Instant aNow);

// Returns the requests of a usage window over all hosts but this one.
std::map<ClientAccountId, std::int64_t>
UsageElsewhere(const PeerBook& aBook, std::int64_t aWindow);

// Drops the usage of windows before one.
void
DropUsageBefore(PeerBook& aBook, std::int64_t aWindow);

// Returns the servers that several live peers say are broken.
std::set<BackendServerId>
BrokenElsewhere(const PeerBook& aBook, Instant aNow);

} // namespace trefoil
