#include "trefoil/membership/gossip.h"

#include "trefoil/base/digest.h"
#include "trefoil/membership/internal/gossip_helpers.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace trefoil {
namespace {

// Number of gossip rounds after which a host may also send to a seed and to a dead member. This
// rejoins the two sides of a zone after a network partition in which each side declared the other
// dead.
constexpr std::uint64_t kRejoinRounds = 10;
constexpr std::uint64_t kOneHost = 1;
// Delay of the gossip round after a configuration change.
constexpr Milliseconds kConfigGossipDelay{ 50 };

// Adds hosts that may belong to this zone although the member table does not have them as alive:
// all seeds while the table is empty, otherwise in some rounds a random seed and a random dead
// member.
void
AddRejoinTargets(GossipState& aState, std::vector<Endpoint>& aTargets)
{
  const auto& seeds = aState.mOptions.mSeeds;
  if (aState.mMembers.mByHost.empty()) {
    aTargets.insert(aTargets.end(), seeds.begin(), seeds.end());
    return;
  }
  // On average, one host of the zone does so in every kRejoinRounds rounds. The rate of messages to
  // a seed therefore does not grow with the number of hosts.
  const std::uint64_t hosts = OwnZoneDigest(aState).mLiveHosts;
  if (aState.mGossipRounds % kRejoinRounds != 0 ||
      NextRandom(aState) % std::max(hosts, kOneHost) != 0) {
    return;
  }
  if (!seeds.empty()) {
    aTargets.push_back(seeds[NextRandom(aState) % seeds.size()]);
  }
  const auto dead = EndpointsWhere(aState, [&aState](const Member& aMember) {
    return IsOfOwnZone(aState, aMember) && aMember.mState == MemberState::kDead;
  });
  if (!dead.empty()) {
    aTargets.push_back(dead[NextRandom(aState) % dead.size()]);
  }
}

Datagrams
MakeGossipDatagrams(GossipState& aState, std::vector<Endpoint> aTargets, Instant aNow)
{
  ++aState.mSelf.mSequence;
  const Message message = MakeGossip(aState, aNow);
  std::sort(aTargets.begin(), aTargets.end());
  aTargets.erase(std::unique(aTargets.begin(), aTargets.end()), aTargets.end());
  Datagrams datagrams;
  for (const Endpoint& target : aTargets) {
    if (target != aState.mOptions.mPeerEndpoint) {
      datagrams.push_back({ .mTo = target, .mMessage = message });
    }
  }
  return datagrams;
}

Datagrams
RunGossipRound(GossipState& aState, const std::vector<HostId>& aSuspects, Instant aNow)
{
  ++aState.mGossipRounds;
  aState.mNextGossipAt = aNow + kGossipInterval;
  auto targets = RandomGossipTargets(aState, kGossipFanOut, 0);
  // Sends the suspicion to the suspects themselves, so that they can refute it.
  for (const HostId& host : aSuspects) {
    targets.push_back(aState.mMembers.mByHost.at(host).mHeartbeat.mPeerEndpoint);
  }
  AddRejoinTargets(aState, targets);
  return MakeGossipDatagrams(aState, std::move(targets), aNow);
}

Datagrams
RunZoneGossipRound(GossipState& aState, Instant aNow)
{
  aState.mNextZoneGossipAt = aNow + kZoneGossipInterval;
  const bool toOtherZone = NextRandom(aState) % 2 == 0;
  auto targets = RandomGossipTargets(aState, toOtherZone ? 0 : 1, toOtherZone ? 1 : 0);
  if (targets.empty()) {
    targets = RandomGossipTargets(aState, 1, 1);
  }
  Datagrams datagrams;
  if (!targets.empty()) {
    datagrams.push_back({ .mTo = targets.front(), .mMessage = MakeZoneGossip(aState) });
  }
  return datagrams;
}

// Handles the end of a freeze: the view stays stale until another host reports a sequence that this
// host sent after the freeze, or until kEchoTimeout has passed.
void
OnThaw(GossipState& aState, Instant aNow)
{
  RestartMemberTimeouts(aState.mMembers, aNow);
  aState.mAwaitedEchoSequence = ++aState.mSelf.mSequence;
  aState.mEchoDeadline = aNow + kEchoTimeout;
  aState.mNextGossipAt = aNow;
}

void
UpdateFreshness(GossipState& aState, Instant aNow)
{
  if (HasPassed(aState.mFreezeDeadline, aNow)) {
    OnThaw(aState, aNow);
  }
  aState.mFreezeDeadline = aNow + kFreezeThreshold;
  if (aState.mAwaitedEchoSequence != 0 && HasPassed(aState.mEchoDeadline, aNow)) {
    aState.mAwaitedEchoSequence = 0;
  }
  if (aState.mAwaitedEchoSequence == 0) {
    aState.mFreshUntil = aNow + kViewMaxAge;
  }
}

// Applies another host's update about this host. Returns whether this host must refute it.
bool
ApplyUpdateOfSelf(GossipState& aState, const MemberStatus& aUpdate, Instant aNow)
{
  Heartbeat& self = aState.mSelf;
  if (aUpdate.mIncarnation > self.mIncarnation) {
    // The clock was ahead at an earlier start of this host. Outbids the incarnation of that start.
    self.mIncarnation = aUpdate.mIncarnation + 1;
    return true;
  }
  if (aUpdate.mIncarnation < self.mIncarnation) {
    return false;
  }
  if (aState.mAwaitedEchoSequence != 0 && aUpdate.mSequence >= aState.mAwaitedEchoSequence) {
    aState.mAwaitedEchoSequence = 0;
    aState.mFreshUntil = aNow + kViewMaxAge;
  }
  return aUpdate.mState == MemberState::kSuspect || aUpdate.mState == MemberState::kDead;
}

} // namespace

GossipState
MakeGossipState(GossipOptions aOptions, Instant aNow)
{
  GossipState state;
  state.mOptions = std::move(aOptions);
  state.mSelf = { .mHost = state.mOptions.mHost,
                  .mZone = state.mOptions.mZone,
                  .mPeerEndpoint = state.mOptions.mPeerEndpoint,
                  .mListen = state.mOptions.mListen,
                  .mIncarnation = state.mOptions.mIncarnation };
  state.mRandomState = state.mOptions.mRandomSeed;
  state.mNextGossipAt = aNow;
  state.mNextZoneGossipAt = aNow + kGossipInterval;
  state.mFreezeDeadline = aNow + kFreezeThreshold;
  state.mFreshUntil = aNow + kViewMaxAge;
  return state;
}

Datagrams
OnGossipTimer(GossipState& aState, Instant aNow)
{
  UpdateFreshness(aState, aNow);
  const auto suspects = ExpireMembers(aState.mMembers, aNow);
  std::erase_if(aState.mZones,
                [aNow](const auto& aEntry) { return HasPassed(aEntry.second.mRemoveAt, aNow); });
  Datagrams datagrams;
  if (HasPassed(aState.mNextGossipAt, aNow) || !suspects.empty()) {
    datagrams = RunGossipRound(aState, suspects, aNow);
  }
  if (HasPassed(aState.mNextZoneGossipAt, aNow)) {
    const Datagrams zones = RunZoneGossipRound(aState, aNow);
    datagrams.insert(datagrams.end(), zones.begin(), zones.end());
  }
  return datagrams;
}

Instant
NextGossipTimer(const GossipState& aState)
{
  return std::min(aState.mNextGossipAt, aState.mNextZoneGossipAt);
}

Datagrams
OnGossip(GossipState& aState, const Heartbeat& aMessage, Instant aNow)
{
  ApplyHostHeartbeat(aState, aMessage, aNow);
  return {};
}

Datagrams
OnGossip(GossipState& aState, const Gossip& aMessage, Instant aNow)
{
  const Heartbeat& sender = aMessage.mSender;
  if (sender.mHost == aState.mOptions.mHost) {
    return {};
  }
  ApplyHostHeartbeat(aState, sender, aNow);
  Datagrams datagrams;
  if (sender.mZone != aState.mOptions.mZone) {
    datagrams.push_back({ .mTo = sender.mPeerEndpoint, .mMessage = MakeZoneGossip(aState) });
    return datagrams;
  }
  bool answer = aMessage.mWantsAnswer;
  HeartbeatsRequest request{ .mReplyTo = aState.mOptions.mPeerEndpoint };
  for (const MemberStatus& update : aMessage.mMemberStatuses) {
    if (update.mState > MemberState::kDead) {
      continue;
    }
    if (update.mHost == aState.mOptions.mHost) {
      answer = ApplyUpdateOfSelf(aState, update, aNow) || answer;
    } else if (ApplyMemberUpdate(aState.mMembers, update, aNow) ==
               MemberUpdateResult::kHeartbeatNeeded) {
      request.mHosts.push_back(update.mHost);
    }
  }
  if (answer) {
    datagrams = MakeGossipDatagrams(aState, { sender.mPeerEndpoint }, aNow);
  }
  if (!request.mHosts.empty()) {
    datagrams.push_back({ .mTo = sender.mPeerEndpoint, .mMessage = std::move(request) });
  }
  return datagrams;
}

Datagrams
OnGossip(GossipState& aState, const ZoneGossip& aMessage, Instant aNow)
{
  if (aMessage.mSender.mHost == aState.mOptions.mHost) {
    return {};
  }
  ApplyHostHeartbeat(aState, aMessage.mSender, aNow);
  bool answer = false;
  for (const ZoneDigest& digest : aMessage.mZones) {
    answer = answer || (digest.mZone == aMessage.mSender.mZone && LacksKnownHosts(aState, digest));
    ApplyZoneDigest(aState, digest, aNow);
  }
  Datagrams datagrams;
  if (answer) {
    datagrams.push_back(
      { .mTo = aMessage.mSender.mPeerEndpoint, .mMessage = MakeZoneGossip(aState) });
  }
  return datagrams;
}

Datagrams
OnGossip(GossipState& aState, const HeartbeatsRequest& aMessage, Instant)
{
  HeartbeatsReply answer;
  for (const HostId& host : aMessage.mHosts) {
    const auto found = aState.mMembers.mByHost.find(host);
    if (found != aState.mMembers.mByHost.end()) {
      answer.mHeartbeats.push_back(found->second.mHeartbeat);
    }
  }
  Datagrams datagrams;
  if (!answer.mHeartbeats.empty()) {
    datagrams.push_back({ .mTo = aMessage.mReplyTo, .mMessage = std::move(answer) });
  }
  return datagrams;
}

Datagrams
OnGossip(GossipState& aState, const HeartbeatsReply& aMessage, Instant aNow)
{
  for (const Heartbeat& heartbeat : aMessage.mHeartbeats) {
    ApplyHostHeartbeat(aState, heartbeat, aNow);
  }
  return {};
}

Datagrams
AnnounceLeaving(GossipState& aState, Instant aNow)
{
  aState.mSelf.mLeaving = true;
  auto targets = EndpointsWhere(
    aState, [](const Member& aMember) { return aMember.mState != MemberState::kDead; });
  targets.insert(targets.end(), aState.mOptions.mSeeds.begin(), aState.mOptions.mSeeds.end());
  return MakeGossipDatagrams(aState, std::move(targets), aNow);
}

void
AnnounceConfig(GossipState& aState, std::uint64_t aRevision, std::uint32_t aDigest, Instant aNow)
{
  Heartbeat& self = aState.mSelf;
  if (self.mConfigRevision == aRevision && self.mConfigDigest == aDigest) {
    return;
  }
  self.mConfigRevision = aRevision;
  self.mConfigDigest = aDigest;
  aState.mNextGossipAt = std::min(aState.mNextGossipAt, aNow + kConfigGossipDelay);
}

bool
IsViewFresh(const GossipState& aState, Instant aNow)
{
  return !HasPassed(aState.mFreshUntil, aNow);
}

std::vector<HostId>
OwnersInZone(const GossipState& aState, std::string_view aKey, std::size_t aCount)
{
  std::vector<std::pair<std::uint64_t, HostId>> scored;
  const auto add = [&scored, aKey](const HostId& aHost) {
    scored.emplace_back(RendezvousScore(aHost.Value(), aKey), aHost);
  };
  if (!aState.mSelf.mLeaving) {
    add(aState.mOptions.mHost);
  }
  for (const auto& [host, member] : aState.mMembers.mByHost) {
    if (IsOfOwnZone(aState, member) && IsAlive(member)) {
      add(host);
    }
  }
  const std::size_t count = std::min(aCount, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(),
                    std::greater<>{});
  std::vector<HostId> owners;
  for (std::size_t i = 0; i < count; ++i) {
    owners.push_back(scored[i].second);
  }
  return owners;
}

std::size_t
RankInZone(const GossipState& aState, std::string_view aKey, std::size_t aCount)
{
  if (aState.mSelf.mLeaving) {
    return aCount;
  }
  const HostId& self = aState.mOptions.mHost;
  const std::pair own{ RendezvousScore(self.Value(), aKey), std::string_view{ self.Value() } };
  std::size_t rank = 0;
  for (const auto& [host, member] : aState.mMembers.mByHost) {
    if (rank < aCount && IsOfOwnZone(aState, member) && IsAlive(member)) {
      const std::pair other{ RendezvousScore(host.Value(), aKey),
                             std::string_view{ host.Value() } };
      rank += other > own ? 1 : 0;
    }
  }
  return rank;
}

std::vector<Endpoint>
RandomGossipTargets(GossipState& aState, std::size_t aInOwnZone, std::size_t aInOtherZones)
{
  auto inOwnZone = EndpointsWhere(aState, [&aState](const Member& aMember) {
    return IsOfOwnZone(aState, aMember) && aMember.mState != MemberState::kDead;
  });
  auto inOtherZones = EndpointsWhere(aState, [&aState](const Member& aMember) {
    return !IsOfOwnZone(aState, aMember) && aMember.mState != MemberState::kDead;
  });
  std::vector<Endpoint> targets = RandomSample(aState, std::move(inOwnZone), aInOwnZone);
  const auto fromOtherZones = RandomSample(aState, std::move(inOtherZones), aInOtherZones);
  targets.insert(targets.end(), fromOtherZones.begin(), fromOtherZones.end());
  return targets;
}

ZoneDigest
OwnZoneDigest(const GossipState& aState)
{
  ZoneDigest digest{ .mZone = aState.mOptions.mZone };
  const auto count = [&digest](const Heartbeat& aHost) {
    if (digest.mLiveHosts == 0 || aHost.mConfigRevision < digest.mLowestRevision) {
      digest.mLowestRevision = aHost.mConfigRevision;
      digest.mLowestHost = aHost.mHost;
    }
    ++digest.mLiveHosts;
  };
  if (!aState.mSelf.mLeaving) {
    count(aState.mSelf);
  }
  for (const auto& [host, member] : aState.mMembers.mByHost) {
    const bool live = IsAlive(member) || member.mState == MemberState::kSuspect;
    if (!live || !IsOfOwnZone(aState, member)) {
      continue;
    }
    count(member.mHeartbeat);
    digest.mSuspectHosts += member.mState == MemberState::kSuspect ? 1 : 0;
  }
  return digest;
}

} // namespace trefoil
