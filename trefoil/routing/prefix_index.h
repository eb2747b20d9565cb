// Tracks which backend servers probably hold which prompt prefixes in their caches.
//
//   PrefixDigests digests = DigestPrefixes(prompt);
//   AddPrefixHolder(index, digests, { .mSlot = slot, .mSource = PrefixSource::kCacheEvent }, aNow);
//   double tokens = ExpectedCachedTokens(index, digests, slot, aNow);
//
// A prompt's prefixes of 1, 2, 3, 4, 6, 8, 12, ... blocks are digested. The longest digested
// prefix that two prompts share is therefore at least two thirds of the whole blocks they
// share, and a prompt has at most a few dozen digests. The index has a fixed number of entries
// in sets of four; a new prefix replaces the least recently updated entry of its set. Plain
// data and pure functions.
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

// Bytes of prompt text in a block, and the average number of tokens in them.
inline constexpr std::size_t kPrefixBlockBytes = 256;
inline constexpr std::int64_t kPrefixBlockTokens = 64;
inline constexpr std::size_t kMaxHoldersPerPrefix = 4;

// The digest of a prompt's prefix of mTokens tokens.
struct PrefixDigest
{
  std::uint64_t mDigest = 0;
  std::int64_t mTokens = 0;
};

// The digests of a prompt's prefixes, in order of increasing length.
using PrefixDigests = std::vector<PrefixDigest>;

// How the index obtained the information that a server holds a prefix.
enum class PrefixSource
{
  // The server reported that it has cached the prefix.
  kCacheEvent,
  // This entry host sent a request with the prefix to the server.
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
  Instant mObservedAt;
};

struct PrefixEntry
{
  std::uint64_t mDigest = 0;
  Instant mUpdatedAt;
  std::uint32_t mHolderCount = 0;
  std::array<PrefixHolder, kMaxHoldersPerPrefix> mHolders;
};

struct PrefixIndex
{
  std::vector<PrefixEntry> mEntries;
};

// Returns whether the prefix of `aBlocks` blocks is digested.
constexpr bool
IsDigestBoundary(std::int64_t aBlocks)
{
  while (aBlocks > 3 && aBlocks % 2 == 0) {
    aBlocks /= 2;
  }
  return aBlocks >= 1 && aBlocks <= 3;
}

// Returns the digests of a prompt's prefixes.
PrefixDigests
DigestPrefixes(std::string_view aPrompt);

// Returns an empty index for `aMaxDigests` digests, rounded up to a power of two of at least 4.
PrefixIndex
MakePrefixIndex(std::size_t aMaxDigests);

// Records that a server probably holds the prefixes. Sets `aHolder.mObservedAt` to `aNow`.
void
AddPrefixHolder(PrefixIndex& aIndex,
                const PrefixDigests& aDigests,
                PrefixHolder aHolder,
                Instant aNow);

// Records that a server no longer holds the prefixes.
void
RemovePrefixHolder(PrefixIndex& aIndex, const PrefixDigests& aDigests, ServerSlot aSlot);

// Returns the entry of a digest, or null if there is none.
const PrefixEntry*
FindPrefix(const PrefixIndex& aIndex, std::uint64_t aDigest);

// Returns the expected number of prompt tokens that the server holds in its cache: the tokens
// of the longest prefix that it is recorded to hold, multiplied by a confidence that decays with
// the age of that information.
double
ExpectedCachedTokens(const PrefixIndex& aIndex,
                     const PrefixDigests& aDigests,
                     ServerSlot aSlot,
                     Instant aNow);

} // namespace trefoil
