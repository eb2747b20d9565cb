// Keys under which entry hosts register themselves in the store, and when their list is read again.
//
//   std::string key = HostKey(zone, host);   // hosts/zone/host
//   Milliseconds delay = HostListRetryDelay(failures, random);
//
// Pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"

#include <cstdint>
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

// Returns how long to wait before the list is read again after `aFailures` failed reads in a row,
// at least 1: from 0.2 s, doubled each time, up to 2 s. Up to half of it is random, as many hosts
// lose the store together.
Milliseconds
HostListRetryDelay(int aFailures, std::uint64_t aRandomValue);

} // namespace trefoil
