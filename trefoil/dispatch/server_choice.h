// Which backend server a request is sent to.
//
//   std::optional<std::size_t> chosen = ChooseServer(candidates, { .mZone = zone, .mCacheKey = key
//   }, now);
//
// Requests that follow a cache go to the servers that probably hold the shared parts of their
// prompt: all hosts rank the servers of a key alike by rendezvous hash, so that they agree without
// a message, and move on to one of the next ranks only where the work that waits at the first costs
// more than reading the parts again. Other requests go to the server with the least work, those of
// the own zone first. Servers that failed lately are left out while others can serve. Pure
// functions.
#pragma once

#include "trefoil/catalogue/server_registry.h"
#include "trefoil/dispatch/backlog.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace trefoil {

// What this host knows of a server from its own requests.
struct ServerStanding
{
  int mInFlight = 0;
  // Prompt tokens of this host's requests that wait for their first event, as far as they are not
  // cached.
  double mPendingTokens = 0;
  // What all hosts have sent it and it has probably not read yet.
  Backlog mBacklog;
  // A moving mean of outcomes: 0 all good, 1 all failed.
  double mFailureShare = 0;
  int mFailuresInRow = 0;
  // No requests until then if another server can take them.
  Instant mAvoidUntil;
  // When it broke off, was not reached or stayed silent last, if it has not answered since.
  std::optional<Instant> mBrokenAt;
  Instant mServedAt;
  // Several other hosts say that it is broken.
  bool mBrokenElsewhere = false;
};

// What this host knows of the way to a zone: when its servers break off together, the zone is
// probably cut off, and the others of it need not be tried one by one.
struct ZoneStanding
{
  // Servers that broke off or were not reached since the last answer from the zone.
  std::set<BackendServerId> mBroken;
  Instant mBrokenAt;
  Instant mAvoidUntil;
};

struct ServerCandidate
{
  const RegisteredServer* mServer = nullptr;
  const ServerStanding* mStanding = nullptr;
  // A request has read the shared parts there, not long ago.
  bool mHoldsCache = false;
  // Used only where all others are avoided too: its zone is, or it may be gone.
  bool mAvoided = false;
};

// Leaves out the candidates that other hosts say are broken, unless that would leave out most: then
// the hosts' ways are more likely at fault, or the rest would be overloaded. A server that has
// answered this host lately is not left out.
void
AvoidBrokenElsewhere(std::vector<ServerCandidate>& aCandidates, Instant aNow);

struct ChoiceTerms
{
  AvailabilityZoneId mZone;
  // Names the shared parts of the prompt; empty for requests without.
  std::string mCacheKey;
  std::int64_t mSharedTokens = 0;
  // What a server reads, in tokens a second.
  double mReadRate = 0;
  // Breaks ties.
  std::uint64_t mDraw = 0;
};

// Returns the prompt tokens that wait at a server.
double
WaitingAt(const ServerStanding& aStanding, double aReadRate, Instant aNow);

// Returns the position of the chosen candidate, nothing if there are none.
std::optional<std::size_t>
ChooseServer(const std::vector<ServerCandidate>& aCandidates,
             const ChoiceTerms& aTerms,
             Instant aNow);

enum class DispatchOutcome
{
  kServed,
  // The server said that it did not run the request: it is full or leaves.
  kTurnedAway,
  kFailed,
  // The server broke off or cannot be reached.
  kBroken,
};

inline constexpr NameTable<DispatchOutcome, 4> kDispatchOutcomeNames{ {
  { DispatchOutcome::kServed, "served" },
  { DispatchOutcome::kTurnedAway, "turned_away" },
  { DispatchOutcome::kFailed, "failed" },
  { DispatchOutcome::kBroken, "broken" },
} };

// Takes in that a server of a zone was served by, or was not. Returns whether the zone is avoided
// from now on.
bool
NoteZoneOutcome(ZoneStanding& aZone,
                const BackendServerId& aServer,
                DispatchOutcome aOutcome,
                Instant aNow);

// Takes in that a server has not begun to answer a request for so long that it probably never will.
void
NoteSilence(ServerStanding& aStanding, Instant aNow);

// Returns whether other hosts are told that a server is broken.
bool
IsBroken(const ServerStanding& aStanding, Instant aNow);

// Takes in how an attempt ended. Returns whether the server is avoided from now on.
bool
NoteOutcome(ServerStanding& aStanding, DispatchOutcome aOutcome, Instant aNow);

} // namespace trefoil
