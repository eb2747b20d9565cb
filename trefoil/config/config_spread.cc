#include "trefoil/config/config_spread.h"

#include "trefoil/base/digest.h"

#include <algorithm>

namespace trefoil {
namespace {

constexpr std::string_view kWatchKey = "config/watch";

void
ApplyAll(ConfigState& aConfig, const std::vector<DocumentRevision>& aDocuments, Instant aNow)
{
  for (const DocumentRevision& document : aDocuments) {
    if (Apply(aConfig.mDocuments, document) != DocumentFate::kInForce) {
      continue;
    }
    aConfig.mSpread[document.mService] = { .mRevision = document.mRevision, .mSeenAt = aNow };
  }
}

// Returns whether a member has documents that this host, whose newest revision and digest are
// given, lacks. Digests are compared inside the zone alone: those of other zones come late.
bool
HasMore(const GossipState& aGossip,
        const Member& aMember,
        std::uint64_t aNewest,
        std::uint32_t aDigest)
{
  const Heartbeat& other = aMember.mLast;
  if (aMember.mState == MemberState::kDead || other.mConfigRevision < aNewest) {
    return false;
  }
  const bool ownZone = other.mZone == aGossip.mOptions.mZone;
  return other.mConfigRevision > aNewest || (ownZone && other.mConfigDigest != aDigest);
}

bool
MayAsk(const ConfigState& aConfig, const HostId& aHost, Instant aNow)
{
  const auto again = aConfig.mAskAgainAt.find(aHost);
  return again == aConfig.mAskAgainAt.end() || HasPassed(again->second, aNow);
}

} // namespace

ConfigState
MakeConfigState(Instant aNow)
{
  return { .mHostsAwaitedUntil = aNow + kOtherHostsWait };
}

bool
WatchesStore(const GossipState& aGossip)
{
  return RankInZone(aGossip, kWatchKey, kWatchersOfZone) < kWatchersOfZone;
}

void
OnListing(ConfigState& aConfig, const std::vector<DocumentRevision>& aDocuments, Instant aNow)
{
  aConfig.mStoreAsked = true;
  aConfig.mStoreAnswered = true;
  ApplyAll(aConfig, aDocuments, aNow);
}

void
OnStoreFailed(ConfigState& aConfig)
{
  aConfig.mStoreAsked = true;
}

std::optional<ConfigFetch>
NextFetch(ConfigState& aConfig, const GossipState& aGossip, Instant aNow)
{
  if (aConfig.mFetch.has_value() && !HasPassed(aConfig.mFetch->mGiveUpAt, aNow)) {
    return std::nullopt;
  }
  const std::uint64_t newest = NewestRevision(aConfig.mDocuments);
  const std::uint32_t digest = DigestOf(aConfig.mDocuments);
  const Member* chosen = nullptr;
  std::uint64_t bestScore = 0;
  for (const auto& [host, member] : aGossip.mMembers.mByHost) {
    const bool wanted = !aConfig.mHostAnswered || HasMore(aGossip, member, newest, digest);
    if (!wanted || member.mState == MemberState::kDead || !MayAsk(aConfig, host, aNow)) {
      continue;
    }
    // Each host prefers another one, so that not all of them ask the same.
    const std::uint64_t score = RendezvousScore(host.Value(), aGossip.mOptions.mHost.Value());
    if (chosen == nullptr || score > bestScore) {
      chosen = &member;
      bestScore = score;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  const Instant deadline = aNow + kFetchLimit;
  aConfig.mFetch = { .mHost = chosen->mLast.mHost, .mGiveUpAt = deadline };
  return ConfigFetch{ .mHost = chosen->mLast.mHost,
                      .mPeer = chosen->mLast.mPeerEndpoint,
                      .mWanted = WantedBy(aConfig.mDocuments),
                      .mDeadline = deadline };
}

void
OnFetched(ConfigState& aConfig, const HostId& aHost, const DocumentsOffered& aOffered, Instant aNow)
{
  aConfig.mFetch.reset();
  aConfig.mHostAnswered = aConfig.mHostAnswered || aOffered.mReady;
  const std::uint32_t before = DigestOf(aConfig.mDocuments);
  ApplyAll(aConfig, aOffered.mDocuments, aNow);
  const bool changed = DigestOf(aConfig.mDocuments) != before;
  const Milliseconds pause = aOffered.mReady ? kNothingNewPause : kFetchPause;
  aConfig.mAskAgainAt[aHost] = changed ? aNow : aNow + pause;
  std::erase_if(aConfig.mAskAgainAt,
                [aNow](const auto& aEntry) { return HasPassed(aEntry.second, aNow); });
}

void
OnFetchFailed(ConfigState& aConfig, const HostId& aHost, Instant aNow)
{
  aConfig.mFetch.reset();
  aConfig.mAskAgainAt[aHost] = aNow + kFetchPause;
}

bool
IsConfigReady(const ConfigState& aConfig, Instant aNow)
{
  const bool hostsAsked = aConfig.mHostAnswered || HasPassed(aConfig.mHostsAwaitedUntil, aNow);
  const bool answered = aConfig.mStoreAnswered || aConfig.mHostAnswered;
  return aConfig.mStoreAsked && hostsAsked && answered;
}

std::optional<std::uint64_t>
RevisionEverywhere(const GossipState& aGossip, Instant aNow)
{
  std::uint64_t lowest = DigestOfOwnZone(aGossip).mLowestRevision;
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
NoteSpread(ConfigState& aConfig, const GossipState& aGossip, Instant aNow)
{
  const auto everywhere = RevisionEverywhere(aGossip, aNow);
  if (!everywhere.has_value()) {
    return;
  }
  for (auto& [service, spread] : aConfig.mSpread) {
    if (!spread.mEverywhereAt.has_value() && spread.mRevision <= *everywhere) {
      spread.mEverywhereAt = aNow;
    }
  }
}

} // namespace trefoil
