#include "trefoil/node/internal/pick_server.h"

#include <algorithm>
#include <random>

namespace trefoil {
namespace {

// How long a request waits for a view that effects may rest on.
constexpr Milliseconds kFreshViewWait{ 3'000 };
// Round trip to another availability zone of the region.
constexpr double kOtherZoneMs = 3;
// Price of an on-demand host relative to a reclaimable one.
constexpr double kOnDemandPrice = 2.5;
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

// Shows the routing tables the servers of the newest snapshot.
void
RefreshServers(const TrafficContext& aContext, const ServiceId& aService)
{
  const auto snapshot = aContext.mSnapshots->Read();
  const ServiceView* view = FindService(*snapshot, aService);
  if (view == nullptr) {
    return;
  }
  if (aContext.mRouting->IsOlder(aService, view->mRevision)) {
    aContext.mRouting->SetServers(
      aService, view->mRevision, RoutableServers(*view->mDocument, aContext.mZone));
  }
  aContext.mRouting->TakeReports(
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
    const bool near = server.mZone == aZone;
    const bool reclaimable = server.mPriceClass == PriceClass::kReclaimable;
    servers.push_back({ .mServer = server.mServer,
                        .mVersion = server.mVersion,
                        .mSameZone = near,
                        .mRoundTripMs = near ? 0 : kOtherZoneMs,
                        .mPrice = reclaimable ? 1 : kOnDemandPrice,
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
  // No work is sent on a view from before this process was frozen.
  const auto fresh = aContext.mSnapshots->ReadFresh(Now() + kFreshViewWait);
  if (!IsFresh(*fresh, Now())) {
    return std::nullopt;
  }
  RefreshServers(aContext, aDocument.mService);
  PlacementRequest request{ .mPrefixDigests = DigestPrefixes(aHint.mPrompt),
                            .mPromptTokens =
                              static_cast<std::int64_t>(aHint.mPrompt.size()) / kBytesPerToken,
                            .mExpectedTokens = aHint.mExpectedTokens,
                            .mExcluded = aExcluded,
                            .mVersions = VersionWeights(*aContext.mSnapshots->Read(), aDocument),
                            .mRandom = RandomNumber() };
  auto chosen = aContext.mRouting->Choose(aDocument.mService, request, Now());
  if (!chosen.has_value() && !aExcluded.empty()) {
    request.mExcluded.clear();
    chosen = aContext.mRouting->Choose(aDocument.mService, request, Now());
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

} // namespace trefoil
