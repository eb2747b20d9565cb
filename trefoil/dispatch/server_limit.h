// Keeps the requests of all entry hosts to a backend server within the limit that the server
// states.
//
//   const std::size_t rank = RankOfHost(hosts, self, server);
//   ObserveLimit(limit, { .mStated = stated, .mRequestSentAt = sentAt }, now);
//   const RefillRate part = PartOfLimit(limit.mStated.mPerSecond, rank, hosts.size());
//   if (IsLimited(limit, now) && HasPermit(limit, part, now)) { UsePermit(limit); }
//
// A limit applies to all hosts together. It is divided into permits of about one request per second
// or more, and these among the hosts in the order of a rendezvous hash, so that hosts with the same
// list of hosts agree without messages. A host that is out of contact keeps to its part, too. A
// host without a permit does not use the server; it learns of changes from the hosts that do
// (LimitReport). Plain data and pure functions.
#pragma once

#include "trefoil/admission/token_bucket.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace trefoil {

// What an answer states about the requests that its server accepts.
enum class LimitStatement
{
  kUnlimited,
  kLimited,
  // The statement cannot be read.
  kUnreadable,
};

inline constexpr NameTable<LimitStatement, 3> kLimitStatementNames{ {
  { LimitStatement::kUnlimited, "unlimited" },
  { LimitStatement::kLimited, "limited" },
  { LimitStatement::kUnreadable, "unreadable" },
} };

struct StatedLimit
{
  LimitStatement mKind = LimitStatement::kUnlimited;
  // The requests per second that the server accepts from all hosts together; 0 or more. Meaningful
  // with kLimited.
  double mPerSecond = 0;

  friend bool operator==(const StatedLimit&, const StatedLimit&) = default;
};

// The limit of one incarnation of a server, as one host knows it.
struct ServerLimit
{
  std::int64_t mIncarnation = 0;
  // kUnlimited or kLimited.
  StatedLimit mStated;
  // When the server last stated it to this host or another one.
  Instant mStatedAt;
  // When the statement last changed notably, and whether the server has repeated it to this host
  // since it was last reported to the others.
  Instant mChangedAt;
  bool mIsUnreported = false;
  Instant mNextReportAt;
  // From then on the limit is taken to have ended, unless it is stated again.
  Instant mExpiresAt;
  // The position of this host in the order by which the limit is divided; empty until it is
  // computed.
  std::optional<std::size_t> mRank;
  TokenBucket mBucket;
};

// The statement of an answer that this host received.
struct LimitObservation
{
  std::int64_t mIncarnation = 0;
  StatedLimit mStated;
  Instant mRequestSentAt;
  // A uniform random number from 0 to 1, by which hosts forget an unconfirmed limit at different
  // times.
  double mRandomValue = 0;
};

// The statement of a server as a host reports it to the others.
struct LimitReport
{
  BackendServerId mServer;
  std::int64_t mIncarnation = 0;
  StatedLimit mStated;
  Instant mStatedAt;
};

LimitReport
LimitReportOf(const BackendServerId& aServer, const ServerLimit& aLimit);

// Forgets what an earlier incarnation of the server stated. Returns false if `aIncarnation` is
// itself an earlier one than the known one.
bool
StartLimitIncarnation(ServerLimit& aLimit, std::int64_t aIncarnation);

// Returns the position of `aSelf` among `aHosts` in the order by which the limit of `aServer` is
// divided.
std::size_t
RankOfHost(const std::vector<HostId>& aHosts, const HostId& aSelf, const BackendServerId& aServer);

// Returns the part of a limit of `aPerSecond` that the host at position `aRank` of `aHosts` hosts
// may use; its maximum is 0 if the host may not use the server.
RefillRate
PartOfLimit(double aPerSecond, std::size_t aRank, std::size_t aHosts);

// Returns whether the server is known to limit its requests.
bool
IsLimited(const ServerLimit& aLimit, Instant aNow);

// Records what an answer states. Returns whether that differs notably from what was known, so that
// other hosts must be told.
bool
ObserveLimit(ServerLimit& aLimit, const LimitObservation& aObservation, Instant aNow);

// Applies the report of another host unless it is older than what is known. Returns whether it
// differs notably from that. `aRandomValue` is as in LimitObservation.
bool
MergeLimit(ServerLimit& aLimit, const LimitReport& aReport, double aRandomValue, Instant aNow);

// Returns whether the limit must be reported to the other hosts now: repeatedly after a change, and
// regularly while the server states it. Marks it as reported.
bool
TakeReportDue(ServerLimit& aLimit, Instant aNow);

// Refills permits and returns whether one is left.
bool
HasPermit(TokenBucket& aPermits, const RefillRate& aPart, Instant aNow);

// Refills the permits of a limited server and returns whether this host may send it a request.
bool
HasPermit(ServerLimit& aLimit, const RefillRate& aPart, Instant aNow);

// Uses a permit. Requests that the server rejects use one, too.
void
UsePermit(ServerLimit& aLimit);

// The permits of this host for the servers that a request can be sent to.
struct PermitSum
{
  double mAvailable = 0;
  double mMax = 0;
  // How long it takes until another one is available; empty if this host has no part of any limit.
  std::optional<Milliseconds> mNextIn;
};

// Returns the permits for one server after HasPermit() has refilled them.
PermitSum
PermitsOf(const TokenBucket& aPermits, const RefillRate& aPart);

// Returns the permits for a server if two limits of it hold.
PermitSum
LowerOf(const PermitSum& aFirst, const PermitSum& aSecond);

// Adds the permits for a server.
void
AddPermits(PermitSum& aSum, const PermitSum& aServer);

// Returns whether permits are left for a request when all of its servers are limited. The last ones
// are kept for more urgent requests. `aMoreUrgentShare` is the share of the service's priorities
// that are more urgent than the request's, from 0 to below 1.
bool
CoversUrgency(const PermitSum& aPermits, double aMoreUrgentShare);

} // namespace trefoil
