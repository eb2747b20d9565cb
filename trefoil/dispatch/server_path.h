// Which path connections to a backend server take: from this host directly, or by way of another
// entry host that carries the bytes.
//
//   ServerReach reach = ReachOf(paths, server, carriers, now);
//   std::optional<std::size_t> carrier = ChooseCarrier(paths, carriers, parameters, now);
//
// A direct path has failed from the first connection that could not be established until one is
// established again, by a probe. If several servers fail and none is connected to or answers
// meanwhile, the host is cut off: all direct paths count as failed, so that no request waits for a
// connection that cannot be established. Which hosts can carry is learned by asking them. Pure
// functions.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/catalogue/server_registry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace trefoil {

// How a direct connection could not be established.
enum class ConnectFailure
{
  // Connections that are already open may still work.
  kRefused,
  kTimedOut,
  // It is established, but nothing is answered on it, as behind a proxy whose way to the servers is
  // cut.
  kUnanswered,
};

inline constexpr NameTable<ConnectFailure, 3> kConnectFailureNames{ {
  { ConnectFailure::kRefused, "refused" },
  { ConnectFailure::kTimedOut, "timed_out" },
  { ConnectFailure::kUnanswered, "unanswered" },
} };

// Direct connections are established within this time, or tried elsewhere. Round trips between
// zones take less than 10 ms. TCP retransmits a lost SYN only after 1 s; trying another server
// earlier is safe, because the request has not been sent yet.
inline constexpr Milliseconds kDirectConnectTimeout{ 250 };

// Returns how a direct connection failed that was opened at `aStartedAt` and ended at `aNow`.
ConnectFailure
ConnectFailureAfter(Instant aStartedAt, Instant aNow);

// Why a connection by way of another host could not be established or was lost.
enum class CarrierFailure
{
  // The carrier could not connect to the server.
  kServerUnreachable,
  // The carrier does not know the server.
  kServerUnknown,
  // The carrier declined, could not be connected to, or did not answer.
  kDeclined,
};

inline constexpr NameTable<CarrierFailure, 3> kCarrierFailureNames{ {
  { CarrierFailure::kServerUnreachable, "server_unreachable" },
  { CarrierFailure::kServerUnknown, "server_unknown" },
  { CarrierFailure::kDeclined, "declined" },
} };

// An entry host that may carry connections for this one.
struct Carrier
{
  HostId mHost;
  Endpoint mEndpoint;
  AvailabilityZoneId mZone;

  friend bool operator==(const Carrier&, const Carrier&) = default;
};

using Carriers = std::vector<Carrier>;

// The paths to a server whose direct path has failed.
struct FailedPath
{
  std::int64_t mIncarnation = 0;
  ConnectFailure mFailure = ConnectFailure::kRefused;
  // Consecutive failures. A path that fails again soon after it has recovered continues to count; 0
  // if the path counts as failed only because the host is cut off.
  int mFailures = 0;
  Instant mProbeAt;
  // When the direct path was established again; empty while it is failed.
  std::optional<Instant> mRecoveredAt;
  // Whether a connection by way of another host was established since the direct path has failed.
  bool mRelayProven = false;
  // The carriers that could not connect to the server, and until when they are not asked again.
  std::map<HostId, Instant> mUnreachableUntil;
};

struct CarrierStatus
{
  // Consecutive failures.
  int mFailures = 0;
  // The carrier is not asked before this time.
  Instant mAvoidUntil;
  Instant mLastConnectedAt;
};

// The paths of this host, as far as they are known.
struct ServerPaths
{
  std::map<BackendServerId, FailedPath> mFailed;
  std::map<HostId, CarrierStatus> mCarriers;
  // From then on a carrier is asked although it is avoided, if all are.
  Instant mAskAvoidedFrom;
  // Carriers that were asked in vain since one was last found.
  int mAsksFailed = 0;
  // Before this time all carriers that were listed when it was set are avoided, so that they need
  // not be looked up for each server.
  Instant mAllAvoidedUntil;
  // Servers whose direct path has failed since one was last known to work.
  std::set<BackendServerId> mFailedSinceAnswer;
  // Servers that have last left a request on a direct connection unanswered, and when, since one
  // was last answered.
  std::map<BackendServerId, Instant> mUnansweredAt;
  // Requests by way of other hosts whose servers were silent too since one was last answered.
  int mRelaysUnanswered = 0;
  // Before this time unanswered requests do not show that this host is cut off, since the servers
  // left those by way of other hosts unanswered too.
  Instant mUnansweredCountFrom;
  // Since when this host is cut off from servers; empty if it is not. mCutOffFailure is how the
  // last connection failed then.
  std::optional<Instant> mCutOffSince;
  ConnectFailure mCutOffFailure = ConnectFailure::kRefused;
  // The next probe while this host is cut off, and how many of them have failed.
  Instant mCutOffProbeAt;
  int mCutOffProbes = 0;
};

// How a server can be reached.
enum class ServerReach
{
  kDirect,
  kRelayed,
  // Only by way of another host, and it is not known yet whether that works. Used if no other
  // server is left.
  kUnproven,
  // Neither way works.
  kUnreachable,
};

inline constexpr NameTable<ServerReach, 4> kServerReachNames{ {
  { ServerReach::kDirect, "direct" },
  { ServerReach::kRelayed, "relayed" },
  { ServerReach::kUnproven, "unproven" },
  { ServerReach::kUnreachable, "unreachable" },
} };

// Returns whether the direct path to the server is not known to have failed.
bool
HasDirectPath(const ServerPaths& aPaths, const RegisteredServer& aServer);

// Returns whether a direct path is known to have failed, so that probes are needed.
bool
HasFailedPaths(const ServerPaths& aPaths);

// Returns whether connections to the server that are already open may still work.
bool
MayUseOpenConnections(const ServerPaths& aPaths, const RegisteredServer& aServer);

// Returns how the server can be reached. A host without carriers has only direct paths. One that is
// cut off and finds no carrier tries each server once.
ServerReach
ReachOf(const ServerPaths& aPaths,
        const RegisteredServer& aServer,
        const Carriers& aCarriers,
        Instant aNow);

// Returns whether the carrier may be asked.
bool
IsUsable(const ServerPaths& aPaths, const HostId& aCarrier, Instant aNow);

// Returns whether carriers are to be asked beside the requests: this host is cut off, none has
// carried lately, and some were not asked yet.
bool
NeedsCarrier(const ServerPaths& aPaths, const Carriers& aCarriers, Instant aNow);

struct CarrierChoice
{
  // The availability zone of this host, whose hosts carry first.
  AvailabilityZoneId mZone;
  std::uint64_t mRandomValue = 0;
};

// Returns the index of the carrier to ask for a connection to the server, chosen at random among
// those of the own zone, or of other zones if none is left. After an ask in vain it is one that has
// carried lately, if there is one; after several, one of any zone that was not asked yet, since a
// whole zone can be cut off. If all are avoided, one of them is chosen now and then, since they may
// have recovered; otherwise returns std::nullopt.
std::optional<std::size_t>
ChooseCarrier(ServerPaths& aPaths,
              const RegisteredServer& aServer,
              const Carriers& aCarriers,
              const CarrierChoice& aChoice,
              Instant aNow);

// Records that a direct connection was established. Returns whether the host was cut off before.
bool
RecordConnected(ServerPaths& aPaths,
                const RegisteredServer& aServer,
                std::uint64_t aRandomValue,
                Instant aNow);

// Records that a server has answered on a direct connection. Returns whether the host was cut off
// before.
bool
RecordDirectAnswer(ServerPaths& aPaths, std::uint64_t aRandomValue, Instant aNow);

// Records that a request on a direct connection was left unanswered: the connection was reset, or
// the server was silent. `aServers` is as for RecordConnectFailure. Returns whether the host is cut
// off from now on; false if it was already. It is taken for cut off until a direct connection is
// answered, whether new ones are established or not.
bool
RecordUnanswered(ServerPaths& aPaths,
                 const BackendServerId& aServer,
                 std::size_t aServers,
                 Instant aNow);

// Records whether a request by way of another host was answered, or its server was silent. Returns
// whether the host is no longer taken for cut off, since the servers leave such requests unanswered
// too.
bool
RecordRelayedAnswer(ServerPaths& aPaths, bool aIsAnswered, Instant aNow);

// How a request reaches its server.
enum class PathKind
{
  kDirect,
  // By way of another host.
  kRelayed,
};

inline constexpr NameTable<PathKind, 2> kPathKindNames{ {
  { PathKind::kDirect, "direct" },
  { PathKind::kRelayed, "relayed" },
} };

// What a record changes in whether the host is taken for cut off.
enum class PathChange
{
  kNone,
  kCutOff,
  kCutOffEnded,
};

inline constexpr NameTable<PathChange, 3> kPathChangeNames{ {
  { PathChange::kNone, "none" },
  { PathChange::kCutOff, "cut_off" },
  { PathChange::kCutOffEnded, "cut_off_ended" },
} };

// A request on an established connection.
struct PathRequest
{
  const BackendServerId& mServer;
  PathKind mPath = PathKind::kDirect;
};

// Records that the server has answered the request: RecordDirectAnswer or RecordRelayedAnswer.
PathChange
RecordAnswered(ServerPaths& aPaths,
               const PathRequest& aRequest,
               std::uint64_t aRandomValue,
               Instant aNow);

// Records that the server has left the request unanswered: RecordUnanswered or RecordRelayedAnswer.
PathChange
RecordNotAnswered(ServerPaths& aPaths,
                  const PathRequest& aRequest,
                  std::size_t aServers,
                  Instant aNow);

// Returns whether a request that may be repeated shall be sent on a direct connection, to find out
// whether it is answered. Then the next one is due later.
bool
TakeDirectTrial(ServerPaths& aPaths, std::uint64_t aRandomValue, Instant aNow);

// As TakeDirectTrial, for a request that must not be repeated and has no other way: only after no
// request has tried for some time, so that a host that gets no others recovers.
bool
TakeUnrepeatableTrial(ServerPaths& aPaths, std::uint64_t aRandomValue, Instant aNow);

// Records that a direct connection could not be established. `aServers` is the number of registered
// servers. Returns whether the host is cut off from now on; false if it was already.
bool
RecordConnectFailure(ServerPaths& aPaths,
                     const RegisteredServer& aServer,
                     ConnectFailure aFailure,
                     std::size_t aServers,
                     std::uint64_t aRandomValue,
                     Instant aNow);

// Records that a connection by way of the carrier was established.
void
RecordRelayed(ServerPaths& aPaths,
              const RegisteredServer& aServer,
              const HostId& aCarrier,
              Instant aNow);

// Records that a connection by way of the carrier could not be established or was lost. Returns
// whether the server is to blame: other hosts than this one have found it unreachable.
bool
RecordRelayFailure(ServerPaths& aPaths,
                   const RegisteredServer& aServer,
                   const HostId& aCarrier,
                   CarrierFailure aFailure,
                   std::uint64_t aRandomValue,
                   Instant aNow);

// Returns the servers to connect to directly now, and schedules the next probes of each. A host
// that is cut off probes one server at a time.
std::vector<BackendServerId>
TakeProbesDue(ServerPaths& aPaths,
              const ServerRegistry& aServers,
              std::uint64_t aRandomValue,
              Instant aNow);

// Removes what is known about paths to servers that are gone, and about paths that have held for
// some time.
void
ExpirePaths(ServerPaths& aPaths, const ServerRegistry& aServers, Instant aNow);

} // namespace trefoil
