#include "trefoil/steering/host_entry.h"

#include <fmt/format.h>

namespace trefoil {

std::string
HostKey(const AvailabilityZoneId& aZone, const HostId& aHost)
{
  return fmt::format("{}{}/{}", kHostPrefix, aZone.Value(), aHost.Value());
}

HostEntryName
ParseHostKey(std::string_view aKey)
{
  const std::string_view name = aKey.substr(kHostPrefix.size());
  const std::size_t slash = name.find('/');
  if (slash == std::string_view::npos) {
    return { .mHost = HostId{ std::string{ name } }, .mZone = {} };
  }
  return { .mHost = HostId{ std::string{ name.substr(slash + 1) } },
           .mZone = AvailabilityZoneId{ std::string{ name.substr(0, slash) } } };
}

} // namespace trefoil
