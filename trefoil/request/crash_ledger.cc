#include "trefoil/request/crash_ledger.h"

#include "trefoil/base/digest.h"

#include <algorithm>
#include <fmt/format.h>

namespace trefoil {
namespace {

// How long crashes are held against a request.
constexpr std::chrono::minutes kMemory{ 10 };
// The most requests with crashes that are kept.
constexpr std::size_t kMostEntries = 20'000;

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
  if (!aLedger.mByDigest.contains(aDigest) && aLedger.mByDigest.size() >= kMostEntries) {
    DropOldest(aLedger);
  }
  return aLedger.mByDigest[aDigest];
}

std::int64_t
CrashesOf(const CrashEntry& aEntry)
{
  std::int64_t crashes = 0;
  for (const auto& [host, count] : aEntry.mByHost) {
    crashes += count.mCrashes;
  }
  return crashes;
}

// Returns whether `aLeft` is later than `aRight`.
bool
IsLater(const HostCrashes& aLeft, const HostCrashes& aRight)
{
  return aLeft.mCleared != aRight.mCleared ? aLeft.mCleared > aRight.mCleared
                                           : aLeft.mCrashes > aRight.mCrashes;
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
RecordCrash(CrashLedger& aLedger, const HostId& aHost, const RequestDigest& aDigest, Instant aNow)
{
  CrashEntry& entry = EntryOf(aLedger, aDigest);
  entry.mForgetAt = aNow + kMemory;
  HostCrashes& count = entry.mByHost[aHost];
  ++count.mCrashes;
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
    count.mCrashes = 0;
  }
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
      count.mCrashes = 0;
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
