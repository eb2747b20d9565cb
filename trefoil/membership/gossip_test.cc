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
GossipAbout(std::uint64_t aSenderSequence, const MemberStatus& aUpdate)
{
  return { .mSender = HeartbeatOf("h2", "zone-a", aSenderSequence),
           .mMemberStatuses = { aUpdate } };
}

TEST_CASE("An entry host gossips with its availability zone")
{
  GossipState state = MakeGossipState(OptionsOf("h1", "zone-a"), kStart);
  OnGossip(state, HeartbeatOf("h2", "zone-a", 5), kStart);
  OnGossipTimer(state, kStart);

  SECTION("it refutes a suspicion of itself immediately with a newer sequence")
  {
    const std::uint64_t suspected = state.mSelf.mSequence;
    const auto datagrams = OnGossip(state,
                                    GossipAbout(6,
                                                { .mHost = HostId{ "h1" },
                                                  .mIncarnation = 10,
                                                  .mSequence = suspected,
                                                  .mState = MemberState::kSuspect }),
                                    kStart);
    REQUIRE(datagrams.size() == 1);
    CHECK(std::get<Gossip>(datagrams[0].mMessage).mSender.mSequence > suspected);
  }
  SECTION("it exceeds a later incarnation of itself, which occurs after the clock was set back")
  {
    OnGossip(state, GossipAbout(6, { .mHost = HostId{ "h1" }, .mIncarnation = 25 }), kStart);
    CHECK(state.mSelf.mIncarnation == 26);
  }
  SECTION("it requests the heartbeat of a host of which it has only an update")
  {
    const auto datagrams = OnGossip(state, GossipAbout(6, { .mHost = HostId{ "h3" } }), kStart);
    REQUIRE(datagrams.size() == 1);
    CHECK(std::get<HeartbeatsRequest>(datagrams[0].mMessage).mHosts ==
          std::vector<HostId>{ HostId{ "h3" } });
  }
  SECTION("it sends the suspicion to the silent host too")
  {
    const auto datagrams = OnGossipTimer(state, kStart + kSuspectTimeout);
    const auto toHost = std::ranges::count(
      datagrams, "h2", [](const Datagram& aDatagram) { return aDatagram.mTo.mAddress; });
    CHECK(toHost >= 1);
  }
  SECTION("after a freeze")
  {
    const Instant thawed = kStart + Milliseconds{ 60'000 };
    REQUIRE_FALSE(IsViewFresh(state, thawed));
    const auto datagrams = OnGossipTimer(state, thawed);

    SECTION("other hosts do not become suspects")
    {
      CHECK(StateOf(state, "h2") == MemberState::kAlive);
    }
    SECTION("the view is stale until another host confirms a new sequence")
    {
      CHECK_FALSE(IsViewFresh(state, thawed));
      const auto& sent = std::get<Gossip>(datagrams.at(0).mMessage);
      CHECK(sent.mWantsAnswer);

      SECTION("a message that was sent before the freeze does not confirm it")
      {
        OnGossip(state, GossipAbout(6, { .mHost = HostId{ "h1" }, .mIncarnation = 10 }), thawed);
        CHECK_FALSE(IsViewFresh(state, thawed));
      }
      SECTION("the answer with the new sequence confirms it")
      {
        OnGossip(
          state,
          GossipAbout(
            6,
            { .mHost = HostId{ "h1" }, .mIncarnation = 10, .mSequence = sent.mSender.mSequence }),
          thawed);
        CHECK(IsViewFresh(state, thawed));
      }
      SECTION("or until no other host has answered in time")
      {
        OnGossipTimer(state, thawed + kEchoTimeout);
        CHECK(IsViewFresh(state, thawed + kEchoTimeout));
      }
    }
  }
}

TEST_CASE("Entry hosts track other zones by digests")
{
  GossipState state = MakeGossipState(OptionsOf("h1", "zone-a"), kStart);
  const AvailabilityZoneId other{ "zone-b" };
  const auto receiveDigest = [&](std::uint64_t aVersion, std::uint64_t aLowest) {
    OnGossip(state,
             ZoneGossip{ .mSender = HeartbeatOf("h9", "zone-b", aVersion),
                         .mZones = { { .mZone = other,
                                       .mVersion = aVersion,
                                       .mLiveHosts = 3,
                                       .mLowestRevision = aLowest,
                                       .mContacts = { HeartbeatOf("h8", "zone-b", 1) } } } },
             kStart);
  };
  receiveDigest(4, 7);
  REQUIRE(state.mZones.at(other).mDigest.mLowestRevision == 7);

  SECTION("an older digest is ignored")
  {
    receiveDigest(3, 1);
    CHECK(state.mZones.at(other).mDigest.mLowestRevision == 7);
  }
  SECTION("the contacts of a digest become members")
  {
    CHECK(StateOf(state, "h8") == MemberState::kAlive);
  }
  SECTION("the number of stored hosts of another zone is bounded")
  {
    for (int i = 0; i < 100; ++i) {
      OnGossip(state, HeartbeatOf("x" + std::to_string(i), "zone-b", 1), kStart);
    }
    CHECK(state.mMembers.mByHost.size() <= 2 * kContactsPerZone);
  }
}

TEST_CASE("The live hosts of a zone divide work by rendezvous hashing")
{
  GossipState state = MakeGossipState(OptionsOf("h1", "zone-a"), kStart);
  for (const char* host : { "h2", "h3", "h4" }) {
    OnGossip(state, HeartbeatOf(host, "zone-a", 1), kStart);
  }
  const auto owners = OwnersInZone(state, "key", 2);
  REQUIRE(owners.size() == 2);

  SECTION("the rank of a host matches its position among the owners")
  {
    const auto own = std::ranges::find(owners, HostId{ "h1" });
    CHECK(RankInZone(state, "key", 2) == static_cast<std::size_t>(own - owners.begin()));
  }
  SECTION("the next owner replaces a host that leaves")
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
