// Keys under which entry hosts register themselves in the store.
//
//   std::string key = HostKey(zone, host);   // hosts/zone/host
#pragma once

#include "trefoil/base/ids.h"

#include <string>
#include <string_view>

namespace trefoil {

inline constexpr std::string_view kHostPrefix = "hosts/";

struct HostEntryName
{
  HostId mHost;
  // Empty in entries of earlier versions, whose keys have no zone.
  AvailabilityZoneId mZone;
};

std::string
HostKey(const AvailabilityZoneId& aZone, const HostId& aHost);

// `aKey` must begin with kHostPrefix.
HostEntryName
ParseHostKey(std::string_view aKey);

} // namespace trefoil
