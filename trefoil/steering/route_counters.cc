#include "trefoil/steering/route_counters.h"

#include <fmt/format.h>
#include <string>
#include <utility>

namespace trefoil {
namespace {

// The length makes the subjects of different services and routes different.
std::string
SubjectPrefix(const ServiceId& aService)
{
  return fmt::format("{}:{}/", aService.Value().size(), aService.Value());
}

} // namespace

void
AddRouteCounters(std::vector<CounterTotal>& aCounters,
                 const ServiceId& aService,
                 const std::map<VersionId, VersionOutcomes>& aVersions)
{
  const std::string prefix = SubjectPrefix(aService);
  for (const auto& [version, outcomes] : aVersions) {
    for (const auto& [route, ofRoute] : outcomes.mRoutes) {
      CounterTotal total{ .mKind = CounterKind::kRouteServed,
                          .mSubject = prefix + route,
                          .mVersion = version.Value(),
                          .mTotal = static_cast<std::uint64_t>(ofRoute.mServed) };
      aCounters.push_back(total);
      total.mKind = CounterKind::kRouteSpentMs;
      total.mTotal = static_cast<std::uint64_t>(ofRoute.mSpentMs);
      aCounters.push_back(std::move(total));
    }
  }
}

void
AddRouteTotal(std::map<VersionId, VersionOutcomes>& aVersions,
              const ServiceId& aService,
              const CounterKey& aKey,
              std::uint64_t aTotal)
{
  const bool isServed = aKey.mKind == CounterKind::kRouteServed;
  const std::string prefix = SubjectPrefix(aService);
  if ((!isServed && aKey.mKind != CounterKind::kRouteSpentMs) ||
      !aKey.mSubject.starts_with(prefix)) {
    return;
  }
  RouteOutcomes& outcomes =
    aVersions[VersionId{ aKey.mVersion }].mRoutes[aKey.mSubject.substr(prefix.size())];
  if (isServed) {
    outcomes.mServed += static_cast<std::int64_t>(aTotal);
  } else {
    outcomes.mSpentMs += static_cast<double>(aTotal);
  }
}

} // namespace trefoil
