// Finds the request that crashes the servers which run it, and stops it.
//
//   CrashLedger ledger;
//   RecordCrash(ledger, host, digest, server, aNow);
//   if (Judge(ledger, digest, aNow) == CrashJudgement::kRefuse) { ... }
//
// A request is known by the digest of its client account, service and body. Every request that was
// on a server when it crashed counts one crash, however many times it ran there and however many
// hosts had sent it. One with kSuspectCrashes runs alone on a server; one with kRefuseCrashes is
// refused by all hosts for a time. A request that completes is cleared, so that one which was
// merely on the same server is not blamed for good.
//
// Each host counts for itself and tells the others its count. Counts of one host only go up until
// they are cleared, so that reports may come late or twice. Plain data and pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <map>
#include <string_view>

namespace trefoil {

using RequestDigest = Id<struct RequestDigestTag>;

// From so many crashes on, a request runs alone on a server.
inline constexpr std::int64_t kSuspectCrashes = 2;
// After so many crashes, a request is refused.
inline constexpr std::int64_t kRefuseCrashes = 3;
// A crashed server takes longer than this to be back.
inline constexpr Milliseconds kOneCrash{ 1'000 };

// The crashes that one host saw while it ran a request.
struct HostCrashes
{
  std::map<BackendServerId, std::int64_t> mByServer;
  // Rises each time that the request completed on the host; its crashes start anew.
  std::int64_t mCleared = 0;

  friend bool operator==(const HostCrashes&, const HostCrashes&) = default;
};

struct CrashEntry
{
  std::map<HostId, HostCrashes> mByHost;
  // When this host saw each server crash last.
  std::map<BackendServerId, Instant> mSeenAt;
  // When the entry is dropped unless another crash follows.
  Instant mForgetAt;
};

struct CrashLedger
{
  std::map<RequestDigest, CrashEntry> mByDigest;
};

// What one host knows of a request.
struct CrashCount
{
  HostId mHost;
  RequestDigest mDigest;
  HostCrashes mCrashes;
};

enum class CrashJudgement
{
  kRun,
  // It may run, on a server that runs nothing else of this system meanwhile.
  kRunAlone,
  kRefuse,
};

inline constexpr NameTable<CrashJudgement, 3> kCrashJudgementNames{ {
  { CrashJudgement::kRun, "run" },
  { CrashJudgement::kRunAlone, "run_alone" },
  { CrashJudgement::kRefuse, "refuse" },
} };

// Returns the digest of a request.
RequestDigest
DigestOf(const ClientAccountId& aAccount, const ServiceId& aService, std::string_view aBody);

// Counts a crash of a server that `aHost` saw and returns its counts for the other hosts. Breaks of
// one server that follow each other within kOneCrash are one crash.
CrashCount
RecordCrash(CrashLedger& aLedger,
            const HostId& aHost,
            const RequestDigest& aDigest,
            const BackendServerId& aServer,
            Instant aNow);

// Notes that a request completed on `aHost`, and returns what the other hosts should know; its
// digest is empty if nothing was held against the request.
CrashCount
RecordCompletion(CrashLedger& aLedger, const HostId& aHost, const RequestDigest& aDigest);

// Takes in the count of another host.
void
Merge(CrashLedger& aLedger, const CrashCount& aCount, Instant aNow);

CrashJudgement
Judge(const CrashLedger& aLedger, const RequestDigest& aDigest, Instant aNow);

// Drops the entries whose time is over.
void
Expire(CrashLedger& aLedger, Instant aNow);

} // namespace trefoil
