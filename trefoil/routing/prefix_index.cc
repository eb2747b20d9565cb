#include "trefoil/routing/prefix_index.h"

#include "trefoil/base/digest.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <span>
#include <string>

namespace trefoil {
namespace {

constexpr std::size_t kSetSize = 4;
// The confidence in a holder halves after this time.
constexpr Milliseconds kConfidenceHalfLife{ 90'000 };
// Initial confidence that a server holds a prefix.
constexpr double kCacheEventConfidence = 0.95;
constexpr double kOwnRoutingConfidence = 0.85;

std::size_t
FirstOfSet(const PrefixIndex& aIndex, std::uint64_t aDigest)
{
  return (aDigest % (aIndex.mEntries.size() / kSetSize)) * kSetSize;
}

std::span<PrefixEntry>
SetOfDigest(PrefixIndex& aIndex, std::uint64_t aDigest)
{
  return std::span{ aIndex.mEntries }.subspan(FirstOfSet(aIndex, aDigest), kSetSize);
}

// Returns the entry of a digest. If there is none, the new entry replaces the least recently
// updated one of its set.
PrefixEntry&
FindOrReplace(PrefixIndex& aIndex, std::uint64_t aDigest)
{
  const auto entries = SetOfDigest(aIndex, aDigest);
  const auto found = std::ranges::find(entries, aDigest, &PrefixEntry::mDigest);
  if (found != entries.end()) {
    return *found;
  }
  PrefixEntry& oldest = *std::ranges::min_element(entries, {}, &PrefixEntry::mUpdatedAt);
  oldest = { .mDigest = aDigest };
  return oldest;
}

void
AddHolder(PrefixEntry& aEntry, const PrefixHolder& aHolder)
{
  const auto holders = std::span{ aEntry.mHolders }.first(aEntry.mHolderCount);
  const auto found = std::ranges::find(holders, aHolder.mSlot, &PrefixHolder::mSlot);
  if (found != holders.end()) {
    *found = aHolder;
    return;
  }
  if (aEntry.mHolderCount < kMaxHoldersPerPrefix) {
    aEntry.mHolders[aEntry.mHolderCount++] = aHolder;
    return;
  }
  *std::ranges::min_element(holders, {}, &PrefixHolder::mObservedAt) = aHolder;
}

double
Confidence(const PrefixHolder& aHolder, Instant aNow)
{
  const double age = std::chrono::duration<double>(aNow - aHolder.mObservedAt) /
                     std::chrono::duration<double>(kConfidenceHalfLife);
  const double initial =
    aHolder.mSource == PrefixSource::kCacheEvent ? kCacheEventConfidence : kOwnRoutingConfidence;
  return initial * std::exp2(-std::max(0.0, age));
}

} // namespace

PrefixDigests
DigestPrefixes(std::string_view aPrompt)
{
  PrefixDigests digests;
  std::string chain;
  std::size_t begin = 0;
  const std::size_t blocks = aPrompt.size() / kPrefixBlockBytes;
  for (std::size_t block = 1; block <= blocks; ++block) {
    if (!IsDigestBoundary(static_cast<std::int64_t>(block))) {
      continue;
    }
    const std::size_t end = block * kPrefixBlockBytes;
    chain += aPrompt.substr(begin, end - begin);
    const std::uint64_t digest = Digest64(chain);
    digests.push_back(
      { .mDigest = digest, .mTokens = static_cast<std::int64_t>(block) * kPrefixBlockTokens });
    chain = std::to_string(digest);
    begin = end;
  }
  return digests;
}

PrefixIndex
MakePrefixIndex(std::size_t aMaxDigests)
{
  return { .mEntries = std::vector<PrefixEntry>(std::bit_ceil(std::max(kSetSize, aMaxDigests))) };
}

void
AddPrefixHolder(PrefixIndex& aIndex,
                const PrefixDigests& aDigests,
                PrefixHolder aHolder,
                Instant aNow)
{
  aHolder.mObservedAt = aNow;
  for (const PrefixDigest& prefix : aDigests) {
    PrefixEntry& entry = FindOrReplace(aIndex, prefix.mDigest);
    entry.mUpdatedAt = aNow;
    AddHolder(entry, aHolder);
  }
}

void
RemovePrefixHolder(PrefixIndex& aIndex, const PrefixDigests& aDigests, ServerSlot aSlot)
{
  for (const PrefixDigest& prefix : aDigests) {
    const auto entries = SetOfDigest(aIndex, prefix.mDigest);
    const auto entry = std::ranges::find(entries, prefix.mDigest, &PrefixEntry::mDigest);
    if (entry == entries.end()) {
      continue;
    }
    const auto holders = std::span{ entry->mHolders }.first(entry->mHolderCount);
    const auto found = std::ranges::find(holders, aSlot, &PrefixHolder::mSlot);
    if (found != holders.end()) {
      *found = holders.back();
      --entry->mHolderCount;
    }
  }
}

const PrefixEntry*
FindPrefix(const PrefixIndex& aIndex, std::uint64_t aDigest)
{
  const auto entries = std::span{ aIndex.mEntries }.subspan(FirstOfSet(aIndex, aDigest), kSetSize);
  const auto found = std::ranges::find(entries, aDigest, &PrefixEntry::mDigest);
  return found == entries.end() ? nullptr : &*found;
}

double
ExpectedCachedTokens(const PrefixIndex& aIndex,
                     const PrefixDigests& aDigests,
                     ServerSlot aSlot,
                     Instant aNow)
{
  for (auto prefix = aDigests.rbegin(); prefix != aDigests.rend(); ++prefix) {
    const PrefixEntry* entry = FindPrefix(aIndex, prefix->mDigest);
    if (entry == nullptr) {
      continue;
    }
    const auto holders = std::span{ entry->mHolders }.first(entry->mHolderCount);
    const auto found = std::ranges::find(holders, aSlot, &PrefixHolder::mSlot);
    if (found != holders.end()) {
      return static_cast<double>(prefix->mTokens) * Confidence(*found, aNow);
    }
  }
  return 0;
}

} // namespace trefoil
