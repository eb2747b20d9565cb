#include "trefoil/fleet/capacity.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>

namespace trefoil {
namespace {

constexpr int kPermille = 1000;

int
TotalHosts(const std::vector<HostCount>& aHosts)
{
  return std::accumulate(aHosts.begin(), aHosts.end(), 0, [](int aSum, const HostCount& aHost) {
    return aSum + aHost.mCount;
  });
}

std::map<AvailabilityZoneId, int>
HostsByZone(const std::vector<HostCount>& aHosts)
{
  std::map<AvailabilityZoneId, int> zones;
  for (const HostCount& host : aHosts) {
    zones[host.mZone] += host.mCount;
  }
  return zones;
}

// Returns the index of the offer with the lowest cost of one more host, std::nullopt if all offers
// are used up. The cost is the price, raised by a quarter for each host that the zone already has
// and divided by the gain of the host. The gain is 1, or with `aGainAfterWave` the number of
// additional hosts that are left after a wave.
std::optional<std::size_t>
CheapestOffer(const std::vector<HostOffer>& aOffers,
              const std::vector<HostCount>& aHosts,
              bool aGainAfterWave)
{
  const auto zones = HostsByZone(aHosts);
  std::optional<std::size_t> best;
  double bestCost = 0;
  for (std::size_t i = 0; i < aOffers.size(); ++i) {
    if (aHosts[i].mCount >= aOffers[i].mMaxHosts) {
      continue;
    }
    std::vector<HostCount> extended = aHosts;
    ++extended[i].mCount;
    // A host that does not raise the number after a wave gets a small weight, since several such
    // hosts together can raise it.
    const int gain =
      aGainAfterWave ? HostsAfterReclaimWave(extended) - HostsAfterReclaimWave(aHosts) : 1;
    const double zoneFactor = 1 + 0.25 * zones.at(aOffers[i].mZone);
    const double weight = gain > 0 ? gain : 0.1;
    const double cost = aOffers[i].mPricePerHour * zoneFactor / weight;
    if (!best.has_value() || cost < bestCost) {
      best = i;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace

int
HostsAfterReclaimWave(const std::vector<HostCount>& aHosts)
{
  const int total = TotalHosts(aHosts);
  int reclaimable = 0;
  for (const HostCount& host : aHosts) {
    reclaimable += host.mPriceClass == PriceClass::kReclaimable ? host.mCount : 0;
  }
  int largestZone = 0;
  for (const auto& [zone, count] : HostsByZone(aHosts)) {
    largestZone = std::max(largestZone, count);
  }
  const int reclaimed = (reclaimable * kReclaimWavePermille + kPermille - 1) / kPermille;
  return total - std::max(reclaimed, largestZone);
}

std::vector<HostCount>
PlanCapacity(const std::vector<HostOffer>& aOffers, const CapacityNeed& aNeed)
{
  std::vector<HostCount> hosts;
  for (const HostOffer& offer : aOffers) {
    hosts.push_back({ .mZone = offer.mZone, .mPriceClass = offer.mPriceClass });
  }
  while (TotalHosts(hosts) < aNeed.mTotalHosts ||
         HostsAfterReclaimWave(hosts) < aNeed.mUrgentHosts) {
    const bool gainAfterWave = TotalHosts(hosts) >= aNeed.mTotalHosts;
    const auto offer = CheapestOffer(aOffers, hosts, gainAfterWave);
    if (!offer.has_value()) {
      break;
    }
    ++hosts[*offer].mCount;
  }
  return hosts;
}

} // namespace trefoil
