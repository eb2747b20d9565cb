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
// News of a prefix counts half after so long.
constexpr Milliseconds kHalfLife{ 90'000 };
// How far news is trusted at first.
constexpr double kCacheEventTrust = 0.95;
constexpr double kOwnRoutingTrust = 0.85;

std::size_t
SetOf(const PrefixIndex& aIndex, std::uint64_t aDigest)
{
  return (aDigest % (aIndex.mEntries.size() / kSetSize)) * kSetSize;
}

std::span<PrefixEntry>
EntriesFor(PrefixIndex& aIndex, std::uint64_t aDigest)
{
  return std::span{ aIndex.mEntries }.subspan(SetOf(aIndex, aDigest), kSetSize);
}

// Returns the entry of a digest, which may take the place of the least recently used one.
PrefixEntry&
FindOrReplace(PrefixIndex& aIndex, std::uint64_t aDigest)
{
  const auto entries = EntriesFor(aIndex, aDigest);
  const auto found = std::ranges::find(entries, aDigest, &PrefixEntry::mDigest);
  if (found != entries.end()) {
    return *found;
  }
  PrefixEntry& oldest = *std::ranges::min_element(entries, {}, &PrefixEntry::mUsedAt);
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
  if (aEntry.mHolderCount < kHoldersPerPrefix) {
    aEntry.mHolders[aEntry.mHolderCount++] = aHolder;
    return;
  }
  *std::ranges::min_element(holders, {}, &PrefixHolder::mLearnedAt) = aHolder;
}

double
TrustIn(const PrefixHolder& aHolder, Instant aNow)
{
  const double age = std::chrono::duration<double>(aNow - aHolder.mLearnedAt) /
                     std::chrono::duration<double>(kHalfLife);
  const double first =
    aHolder.mSource == PrefixSource::kCacheEvent ? kCacheEventTrust : kOwnRoutingTrust;
  return first * std::exp2(-std::max(0.0, age));
}

} // namespace

PrefixMarks
MarkPrefixes(std::string_view aPrompt)
{
  PrefixMarks marks;
  std::string chained;
  std::size_t begin = 0;
  const std::size_t blocks = aPrompt.size() / kPrefixBlockBytes;
  for (std::size_t block = 1; block <= blocks; ++block) {
    if (!IsMarkedAt(static_cast<std::int64_t>(block))) {
      continue;
    }
    const std::size_t end = block * kPrefixBlockBytes;
    chained += aPrompt.substr(begin, end - begin);
    const std::uint64_t digest = Digest64(chained);
    marks.push_back(
      { .mDigest = digest, .mTokens = static_cast<std::int64_t>(block) * kPrefixBlockTokens });
    chained = std::to_string(digest);
    begin = end;
  }
  return marks;
}

PrefixIndex
MakePrefixIndex(std::size_t aMaxMarks)
{
  return { .mEntries = std::vector<PrefixEntry>(std::bit_ceil(std::max(kSetSize, aMaxMarks))) };
}

void
Hold(PrefixIndex& aIndex, const PrefixMarks& aMarks, PrefixHolder aHolder, Instant aNow)
{
  aHolder.mLearnedAt = aNow;
  for (const PrefixMark& mark : aMarks) {
    PrefixEntry& entry = FindOrReplace(aIndex, mark.mDigest);
    entry.mUsedAt = aNow;
    AddHolder(entry, aHolder);
  }
}

void
Drop(PrefixIndex& aIndex, const PrefixMarks& aMarks, ServerSlot aSlot)
{
  for (const PrefixMark& mark : aMarks) {
    const auto entries = EntriesFor(aIndex, mark.mDigest);
    const auto entry = std::ranges::find(entries, mark.mDigest, &PrefixEntry::mDigest);
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
  const auto entries = std::span{ aIndex.mEntries }.subspan(SetOf(aIndex, aDigest), kSetSize);
  const auto found = std::ranges::find(entries, aDigest, &PrefixEntry::mDigest);
  return found == entries.end() ? nullptr : &*found;
}

double
ExpectedCachedTokens(const PrefixIndex& aIndex,
                     const PrefixMarks& aMarks,
                     ServerSlot aSlot,
                     Instant aNow)
{
  for (auto mark = aMarks.rbegin(); mark != aMarks.rend(); ++mark) {
    const PrefixEntry* entry = FindPrefix(aIndex, mark->mDigest);
    if (entry == nullptr) {
      continue;
    }
    const auto holders = std::span{ entry->mHolders }.first(entry->mHolderCount);
    const auto found = std::ranges::find(holders, aSlot, &PrefixHolder::mSlot);
    if (found != holders.end()) {
      return static_cast<double>(mark->mTokens) * TrustIn(*found, aNow);
    }
  }
  return 0;
}

} // namespace trefoil
