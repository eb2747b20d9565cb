// Hosts of a zone that know one another only by way of the hosts of another zone.
#include "trefoil/membership/gossip.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <variant>

namespace trefoil {
namespace {

const Instant kStart = Instant{} + Milliseconds{ 1'000'000 };
constexpr Milliseconds kStep{ 10 };

// Six hosts, of which the odd ones are in zone-a and the others in zone-b. Only the last one has
// seeds, the other five. Messages take no time.
struct Site
{
  std::vector<GossipState> mHosts;
};

Endpoint
EndpointOf(std::size_t aHost)
{
  return { .mAddress = std::to_string(aHost), .mPort = 7000 };
}

GossipOptions
OptionsOf(std::size_t aHost, std::uint64_t aRandomSeed)
{
  return { .mHost = HostId{ "h" + std::to_string(aHost) },
           .mZone = AvailabilityZoneId{ aHost % 2 == 1 ? "zone-a" : "zone-b" },
           .mPeerEndpoint = EndpointOf(aHost),
           .mIncarnation = 10,
           .mRandomSeed = aRandomSeed + aHost };
}

Site
MakeSite(std::uint64_t aRandomSeed)
{
  constexpr std::size_t kIntroducer = 6;
  Site site;
  for (std::size_t host = 1; host < kIntroducer; ++host) {
    const Milliseconds offset{ (aRandomSeed + host * 171) % kGossipInterval.count() };
    site.mHosts.push_back(MakeGossipState(OptionsOf(host, aRandomSeed), kStart + offset));
  }
  GossipOptions introducer = OptionsOf(kIntroducer, aRandomSeed);
  for (std::size_t host = 1; host < kIntroducer; ++host) {
    introducer.mSeeds.push_back(EndpointOf(host));
  }
  site.mHosts.push_back(MakeGossipState(introducer, kStart));
  return site;
}

void
Deliver(Site& aSite, const Datagrams& aDatagrams, Instant aNow)
{
  std::deque<Datagram> sent{ aDatagrams.begin(), aDatagrams.end() };
  for (; !sent.empty(); sent.pop_front()) {
    GossipState& receiver = aSite.mHosts[std::stoul(sent.front().mTo.mAddress) - 1];
    const Datagrams answers = std::visit(
      [&](const auto& aMessage) {
        if constexpr (requires { OnGossip(receiver, aMessage, aNow); }) {
          return OnGossip(receiver, aMessage, aNow);
        } else {
          return Datagrams{};
        }
      },
      sent.front().mMessage);
    sent.insert(sent.end(), answers.begin(), answers.end());
  }
}

// Returns whether each host knows all others by `aDeadline`.
bool
KnowAllBy(Site& aSite, Instant aDeadline)
{
  const auto knowsAll = [&aSite](const GossipState& aHost) {
    return aHost.mMembers.mByHost.size() == aSite.mHosts.size() - 1;
  };
  for (Instant now = kStart; now <= aDeadline; now += kStep) {
    for (GossipState& host : aSite.mHosts) {
      if (HasPassed(NextGossipTimer(host), now)) {
        Deliver(aSite, OnGossipTimer(host, now), now);
      }
    }
    if (std::ranges::all_of(aSite.mHosts, knowsAll)) {
      return true;
    }
  }
  return false;
}

TEST_CASE("Hosts of a zone that only a host of another zone knows")
{
  SECTION("find one another, whatever hosts they send to")
  {
    const std::uint64_t seed = GENERATE(range(1, 201));
    Site site = MakeSite(seed * 1'000);
    INFO("seed " << seed);
    CHECK(KnowAllBy(site, kStart + Milliseconds{ 13'000 }));
  }
  SECTION("are told of each other")
  {
    Site site = MakeSite(1);
    GossipState& introducer = site.mHosts.back();
    const auto digestOf = [&site](std::size_t aHost, std::uint64_t aVersion) {
      const Heartbeat& self = site.mHosts[aHost - 1].mSelf;
      return ZoneGossip{ .mSender = self,
                         .mZones = { { .mZone = self.mZone,
                                       .mVersion = aVersion,
                                       .mLiveHosts = 1,
                                       .mContacts = { self } } } };
    };
    OnGossip(introducer, digestOf(1, 5), kStart);

    SECTION("when the digest of one is older")
    {
      const Datagrams answers = OnGossip(introducer, digestOf(3, 4), kStart);
      REQUIRE(answers.size() == 1);
      CHECK(answers[0].mTo == EndpointOf(3));
      Deliver(site, answers, kStart);
      CHECK(site.mHosts[2].mMembers.mByHost.contains(HostId{ "h1" }));
    }
    SECTION("but not when its digest is newer, which the others receive instead")
    {
      CHECK(OnGossip(introducer, digestOf(3, 6), kStart).empty());
    }
    SECTION("but not when it names the same hosts")
    {
      CHECK(OnGossip(introducer, digestOf(1, 5), kStart).empty());
    }
  }
}

} // namespace
} // namespace trefoil
