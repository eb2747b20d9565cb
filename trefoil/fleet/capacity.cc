#include "trefoil/fleet/capacity.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>

namespace trefoil {
namespace {

constexpr int kWhole = 1000;

int
Total(const std::vector<HostCount>& aHosts)
{
  return std::accumulate(aHosts.begin(), aHosts.end(), 0, [](int aSum, const HostCount& aHost) {
    return aSum + aHost.mCount;
  });
}

std::map<AvailabilityZoneId, int>
ByZone(const std::vector<HostCount>& aHosts)
{
  std::map<AvailabilityZoneId, int> zones;
  for (const HostCount& host : aHosts) {
    zones[host.mZone] += host.mCount;
  }
  return zones;
}

// Returns the offer whose host does the most for its price: where the zone has few so far.
std::optional<std::size_t>
BestOffer(const std::vector<HostOffer>& aOffers,
          const std::vector<HostCount>& aHosts,
          bool aForWave)
{
  const auto zones = ByZone(aHosts);
  std::optional<std::size_t> best;
  double bestCost = 0;
  for (std::size_t i = 0; i < aOffers.size(); ++i) {
    if (aHosts[i].mCount >= aOffers[i].mMax) {
      continue;
    }
    std::vector<HostCount> more = aHosts;
    ++more[i].mCount;
    // A host that the wave takes again counts for little.
    const int gain = aForWave ? HostsAfterWave(more) - HostsAfterWave(aHosts) : 1;
    const double crowding = 1 + 0.25 * zones.at(aOffers[i].mZone);
    const double worth = gain > 0 ? gain : 0.1;
    const double cost = aOffers[i].mPricePerHour * crowding / worth;
    if (!best.has_value() || cost < bestCost) {
      best = i;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace

int
HostsAfterWave(const std::vector<HostCount>& aHosts)
{
  const int total = Total(aHosts);
  int reclaimable = 0;
  for (const HostCount& host : aHosts) {
    reclaimable += host.mPriceClass == PriceClass::kReclaimable ? host.mCount : 0;
  }
  int largestZone = 0;
  for (const auto& [zone, count] : ByZone(aHosts)) {
    largestZone = std::max(largestZone, count);
  }
  const int taken = (reclaimable * kWavePermille + kWhole - 1) / kWhole;
  return total - std::max(taken, largestZone);
}

std::vector<HostCount>
PlanCapacity(const std::vector<HostOffer>& aOffers, const CapacityNeed& aNeed)
{
  std::vector<HostCount> hosts;
  for (const HostOffer& offer : aOffers) {
    hosts.push_back({ .mZone = offer.mZone, .mPriceClass = offer.mPriceClass });
  }
  while (Total(hosts) < aNeed.mAllHosts || HostsAfterWave(hosts) < aNeed.mUrgentHosts) {
    const bool forWave = Total(hosts) >= aNeed.mAllHosts;
    const auto offer = BestOffer(aOffers, hosts, forWave);
    if (!offer.has_value()) {
      break;
    }
    ++hosts[*offer].mCount;
  }
  return hosts;
}

} // namespace trefoil
