// What entry hosts know of the backend servers: up, down or leaving, and their load.
//
//   HealthState health;
//   SetServers(health, servers, gossip, aNow);                     // from the documents
//   std::vector<ServerPoll> polls = DuePolls(health, aNow);
//   OnPolled(health, gossip, { .mServer = id, ... }, aNow);
//   Datagrams out = OnHealthTimer(health, gossip, aNow);
//   OnReports(health, reports, aNow);                              // from other hosts
//
// Two hosts of a server's zone poll it, chosen by rendezvous hashing among the live ones. A change
// of state is sent at once and passed on in a bounded number of rounds, to other zones too. Loads
// are sent inside the zone, at an interval that bounds the bytes. Servers that are not up are
// repeated to a random host each second, so that a lost message or a healed partition is made good.
//
// A report is ordered by the server's incarnation and sequence; leaving is final for an
// incarnation, so that no late report takes it back. Plain data and pure functions.
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

inline constexpr std::size_t kPollersOfServer = 2;
// How often the first and the second poller ask.
inline constexpr Milliseconds kFirstPollEvery{ 1'000 };
inline constexpr Milliseconds kSecondPollEvery{ 3'000 };
// How often a server of a zone without a current digest is asked from here.
inline constexpr Milliseconds kElsewherePollEvery{ 5'000 };
inline constexpr Milliseconds kPollLimit{ 500 };
// A server counts as down when it has failed so often and no other host has heard of it since.
inline constexpr int kFailuresUntilDown = 2;
inline constexpr Milliseconds kSpreadEvery{ 100 };

struct ServerTarget
{
  BackendServerId mServer;
  Endpoint mEndpoint;
  AvailabilityZoneId mZone;
};

struct ServerHealth
{
  ServerTarget mTarget;
  // The newest report; without one the server counts as up.
  std::optional<ServerReport> mReport;
  // This host's place among the pollers; kPollersOfServer if it is none.
  std::size_t mRank = kPollersOfServer;
  bool mPolling = false;
  int mFailures = 0;
  Instant mNextPollAt;
  // How many more rounds carry the newest change.
  int mRoundsLeft = 0;
};

using ServerReportMap = std::map<BackendServerId, ServerReport>;
using ServerSet = std::set<BackendServerId>;

struct HealthState
{
  std::map<BackendServerId, ServerHealth> mByServer;
  // The servers that this host polls.
  std::vector<BackendServerId> mPolled;
  // Whether a state changed, or a load, since the map was published.
  bool mStateChanged = false;
  bool mLoadChanged = false;
  std::shared_ptr<const ServerReportMap> mPublished = std::make_shared<const ServerReportMap>();
  // The servers that are down or leaving.
  std::shared_ptr<const ServerSet> mNotUp = std::make_shared<const ServerSet>();
  Instant mNextPublishAt;
  // Far off while no change has rounds left.
  Instant mNextSpreadAt;
  Instant mNextRepeatAt;
  Instant mNextLoadsAt;
  Instant mNextRanksAt;
};

// Ask a server for its load.
struct ServerPoll
{
  BackendServerId mServer;
  Endpoint mEndpoint;
  Instant mDeadline;
};

// How a poll ended.
struct PollResult
{
  BackendServerId mServer;
  bool mAnswered = false;
  // What the server told; nothing if its kind tells nothing.
  std::optional<ServerReport> mReport;
};

// Takes over the servers of the documents in force.
void
SetServers(HealthState& aHealth, const std::vector<ServerTarget>& aServers, Instant aNow);

// Returns the polls that are due and counts them as underway.
std::vector<ServerPoll>
DuePolls(HealthState& aHealth, const GossipState& aGossip, Instant aNow);

// Takes in the end of a poll. Returns the messages that tell a change.
Datagrams
OnPolled(HealthState& aHealth, GossipState& aGossip, const PollResult& aResult, Instant aNow);

// Takes in what other hosts found.
void
OnReports(HealthState& aHealth, const ServerReports& aReports, Instant aNow);

// Returns the messages that are due.
Datagrams
OnHealthTimer(HealthState& aHealth, GossipState& aGossip, Instant aNow);

Instant
NextHealthTimer(const HealthState& aHealth);

// Makes a new published map if something changed: at once for a state, at intervals for loads.
// Returns whether it did.
bool
PublishReports(HealthState& aHealth, Instant aNow);

} // namespace trefoil
