#include "trefoil/node/node_control_state.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

const Instant kStart{};

NodeControlState
MakeState()
{
  return MakeNodeControlState({ .mHost = HostId{ "h1" },
                                .mPeerEndpoint = { .mAddress = "127.0.1.1", .mPort = 7000 },
                                .mSeeds = { { .mAddress = "127.0.1.2", .mPort = 7000 } },
                                .mIncarnation = 1 },
                              kStart);
}

DocumentsRead
DocumentsReadOf(const std::string& aText, std::uint64_t aRevision)
{
  return { .mListing = {
             .mRevision = aRevision,
             .mEntries = {
               { .mKey = "services/rules", .mValue = aText, .mRevision = aRevision } } } };
}

const Snapshot&
PublishedSnapshot(const ControlEffects& aEffects)
{
  return *std::get<PublishSnapshot>(aEffects.at(0)).mSnapshot;
}

constexpr const char* kValidDocument =
  "service = \"rules\"\n[[version]]\nversion = \"v1\"\nshare_percent = 100\n";

TEST_CASE("An entry host starts")
{
  NodeControlState state = MakeState();

  SECTION("it is not ready before it has read the documents")
  {
    const auto effects = Step(state, TimerFired{}, kStart);
    CHECK_FALSE(PublishedSnapshot(effects).mReady);
    SECTION("but it sends gossip to its seeds")
    {
      REQUIRE(effects.size() == 2);
      CHECK(ToText(std::get<SendMessage>(effects.at(1)).mTo) == "127.0.1.2:7000");
    }
  }
  SECTION("it is not ready after reading the store while other hosts may still answer")
  {
    CHECK_FALSE(PublishedSnapshot(Step(state, DocumentsReadOf(kValidDocument, 4), kStart)).mReady);
  }
  SECTION("it is not ready if neither the store nor another host has answered")
  {
    Step(state, StoreUnreachable{}, kStart);
    CHECK_FALSE(PublishedSnapshot(Step(state, TimerFired{}, kStart + kMaxWaitForHosts)).mReady);

    SECTION("but it is ready once another host has sent the documents")
    {
      const DocumentRevision document{ .mService = ServiceId{ "rules" },
                                       .mRevision = 4,
                                       .mText = kValidDocument };
      const auto effects =
        Step(state,
             DocumentsFetched{ .mHost = HostId{ "h2" },
                               .mOffered =
                                 DocumentsReply{ .mReady = true, .mDocuments = { document } } },
             kStart);
      CHECK(PublishedSnapshot(effects).mReady);
    }
  }
  SECTION("it is ready once it has read the documents and the wait for other hosts is over")
  {
    Step(state, DocumentsReadOf(kValidDocument, 4), kStart);
    const auto effects = Step(state, TimerFired{}, kStart + kMaxWaitForHosts);
    CHECK(PublishedSnapshot(effects).mReady);
    CHECK(FindService(PublishedSnapshot(effects), ServiceId{ "rules" }) != nullptr);
    CHECK(FindService(PublishedSnapshot(effects), ServiceId{ "results" }) == nullptr);

    SECTION("an invalid document is refused with a reason and the previous one stays in force")
    {
      const auto later = Step(state, DocumentsReadOf("service = 1\n", 5), kStart);
      const ServiceView* view = FindService(PublishedSnapshot(later), ServiceId{ "rules" });
      REQUIRE(view != nullptr);
      CHECK(view->mRevision == 4);
      CHECK_FALSE(view->mRefusal.empty());
    }
    SECTION("an outage of the store leaves the host ready")
    {
      const auto later = Step(state, StoreUnreachable{}, kStart);
      CHECK(PublishedSnapshot(later).mReady);
      CHECK_FALSE(PublishedSnapshot(later).mStoreReachable);
    }
    SECTION("a shutdown makes the host not ready and is announced to the other hosts")
    {
      const auto later = Step(state, StopRequested{}, kStart);
      CHECK_FALSE(PublishedSnapshot(later).mReady);
      CHECK(std::get<Gossip>(std::get<SendMessage>(later.at(1)).mMessage).mSender.mLeaving);
    }
  }
}

} // namespace
} // namespace trefoil
