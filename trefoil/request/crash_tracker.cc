#include "trefoil/request/crash_tracker.h"

#include "trefoil/base/digest.h"

#include <algorithm>
#include <fmt/format.h>

namespace trefoil {
namespace {

// How long a crash counts against a request.
constexpr std::chrono::minutes kCrashRetention{ 10 };
// Maximum number of requests with recorded crashes.
constexpr std::size_t kMaxEntries = 20'000;

// Evicts the entry with the earliest expiry. Must be called with at least one entry.
void
EvictFirstToExpire(CrashTracker& aTracker)
{
  const auto firstToExpire = std::ranges::min_element(
    aTracker.mByDigest, {}, [](const auto& aItem) { return aItem.second.mExpiresAt; });
  aTracker.mByDigest.erase(firstToExpire);
}

CrashEntry&
FindOrAddEntry(CrashTracker& aTracker, const RequestDigest& aDigest)
{
  if (!aTracker.mByDigest.contains(aDigest) && aTracker.mByDigest.size() >= kMaxEntries) {
    EvictFirstToExpire(aTracker);
  }
  return aTracker.mByDigest[aDigest];
}

// Returns the number of crashes of all servers. Crashes of one server that several hosts observed
// count as the same crashes, so the largest count of any host is used for each server.
std::int64_t
TotalCrashes(const CrashEntry& aEntry)
{
  std::map<BackendServerId, std::int64_t> byServer;
  for (const auto& [host, hostCrashes] : aEntry.mByHost) {
    for (const auto& [server, crashes] : hostCrashes.mByServer) {
      byServer[server] = std::max(byServer[server], crashes);
    }
  }
  std::int64_t crashes = 0;
  for (const auto& [server, count] : byServer) {
    crashes += count;
  }
  return crashes;
}

std::int64_t
SumCrashes(const HostCrashes& aCrashes)
{
  std::int64_t crashes = 0;
  for (const auto& [server, count] : aCrashes.mByServer) {
    crashes += count;
  }
  return crashes;
}

// Returns whether `aLeft` is a newer count of a host than `aRight`.
bool
IsNewerCount(const HostCrashes& aLeft, const HostCrashes& aRight)
{
  return aLeft.mCleared != aRight.mCleared ? aLeft.mCleared > aRight.mCleared
                                           : SumCrashes(aLeft) > SumCrashes(aRight);
}

} // namespace

RequestDigest
RequestDigestOf(const ClientAccountId& aAccount, const ServiceId& aService, std::string_view aBody)
{
  return RequestDigest{ Sha256Hex(fmt::format("{}:{}{}:{}{}",
                                              aAccount.Value().size(),
                                              aAccount.Value(),
                                              aService.Value().size(),
                                              aService.Value(),
                                              aBody)) };
}

CrashCount
RecordCrash(CrashTracker& aTracker,
            const HostId& aHost,
            const RequestDigest& aDigest,
            const BackendServerId& aServer,
            Instant aNow)
{
  CrashEntry& entry = FindOrAddEntry(aTracker, aDigest);
  entry.mExpiresAt = aNow + kCrashRetention;
  HostCrashes& ownCrashes = entry.mByHost[aHost];
  const auto lastCrash = entry.mLastCrashAt.find(aServer);
  if (lastCrash == entry.mLastCrashAt.end() || aNow - lastCrash->second >= kMinTimeBetweenCrashes) {
    ++ownCrashes.mByServer[aServer];
  }
  entry.mLastCrashAt[aServer] = aNow;
  return { .mHost = aHost, .mDigest = aDigest, .mCrashes = ownCrashes };
}

CrashCount
RecordCompletion(CrashTracker& aTracker, const HostId& aHost, const RequestDigest& aDigest)
{
  const auto found = aTracker.mByDigest.find(aDigest);
  if (found == aTracker.mByDigest.end() || TotalCrashes(found->second) == 0) {
    return {};
  }
  for (auto& [host, hostCrashes] : found->second.mByHost) {
    hostCrashes.mByServer.clear();
  }
  found->second.mLastCrashAt.clear();
  HostCrashes& ownCrashes = found->second.mByHost[aHost];
  ++ownCrashes.mCleared;
  return { .mHost = aHost, .mDigest = aDigest, .mCrashes = ownCrashes };
}

void
Merge(CrashTracker& aTracker, const CrashCount& aCount, Instant aNow)
{
  CrashEntry& entry = FindOrAddEntry(aTracker, aCount.mDigest);
  HostCrashes& current = entry.mByHost[aCount.mHost];
  if (!IsNewerCount(aCount.mCrashes, current)) {
    return;
  }
  const bool cleared = aCount.mCrashes.mCleared > current.mCleared;
  current = aCount.mCrashes;
  entry.mExpiresAt = std::max(entry.mExpiresAt, aNow + kCrashRetention);
  if (!cleared) {
    return;
  }
  for (auto& [host, hostCrashes] : entry.mByHost) {
    if (host != aCount.mHost) {
      hostCrashes.mByServer.clear();
    }
  }
}

CrashDecision
CrashDecisionFor(const CrashTracker& aTracker, const RequestDigest& aDigest, Instant aNow)
{
  const auto found = aTracker.mByDigest.find(aDigest);
  if (found == aTracker.mByDigest.end() || HasPassed(found->second.mExpiresAt, aNow)) {
    return CrashDecision::kRun;
  }
  const std::int64_t crashes = TotalCrashes(found->second);
  if (crashes >= kMinCrashesToRefuse) {
    return CrashDecision::kRefuse;
  }
  return crashes >= kMinCrashesToRunAlone ? CrashDecision::kRunAlone : CrashDecision::kRun;
}

void
Expire(CrashTracker& aTracker, Instant aNow)
{
  std::erase_if(aTracker.mByDigest,
                [aNow](const auto& aItem) { return HasPassed(aItem.second.mExpiresAt, aNow); });
}

} // namespace trefoil
