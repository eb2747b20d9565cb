#include "trefoil/node/internal/pick_server.h"

#include <random>
#include <vector>

namespace trefoil {
namespace {

// How long a request waits for a view that effects may rest on.
constexpr Milliseconds kFreshViewWait{ 3'000 };

std::uint64_t
RandomNumber()
{
  thread_local std::mt19937_64 engine{ std::random_device{}() };
  return engine();
}

int
ShareOf(const ServiceDocument& aDocument, const VersionId& aVersion)
{
  for (const VersionSpec& version : aDocument.mVersions) {
    if (version.mVersion == aVersion) {
      return version.mSharePercent;
    }
  }
  return 0;
}

std::optional<BackendServerSpec>
PickAmong(const TrafficContext& aContext,
          const ServiceDocument& aDocument,
          const std::set<BackendServerId>& aExcluded)
{
  // No work is sent on a view from before this process was frozen.
  const auto snapshot = aContext.mSnapshots->ReadFresh(Now() + kFreshViewWait);
  if (!IsFresh(*snapshot, Now())) {
    return std::nullopt;
  }
  std::vector<Candidate> candidates;
  std::vector<const BackendServerSpec*> servers;
  for (const BackendServerSpec& server : aDocument.mServers) {
    if (aExcluded.contains(server.mServer) || ShareOf(aDocument, server.mVersion) == 0 ||
        !TakesNewWork(*snapshot->mServers, server.mServer)) {
      continue;
    }
    candidates.push_back(
      { .mServer = server.mServer, .mInFlight = aContext.mInFlight->Count(server.mServer) });
    servers.push_back(&server);
  }
  const auto index = Choose(RoutingPolicy::kPowerOfTwo, candidates, RandomNumber());
  if (!index.has_value()) {
    return std::nullopt;
  }
  return *servers[*index];
}

} // namespace

std::optional<BackendServerSpec>
PickServer(const TrafficContext& aContext,
           const ServiceDocument& aDocument,
           const std::set<BackendServerId>& aExcluded)
{
  auto server = PickAmong(aContext, aDocument, aExcluded);
  if (!server.has_value() && !aExcluded.empty()) {
    server = PickAmong(aContext, aDocument, {});
  }
  return server;
}

} // namespace trefoil
