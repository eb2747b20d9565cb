#include "trefoil/steering/route_counters.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

SCENARIO("hosts exchange the outcomes of a service's versions by route")
{
  const ServiceId service{ "reviews" };
  std::map<VersionId, VersionOutcomes> sent;
  sent[VersionId{ "v1" }].mRoutes = { { "chat", { 7, 900.0 } }, { "look/up", { 2, 30.0 } } };
  sent[VersionId{ "v2" }].mRoutes = { { "chat", { 0, 400.0 } } };
  std::vector<CounterTotal> counters;
  AddRouteCounters(counters, service, sent);
  const auto read = [&counters](const ServiceId& aService) {
    std::map<VersionId, VersionOutcomes> versions;
    for (const auto& [key, total] : FromCounterTotals(counters)) {
      AddRouteTotal(versions, aService, key, total);
    }
    return versions;
  };
  THEN("the receiver has the same outcomes")
  {
    const auto received = read(service);
    REQUIRE(received.size() == 2);
    const auto& routes = received.at(VersionId{ "v1" }).mRoutes;
    CHECK(routes.at("chat").mServed == 7);
    CHECK(routes.at("chat").mSpentMs == 900.0);
    CHECK(routes.at("look/up").mServed == 2);
    CHECK(received.at(VersionId{ "v2" }).mRoutes.at("chat").mSpentMs == 400.0);
  }
  THEN("they do not count for other services")
  {
    CHECK(read(ServiceId{ "review" }).empty());
    CHECK(read(ServiceId{ "reviews/chat" }).empty());
  }
}

} // namespace
} // namespace trefoil
