// Judges what this host's failed connections to servers may be blamed on: a server, a request, a
// version, or its own links to the servers.
//
//   ServerLinks links;
//   RecordLoss(links, { .mServer = server, .mService = service, .mRequest = request }, now);
//   if (MayBlameRequest(links, request, now)) { ... count a crash of the server ... }
//   if (RecordAnswer(links, server) == LinkFinding::kSound) { ... the failures were the servers'
//   ... }
//
// Between two answers, several servers that fail without a common request or version have only this
// host's links in common. What it concludes about them must not reach other hosts, which may be
// served by them. Plain data and pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace trefoil {

// Fewer servers are blamed whatever they have in common: a request that is repeated once can crash
// two of them.
inline constexpr std::size_t kMinServersOfLostLinks = 3;

// A connection to a server that broke or fell silent under a request, or that was refused.
struct ServerLoss
{
  BackendServerId mServer;
  ServiceId mService;
  VersionId mVersion;
  // The key of the request that may have run there; empty if the server was unreachable.
  std::optional<std::uint64_t> mRequest;
};

// A server that was lost since the last answer.
struct LostServer
{
  ServiceId mService;
  VersionId mVersion;
  // The requests that may have run there.
  std::set<std::uint64_t> mRequests;
  Instant mLastAt;
};

struct ServerLinks
{
  std::map<BackendServerId, LostServer> mLost;
  // When as many servers as kMinServersOfLostLinks were last lost without an answer in between.
  std::optional<Instant> mManyLostAt;
};

// What an answer shows of the losses before it.
enum class LinkFinding
{
  kNoLoss,
  // A server that was not lost answered: the links are sound, and the losses are those of servers.
  kSound,
  // A server that was lost answered: it is not known whether it or the link was at fault.
  kReturned,
};

inline constexpr NameTable<LinkFinding, 3> kLinkFindingNames{ {
  { LinkFinding::kNoLoss, "no_loss" },
  { LinkFinding::kSound, "sound" },
  { LinkFinding::kReturned, "returned" },
} };

void
RecordLoss(ServerLinks& aLinks, const ServerLoss& aLoss, Instant aNow);

// Records that the server answered, which ends the losses so far.
LinkFinding
RecordAnswer(ServerLinks& aLinks, const BackendServerId& aServer);

// Returns whether failures of single servers may be told to other hosts.
bool
MayBlameServers(const ServerLinks& aLinks, Instant aNow);

// Returns whether a request may be blamed for the loss of the servers that it ran on.
bool
MayBlameRequest(const ServerLinks& aLinks, std::uint64_t aRequest, Instant aNow);

// Returns whether a version of a service may be blamed for the loss of its servers.
bool
MayBlameVersion(const ServerLinks& aLinks,
                const ServiceId& aService,
                const VersionId& aVersion,
                Instant aNow);

// Returns whether the time from `aSentAt` to an answer now may contain an interruption of the
// links.
bool
MayContainInterruption(const ServerLinks& aLinks, Instant aSentAt);

} // namespace trefoil
