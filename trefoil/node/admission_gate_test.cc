#include "trefoil/node/admission_gate.h"

#include "absl/time/clock.h"
#include "trefoil/base/retry_after.h"
#include "trefoil/node/internal/admission_request.h"
#include "trefoil/node/routing_tables.h"

#include <catch2/catch.hpp>
#include <future>

namespace trefoil {
namespace {

constexpr Milliseconds kGenerous{ 60'000 };

RequestArrived
Arrival(Milliseconds aUntilDeadline)
{
  return { .mAccount = ClientAccountId{ "clubs" }, .mDeadline = Now() + aUntilDeadline };
}

// Waits until a request of the service waits at the gate.
void
AwaitWaiting(const AdmissionGate& aGate, const ServiceId& aService)
{
  const Instant end = Now() + kGenerous;
  while (aGate.Counts(aService).mWaiting == 0 && !HasPassed(end, Now())) {
    absl::SleepFor(absl::Milliseconds(1));
  }
  REQUIRE(aGate.Counts(aService).mWaiting == 1);
}

TEST_CASE("Traffic threads wait at the gate")
{
  const ServiceDocument document{ .mService = ServiceId{ "rules" },
                                  .mServers = { {} },
                                  .mSlotsPerServer = 1 };
  AdmissionGate gate{ { .mHost = HostId{ "h1" } } };
  std::optional<absl::StatusOr<AdmissionPass>> first{ gate.Enter(document, Arrival(kGenerous)) };
  REQUIRE(first->ok());

  SECTION("one that finds no slot goes when the other leaves")
  {
    auto second = std::async(std::launch::async,
                             [&] { return gate.Enter(document, Arrival(kGenerous)).status(); });
    AwaitWaiting(gate, document.mService);
    first.reset();
    CHECK(second.get().ok());
    CHECK(gate.Counts(document.mService).mRunning == 0);
  }
  SECTION("one that cannot start by its deadline is refused and told when to try again")
  {
    const auto refused = gate.Enter(document, Arrival(Milliseconds{ 50 }));
    CHECK(refused.status().code() == absl::StatusCode::kUnavailable);
    CHECK(RetryAfterSeconds(refused.status()).value_or(0) >= 1);
    CHECK(gate.Counts(document.mService).mWaiting == 0);
  }
  SECTION("an account over its limit is told so")
  {
    RequestArrived arrival = Arrival(kGenerous);
    arrival.mAccountLimit = 0.001;
    auto waiting =
      std::async(std::launch::async, [&] { return gate.Enter(document, arrival).status(); });
    AwaitWaiting(gate, document.mService);
    CHECK(gate.Enter(document, arrival).status().code() == absl::StatusCode::kResourceExhausted);
    first.reset();
    CHECK(waiting.get().ok());
  }
}

TEST_CASE("A caller may lower the priority of its account")
{
  const auto document = std::make_shared<const ServiceDocument>(ServiceDocument{
    .mAccounts = { { .mAccount = ClientAccountId{ "clubs" }, .mPriority = Priority::kNormal } } });
  const Caller caller{ .mDocument = document, .mAccount = ClientAccountId{ "clubs" } };
  const auto priorityFor = [&caller](const std::string& aHeader) {
    return MakeArrival(
             caller,
             { .mHeaders = { { .mName = std::string{ kPriorityHeader }, .mValue = aHeader } } },
             1)
      ->mPriority;
  };
  CHECK(priorityFor("deferrable") == Priority::kDeferrable);
  CHECK(priorityFor("urgent") == Priority::kNormal);
  CHECK_FALSE(
    MakeArrival(
      caller, { .mHeaders = { { .mName = std::string{ kPriorityHeader }, .mValue = "now" } } }, 1)
      .ok());
}

TEST_CASE("Attempts are counted where they run")
{
  RoutingTables tables;
  const ServiceId service{ "rules" };
  const BackendServerId server{ "engine-1" };
  const std::vector<RoutableServer> servers{ { .mServer = server } };
  CHECK(tables.IsOlder(service, 1));
  tables.SetServers(service, 1, servers);
  CHECK_FALSE(tables.IsOlder(service, 1));
  CHECK(tables.Choose(service, {}, Now()) == server);

  SECTION("none starts on a server that is down or leaving")
  {
    const auto reports = std::make_shared<const ServerReportMap>();
    tables.TakeReports(
      service,
      { .mReports = reports, .mNotUp = std::make_shared<const ServerSet>(ServerSet{ server }) },
      Now());
    CHECK_FALSE(tables.Choose(service, {}, Now()).has_value());
    tables.TakeReports(
      service, { .mReports = reports, .mNotUp = std::make_shared<const ServerSet>() }, Now());
    CHECK(tables.Choose(service, {}, Now()) == server);
  }
  {
    const InFlightGuard guard{ tables, server };
    CHECK(tables.InFlight(server) == 1);
    tables.SetServers(service, 2, {});
    CHECK_FALSE(tables.Choose(service, {}, Now()).has_value());
  }
  CHECK(tables.InFlight(server) == 0);
}

} // namespace
} // namespace trefoil
