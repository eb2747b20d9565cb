#include "trefoil/request/server_links.h"

#include <algorithm>

namespace trefoil {
namespace {

// A host that asks for little learns that its links are back only after a while.
constexpr Milliseconds kLossRetention{ 5'000 };
constexpr std::size_t kMaxRequestsOfServer = 256;

// Returns whether the losses can have another cause than this host's links. `aHasCause` is whether
// a lost server has the cause.
template<typename HasCause>
bool
MayBlame(const ServerLinks& aLinks, Instant aNow, const HasCause& aHasCause)
{
  std::size_t lost = 0;
  bool isCommon = true;
  for (const auto& [id, server] : aLinks.mLost) {
    if (!HasPassed(server.mLastAt + kLossRetention, aNow)) {
      ++lost;
      isCommon = isCommon && aHasCause(server);
    }
  }
  return lost < kMinServersOfLostLinks || isCommon;
}

} // namespace

void
RecordLoss(ServerLinks& aLinks, const ServerLoss& aLoss, Instant aNow)
{
  std::erase_if(aLinks.mLost, [aNow](const auto& aItem) {
    return HasPassed(aItem.second.mLastAt + kLossRetention, aNow);
  });
  LostServer& server = aLinks.mLost[aLoss.mServer];
  server.mService = aLoss.mService;
  server.mVersion = aLoss.mVersion;
  server.mLastAt = aNow;
  if (aLoss.mRequest.has_value() && server.mRequests.size() < kMaxRequestsOfServer) {
    server.mRequests.insert(*aLoss.mRequest);
  }
  if (aLinks.mLost.size() >= kMinServersOfLostLinks) {
    aLinks.mManyLostAt = aNow;
  }
}

LinkFinding
RecordAnswer(ServerLinks& aLinks, const BackendServerId& aServer)
{
  if (aLinks.mLost.empty()) {
    return LinkFinding::kNoLoss;
  }
  const bool wasLost = aLinks.mLost.contains(aServer);
  aLinks.mLost.clear();
  return wasLost ? LinkFinding::kReturned : LinkFinding::kSound;
}

bool
MayBlameServers(const ServerLinks& aLinks, Instant aNow)
{
  return MayBlame(aLinks, aNow, [](const LostServer& /*aServer*/) { return false; });
}

bool
MayBlameRequest(const ServerLinks& aLinks, std::uint64_t aRequest, Instant aNow)
{
  return MayBlame(aLinks, aNow, [aRequest](const LostServer& aServer) {
    return aServer.mRequests.contains(aRequest);
  });
}

bool
MayBlameVersion(const ServerLinks& aLinks,
                const ServiceId& aService,
                const VersionId& aVersion,
                Instant aNow)
{
  return MayBlame(aLinks, aNow, [&](const LostServer& aServer) {
    return aServer.mService == aService && aServer.mVersion == aVersion;
  });
}

bool
MayContainInterruption(const ServerLinks& aLinks, Instant aSentAt)
{
  return aLinks.mManyLostAt.has_value() && *aLinks.mManyLostAt >= aSentAt;
}

} // namespace trefoil
