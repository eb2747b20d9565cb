#include "trefoil/config/config_propagation.h"

#include "trefoil/base/digest.h"

#include <algorithm>

namespace trefoil {
namespace {

constexpr std::string_view kWatchKey = "config/watch";

void
ApplyDocuments(ConfigState& aConfig, const std::vector<DocumentRevision>& aDocuments, Instant aNow)
{
  for (const DocumentRevision& document : aDocuments) {
    if (Apply(aConfig.mDocuments, document) != DocumentApplyResult::kInForce) {
      continue;
    }
    aConfig.mPropagation[document.mService] = { .mRevision = document.mRevision,
                                                .mInForceAt = aNow };
  }
}

// Returns whether a member has documents that this host lacks. `aNewestRevision` and `aDigest` are
// those of this host. Digests are compared only within the zone, because digests of other zones are
// received with a delay.
bool
HasMore(const GossipState& aGossip,
        const Member& aMember,
        std::uint64_t aNewestRevision,
        std::uint32_t aDigest)
{
  const Heartbeat& heartbeat = aMember.mHeartbeat;
  if (aMember.mState == MemberState::kDead || heartbeat.mConfigRevision < aNewestRevision) {
    return false;
  }
  const bool ownZone = heartbeat.mZone == aGossip.mOptions.mZone;
  return heartbeat.mConfigRevision > aNewestRevision ||
         (ownZone && heartbeat.mConfigDigest != aDigest);
}

bool
MayFetchFrom(const ConfigState& aConfig, const HostId& aHost, Instant aNow)
{
  const auto nextFetchAt = aConfig.mNextFetchAt.find(aHost);
  return nextFetchAt == aConfig.mNextFetchAt.end() || HasPassed(nextFetchAt->second, aNow);
}

} // namespace

ConfigState
MakeConfigState(Instant aNow)
{
  return { .mHostWaitEndsAt = aNow + kMaxWaitForHosts };
}

bool
WatchesStore(const GossipState& aGossip)
{
  return RankInZone(aGossip, kWatchKey, kWatchersPerZone) < kWatchersPerZone;
}

void
OnStoreListed(ConfigState& aConfig, const std::vector<DocumentRevision>& aDocuments, Instant aNow)
{
  aConfig.mStoreQueried = true;
  aConfig.mStoreAnswered = true;
  ApplyDocuments(aConfig, aDocuments, aNow);
}

void
OnStoreFailed(ConfigState& aConfig)
{
  aConfig.mStoreQueried = true;
}

std::optional<ConfigFetch>
StartNextFetch(ConfigState& aConfig, const GossipState& aGossip, Instant aNow)
{
  if (aConfig.mPendingFetch.has_value() && !HasPassed(aConfig.mPendingFetch->mTimesOutAt, aNow)) {
    return std::nullopt;
  }
  const std::uint64_t newestRevision = NewestRevision(aConfig.mDocuments);
  const std::uint32_t digest = DigestOfRevisions(aConfig.mDocuments);
  const Member* chosen = nullptr;
  std::uint64_t bestScore = 0;
  for (const auto& [host, member] : aGossip.mMembers.mByHost) {
    const bool isCandidate =
      !aConfig.mHostAnswered || HasMore(aGossip, member, newestRevision, digest);
    if (!isCandidate || member.mState == MemberState::kDead || !MayFetchFrom(aConfig, host, aNow)) {
      continue;
    }
    // Hosts prefer different members, which distributes the fetches among the members.
    const std::uint64_t score = RendezvousScore(host.Value(), aGossip.mOptions.mHost.Value());
    if (chosen == nullptr || score > bestScore) {
      chosen = &member;
      bestScore = score;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  const Instant deadline = aNow + kFetchTimeout;
  aConfig.mPendingFetch = { .mHost = chosen->mHeartbeat.mHost, .mTimesOutAt = deadline };
  return ConfigFetch{ .mHost = chosen->mHeartbeat.mHost,
                      .mPeer = chosen->mHeartbeat.mPeerEndpoint,
                      .mRequest = MakeDocumentsRequest(aConfig.mDocuments),
                      .mDeadline = deadline };
}

void
OnFetched(ConfigState& aConfig, const HostId& aHost, const DocumentsReply& aOffered, Instant aNow)
{
  aConfig.mPendingFetch.reset();
  aConfig.mHostAnswered = aConfig.mHostAnswered || aOffered.mReady;
  const std::uint32_t digestBefore = DigestOfRevisions(aConfig.mDocuments);
  ApplyDocuments(aConfig, aOffered.mDocuments, aNow);
  const bool changed = DigestOfRevisions(aConfig.mDocuments) != digestBefore;
  const Milliseconds delay = aOffered.mReady ? kUnchangedFetchDelay : kFetchRetryDelay;
  aConfig.mNextFetchAt[aHost] = changed ? aNow : aNow + delay;
  std::erase_if(aConfig.mNextFetchAt,
                [aNow](const auto& aEntry) { return HasPassed(aEntry.second, aNow); });
}

void
OnFetchFailed(ConfigState& aConfig, const HostId& aHost, Instant aNow)
{
  aConfig.mPendingFetch.reset();
  aConfig.mNextFetchAt[aHost] = aNow + kFetchRetryDelay;
}

bool
IsConfigReady(const ConfigState& aConfig, Instant aNow)
{
  const bool hostsQueried = aConfig.mHostAnswered || HasPassed(aConfig.mHostWaitEndsAt, aNow);
  const bool anyAnswered = aConfig.mStoreAnswered || aConfig.mHostAnswered;
  return aConfig.mStoreQueried && hostsQueried && anyAnswered;
}

std::optional<std::uint64_t>
LowestRevisionOfAllHosts(const GossipState& aGossip, Instant aNow)
{
  std::uint64_t lowest = OwnZoneDigest(aGossip).mLowestRevision;
  for (const auto& [zone, view] : aGossip.mZones) {
    if (HasPassed(view.mStaleAt, aNow)) {
      return std::nullopt;
    }
    if (view.mDigest.mLiveHosts > 0) {
      lowest = std::min(lowest, view.mDigest.mLowestRevision);
    }
  }
  return lowest;
}

void
RecordPropagation(ConfigState& aConfig, const GossipState& aGossip, Instant aNow)
{
  const auto lowestRevision = LowestRevisionOfAllHosts(aGossip, aNow);
  if (!lowestRevision.has_value()) {
    return;
  }
  for (auto& [service, propagation] : aConfig.mPropagation) {
    if (!propagation.mReachedAllHostsAt.has_value() && propagation.mRevision <= *lowestRevision) {
      propagation.mReachedAllHostsAt = aNow;
    }
  }
}

} // namespace trefoil
