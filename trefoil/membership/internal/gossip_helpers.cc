#include "trefoil/membership/internal/gossip_helpers.h"

#include <algorithm>

namespace trefoil {
namespace {

// How long gossip contains a dead member. Afterwards the member stays in the table without being
// sent.
constexpr Milliseconds kDeathGossipDuration{ 30'000 };
// How long a host of another zone may be silent before it becomes a suspect. Longer than
// kSuspectTimeout, since digests are the only source and arrive less often than gossip.
constexpr Milliseconds kOtherZoneSuspectTimeout{ 20'000 };
// Maximum number of hosts that are stored for each other zone.
constexpr std::size_t kMaxHostsPerOtherZone = 2 * kContactsPerZone;
// Bounds on the members and zones that received messages can add.
constexpr std::size_t kMaxMembers = 1024;
constexpr std::size_t kMaxZones = 64;

bool
IsGossiped(const Member& aMember, Instant aNow)
{
  return aMember.mState != MemberState::kDead ||
         !HasPassed(aMember.mExpiresAt - kDeadMemberRetention + kDeathGossipDuration, aNow);
}

MemberStatus
MemberUpdateOf(const Heartbeat& aHeartbeat, MemberState aState)
{
  return { .mHost = aHeartbeat.mHost,
           .mIncarnation = aHeartbeat.mIncarnation,
           .mSequence = aHeartbeat.mSequence,
           .mState = aState,
           .mConfigRevision = aHeartbeat.mConfigRevision,
           .mConfigDigest = aHeartbeat.mConfigDigest };
}

// Adds this host, unless it is leaving, and random alive members to the contacts. The random choice
// spreads the messages from other zones over the hosts of this zone.
void
AddContacts(GossipState& aState, ZoneDigest& aDigest)
{
  std::vector<const Heartbeat*> others;
  for (const auto& [host, member] : aState.mMembers.mByHost) {
    if (IsOfOwnZone(aState, member) && IsAlive(member)) {
      others.push_back(&member.mHeartbeat);
    }
  }
  if (!aState.mSelf.mLeaving) {
    aDigest.mContacts.push_back(aState.mSelf);
  }
  while (aDigest.mContacts.size() < kContactsPerZone && !others.empty()) {
    const std::size_t chosen = NextRandom(aState) % others.size();
    aDigest.mContacts.push_back(*others[chosen]);
    others[chosen] = others.back();
    others.pop_back();
  }
}

// Replaces the stored hosts of another zone by the contacts of its digest.
void
ReplaceZoneContacts(GossipState& aState, const ZoneDigest& aDigest, Instant aNow)
{
  std::erase_if(aState.mMembers.mByHost, [&aDigest](const auto& aEntry) {
    return aEntry.second.mHeartbeat.mZone == aDigest.mZone;
  });
  for (std::size_t i = 0; i < std::min(aDigest.mContacts.size(), kContactsPerZone); ++i) {
    ApplyHostHeartbeat(aState, aDigest.mContacts[i], aNow);
  }
}

// Returns whether one more host of the zone may be stored.
bool
CanAddHost(const GossipState& aState, const AvailabilityZoneId& aZone)
{
  const auto& hosts = aState.mMembers.mByHost;
  if (aZone == aState.mOptions.mZone) {
    return hosts.size() < kMaxMembers;
  }
  const auto ofZone = std::ranges::count_if(
    hosts, [&aZone](const auto& aEntry) { return aEntry.second.mHeartbeat.mZone == aZone; });
  return hosts.size() < kMaxMembers && static_cast<std::size_t>(ofZone) < kMaxHostsPerOtherZone;
}

bool
HasContact(const ZoneDigest& aDigest, const HostId& aHost)
{
  return std::ranges::find(aDigest.mContacts, aHost, &Heartbeat::mHost) != aDigest.mContacts.end();
}

} // namespace

std::uint64_t
NextRandom(GossipState& aState)
{
  // SplitMix64: Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators", 2014.
  aState.mRandomState += 0x9e3779b97f4a7c15U;
  std::uint64_t mixed = aState.mRandomState;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebU;
  return mixed ^ (mixed >> 31);
}

std::vector<Endpoint>
RandomSample(GossipState& aState, std::vector<Endpoint> aPopulation, std::size_t aCount)
{
  std::vector<Endpoint> sample;
  while (sample.size() < aCount && !aPopulation.empty()) {
    const std::size_t chosen = NextRandom(aState) % aPopulation.size();
    sample.push_back(std::move(aPopulation[chosen]));
    aPopulation[chosen] = std::move(aPopulation.back());
    aPopulation.pop_back();
  }
  return sample;
}

bool
IsOfOwnZone(const GossipState& aState, const Member& aMember)
{
  return aMember.mHeartbeat.mZone == aState.mOptions.mZone;
}

std::vector<Endpoint>
EndpointsWhere(const GossipState& aState, const std::function<bool(const Member&)>& aPredicate)
{
  std::vector<Endpoint> endpoints;
  for (const auto& [host, member] : aState.mMembers.mByHost) {
    if (aPredicate(member)) {
      endpoints.push_back(member.mHeartbeat.mPeerEndpoint);
    }
  }
  return endpoints;
}

Gossip
MakeGossip(const GossipState& aState, Instant aNow)
{
  Gossip gossip{ .mSender = aState.mSelf,
                 .mWantsAnswer =
                   aState.mAwaitedEchoSequence != 0 || aState.mMembers.mByHost.empty() };
  for (const auto& [host, member] : aState.mMembers.mByHost) {
    if (IsOfOwnZone(aState, member) && IsGossiped(member, aNow)) {
      gossip.mMemberStatuses.push_back(MemberUpdateOf(member.mHeartbeat, member.mState));
    }
  }
  return gossip;
}

ZoneGossip
MakeZoneGossip(GossipState& aState)
{
  ZoneGossip gossip{ .mSender = aState.mSelf };
  ZoneDigest own = OwnZoneDigest(aState);
  own.mVersion = ++aState.mOwnZoneVersion;
  AddContacts(aState, own);
  gossip.mZones.push_back(std::move(own));
  for (const auto& [zone, view] : aState.mZones) {
    gossip.mZones.push_back(view.mDigest);
  }
  return gossip;
}

void
ApplyHostHeartbeat(GossipState& aState, const Heartbeat& aHeartbeat, Instant aNow)
{
  if (aHeartbeat.mHost == aState.mOptions.mHost) {
    return;
  }
  const bool ownZone = aHeartbeat.mZone == aState.mOptions.mZone;
  if (!aState.mMembers.mByHost.contains(aHeartbeat.mHost) &&
      !CanAddHost(aState, aHeartbeat.mZone)) {
    return;
  }
  ApplyHeartbeat(
    aState.mMembers, aHeartbeat, aNow + (ownZone ? kSuspectTimeout : kOtherZoneSuspectTimeout));
}

bool
LacksKnownHosts(const GossipState& aState, const ZoneDigest& aDigest)
{
  const auto found = aState.mZones.find(aDigest.mZone);
  if (found == aState.mZones.end() || aDigest.mVersion > found->second.mDigest.mVersion) {
    return false;
  }
  const ZoneDigest& known = found->second.mDigest;
  if (aDigest.mLiveHosts != known.mLiveHosts || known.mLiveHosts > kContactsPerZone) {
    return aDigest.mLiveHosts < known.mLiveHosts;
  }
  return std::ranges::any_of(known.mContacts, [&aDigest](const Heartbeat& aContact) {
    return !HasContact(aDigest, aContact.mHost);
  });
}

void
ApplyZoneDigest(GossipState& aState, const ZoneDigest& aDigest, Instant aNow)
{
  if (aDigest.mZone == aState.mOptions.mZone) {
    aState.mOwnZoneVersion = std::max(aState.mOwnZoneVersion, aDigest.mVersion);
    for (const Heartbeat& contact : aDigest.mContacts) {
      ApplyHostHeartbeat(aState, contact, aNow);
    }
    return;
  }
  if (!aState.mZones.contains(aDigest.mZone) && aState.mZones.size() >= kMaxZones) {
    return;
  }
  ZoneView& view = aState.mZones[aDigest.mZone];
  if (aDigest.mVersion <= view.mDigest.mVersion) {
    return;
  }
  view = { .mDigest = aDigest,
           .mStaleAt = aNow + kZoneDigestMaxAge,
           .mRemoveAt = aNow + kZoneRetention };
  ReplaceZoneContacts(aState, aDigest, aNow);
}

} // namespace trefoil
