#include "trefoil/membership/internal/gossip_parts.h"

#include <algorithm>

namespace trefoil {
namespace {

// How long a death is spread. Afterwards it is remembered without being sent.
constexpr Milliseconds kSpreadDeathFor{ 30'000 };
// Hosts of other zones are heard of by digests alone, which come less often.
constexpr Milliseconds kElsewhereSuspectAfter{ 20'000 };
// The most hosts of another zone that are kept.
constexpr std::size_t kMaxOfOtherZone = 2 * kContactsOfZone;
// Bounds on what messages can add.
constexpr std::size_t kMaxMembers = 1024;
constexpr std::size_t kMaxZones = 64;

bool
IsSpread(const Member& aMember, Instant aNow)
{
  return aMember.mState != MemberState::kDead ||
         !HasPassed(aMember.mExpiresAt - kForgetAfter + kSpreadDeathFor, aNow);
}

Beat
BeatOf(const Heartbeat& aHeartbeat, MemberState aState)
{
  return { .mHost = aHeartbeat.mHost,
           .mIncarnation = aHeartbeat.mIncarnation,
           .mSequence = aHeartbeat.mSequence,
           .mState = aState,
           .mConfigRevision = aHeartbeat.mConfigRevision,
           .mConfigDigest = aHeartbeat.mConfigDigest };
}

// Names this host, unless it is leaving, and random others, so that no host of the zone receives
// all that other zones send.
void
AddContacts(GossipState& aState, ZoneDigest& aDigest)
{
  std::vector<const Heartbeat*> others;
  for (const auto& [host, member] : aState.mMembers.mByHost) {
    if (IsOfOwnZone(aState, member) && IsAlive(member)) {
      others.push_back(&member.mLast);
    }
  }
  if (!aState.mSelf.mLeaving) {
    aDigest.mContacts.push_back(aState.mSelf);
  }
  while (aDigest.mContacts.size() < kContactsOfZone && !others.empty()) {
    const std::size_t chosen = NextRandom(aState) % others.size();
    aDigest.mContacts.push_back(*others[chosen]);
    others[chosen] = others.back();
    others.pop_back();
  }
}

// Keeps the hosts of another zone that its digest names, and forgets the others.
void
LearnContacts(GossipState& aState, const ZoneDigest& aDigest, Instant aNow)
{
  std::erase_if(aState.mMembers.mByHost, [&aDigest](const auto& aEntry) {
    return aEntry.second.mLast.mZone == aDigest.mZone;
  });
  for (std::size_t i = 0; i < std::min(aDigest.mContacts.size(), kContactsOfZone); ++i) {
    LearnHost(aState, aDigest.mContacts[i], aNow);
  }
}

// Returns whether one more host of a zone may be kept.
bool
HasRoom(const GossipState& aState, const AvailabilityZoneId& aZone)
{
  const auto& hosts = aState.mMembers.mByHost;
  if (aZone == aState.mOptions.mZone) {
    return hosts.size() < kMaxMembers;
  }
  const auto ofZone = std::ranges::count_if(
    hosts, [&aZone](const auto& aEntry) { return aEntry.second.mLast.mZone == aZone; });
  return hosts.size() < kMaxMembers && static_cast<std::size_t>(ofZone) < kMaxOfOtherZone;
}

} // namespace

std::uint64_t
NextRandom(GossipState& aState)
{
  // SplitMix64: Steele, Lea and Flood, 2014.
  aState.mRandom += 0x9e3779b97f4a7c15U;
  std::uint64_t mixed = aState.mRandom;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebU;
  return mixed ^ (mixed >> 31);
}

std::vector<Endpoint>
TakeRandom(GossipState& aState, std::vector<Endpoint> aFrom, std::size_t aCount)
{
  std::vector<Endpoint> taken;
  while (taken.size() < aCount && !aFrom.empty()) {
    const std::size_t chosen = NextRandom(aState) % aFrom.size();
    taken.push_back(std::move(aFrom[chosen]));
    aFrom[chosen] = std::move(aFrom.back());
    aFrom.pop_back();
  }
  return taken;
}

bool
IsOfOwnZone(const GossipState& aState, const Member& aMember)
{
  return aMember.mLast.mZone == aState.mOptions.mZone;
}

std::vector<Endpoint>
EndpointsWhere(const GossipState& aState, const std::function<bool(const Member&)>& aWanted)
{
  std::vector<Endpoint> endpoints;
  for (const auto& [host, member] : aState.mMembers.mByHost) {
    if (aWanted(member)) {
      endpoints.push_back(member.mLast.mPeerEndpoint);
    }
  }
  return endpoints;
}

Gossip
MakeGossip(const GossipState& aState, Instant aNow)
{
  Gossip gossip{ .mSender = aState.mSelf,
                 .mWantsAnswer = aState.mAwaitedEcho != 0 || aState.mMembers.mByHost.empty() };
  for (const auto& [host, member] : aState.mMembers.mByHost) {
    if (IsOfOwnZone(aState, member) && IsSpread(member, aNow)) {
      gossip.mBeats.push_back(BeatOf(member.mLast, member.mState));
    }
  }
  return gossip;
}

ZoneGossip
MakeZoneGossip(GossipState& aState)
{
  ZoneGossip gossip{ .mSender = aState.mSelf };
  ZoneDigest own = DigestOfOwnZone(aState);
  own.mVersion = ++aState.mOwnZoneVersion;
  AddContacts(aState, own);
  gossip.mZones.push_back(std::move(own));
  for (const auto& [zone, view] : aState.mZones) {
    gossip.mZones.push_back(view.mDigest);
  }
  return gossip;
}

void
LearnHost(GossipState& aState, const Heartbeat& aHeartbeat, Instant aNow)
{
  if (aHeartbeat.mHost == aState.mOptions.mHost) {
    return;
  }
  const bool ownZone = aHeartbeat.mZone == aState.mOptions.mZone;
  if (!aState.mMembers.mByHost.contains(aHeartbeat.mHost) && !HasRoom(aState, aHeartbeat.mZone)) {
    return;
  }
  ApplyHeartbeat(
    aState.mMembers, aHeartbeat, aNow + (ownZone ? kSuspectAfter : kElsewhereSuspectAfter));
}

void
LearnZone(GossipState& aState, const ZoneDigest& aDigest, Instant aNow)
{
  if (aDigest.mZone == aState.mOptions.mZone) {
    aState.mOwnZoneVersion = std::max(aState.mOwnZoneVersion, aDigest.mVersion);
    for (const Heartbeat& contact : aDigest.mContacts) {
      LearnHost(aState, contact, aNow);
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
           .mStaleAt = aNow + kZoneCurrentFor,
           .mForgetAt = aNow + kForgetZoneAfter };
  LearnContacts(aState, aDigest, aNow);
}

} // namespace trefoil
