#include "trefoil/node/admission_controller.h"

#include "absl/time/clock.h"
#include "trefoil/base/retry_after.h"
#include "trefoil/node/internal/admission_request.h"
#include "trefoil/node/routing_tables.h"

#include <catch2/catch.hpp>
#include <future>
#include <vector>

namespace trefoil {
namespace {

constexpr Milliseconds kLongTimeout{ 60'000 };

RequestArrived
Arrival(Milliseconds aUntilDeadline)
{
  return { .mAccount = ClientAccountId{ "clubs" }, .mDeadline = Now() + aUntilDeadline };
}

// Blocks until so many requests of the service are queued.
void
WaitUntilQueued(const AdmissionController& aController,
                const ServiceId& aService,
                std::size_t aRequests)
{
  const Instant end = Now() + kLongTimeout;
  while (aController.Counts(aService).mWaiting < aRequests && !HasPassed(end, Now())) {
    absl::SleepFor(absl::Milliseconds(1));
  }
  REQUIRE(aController.Counts(aService).mWaiting == aRequests);
}

// Blocks until one request of the service is queued.
void
WaitUntilOneIsQueued(const AdmissionController& aController, const ServiceId& aService)
{
  WaitUntilQueued(aController, aService, 1);
}

TEST_CASE("Admission blocks a traffic thread until its request may run")
{
  const ServiceDocument document{ .mService = ServiceId{ "rules" },
                                  .mServers = { {} },
                                  .mSlotsPerServer = 1 };
  AdmissionController controller{ { .mHost = HostId{ "h1" } } };
  std::optional<absl::StatusOr<ScopedAdmission>> first{ controller.WaitForAdmission(
    document, Arrival(kLongTimeout)) };
  REQUIRE(first->ok());

  SECTION("a request without a free slot starts when the running request ends")
  {
    auto second = std::async(std::launch::async, [&] {
      return controller.WaitForAdmission(document, Arrival(kLongTimeout)).status();
    });
    WaitUntilOneIsQueued(controller, document.mService);
    first.reset();
    CHECK(second.get().ok());
    CHECK(controller.Counts(document.mService).mRunning == 0);
  }
  SECTION("a request that cannot start by its deadline is refused with a retry delay")
  {
    const auto refused = controller.WaitForAdmission(document, Arrival(Milliseconds{ 50 }));
    CHECK(refused.status().code() == absl::StatusCode::kUnavailable);
    CHECK(RetryAfterSeconds(refused.status()).value_or(0) >= 1);
    CHECK(controller.Counts(document.mService).mWaiting == 0);
  }
  SECTION("a request of a client account over its limit is refused with that reason")
  {
    RequestArrived arrival = Arrival(kLongTimeout);
    arrival.mAccountLimit = 0.001;
    auto waiting = std::async(
      std::launch::async, [&] { return controller.WaitForAdmission(document, arrival).status(); });
    WaitUntilOneIsQueued(controller, document.mService);
    CHECK(controller.WaitForAdmission(document, arrival).status().code() ==
          absl::StatusCode::kResourceExhausted);
    first.reset();
    CHECK(waiting.get().ok());
  }
}

TEST_CASE("Requests that wait for a service leave room for those of others")
{
  const auto documentOf = [](const std::string& aService) {
    return ServiceDocument{ .mService = ServiceId{ aService },
                            .mServers = { {} },
                            .mSlotsPerServer = 1 };
  };
  const ServiceDocument slow = documentOf("slow");
  const ServiceDocument rules = documentOf("rules");
  AdmissionController controller{ { .mHost = HostId{ "h1" }, .mMaxRequests = 41 } };
  std::vector<std::future<absl::Status>> waiting;
  const auto wait = [&](const ServiceDocument& aDocument) {
    const std::size_t queued = controller.Counts(aDocument.mService).mWaiting;
    waiting.push_back(std::async(std::launch::async, [&controller, &aDocument] {
      return controller.WaitForAdmission(aDocument, Arrival(kLongTimeout)).status();
    }));
    WaitUntilQueued(controller, aDocument.mService, queued + 1);
  };
  const auto isRefused = [&controller](const ServiceDocument& aDocument) {
    const auto status =
      controller.WaitForAdmission(aDocument, Arrival(Milliseconds{ 2'000 })).status();
    CHECK(RetryAfterSeconds(status).value_or(0) >= 1);
    return status.message() == "too many requests wait";
  };
  std::optional<absl::StatusOr<ScopedAdmission>> runsSlow{ controller.WaitForAdmission(
    slow, Arrival(kLongTimeout)) };
  REQUIRE(runsSlow->ok());
  for (int i = 0; i < 20; ++i) {
    wait(slow);
  }

  SECTION("no more of them wait than there is room for beside them")
  {
    CHECK(isRefused(slow));
  }
  SECTION("a request of another service runs, and others of it wait")
  {
    std::optional<absl::StatusOr<ScopedAdmission>> runsRules{ controller.WaitForAdmission(
      rules, Arrival(kLongTimeout)) };
    REQUIRE(runsRules->ok());
    for (int i = 0; i < 10; ++i) {
      wait(rules);
    }
    CHECK(isRefused(rules));
    runsRules.reset();
  }
  runsSlow.reset();
  for (auto& status : waiting) {
    CHECK(status.get().ok());
  }
  CHECK(controller.Counts(slow.mService).mRunning == 0);
}

TEST_CASE("A caller can lower but not raise the priority of its client account")
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

TEST_CASE("Attempts in flight are counted for the server that runs them")
{
  RoutingTables tables;
  const ServiceId service{ "rules" };
  const BackendServerId server{ "engine-1" };
  const std::vector<RoutableServer> servers{ { .mServer = server } };
  CHECK(tables.IsOlderThan(service, 1));
  tables.SetServers(service, 1, servers);
  CHECK_FALSE(tables.IsOlderThan(service, 1));
  CHECK(tables.PlaceRequest(service, {}, Now()) == server);

  SECTION("no attempt starts on a server that is down or leaving")
  {
    const auto reports = std::make_shared<const ServerReportMap>();
    tables.ApplyServerUpdate(
      service,
      { .mReports = reports, .mNotUp = std::make_shared<const ServerSet>(ServerSet{ server }) },
      Now());
    CHECK_FALSE(tables.PlaceRequest(service, {}, Now()).has_value());
    tables.ApplyServerUpdate(
      service, { .mReports = reports, .mNotUp = std::make_shared<const ServerSet>() }, Now());
    CHECK(tables.PlaceRequest(service, {}, Now()) == server);
  }
  {
    const InFlightGuard guard{ tables, server };
    CHECK(tables.InFlight(server) == 1);
    tables.SetServers(service, 2, {});
    CHECK_FALSE(tables.PlaceRequest(service, {}, Now()).has_value());
  }
  CHECK(tables.InFlight(server) == 0);
}

} // namespace
} // namespace trefoil
