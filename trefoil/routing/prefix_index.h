// Which backend servers probably hold which prompt prefixes in their caches.
//
//   PrefixMarks marks = MarkPrefixes(prompt);
//   Hold(index, marks, { .mSlot = slot, .mSource = PrefixSource::kCacheEvent }, aNow);
//   double tokens = ExpectedCachedTokens(index, marks, slot, aNow);
//
// A prompt is marked at 1, 2, 3, 4, 6, 8, 12, ... blocks, so that the longest common mark is at
// least two thirds of the common prefix and a prompt has a few dozen marks at most. The index has a
// fixed number of entries in sets of four; a new mark replaces the least recently used of its set.
// Plain data and pure functions.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/routing/choose.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace trefoil {

// Bytes of prompt text in a block, and the tokens that they make on average.
inline constexpr std::size_t kPrefixBlockBytes = 256;
inline constexpr std::int64_t kPrefixBlockTokens = 64;
inline constexpr std::size_t kHoldersPerPrefix = 4;

// The digest of a prompt's first tokens.
struct PrefixMark
{
  std::uint64_t mDigest = 0;
  std::int64_t mTokens = 0;
};

// From the shortest prefix to the longest.
using PrefixMarks = std::vector<PrefixMark>;

// How the index learned of a prefix.
enum class PrefixSource
{
  // The server said so.
  kCacheEvent,
  // This entry host sent a request with the prefix there.
  kOwnRouting,
};

inline constexpr NameTable<PrefixSource, 2> kPrefixSourceNames{ {
  { PrefixSource::kCacheEvent, "cache_event" },
  { PrefixSource::kOwnRouting, "own_routing" },
} };

// A server that probably holds a prefix.
struct PrefixHolder
{
  ServerSlot mSlot = 0;
  PrefixSource mSource = PrefixSource::kCacheEvent;
  Instant mLearnedAt;
};

struct PrefixEntry
{
  std::uint64_t mDigest = 0;
  Instant mUsedAt;
  std::uint32_t mHolderCount = 0;
  std::array<PrefixHolder, kHoldersPerPrefix> mHolders;
};

struct PrefixIndex
{
  std::vector<PrefixEntry> mEntries;
};

// Returns whether prompts are marked after `aBlocks` blocks.
constexpr bool
IsMarkedAt(std::int64_t aBlocks)
{
  while (aBlocks > 3 && aBlocks % 2 == 0) {
    aBlocks /= 2;
  }
  return aBlocks >= 1 && aBlocks <= 3;
}

// Digests a prompt's prefixes.
PrefixMarks
MarkPrefixes(std::string_view aPrompt);

// Makes an empty index for `aMaxMarks` marks, rounded up to a power of two.
PrefixIndex
MakePrefixIndex(std::size_t aMaxMarks);

// Notes that a server probably holds the prefixes. `aHolder.mLearnedAt` is set to `aNow`.
void
Hold(PrefixIndex& aIndex, const PrefixMarks& aMarks, PrefixHolder aHolder, Instant aNow);

// Notes that a server dropped the prefixes.
void
Drop(PrefixIndex& aIndex, const PrefixMarks& aMarks, ServerSlot aSlot);

// Returns the entry of a mark, null if there is none.
const PrefixEntry*
FindPrefix(const PrefixIndex& aIndex, std::uint64_t aDigest);

// Returns the number of the marks' tokens that the server is expected to hold: those of the longest
// mark, less the older the news of it are.
double
ExpectedCachedTokens(const PrefixIndex& aIndex,
                     const PrefixMarks& aMarks,
                     ServerSlot aSlot,
                     Instant aNow);

} // namespace trefoil
