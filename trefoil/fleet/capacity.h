// How many hosts of each zone and class are wanted, so that a wave of reclaims leaves enough.
//
//   std::vector<HostCount> wanted = PlanCapacity(offers, { .mUrgentHosts = 8, .mAllHosts = 20 });
//
// Pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/service/service_document.h"

#include <vector>

namespace trefoil {

// Hosts of one class that a zone offers.
struct HostOffer
{
  AvailabilityZoneId mZone;
  PriceClass mPriceClass = PriceClass::kReclaimable;
  // In any unit, the same for all offers.
  double mPricePerHour = 0;
  // How many can be had at most.
  int mMax = 0;
};

struct HostCount
{
  AvailabilityZoneId mZone;
  PriceClass mPriceClass = PriceClass::kReclaimable;
  int mCount = 0;
};

struct CapacityNeed
{
  // Hosts that urgent work needs, also after a wave.
  int mUrgentHosts = 0;
  // Hosts that all work needs on an ordinary day.
  int mAllHosts = 0;
};

// Of 1000 reclaimable hosts, how many a wave takes.
inline constexpr int kWavePermille = 530;

// Returns how many hosts are left after the worse of two waves: one that takes a zone's worth of
// hosts, or one that takes kWavePermille of the reclaimable hosts.
int
HostsAfterWave(const std::vector<HostCount>& aHosts);

// Returns the hosts to have: the cheapest, spread over the zones, and so many more, or so many of
// them on demand, that urgent work is served after a wave. Returns all that is offered if that is
// too little.
std::vector<HostCount>
PlanCapacity(const std::vector<HostOffer>& aOffers, const CapacityNeed& aNeed);

} // namespace trefoil
