#include "trefoil/config/config_spread.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const Instant kStart = Instant{} + Milliseconds{ 1'000'000 };
const ServiceId kService{ "rules" };
const AvailabilityZoneId kZone{ "zone-a" };

DocumentRevision
Good(std::uint64_t aRevision)
{
  return { .mService = kService,
           .mRevision = aRevision,
           .mText = "service = \"rules\"\n[[version]]\nversion = \"v1\"\nshare_percent = 100\n" };
}

DocumentRevision
Bad(std::uint64_t aRevision)
{
  return { .mService = kService, .mRevision = aRevision, .mText = "service = 1\n" };
}

// Returns gossip in which another host of the zone has what `aOther` has.
GossipState
GossipWith(const ConfigState& aOther)
{
  GossipState gossip = MakeGossipState({ .mHost = HostId{ "h1" }, .mZone = kZone }, kStart);
  OnGossip(gossip,
           Heartbeat{ .mHost = HostId{ "h2" },
                      .mZone = kZone,
                      .mConfigRevision = NewestRevision(aOther.mDocuments),
                      .mConfigDigest = DigestOf(aOther.mDocuments) },
           kStart);
  return gossip;
}

TEST_CASE("A host takes over what another one has")
{
  ConfigState other = MakeConfigState(kStart);
  OnListing(other, { Good(3), Good(4) }, kStart);
  ConfigState own = MakeConfigState(kStart);
  OnListing(own, { Good(3) }, kStart);
  own.mHostAnswered = true;

  SECTION("when its newest revision is higher")
  {
    const auto fetch = NextFetch(own, GossipWith(other), kStart);
    REQUIRE(fetch.has_value());
    CHECK_FALSE(NextFetch(own, GossipWith(other), kStart).has_value());
    OnFetched(own, fetch->mHost, OfferDocuments(other.mDocuments, fetch->mWanted, true), kStart);
    CHECK(own.mDocuments.mByService.at(kService).mRevision == 4);
    SECTION("and has nothing more to ask for then")
    {
      CHECK_FALSE(NextFetch(own, GossipWith(other), kStart).has_value());
    }
  }
  SECTION("when both have seen a refused one, and the other a newer good one before")
  {
    OnListing(other, { Bad(5) }, kStart);
    OnListing(own, { Bad(5) }, kStart);
    const auto fetch = NextFetch(own, GossipWith(other), kStart);
    REQUIRE(fetch.has_value());
    OnFetched(own, fetch->mHost, OfferDocuments(other.mDocuments, fetch->mWanted, true), kStart);
    const DocumentState& state = own.mDocuments.mByService.at(kService);
    CHECK(state.mRevision == 4);
    CHECK_FALSE(state.mRefusal.empty());
  }
  SECTION("but a host that does not answer is asked again after a pause only")
  {
    const auto fetch = NextFetch(own, GossipWith(other), kStart);
    OnFetchFailed(own, fetch->mHost, kStart);
    CHECK_FALSE(NextFetch(own, GossipWith(other), kStart).has_value());
    CHECK(NextFetch(own, GossipWith(other), kStart + kFetchPause).has_value());
  }
}

TEST_CASE("A long answer comes in parts, the oldest revisions first")
{
  DocumentsInForce documents;
  for (std::uint64_t revision = 1; revision <= 3; ++revision) {
    const std::string name = "service-" + std::to_string(revision);
    Apply(documents,
          { .mService = ServiceId{ name },
            .mRevision = revision,
            .mText = "service = \"" + name +
                     "\"\n[[version]]\nversion = \"v1\"\nshare_percent = 100\n#" +
                     std::string(kMaxOfferedBytes / 2, 'x') });
  }
  const auto offered = OfferDocuments(documents, {}, true);
  CHECK(offered.mMore);
  REQUIRE(offered.mDocuments.size() == 1);
  CHECK(offered.mDocuments[0].mRevision == 1);
}

} // namespace
} // namespace trefoil
