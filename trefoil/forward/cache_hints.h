// Which servers have lately read the shared parts of a prompt.
//
//   CacheHints hints;
//   NoteRead(hints, key, server, now);
//   bool holds = Holds(hints, key, server, now);
//
// Bounded in entries and in age. Plain data and pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"

#include <map>
#include <string>
#include <unordered_map>

namespace trefoil {

struct CacheHints
{
  // By the key of the shared parts: when each server read them last.
  std::unordered_map<std::string, std::map<BackendServerId, Instant>> mReadAt;
};

void
NoteRead(CacheHints& aHints, const std::string& aKey, const BackendServerId& aServer, Instant aNow);

bool
Holds(const CacheHints& aHints,
      const std::string& aKey,
      const BackendServerId& aServer,
      Instant aNow);

} // namespace trefoil
