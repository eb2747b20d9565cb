#include "trefoil/membership/gossip.h"

#include "trefoil/base/digest.h"
#include "trefoil/membership/internal/gossip_parts.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace trefoil {
namespace {

// Every so many rounds a host greets a seed and a dead member, to find the other part of a zone
// that was cut in two.
constexpr std::uint64_t kGreetRounds = 10;
constexpr std::uint64_t kOneHost = 1;
constexpr Milliseconds kSoon{ 50 };

// Adds the hosts that could be part of this zone without this host's knowledge.
void
AddGreeted(GossipState& aState, std::vector<Endpoint>& aTargets)
{
  const auto& seeds = aState.mOptions.mSeeds;
  if (aState.mMembers.mByHost.empty()) {
    aTargets.insert(aTargets.end(), seeds.begin(), seeds.end());
    return;
  }
  // One host of a zone at a time, so that what a seed receives does not grow with the fleet.
  const std::uint64_t hosts = DigestOfOwnZone(aState).mLiveHosts;
  if (aState.mRounds % kGreetRounds != 0 || NextRandom(aState) % std::max(hosts, kOneHost) != 0) {
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
SendBeats(GossipState& aState, std::vector<Endpoint> aTargets, Instant aNow)
{
  ++aState.mSelf.mSequence;
  const Message message = MakeGossip(aState, aNow);
  std::sort(aTargets.begin(), aTargets.end());
  aTargets.erase(std::unique(aTargets.begin(), aTargets.end()), aTargets.end());
  Datagrams out;
  for (const Endpoint& target : aTargets) {
    if (target != aState.mOptions.mPeerEndpoint) {
      out.push_back({ .mTo = target, .mMessage = message });
    }
  }
  return out;
}

Datagrams
SendBeatsRound(GossipState& aState, const std::vector<HostId>& aSuspects, Instant aNow)
{
  ++aState.mRounds;
  aState.mNextBeatsAt = aNow + kBeatsEvery;
  auto targets = SpreadTargets(aState, kBeatsFanOut, 0);
  // A suspect learns of the suspicion from those who hold it, and refutes it.
  for (const HostId& host : aSuspects) {
    targets.push_back(aState.mMembers.mByHost.at(host).mLast.mPeerEndpoint);
  }
  AddGreeted(aState, targets);
  return SendBeats(aState, std::move(targets), aNow);
}

Datagrams
SendZonesRound(GossipState& aState, Instant aNow)
{
  aState.mNextZonesAt = aNow + kZonesEvery;
  const bool elsewhere = NextRandom(aState) % 2 == 0;
  auto targets = SpreadTargets(aState, elsewhere ? 0 : 1, elsewhere ? 1 : 0);
  if (targets.empty()) {
    targets = SpreadTargets(aState, 1, 1);
  }
  Datagrams out;
  if (!targets.empty()) {
    out.push_back({ .mTo = targets.front(), .mMessage = MakeZoneGossip(aState) });
  }
  return out;
}

// Makes the view stale until another host has heard of a sequence that is sent from now on.
void
OnThaw(GossipState& aState, Instant aNow)
{
  RenewMembers(aState.mMembers, aNow);
  aState.mAwaitedEcho = ++aState.mSelf.mSequence;
  aState.mEchoWaitEndsAt = aNow + kEchoWait;
  aState.mNextBeatsAt = aNow;
}

void
UpdateFreshness(GossipState& aState, Instant aNow)
{
  if (HasPassed(aState.mFrozenAt, aNow)) {
    OnThaw(aState, aNow);
  }
  aState.mFrozenAt = aNow + kFrozenAfter;
  if (aState.mAwaitedEcho != 0 && HasPassed(aState.mEchoWaitEndsAt, aNow)) {
    aState.mAwaitedEcho = 0;
  }
  if (aState.mAwaitedEcho == 0) {
    aState.mFreshUntil = aNow + kFreshFor;
  }
}

// Takes in what another host says of this one. Returns whether it must be refuted.
bool
ApplyBeatOfSelf(GossipState& aState, const Beat& aBeat, Instant aNow)
{
  Heartbeat& self = aState.mSelf;
  if (aBeat.mIncarnation > self.mIncarnation) {
    // An earlier start of this host had a later clock.
    self.mIncarnation = aBeat.mIncarnation + 1;
    return true;
  }
  if (aBeat.mIncarnation < self.mIncarnation) {
    return false;
  }
  if (aState.mAwaitedEcho != 0 && aBeat.mSequence >= aState.mAwaitedEcho) {
    aState.mAwaitedEcho = 0;
    aState.mFreshUntil = aNow + kFreshFor;
  }
  return aBeat.mState == MemberState::kSuspect || aBeat.mState == MemberState::kDead;
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
  state.mRandom = state.mOptions.mRandomSeed;
  state.mNextBeatsAt = aNow;
  state.mNextZonesAt = aNow + kBeatsEvery;
  state.mFrozenAt = aNow + kFrozenAfter;
  state.mFreshUntil = aNow + kFreshFor;
  return state;
}

Datagrams
OnGossipTimer(GossipState& aState, Instant aNow)
{
  UpdateFreshness(aState, aNow);
  const auto suspects = ExpireMembers(aState.mMembers, aNow);
  std::erase_if(aState.mZones,
                [aNow](const auto& aEntry) { return HasPassed(aEntry.second.mForgetAt, aNow); });
  Datagrams out;
  if (HasPassed(aState.mNextBeatsAt, aNow) || !suspects.empty()) {
    out = SendBeatsRound(aState, suspects, aNow);
  }
  if (HasPassed(aState.mNextZonesAt, aNow)) {
    const Datagrams zones = SendZonesRound(aState, aNow);
    out.insert(out.end(), zones.begin(), zones.end());
  }
  return out;
}

Instant
NextGossipTimer(const GossipState& aState)
{
  return std::min(aState.mNextBeatsAt, aState.mNextZonesAt);
}

Datagrams
OnGossip(GossipState& aState, const Heartbeat& aMessage, Instant aNow)
{
  LearnHost(aState, aMessage, aNow);
  return {};
}

Datagrams
OnGossip(GossipState& aState, const Gossip& aMessage, Instant aNow)
{
  const Heartbeat& sender = aMessage.mSender;
  if (sender.mHost == aState.mOptions.mHost) {
    return {};
  }
  LearnHost(aState, sender, aNow);
  Datagrams out;
  if (sender.mZone != aState.mOptions.mZone) {
    out.push_back({ .mTo = sender.mPeerEndpoint, .mMessage = MakeZoneGossip(aState) });
    return out;
  }
  bool answer = aMessage.mWantsAnswer;
  HeartbeatsWanted wanted{ .mReplyTo = aState.mOptions.mPeerEndpoint };
  for (const Beat& beat : aMessage.mBeats) {
    if (beat.mState > MemberState::kDead) {
      continue;
    }
    if (beat.mHost == aState.mOptions.mHost) {
      answer = ApplyBeatOfSelf(aState, beat, aNow) || answer;
    } else if (ApplyBeat(aState.mMembers, beat, aNow) == BeatOutcome::kHeartbeatNeeded) {
      wanted.mHosts.push_back(beat.mHost);
    }
  }
  if (answer) {
    out = SendBeats(aState, { sender.mPeerEndpoint }, aNow);
  }
  if (!wanted.mHosts.empty()) {
    out.push_back({ .mTo = sender.mPeerEndpoint, .mMessage = std::move(wanted) });
  }
  return out;
}

Datagrams
OnGossip(GossipState& aState, const ZoneGossip& aMessage, Instant aNow)
{
  if (aMessage.mSender.mHost == aState.mOptions.mHost) {
    return {};
  }
  LearnHost(aState, aMessage.mSender, aNow);
  for (const ZoneDigest& digest : aMessage.mZones) {
    LearnZone(aState, digest, aNow);
  }
  return {};
}

Datagrams
OnGossip(GossipState& aState, const HeartbeatsWanted& aMessage, Instant)
{
  Heartbeats answer;
  for (const HostId& host : aMessage.mHosts) {
    const auto found = aState.mMembers.mByHost.find(host);
    if (found != aState.mMembers.mByHost.end()) {
      answer.mHeartbeats.push_back(found->second.mLast);
    }
  }
  Datagrams out;
  if (!answer.mHeartbeats.empty()) {
    out.push_back({ .mTo = aMessage.mReplyTo, .mMessage = std::move(answer) });
  }
  return out;
}

Datagrams
OnGossip(GossipState& aState, const Heartbeats& aMessage, Instant aNow)
{
  for (const Heartbeat& heartbeat : aMessage.mHeartbeats) {
    LearnHost(aState, heartbeat, aNow);
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
  return SendBeats(aState, std::move(targets), aNow);
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
  aState.mNextBeatsAt = std::min(aState.mNextBeatsAt, aNow + kSoon);
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
SpreadTargets(GossipState& aState, std::size_t aInZone, std::size_t aElsewhere)
{
  auto near = EndpointsWhere(aState, [&aState](const Member& aMember) {
    return IsOfOwnZone(aState, aMember) && aMember.mState != MemberState::kDead;
  });
  auto far = EndpointsWhere(aState, [&aState](const Member& aMember) {
    return !IsOfOwnZone(aState, aMember) && aMember.mState != MemberState::kDead;
  });
  std::vector<Endpoint> targets = TakeRandom(aState, std::move(near), aInZone);
  const auto others = TakeRandom(aState, std::move(far), aElsewhere);
  targets.insert(targets.end(), others.begin(), others.end());
  return targets;
}

ZoneDigest
DigestOfOwnZone(const GossipState& aState)
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
    count(member.mLast);
    digest.mSuspectHosts += member.mState == MemberState::kSuspect ? 1 : 0;
  }
  return digest;
}

} // namespace trefoil
