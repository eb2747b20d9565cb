#include "trefoil/node/control_state.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const Instant kStart{};

ControlState
MakeState()
{
  return MakeControlState({ .mHost = HostId{ "h1" },
                            .mPeerEndpoint = { .mAddress = "127.0.1.1", .mPort = 7000 },
                            .mSeeds = { { .mAddress = "127.0.1.2", .mPort = 7000 } },
                            .mIncarnation = 1 },
                          kStart);
}

DocumentsRead
ReadOf(const std::string& aText, std::uint64_t aRevision)
{
  return { .mListing = {
             .mRevision = aRevision,
             .mEntries = {
               { .mKey = "services/rules", .mValue = aText, .mRevision = aRevision } } } };
}

const Snapshot&
PublishedIn(const ControlEffects& aEffects)
{
  return *std::get<PublishSnapshot>(aEffects.at(0)).mSnapshot;
}

constexpr const char* kGood =
  "service = \"rules\"\n[[version]]\nversion = \"v1\"\nshare_percent = 100\n";

TEST_CASE("An entry host starts")
{
  ControlState state = MakeState();

  SECTION("it is not ready before it has read the documents")
  {
    const auto effects = Step(state, TimerFired{}, kStart);
    CHECK_FALSE(PublishedIn(effects).mReady);
    SECTION("but greets its seeds")
    {
      REQUIRE(effects.size() == 2);
      CHECK(ToText(std::get<SendMessage>(effects.at(1)).mTo) == "127.0.1.2:7000");
    }
  }
  SECTION("it is not ready either before other hosts have had time to answer")
  {
    CHECK_FALSE(PublishedIn(Step(state, ReadOf(kGood, 4), kStart)).mReady);
  }
  SECTION("nor when neither the store nor a host has answered")
  {
    Step(state, StoreUnreachable{}, kStart);
    CHECK_FALSE(PublishedIn(Step(state, TimerFired{}, kStart + kMaxWaitForHosts)).mReady);

    SECTION("but is ready once another host has sent the documents")
    {
      const DocumentRevision document{ .mService = ServiceId{ "rules" },
                                       .mRevision = 4,
                                       .mText = kGood };
      const auto effects =
        Step(state,
             DocumentsFetched{ .mHost = HostId{ "h2" },
                               .mOffered =
                                 DocumentsOffered{ .mReady = true, .mDocuments = { document } } },
             kStart);
      CHECK(PublishedIn(effects).mReady);
    }
  }
  SECTION("it is ready once it has read them and has asked other hosts")
  {
    Step(state, ReadOf(kGood, 4), kStart);
    const auto effects = Step(state, TimerFired{}, kStart + kMaxWaitForHosts);
    CHECK(PublishedIn(effects).mReady);
    CHECK(FindService(PublishedIn(effects), ServiceId{ "rules" }) != nullptr);
    CHECK(FindService(PublishedIn(effects), ServiceId{ "results" }) == nullptr);

    SECTION("a bad document is refused visibly, the good one stays")
    {
      const auto later = Step(state, ReadOf("service = 1\n", 5), kStart);
      const ServiceView* view = FindService(PublishedIn(later), ServiceId{ "rules" });
      REQUIRE(view != nullptr);
      CHECK(view->mRevision == 4);
      CHECK_FALSE(view->mRefusal.empty());
    }
    SECTION("an outage of the store changes nothing for traffic")
    {
      const auto later = Step(state, StoreUnreachable{}, kStart);
      CHECK(PublishedIn(later).mReady);
      CHECK_FALSE(PublishedIn(later).mStoreReachable);
    }
    SECTION("a planned stop takes it out of the balancer and tells the others")
    {
      const auto later = Step(state, StopAnnounced{}, kStart);
      CHECK_FALSE(PublishedIn(later).mReady);
      CHECK(std::get<Gossip>(std::get<SendMessage>(later.at(1)).mMessage).mSender.mLeaving);
    }
  }
}

} // namespace
} // namespace trefoil
