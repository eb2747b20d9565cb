#include "trefoil/health/server_health.h"

#include "trefoil/health/internal/report_order.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace trefoil {
namespace {

const Instant kStart = Instant{} + Milliseconds{ 1'000'000 };
const BackendServerId kServer{ "engine-1" };

ServerReport
MakeReport(std::uint64_t aIncarnation, std::uint64_t aSequence, ServerState aState)
{
  return {
    .mServer = kServer, .mIncarnation = aIncarnation, .mSequence = aSequence, .mState = aState
  };
}

TEST_CASE("Reports of a backend server are merged in any order")
{
  ServerReport report = MakeReport(1, 5, ServerState::kUp);

  SECTION("the report with the higher sequence wins")
  {
    CHECK(MergeReport(report, MakeReport(1, 6, ServerState::kDown)));
    CHECK_FALSE(MergeReport(report, MakeReport(1, 5, ServerState::kUp)));
    CHECK(report.mState == ServerState::kDown);
  }
  SECTION("the state leaving is final for an incarnation")
  {
    MergeReport(report, MakeReport(1, 4, ServerState::kLeaving));
    MergeReport(report, MakeReport(1, 9, ServerState::kUp));
    CHECK(report.mState == ServerState::kLeaving);
    SECTION("and a new incarnation of the server is up again")
    {
      MergeReport(report, MakeReport(2, 1, ServerState::kUp));
      CHECK(report.mState == ServerState::kUp);
    }
  }
}

TEST_CASE("Hosts agree on the state for any order of reports")
{
  const bool holds = rc::check([] {
    std::vector<ServerReport> reports;
    for (int i = *rc::gen::inRange(1, 8); i > 0; --i) {
      reports.push_back(MakeReport(*rc::gen::inRange<std::uint64_t>(0, 3),
                                   *rc::gen::inRange<std::uint64_t>(0, 4),
                                   static_cast<ServerState>(*rc::gen::inRange(0, 3))));
    }
    ServerReport first = reports.front();
    for (const ServerReport& report : reports) {
      MergeReport(first, report);
    }
    std::ranges::reverse(reports);
    ServerReport second = reports.front();
    for (const ServerReport& report : reports) {
      MergeReport(second, report);
    }
    RC_ASSERT(first.mState == second.mState);
    RC_ASSERT(first.mSequence == second.mSequence);
  });
  CHECK(holds);
}

TEST_CASE("An entry host polls backend servers")
{
  GossipState gossip =
    MakeGossipState({ .mHost = HostId{ "h1" }, .mZone = AvailabilityZoneId{ "zone-a" } }, kStart);
  HealthState health;
  SetServers(health, { { .mServer = kServer, .mZone = AvailabilityZoneId{ "zone-a" } } }, kStart);
  const auto polls = DuePolls(health, gossip, kStart + kFirstPollerInterval);
  REQUIRE(polls.size() == 1);

  SECTION("at most one poll of a server is in flight")
  {
    CHECK(DuePolls(health, gossip, kStart + 10 * kFirstPollerInterval).empty());
  }
  SECTION("the server counts as down after the second failed poll")
  {
    OnPollCompleted(health, gossip, { .mServer = kServer }, kStart);
    PublishReports(health, kStart);
    CHECK(health.mNotUp->empty());
    OnPollCompleted(health, gossip, { .mServer = kServer }, kStart);
    CHECK(PublishReports(health, kStart));
    CHECK(health.mNotUp->contains(kServer));
  }
  SECTION("a server that answers without a report is up")
  {
    OnPollCompleted(health, gossip, { .mServer = kServer, .mAnswered = true }, kStart);
    PublishReports(health, kStart);
    CHECK(health.mNotUp->empty());
  }
}

} // namespace
} // namespace trefoil
