#include "trefoil/request/crash_ledger.h"

#include "trefoil/base/digest.h"

#include <algorithm>
#include <fmt/format.h>

namespace trefoil {
namespace {

// How long crashes are held against a request.
constexpr std::chrono::minutes kMemory{ 10 };
// The most requests with crashes that are kept.
constexpr std::size_t kMaxEntries = 20'000;

// Makes room for an entry by dropping the one that would be forgotten first.
void
DropOldest(CrashLedger& aLedger)
{
  const auto oldest = std::ranges::min_element(
    aLedger.mByDigest, {}, [](const auto& aItem) { return aItem.second.mForgetAt; });
  aLedger.mByDigest.erase(oldest);
}

CrashEntry&
EntryOf(CrashLedger& aLedger, const RequestDigest& aDigest)
{
  if (!aLedger.mByDigest.contains(aDigest) && aLedger.mByDigest.size() >= kMaxEntries) {
    DropOldest(aLedger);
  }
  return aLedger.mByDigest[aDigest];
}

// Returns the crashes of all servers. Hosts that saw the same server crash saw the same crash.
std::int64_t
CrashesOf(const CrashEntry& aEntry)
{
  std::map<BackendServerId, std::int64_t> byServer;
  for (const auto& [host, count] : aEntry.mByHost) {
    for (const auto& [server, crashes] : count.mByServer) {
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
SumOf(const HostCrashes& aCount)
{
  std::int64_t crashes = 0;
  for (const auto& [server, count] : aCount.mByServer) {
    crashes += count;
  }
  return crashes;
}

// Returns whether `aLeft` is later than `aRight`.
bool
IsLater(const HostCrashes& aLeft, const HostCrashes& aRight)
{
  return aLeft.mCleared != aRight.mCleared ? aLeft.mCleared > aRight.mCleared
                                           : SumOf(aLeft) > SumOf(aRight);
}

} // namespace

RequestDigest
DigestOf(const ClientAccountId& aAccount, const ServiceId& aService, std::string_view aBody)
{
  return RequestDigest{ Sha256Hex(fmt::format("{}:{}{}:{}{}",
                                              aAccount.Value().size(),
                                              aAccount.Value(),
                                              aService.Value().size(),
                                              aService.Value(),
                                              aBody)) };
}

CrashCount
RecordCrash(CrashLedger& aLedger,
            const HostId& aHost,
            const RequestDigest& aDigest,
            const BackendServerId& aServer,
            Instant aNow)
{
  CrashEntry& entry = EntryOf(aLedger, aDigest);
  entry.mForgetAt = aNow + kMemory;
  HostCrashes& count = entry.mByHost[aHost];
  const auto seen = entry.mSeenAt.find(aServer);
  if (seen == entry.mSeenAt.end() || aNow - seen->second >= kOneCrash) {
    ++count.mByServer[aServer];
  }
  entry.mSeenAt[aServer] = aNow;
  return { .mHost = aHost, .mDigest = aDigest, .mCrashes = count };
}

CrashCount
RecordCompletion(CrashLedger& aLedger, const HostId& aHost, const RequestDigest& aDigest)
{
  const auto found = aLedger.mByDigest.find(aDigest);
  if (found == aLedger.mByDigest.end() || CrashesOf(found->second) == 0) {
    return {};
  }
  for (auto& [host, count] : found->second.mByHost) {
    count.mByServer.clear();
  }
  found->second.mSeenAt.clear();
  HostCrashes& own = found->second.mByHost[aHost];
  ++own.mCleared;
  return { .mHost = aHost, .mDigest = aDigest, .mCrashes = own };
}

void
Merge(CrashLedger& aLedger, const CrashCount& aCount, Instant aNow)
{
  CrashEntry& entry = EntryOf(aLedger, aCount.mDigest);
  HostCrashes& known = entry.mByHost[aCount.mHost];
  if (!IsLater(aCount.mCrashes, known)) {
    return;
  }
  const bool cleared = aCount.mCrashes.mCleared > known.mCleared;
  known = aCount.mCrashes;
  entry.mForgetAt = std::max(entry.mForgetAt, aNow + kMemory);
  if (!cleared) {
    return;
  }
  for (auto& [host, count] : entry.mByHost) {
    if (host != aCount.mHost) {
      count.mByServer.clear();
    }
  }
}

CrashJudgement
Judge(const CrashLedger& aLedger, const RequestDigest& aDigest, Instant aNow)
{
  const auto found = aLedger.mByDigest.find(aDigest);
  if (found == aLedger.mByDigest.end() || HasPassed(found->second.mForgetAt, aNow)) {
    return CrashJudgement::kRun;
  }
  const std::int64_t crashes = CrashesOf(found->second);
  if (crashes >= kRefuseCrashes) {
    return CrashJudgement::kRefuse;
  }
  return crashes >= kSuspectCrashes ? CrashJudgement::kRunAlone : CrashJudgement::kRun;
}

void
Expire(CrashLedger& aLedger, Instant aNow)
{
  std::erase_if(aLedger.mByDigest,
                [aNow](const auto& aItem) { return HasPassed(aItem.second.mForgetAt, aNow); });
}

} // namespace trefoil
