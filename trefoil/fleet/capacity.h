// Capacity planning: how many hosts of each zone and price class to run, such that enough of them
// are left after a wave of reclaims.
//
//   CapacityNeed need{ .mUrgentHosts = 8, .mTotalHosts = 20 };
//   std::vector<HostCount> desired = PlanCapacity(offers, need);
//
// Pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/service/service_document.h"

#include <vector>

namespace trefoil {

// The hosts of one price class that are available in a zone.
struct HostOffer
{
  AvailabilityZoneId mZone;
  PriceClass mPriceClass = PriceClass::kReclaimable;
  // In any currency, the same for all offers.
  double mPricePerHour = 0;
  // How many hosts are available.
  int mMaxHosts = 0;
};

// A number of hosts of one price class in a zone.
struct HostCount
{
  AvailabilityZoneId mZone;
  PriceClass mPriceClass = PriceClass::kReclaimable;
  int mCount = 0;
};

struct CapacityNeed
{
  // Hosts that urgent work needs. They must be left after a wave of reclaims.
  int mUrgentHosts = 0;
  // Hosts that all work needs in normal operation.
  int mTotalHosts = 0;
};

// How many of 1000 reclaimable hosts a wave of reclaims takes away.
inline constexpr int kReclaimWavePermille = 530;

// Returns how many hosts are left after the worse of two events: the loss of the zone with the most
// hosts, or the reclaim of kReclaimWavePermille of the reclaimable hosts, rounded up.
int
HostsAfterReclaimWave(const std::vector<HostCount>& aHosts);

// Returns the number of hosts to run of each offer, in the order of `aOffers`. First adds hosts by
// price and spread over the zones until `mTotalHosts` is reached. Then adds hosts, reclaimable or
// on-demand, until `mUrgentHosts` are left after a wave. Returns all hosts of all offers if they
// are too few.
std::vector<HostCount>
PlanCapacity(const std::vector<HostOffer>& aOffers, const CapacityNeed& aNeed);

} // namespace trefoil
