#include "trefoil/membership/gossip.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const Instant kStart = Instant{} + Milliseconds{ 1'000'000 };

GossipOptions
OptionsOf(const std::string& aHost, const std::string& aZone)
{
  return { .mHost = HostId{ aHost },
           .mZone = AvailabilityZoneId{ aZone },
           .mPeerEndpoint = { .mAddress = aHost, .mPort = 7000 },
           .mIncarnation = 10 };
}

Heartbeat
HeartbeatOf(const std::string& aHost, const std::string& aZone, std::uint64_t aSequence)
{
  return { .mHost = HostId{ aHost },
           .mZone = AvailabilityZoneId{ aZone },
           .mPeerEndpoint = { .mAddress = aHost, .mPort = 7000 },
           .mIncarnation = 1,
           .mSequence = aSequence };
}

MemberState
StateOf(const GossipState& aState, const std::string& aHost)
{
  return aState.mMembers.mByHost.at(HostId{ aHost }).mState;
}

Gossip
GossipAbout(std::uint64_t aSender, const Beat& aBeat)
{
  return { .mSender = HeartbeatOf("h2", "zone-a", aSender), .mBeats = { aBeat } };
}

TEST_CASE("An entry host gossips with its zone")
{
  GossipState state = MakeGossipState(OptionsOf("h1", "zone-a"), kStart);
  OnGossip(state, HeartbeatOf("h2", "zone-a", 5), kStart);
  OnGossipTimer(state, kStart);

  SECTION("a suspicion of itself is refuted at once with a newer sequence")
  {
    const std::uint64_t suspected = state.mSelf.mSequence;
    const auto out = OnGossip(state,
                              GossipAbout(6,
                                          { .mHost = HostId{ "h1" },
                                            .mIncarnation = 10,
                                            .mSequence = suspected,
                                            .mState = MemberState::kSuspect }),
                              kStart);
    REQUIRE(out.size() == 1);
    CHECK(std::get<Gossip>(out[0].mMessage).mSender.mSequence > suspected);
  }
  SECTION("a later incarnation of itself is surpassed, as after a clock that went back")
  {
    OnGossip(state, GossipAbout(6, { .mHost = HostId{ "h1" }, .mIncarnation = 25 }), kStart);
    CHECK(state.mSelf.mIncarnation == 26);
  }
  SECTION("a host that is known by a beat alone is asked for")
  {
    const auto out = OnGossip(state, GossipAbout(6, { .mHost = HostId{ "h3" } }), kStart);
    REQUIRE(out.size() == 1);
    CHECK(std::get<HeartbeatsWanted>(out[0].mMessage).mHosts ==
          std::vector<HostId>{ HostId{ "h3" } });
  }
  SECTION("a silent host is told of the suspicion itself")
  {
    const auto out = OnGossipTimer(state, kStart + kSuspectAfter);
    const auto toHost = std::ranges::count(
      out, "h2", [](const Datagram& aDatagram) { return aDatagram.mTo.mAddress; });
    CHECK(toHost >= 1);
  }
  SECTION("after a freeze")
  {
    const Instant thawed = kStart + Milliseconds{ 60'000 };
    REQUIRE_FALSE(IsViewFresh(state, thawed));
    const auto out = OnGossipTimer(state, thawed);

    SECTION("other hosts are not blamed for the silence")
    {
      CHECK(StateOf(state, "h2") == MemberState::kAlive);
    }
    SECTION("the view is not fresh before another host has heard of it")
    {
      CHECK_FALSE(IsViewFresh(state, thawed));
      const auto& sent = std::get<Gossip>(out.at(0).mMessage);
      CHECK(sent.mWantsAnswer);

      SECTION("which an answer from before the freeze does not show")
      {
        OnGossip(state, GossipAbout(6, { .mHost = HostId{ "h1" }, .mIncarnation = 10 }), thawed);
        CHECK_FALSE(IsViewFresh(state, thawed));
      }
      SECTION("which its answer shows")
      {
        OnGossip(
          state,
          GossipAbout(
            6,
            { .mHost = HostId{ "h1" }, .mIncarnation = 10, .mSequence = sent.mSender.mSequence }),
          thawed);
        CHECK(IsViewFresh(state, thawed));
      }
      SECTION("or before it has waited in vain and counts itself as alone")
      {
        OnGossipTimer(state, thawed + kEchoWait);
        CHECK(IsViewFresh(state, thawed + kEchoWait));
      }
    }
  }
}

TEST_CASE("Entry hosts know other zones by digests")
{
  GossipState state = MakeGossipState(OptionsOf("h1", "zone-a"), kStart);
  const AvailabilityZoneId other{ "zone-b" };
  const auto tell = [&](std::uint64_t aVersion, std::uint64_t aLowest) {
    OnGossip(state,
             ZoneGossip{ .mSender = HeartbeatOf("h9", "zone-b", aVersion),
                         .mZones = { { .mZone = other,
                                       .mVersion = aVersion,
                                       .mLiveHosts = 3,
                                       .mLowestRevision = aLowest,
                                       .mContacts = { HeartbeatOf("h8", "zone-b", 1) } } } },
             kStart);
  };
  tell(4, 7);
  REQUIRE(state.mZones.at(other).mDigest.mLowestRevision == 7);

  SECTION("an older digest changes nothing")
  {
    tell(3, 1);
    CHECK(state.mZones.at(other).mDigest.mLowestRevision == 7);
  }
  SECTION("the hosts that a digest names can be reached")
  {
    CHECK(StateOf(state, "h8") == MemberState::kAlive);
  }
  SECTION("messages cannot add hosts of another zone without bound")
  {
    for (int i = 0; i < 100; ++i) {
      OnGossip(state, HeartbeatOf("x" + std::to_string(i), "zone-b", 1), kStart);
    }
    CHECK(state.mMembers.mByHost.size() <= 2 * kContactsOfZone);
  }
}

TEST_CASE("The live hosts of a zone share work by rendezvous hashing")
{
  GossipState state = MakeGossipState(OptionsOf("h1", "zone-a"), kStart);
  for (const char* host : { "h2", "h3", "h4" }) {
    OnGossip(state, HeartbeatOf(host, "zone-a", 1), kStart);
  }
  const auto owners = OwnersInZone(state, "key", 2);
  REQUIRE(owners.size() == 2);

  SECTION("a host finds its own rank")
  {
    const auto own = std::ranges::find(owners, HostId{ "h1" });
    CHECK(RankInZone(state, "key", 2) == static_cast<std::size_t>(own - owners.begin()));
  }
  SECTION("another one takes the place of a host that leaves")
  {
    Member& first = state.mMembers.mByHost[owners[0]];
    first.mState = MemberState::kLeaving;
    if (owners[0] == HostId{ "h1" }) {
      state.mSelf.mLeaving = true;
    }
    CHECK(OwnersInZone(state, "key", 2).front() == owners[1]);
  }
}

} // namespace
} // namespace trefoil
