// Chooses the backend server that a request is sent to.
//
//   std::optional<std::size_t> chosen =
//     ChooseServer(candidates, { .mZone = zone, .mCacheKey = key }, now);
//
// A request with a cache key goes to a server that probably holds the shared parts of its
// prompt in its cache. All hosts rank the servers of a key by the same rendezvous hash, so that
// they agree without messages. A lower-ranked server is chosen only if the work that waits at
// the first one costs more than prefilling the shared parts again, or if it is so slow that the
// request's own tokens take much longer there. Other requests go to the
// least loaded server, with a preference for this host's availability zone. Servers that failed
// recently are avoided while other servers are available. Pure functions.
#pragma once

#include "trefoil/catalogue/server_registry.h"
#include "trefoil/dispatch/backlog.h"
#include "trefoil/dispatch/brittle_server.h"
#include "trefoil/dispatch/server_limit.h"
#include "trefoil/dispatch/server_speed.h"
#include "trefoil/dispatch/warm_up.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace trefoil {

// The status of a server as observed by this host.
struct ServerStatus
{
  int mInFlight = 0;
  // Uncached prompt tokens of this host's requests that have not received their first event
  // yet.
  double mPendingTokens = 0;
  // Estimated prompt tokens that all hosts have sent to the server and that it has not
  // prefilled yet.
  PrefillBacklog mBacklog;
  // Moving average of outcomes: 0 if all requests succeeded, 1 if all failed.
  double mFailureShare = 0;
  int mConsecutiveFailures = 0;
  // Until then the server is used only if no other server is available.
  Instant mAvoidUntil;
  // When the server was last found broken: it broke a connection, was unreachable or did not
  // respond. Empty if it has responded since.
  std::optional<Instant> mBrokenAt;
  Instant mLastServedAt;
  // Whether several other hosts report the server as broken.
  bool mReportedBroken = false;
  ServerSpeed mSpeed;
  // What this host has observed since its start, for the other hosts.
  EventTotals mOwnEvents;
  ServerLimit mLimit;
  WarmUp mWarmUp;
  BrittleServer mBrittle;
  // The incarnation that has stated in an answer that it leaves; empty if none has.
  std::optional<std::int64_t> mLeavingIncarnation;
  // The incarnation that has asked this host to send no requests, and until when.
  std::int64_t mPausedIncarnation = 0;
  Instant mPausedUntil;
};

// The status of the network path to an availability zone. If several of its servers fail at
// about the same time, the zone is probably unreachable, and its other servers are avoided
// without trying each of them.
struct ZoneStatus
{
  // Servers that broke a connection or were unreachable since the last response from the zone.
  std::set<BackendServerId> mBrokenServers;
  Instant mBrokenAt;
  Instant mAvoidUntil;
};

struct ServerCandidate
{
  const RegisteredServer* mServer = nullptr;
  const ServerStatus* mServerStatus = nullptr;
  // Whether a recent request has prefilled the shared parts of the prompt there.
  bool mHoldsCache = false;
  // Whether the server is used only if all other candidates are avoided too, because its zone
  // is avoided or because it may be gone.
  bool mAvoided = false;
  // Whether the server is limited because it warms up. It is slower than others meanwhile.
  bool mIsWarmingUp = false;
  // How many times as long as the mean of its service the server takes (server_speed.h).
  double mSlowness = 1;
};

// Returns whether a server may get requests: not while its entry or one of its answers says that it
// leaves.
bool
AcceptsRequests(const RegisteredServer& aServer, const ServerStatus& aStatus);

// Records that the server wants no requests of this host until `aUntil`.
void
RecordPause(ServerStatus& aStatus, const RegisteredServer& aServer, Instant aUntil);

// Returns whether the server wants no requests of this host at `aNow`.
bool
IsPaused(const RegisteredServer& aServer, const ServerStatus& aStatus, Instant aNow);

// Marks the candidates that other hosts report as broken as avoided, unless they are more than
// half: then the network paths of the reporting hosts are the more likely cause, or the
// remaining servers would be overloaded. A server that has served this host recently is not
// marked.
void
AvoidReportedBroken(std::vector<ServerCandidate>& aCandidates, Instant aNow);

struct ChoiceParameters
{
  AvailabilityZoneId mZone;
  // Identifies the shared parts of the prompt; empty for requests without shared parts.
  std::string mCacheKey;
  std::int64_t mSharedTokens = 0;
  // The prompt tokens after the shared parts.
  std::int64_t mOwnTokens = 0;
  // Prefill rate of a server in tokens per second.
  double mPrefillRate = 0;
  // A random number that breaks ties.
  std::uint64_t mRandomValue = 0;
};

// Returns the number of prompt tokens that wait for prefill at a server. `aPrefillRate` is its
// prefill rate in tokens per second.
double
WaitingTokens(const ServerStatus& aStatus, double aPrefillRate, Instant aNow);

// Returns the index of the chosen candidate, or `std::nullopt` if there are no candidates.
std::optional<std::size_t>
ChooseServer(const std::vector<ServerCandidate>& aCandidates,
             const ChoiceParameters& aParameters,
             Instant aNow);

enum class DispatchOutcome
{
  kServed,
  // The server reported that it did not run the request because it is full or shutting down.
  kTurnedAway,
  kFailed,
  // The server broke the connection or was unreachable.
  kBroken,
};

inline constexpr NameTable<DispatchOutcome, 4> kDispatchOutcomeNames{ {
  { DispatchOutcome::kServed, "served" },
  { DispatchOutcome::kTurnedAway, "turned_away" },
  { DispatchOutcome::kFailed, "failed" },
  { DispatchOutcome::kBroken, "broken" },
} };

// Records the outcome of a request to a server of the zone. Returns whether the zone is avoided
// from now on; returns false if it was avoided already.
bool
RecordZoneOutcome(ZoneStatus& aZone,
                  const BackendServerId& aServer,
                  DispatchOutcome aOutcome,
                  Instant aNow);

// Records that a server has not begun to respond to a request for so long that it probably
// never will.
void
RecordSilence(ServerStatus& aStatus, Instant aNow);

// Returns whether this host reports the server as broken to other hosts.
bool
IsBroken(const ServerStatus& aStatus, Instant aNow);

// Records the outcome of a request. Returns whether the server is avoided from now on because of a
// failure. A server that turned a request away is avoided too, but the result is false.
bool
RecordServerOutcome(ServerStatus& aStatus, DispatchOutcome aOutcome, Instant aNow);

} // namespace trefoil
