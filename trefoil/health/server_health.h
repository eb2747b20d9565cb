// Health of the backend servers as observed by the entry hosts: up, down or leaving, and the load.
//
//   HealthState health;
//   SetServers(health, servers, aNow);                             // from the documents
//   std::vector<ServerPoll> polls = DuePolls(health, gossip, aNow);
//   OnPollCompleted(health, gossip, { .mServer = id, ... }, aNow);
//   Datagrams datagrams = OnHealthTimer(health, gossip, aNow);     // when NextHealthTimer passed
//   OnServerReports(health, reports, aNow);                              // from other hosts
//
// Two hosts poll each server. They are chosen by rendezvous hashing among the live hosts of the
// server's zone. The host that observes a change of state sends it immediately, and all hosts then
// gossip it for a bounded number of rounds, to other zones too. Loads are sent only inside the
// zone, at an interval that bounds the bytes per second. Each second, reports of servers that are
// not up are also sent to a random host of the zone and one of another zone. This repairs the
// effect of lost messages and of network partitions.
//
// Reports of a server are ordered by its incarnation and sequence. The state leaving is final for
// an incarnation, so that a delayed report cannot revert it.
//
// Plain data and pure functions; the caller serializes access.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/membership/gossip.h"
#include "trefoil/service/service_document.h"
#include "trefoil/wire/message.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace trefoil {

// How many hosts poll a server.
inline constexpr std::size_t kPollersPerServer = 2;
// How often the first and the second poller poll a server.
inline constexpr Milliseconds kFirstPollerInterval{ 1'000 };
inline constexpr Milliseconds kSecondPollerInterval{ 3'000 };
// How often a server of another zone is polled. That is done only while this host has no up-to-date
// digest of that zone, or the digest counts no live host.
inline constexpr Milliseconds kOtherZonePollInterval{ 5'000 };
// The time within which a server must answer a poll.
inline constexpr Milliseconds kPollTimeout{ 500 };
// After this many failed polls in a row a server counts as down. A newer report from another host
// restarts the count.
inline constexpr int kFailuresUntilDown = 2;
// Interval of the rounds that gossip changes of state.
inline constexpr Milliseconds kChangeGossipInterval{ 100 };

// A backend server whose health is observed.
struct ServerTarget
{
  BackendServerId mServer;
  Endpoint mEndpoint;
  AvailabilityZoneId mZone;
};

struct ServerHealth
{
  ServerTarget mTarget;
  // The merged reports; without a report the server counts as up.
  std::optional<ServerReport> mReport;
  // The rank of this host among the pollers, from 0; kPollersPerServer if this host is not one.
  std::size_t mPollerRank = kPollersPerServer;
  bool mPollInFlight = false;
  // Failed polls since the last successful poll or newer report from another host.
  int mPollFailures = 0;
  Instant mNextPollAt;
  // How many more rounds gossip the newest change of state.
  int mGossipRoundsLeft = 0;
};

using ServerReportMap = std::map<BackendServerId, ServerReport>;
using ServerSet = std::set<BackendServerId>;

struct HealthState
{
  std::map<BackendServerId, ServerHealth> mByServer;
  // The servers that this host polls.
  std::vector<BackendServerId> mPolledServers;
  // Whether a state, or any report, changed since the map was last published.
  bool mStateChanged = false;
  bool mLoadChanged = false;
  // The published map: an immutable copy of all reports, for readers in other threads.
  std::shared_ptr<const ServerReportMap> mPublishedReports =
    std::make_shared<const ServerReportMap>();
  // The servers that are down or leaving, published together with the map.
  std::shared_ptr<const ServerSet> mNotUp = std::make_shared<const ServerSet>();
  Instant mNextLoadPublishAt;
  // Instant::max() while no change has rounds left.
  Instant mNextChangeGossipAt;
  Instant mNextNotUpGossipAt;
  Instant mNextLoadGossipAt;
  Instant mNextRankUpdateAt;
};

// An effect: poll a server for its load before the deadline.
struct ServerPoll
{
  BackendServerId mServer;
  Endpoint mEndpoint;
  Instant mDeadline;
};

// The result of a poll.
struct PollResult
{
  BackendServerId mServer;
  bool mAnswered = false;
  // The report of the server; std::nullopt if a server of its kind sends none.
  std::optional<ServerReport> mReport;
};

// Sets the servers to those of the documents in force. A server whose endpoint changed loses its
// report.
void
SetServers(HealthState& aHealth, const std::vector<ServerTarget>& aServers, Instant aNow);

// Returns the polls that are due and marks them as in flight. The caller must pass the result of
// each one to OnPollCompleted. Also updates the ranks of this host as a poller when that is due.
std::vector<ServerPoll>
DuePolls(HealthState& aHealth, const GossipState& aGossip, Instant aNow);

// Applies the result of a poll. Returns the messages that announce a change of state.
Datagrams
OnPollCompleted(HealthState& aHealth,
                GossipState& aGossip,
                const PollResult& aResult,
                Instant aNow);

// Applies the reports of another host. Ignores those of servers that are not configured.
void
OnServerReports(HealthState& aHealth, const ServerReports& aReports, Instant aNow);

// Returns the messages that are due. Must be called when the time of NextHealthTimer has passed.
Datagrams
OnHealthTimer(HealthState& aHealth, GossipState& aGossip, Instant aNow);

// Returns when OnHealthTimer and DuePolls must be called next.
Instant
NextHealthTimer(const HealthState& aHealth);

// Publishes a new map if a state changed, or if a load changed and kLoadPublishInterval has passed
// since the last publication. Returns whether it published.
bool
PublishReports(HealthState& aHealth, Instant aNow);

} // namespace trefoil
