#include "trefoil/node/internal/pick_server.h"

#include "trefoil/base/digest.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>
#include <string>
#include <utility>

namespace trefoil {
namespace {

// Maximum time that a request waits for an up-to-date snapshot.
constexpr Milliseconds kMaxSnapshotWait{ 3'000 };
// Round-trip time to another availability zone of the region.
constexpr double kOtherZoneRoundTripMs = 3;
// Price of an on-demand host relative to a reclaimable one.
constexpr double kOnDemandPriceRatio = 2.5;
// Expected reclaims of a reclaimable host.
constexpr double kReclaimsPerHour = 0.05;
constexpr std::int64_t kBytesPerToken = kPrefixBlockBytes / kPrefixBlockTokens;

std::uint64_t
RandomNumber()
{
  thread_local std::mt19937_64 engine{ std::random_device{}() };
  return engine();
}

const BackendServerSpec*
FindServer(const ServiceDocument& aDocument, const BackendServerId& aServer)
{
  const auto found = std::ranges::find(aDocument.mServers, aServer, &BackendServerSpec::mServer);
  return found == aDocument.mServers.end() ? nullptr : &*found;
}

// Updates the routing table of a service from the newest snapshot.
void
RefreshRoutingTable(const TrafficContext& aContext, const ServiceId& aService)
{
  const auto snapshot = aContext.mSnapshots->Read();
  const ServiceView* view = FindService(*snapshot, aService);
  if (view == nullptr) {
    return;
  }
  if (aContext.mRouting->IsOlderThan(aService, view->mRevision)) {
    aContext.mRouting->SetServers(
      aService, view->mRevision, RoutableServers(*view->mDocument, aContext.mZone));
  }
  aContext.mRouting->ApplyServerUpdate(
    aService, { .mReports = snapshot->mServers, .mNotUp = snapshot->mNotUp }, Now());
}

} // namespace

std::vector<VersionWeight>
VersionWeights(const Snapshot& aSnapshot, const ServiceDocument& aDocument)
{
  const ServiceView* view = FindService(aSnapshot, aDocument.mService);
  if (view == nullptr || view->mMove.mShares.empty()) {
    return VersionWeights(aDocument);
  }
  std::vector<VersionWeight> weights;
  for (const VersionShare& share : view->mMove.mShares) {
    weights.push_back(
      { .mVersion = share.mVersion, .mWeight = static_cast<double>(share.mPermille) });
  }
  return weights;
}

std::vector<VersionWeight>
VersionWeights(const ServiceDocument& aDocument)
{
  std::vector<VersionWeight> weights;
  for (const VersionSpec& version : aDocument.mVersions) {
    weights.push_back(
      { .mVersion = version.mVersion, .mWeight = static_cast<double>(version.mSharePercent) });
  }
  return weights;
}

std::vector<RoutableServer>
RoutableServers(const ServiceDocument& aDocument, const AvailabilityZoneId& aZone)
{
  std::vector<RoutableServer> servers;
  for (const BackendServerSpec& server : aDocument.mServers) {
    const bool sameZone = server.mZone == aZone;
    const bool reclaimable = server.mPriceClass == PriceClass::kReclaimable;
    servers.push_back({ .mServer = server.mServer,
                        .mVersion = server.mVersion,
                        .mSameZone = sameZone,
                        .mRoundTripMs = sameZone ? 0 : kOtherZoneRoundTripMs,
                        .mPrice = reclaimable ? 1 : kOnDemandPriceRatio,
                        .mReclaimsPerHour = reclaimable ? kReclaimsPerHour : 0 });
  }
  return servers;
}

std::optional<BackendServerSpec>
PickServer(const TrafficContext& aContext,
           const ServiceDocument& aDocument,
           const std::set<BackendServerId>& aExcluded,
           const WorkHint& aHint)
{
  // A process that was frozen must not send work based on a snapshot from before the freeze.
  const auto fresh = aContext.mSnapshots->AwaitFresh(Now() + kMaxSnapshotWait);
  if (!IsFresh(*fresh, Now())) {
    return std::nullopt;
  }
  RefreshRoutingTable(aContext, aDocument.mService);
  PlacementRequest request{ .mPrefixDigests = DigestPrefixes(aHint.mPrompt),
                            .mPromptTokens =
                              static_cast<std::int64_t>(aHint.mPrompt.size()) / kBytesPerToken,
                            .mExpectedTokens = aHint.mExpectedTokens,
                            .mExcluded = aExcluded,
                            .mVersions = VersionWeights(*aContext.mSnapshots->Read(), aDocument),
                            .mRandom = RandomNumber() };
  auto chosen = aContext.mRouting->PlaceRequest(aDocument.mService, request, Now());
  if (!chosen.has_value() && !aExcluded.empty()) {
    request.mExcluded.clear();
    chosen = aContext.mRouting->PlaceRequest(aDocument.mService, request, Now());
  }
  if (!chosen.has_value()) {
    return std::nullopt;
  }
  const auto snapshot = aContext.mSnapshots->Read();
  const ServiceView* view = FindService(*snapshot, aDocument.mService);
  const BackendServerSpec* server =
    FindServer(view == nullptr ? aDocument : *view->mDocument, *chosen);
  return server == nullptr ? std::nullopt : std::optional{ *server };
}

bool
HasServerUp(const TrafficContext& aContext,
            const ServiceDocument& aDocument,
            const std::set<BackendServerId>& aExcluded)
{
  const auto snapshot = aContext.mSnapshots->Read();
  const ServiceView* view = FindService(*snapshot, aDocument.mService);
  const ServiceDocument& document = view == nullptr ? aDocument : *view->mDocument;
  return std::ranges::any_of(document.mServers, [&](const BackendServerSpec& aServer) {
    return !aExcluded.contains(aServer.mServer) && !snapshot->mNotUp->contains(aServer.mServer);
  });
}

std::optional<BackendServerSpec>
PickServerForSuspect(const ServiceDocument& aDocument,
                     const std::set<BackendServerId>& aExcluded,
                     SuspectKey aRequest)
{
  const std::string key = fmt::format("{:016x}", aRequest);
  std::optional<std::pair<std::uint64_t, BackendServerSpec>> best;
  for (const BackendServerSpec& server : aDocument.mServers) {
    const std::uint64_t score = RendezvousScore(server.mServer.Value(), key);
    if (!aExcluded.contains(server.mServer) && (!best.has_value() || score > best->first)) {
      best = { score, server };
    }
  }
  return best.has_value() ? std::optional{ best->second } : std::nullopt;
}

} // namespace trefoil
