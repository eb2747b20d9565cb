// Detects requests that crash the backend servers that run them and refuses them.
//
//   CrashTracker tracker;
//   RecordCrash(tracker, host, digest, server, aNow);
//   if (CrashDecisionFor(tracker, digest, aNow) == CrashDecision::kRefuse) { ... }
//
// A request is identified by a digest of its client account, service and body. When a server
// crashes, each request that was running on it counts one crash, regardless of how many times it
// ran there and how many hosts had sent it. A request with kMinCrashesToRunAlone crashes runs alone
// on a server; one with kMinCrashesToRefuse crashes is refused by all hosts until its crashes
// expire. The crashes of a request that completes are cleared, so a request that merely shared a
// server with the cause of a crash is not refused.
//
// Each host counts the crashes that it observes and reports its counts to the other hosts. The
// count of one host only increases until it is cleared, so reports may arrive late or twice: one
// that does not exceed the stored count of its host is ignored. Plain data and pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <map>
#include <string_view>

namespace trefoil {

using RequestDigest = Id<struct RequestDigestTag>;

// A request with at least this number of crashes runs alone on a server.
inline constexpr std::int64_t kMinCrashesToRunAlone = 2;
// A request with at least this number of crashes is refused.
inline constexpr std::int64_t kMinCrashesToRefuse = 3;
// A crash of a server within this time of the previous one is the same crash, because a crashed
// server takes longer to restart. Each broken connection to the server is recorded as a crash.
inline constexpr Milliseconds kMinTimeBetweenCrashes{ 1'000 };

// The server crashes that one host observed while it ran a request.
struct HostCrashes
{
  std::map<BackendServerId, std::int64_t> mByServer;
  // How many times the crashes were cleared because the request completed on this host. A count
  // with a higher value is newer, whatever its crashes.
  std::int64_t mCleared = 0;

  friend bool operator==(const HostCrashes&, const HostCrashes&) = default;
};

// All reported crashes of one request.
struct CrashEntry
{
  std::map<HostId, HostCrashes> mByHost;
  // When this host last observed a crash of each server.
  std::map<BackendServerId, Instant> mLastCrashAt;
  // When the entry expires unless another crash is recorded or reported.
  Instant mExpiresAt;
};

struct CrashTracker
{
  std::map<RequestDigest, CrashEntry> mByDigest;
};

// The crashes of one request that one host observed, as reported to the other hosts.
struct CrashCount
{
  HostId mHost;
  RequestDigest mDigest;
  HostCrashes mCrashes;
};

enum class CrashDecision
{
  kRun,
  // The request may run on a server that runs no other request of this system at the same time.
  kRunAlone,
  kRefuse,
};

inline constexpr NameTable<CrashDecision, 3> kCrashDecisionNames{ {
  { CrashDecision::kRun, "run" },
  { CrashDecision::kRunAlone, "run_alone" },
  { CrashDecision::kRefuse, "refuse" },
} };

// Returns the digest that identifies a request.
RequestDigest
RequestDigestOf(const ClientAccountId& aAccount, const ServiceId& aService, std::string_view aBody);

// Records that `aHost`, which is this host, observed a crash of `aServer` while it ran the request,
// and returns the count to report to the other hosts. A crash within kMinTimeBetweenCrashes of the
// last recorded one of the same server is not counted again.
CrashCount
RecordCrash(CrashTracker& aTracker,
            const HostId& aHost,
            const RequestDigest& aDigest,
            const BackendServerId& aServer,
            Instant aNow);

// Clears the crashes of a request that completed on `aHost`, which is this host, and returns the
// count to report to the other hosts. The digest in it is empty if the request had no crashes.
CrashCount
RecordCompletion(CrashTracker& aTracker, const HostId& aHost, const RequestDigest& aDigest);

// Applies a count that another host reported, unless this host has a newer one of the same host.
void
Merge(CrashTracker& aTracker, const CrashCount& aCount, Instant aNow);

// Returns whether a request may run, may run alone or is refused at `aNow`.
CrashDecision
CrashDecisionFor(const CrashTracker& aTracker, const RequestDigest& aDigest, Instant aNow);

// Removes the entries that have expired at `aNow`.
void
Expire(CrashTracker& aTracker, Instant aNow);

} // namespace trefoil
