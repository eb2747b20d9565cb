// Which servers have lately read the shared parts of a prompt.
//
//   CacheHints hints;
//   NoteRead(hints, key, server, now);
//   bool holds = Holds(ReadersOf(hints, key), server, now);
//
// Bounded in entries and in age. Plain data and pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"

#include <map>
#include <string>
#include <unordered_map>

namespace trefoil {

// When each server read the shared parts last.
using CacheReaders = std::map<BackendServerId, Instant>;

struct CacheHints
{
  // By the key of the shared parts.
  std::unordered_map<std::string, CacheReaders> mReadAt;
};

void
NoteRead(CacheHints& aHints, const std::string& aKey, const BackendServerId& aServer, Instant aNow);

// Returns the servers that have read the parts of a key, null if none is known.
const CacheReaders*
ReadersOf(const CacheHints& aHints, const std::string& aKey);

// Returns whether a server has read the parts lately. `aReaders` may be null.
bool
Holds(const CacheReaders* aReaders, const BackendServerId& aServer, Instant aNow);

} // namespace trefoil
