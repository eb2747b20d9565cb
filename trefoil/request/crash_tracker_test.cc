#include "trefoil/request/crash_tracker.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

namespace trefoil {
namespace {

const Instant kStart{};
const HostId kLocalHost{ "h1" };
const HostId kRemoteHost{ "h2" };
const BackendServerId kFirstServer{ "e1" };
const BackendServerId kSecondServer{ "e2" };
const BackendServerId kThirdServer{ "e3" };

TEST_CASE("A request crashes the servers that run it")
{
  const RequestDigest digest =
    RequestDigestOf(ClientAccountId{ "a" }, ServiceId{ "rules" }, "poison");
  CrashTracker tracker;
  CHECK(CrashDecisionFor(tracker, digest, kStart) == CrashDecision::kRun);
  RecordCrash(tracker, kLocalHost, digest, kFirstServer, kStart);
  CHECK(CrashDecisionFor(tracker, digest, kStart) == CrashDecision::kRun);

  SECTION("several breaks of one server, observed by several hosts, count as one crash")
  {
    RecordCrash(tracker, kLocalHost, digest, kFirstServer, kStart + Milliseconds{ 5 });
    CrashTracker other;
    Merge(tracker, RecordCrash(other, kRemoteHost, digest, kFirstServer, kStart), kStart);
    CHECK(CrashDecisionFor(tracker, digest, kStart) == CrashDecision::kRun);

    SECTION("until the server has restarted and crashes again")
    {
      const Instant later = kStart + std::chrono::seconds{ 5 };
      RecordCrash(tracker, kLocalHost, digest, kFirstServer, later);
      CHECK(CrashDecisionFor(tracker, digest, later) == CrashDecision::kRunAlone);
    }
  }
  SECTION("after the second crash it runs alone")
  {
    const CrashCount second = RecordCrash(tracker, kLocalHost, digest, kSecondServer, kStart);
    CHECK(CrashDecisionFor(tracker, digest, kStart) == CrashDecision::kRunAlone);

    SECTION("and if it completes there, its crashes are cleared on all hosts")
    {
      CrashTracker other;
      Merge(other, second, kStart);
      RecordCrash(other, kRemoteHost, digest, kThirdServer, kStart);
      CHECK(CrashDecisionFor(other, digest, kStart) == CrashDecision::kRefuse);
      Merge(other, RecordCompletion(tracker, kLocalHost, digest), kStart);
      CHECK(CrashDecisionFor(tracker, digest, kStart) == CrashDecision::kRun);
      CHECK(CrashDecisionFor(other, digest, kStart) == CrashDecision::kRun);

      SECTION("a late report of the cleared crashes has no effect")
      {
        Merge(other, second, kStart);
        CHECK(CrashDecisionFor(other, digest, kStart) == CrashDecision::kRun);
      }
    }
    SECTION("after the third crash it is refused, also on a host that only received the report")
    {
      const CrashCount third = RecordCrash(tracker, kLocalHost, digest, kThirdServer, kStart);
      CrashTracker other;
      Merge(other, third, kStart);
      CHECK(CrashDecisionFor(other, digest, kStart) == CrashDecision::kRefuse);

      SECTION("until its crashes expire")
      {
        CHECK(CrashDecisionFor(other, digest, kStart + std::chrono::hours{ 1 }) ==
              CrashDecision::kRun);
        Expire(other, kStart + std::chrono::hours{ 1 });
        CHECK(other.mByDigest.empty());
      }
    }
  }
  SECTION("another account's request with the same body is not affected")
  {
    RecordCrash(tracker, kLocalHost, digest, kSecondServer, kStart);
    RecordCrash(tracker, kLocalHost, digest, kThirdServer, kStart);
    const auto otherAccountDigest =
      RequestDigestOf(ClientAccountId{ "b" }, ServiceId{ "rules" }, "poison");
    CHECK(CrashDecisionFor(tracker, otherAccountDigest, kStart) == CrashDecision::kRun);
  }
}

// Three hosts over a network that delays, duplicates and reorders reports.
TEST_CASE("Hosts refuse a request after three crashes, whatever the order of the reports")
{
  const bool holds = rc::check([] {
    const RequestDigest digest{ "d" };
    std::vector<CrashTracker> trackers(3);
    std::vector<CrashCount> sent;
    std::int64_t servers = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (const int step : steps) {
      const auto host = static_cast<std::size_t>(step % 3);
      if (step < 3 && CrashDecisionFor(trackers[host], digest, kStart) != CrashDecision::kRefuse) {
        ++servers;
        sent.push_back(RecordCrash(trackers[host],
                                   HostId{ std::to_string(host) },
                                   digest,
                                   BackendServerId{ std::to_string(servers) },
                                   kStart));
      }
      if (step >= 3 && !sent.empty()) {
        Merge(trackers[host], sent[*rc::gen::inRange<std::size_t>(0, sent.size())], kStart);
      }
    }
    RC_ASSERT(servers <= 3 * kMinCrashesToRefuse);
    for (CrashTracker& tracker : trackers) {
      for (const CrashCount& count : sent) {
        Merge(tracker, count, kStart);
      }
      RC_ASSERT((CrashDecisionFor(tracker, digest, kStart) == CrashDecision::kRefuse) ==
                (servers >= kMinCrashesToRefuse));
    }
  });
  CHECK(holds);
}

} // namespace
} // namespace trefoil
