#include "trefoil/request/crash_ledger.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

namespace trefoil {
namespace {

const Instant kStart{};
const HostId kHere{ "h1" };
const HostId kThere{ "h2" };
const BackendServerId kFirst{ "e1" };
const BackendServerId kSecond{ "e2" };
const BackendServerId kThird{ "e3" };

TEST_CASE("A request crashes the servers that run it")
{
  const RequestDigest digest = DigestOf(ClientAccountId{ "a" }, ServiceId{ "rules" }, "poison");
  CrashLedger ledger;
  CHECK(Judge(ledger, digest, kStart) == CrashJudgement::kRun);
  RecordCrash(ledger, kHere, digest, kFirst, kStart);
  CHECK(Judge(ledger, digest, kStart) == CrashJudgement::kRun);

  SECTION("the request ran there several times, through several hosts, and that is one crash")
  {
    RecordCrash(ledger, kHere, digest, kFirst, kStart + Milliseconds{ 5 });
    CrashLedger other;
    Merge(ledger, RecordCrash(other, kThere, digest, kFirst, kStart), kStart);
    CHECK(Judge(ledger, digest, kStart) == CrashJudgement::kRun);

    SECTION("until the server has come back and crashes again")
    {
      const Instant later = kStart + std::chrono::seconds{ 5 };
      RecordCrash(ledger, kHere, digest, kFirst, later);
      CHECK(Judge(ledger, digest, later) == CrashJudgement::kRunAlone);
    }
  }
  SECTION("after the second crash it runs alone")
  {
    const CrashCount second = RecordCrash(ledger, kHere, digest, kSecond, kStart);
    CHECK(Judge(ledger, digest, kStart) == CrashJudgement::kRunAlone);

    SECTION("and if it completes there, it is cleared on all hosts")
    {
      CrashLedger other;
      Merge(other, second, kStart);
      RecordCrash(other, kThere, digest, kThird, kStart);
      CHECK(Judge(other, digest, kStart) == CrashJudgement::kRefuse);
      Merge(other, RecordCompletion(ledger, kHere, digest), kStart);
      CHECK(Judge(ledger, digest, kStart) == CrashJudgement::kRun);
      CHECK(Judge(other, digest, kStart) == CrashJudgement::kRun);

      SECTION("a late report of the old crashes changes nothing")
      {
        Merge(other, second, kStart);
        CHECK(Judge(other, digest, kStart) == CrashJudgement::kRun);
      }
    }
    SECTION("after the third it is refused, on a host that only heard of it, too")
    {
      const CrashCount third = RecordCrash(ledger, kHere, digest, kThird, kStart);
      CrashLedger other;
      Merge(other, third, kStart);
      CHECK(Judge(other, digest, kStart) == CrashJudgement::kRefuse);

      SECTION("for a time")
      {
        CHECK(Judge(other, digest, kStart + std::chrono::hours{ 1 }) == CrashJudgement::kRun);
        Expire(other, kStart + std::chrono::hours{ 1 });
        CHECK(other.mByDigest.empty());
      }
    }
  }
  SECTION("another account's request with the same body is not touched")
  {
    RecordCrash(ledger, kHere, digest, kSecond, kStart);
    RecordCrash(ledger, kHere, digest, kThird, kStart);
    const auto innocent = DigestOf(ClientAccountId{ "b" }, ServiceId{ "rules" }, "poison");
    CHECK(Judge(ledger, innocent, kStart) == CrashJudgement::kRun);
  }
}

// A network that delivers reports late, twice or out of order among three hosts.
TEST_CASE("However reports are mixed up, hosts refuse a request after three crashes")
{
  const bool holds = rc::check([] {
    const RequestDigest digest{ "d" };
    std::vector<CrashLedger> ledgers(3);
    std::vector<CrashCount> sent;
    std::int64_t servers = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (const int step : steps) {
      const auto host = static_cast<std::size_t>(step % 3);
      if (step < 3 && Judge(ledgers[host], digest, kStart) != CrashJudgement::kRefuse) {
        ++servers;
        sent.push_back(RecordCrash(ledgers[host],
                                   HostId{ std::to_string(host) },
                                   digest,
                                   BackendServerId{ std::to_string(servers) },
                                   kStart));
      }
      if (step >= 3 && !sent.empty()) {
        Merge(ledgers[host], sent[*rc::gen::inRange<std::size_t>(0, sent.size())], kStart);
      }
    }
    RC_ASSERT(servers <= 3 * kRefuseCrashes);
    for (CrashLedger& ledger : ledgers) {
      for (const CrashCount& count : sent) {
        Merge(ledger, count, kStart);
      }
      RC_ASSERT((Judge(ledger, digest, kStart) == CrashJudgement::kRefuse) ==
                (servers >= kRefuseCrashes));
    }
  });
  CHECK(holds);
}

} // namespace
} // namespace trefoil
