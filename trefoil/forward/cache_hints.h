// Tracks which backend servers probably hold the shared parts of a prompt in their cache.
//
//   CacheHints hints;
//   RecordCacheHint(hints, key, server, now);
//   bool cached = IsLikelyCached(FindCacheHints(hints, key), server, now);
//
// Bounded in the number of entries and in their age. Plain data and pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"

#include <map>
#include <string>
#include <unordered_map>

namespace trefoil {

// When each server was last sent a request with these shared parts.
using PrefillTimes = std::map<BackendServerId, Instant>;

struct CacheHints
{
  // By cache key, which identifies the shared parts of a prompt.
  std::unordered_map<std::string, PrefillTimes> mPrefillTimes;
};

// Records that a request with the shared parts `aKey` is sent to `aServer` at `aNow`. If the
// table is full, removes the expired keys first, or all keys if none has expired.
void
RecordCacheHint(CacheHints& aHints,
                const std::string& aKey,
                const BackendServerId& aServer,
                Instant aNow);

// Returns the servers that were sent requests with the shared parts `aKey`, or null if there is
// no entry.
const PrefillTimes*
FindCacheHints(const CacheHints& aHints, const std::string& aKey);

// Returns whether `aServer` was sent the shared parts within the last 30 s before `aNow`.
// `aPrefillTimes` may be null.
bool
IsLikelyCached(const PrefillTimes* aPrefillTimes, const BackendServerId& aServer, Instant aNow);

} // namespace trefoil
