#include "trefoil/config/config_propagation.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const Instant kStart = Instant{} + Milliseconds{ 1'000'000 };
const ServiceId kService{ "rules" };
const AvailabilityZoneId kZone{ "zone-a" };

DocumentRevision
ValidDocument(std::uint64_t aRevision)
{
  return { .mService = kService,
           .mRevision = aRevision,
           .mText = "service = \"rules\"\n[[version]]\nversion = \"v1\"\nshare_percent = 100\n" };
}

DocumentRevision
InvalidDocument(std::uint64_t aRevision)
{
  return { .mService = kService, .mRevision = aRevision, .mText = "service = 1\n" };
}

// Returns the gossip state of a host that received a heartbeat of another host of its zone, whose
// documents are those of `aRemote`.
GossipState
GossipWith(const ConfigState& aRemote)
{
  GossipState gossip = MakeGossipState({ .mHost = HostId{ "h1" }, .mZone = kZone }, kStart);
  OnGossip(gossip,
           Heartbeat{ .mHost = HostId{ "h2" },
                      .mZone = kZone,
                      .mConfigRevision = NewestRevision(aRemote.mDocuments),
                      .mConfigDigest = DigestOfRevisions(aRemote.mDocuments) },
           kStart);
  return gossip;
}

TEST_CASE("A host fetches documents that another host has")
{
  ConfigState remoteConfig = MakeConfigState(kStart);
  OnStoreListed(remoteConfig, { ValidDocument(3), ValidDocument(4) }, kStart);
  ConfigState localConfig = MakeConfigState(kStart);
  OnStoreListed(localConfig, { ValidDocument(3) }, kStart);
  localConfig.mHostAnswered = true;

  SECTION("when the newest revision of the other host is higher")
  {
    const auto fetch = StartNextFetch(localConfig, GossipWith(remoteConfig), kStart);
    REQUIRE(fetch.has_value());
    CHECK_FALSE(StartNextFetch(localConfig, GossipWith(remoteConfig), kStart).has_value());
    OnFetched(localConfig,
              fetch->mHost,
              OfferDocuments(remoteConfig.mDocuments, fetch->mRequest, true),
              kStart);
    CHECK(localConfig.mDocuments.mByService.at(kService).mRevision == 4);
    SECTION("and starts no further fetch")
    {
      CHECK_FALSE(StartNextFetch(localConfig, GossipWith(remoteConfig), kStart).has_value());
    }
  }
  SECTION(
    "when both have the same refused revision, and the other host has a newer valid one before it")
  {
    OnStoreListed(remoteConfig, { InvalidDocument(5) }, kStart);
    OnStoreListed(localConfig, { InvalidDocument(5) }, kStart);
    const auto fetch = StartNextFetch(localConfig, GossipWith(remoteConfig), kStart);
    REQUIRE(fetch.has_value());
    OnFetched(localConfig,
              fetch->mHost,
              OfferDocuments(remoteConfig.mDocuments, fetch->mRequest, true),
              kStart);
    const DocumentState& state = localConfig.mDocuments.mByService.at(kService);
    CHECK(state.mRevision == 4);
    CHECK_FALSE(state.mRefusal.empty());
  }
  SECTION("but after a failed fetch, only after a delay")
  {
    const auto fetch = StartNextFetch(localConfig, GossipWith(remoteConfig), kStart);
    OnFetchFailed(localConfig, fetch->mHost, kStart);
    CHECK_FALSE(StartNextFetch(localConfig, GossipWith(remoteConfig), kStart).has_value());
    CHECK(
      StartNextFetch(localConfig, GossipWith(remoteConfig), kStart + kFetchRetryDelay).has_value());
  }
}

TEST_CASE("A response that exceeds the size limit is split, the oldest revisions first")
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
  CHECK(offered.mHasMore);
  REQUIRE(offered.mDocuments.size() == 1);
  CHECK(offered.mDocuments[0].mRevision == 1);
}

} // namespace
} // namespace trefoil
