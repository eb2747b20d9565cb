#include "trefoil/steering/host_entry.h"

#include <algorithm>
#include <fmt/format.h>

namespace trefoil {
namespace {

// The delay without its random part, after the first failure and at most.
constexpr Milliseconds kMinRetryDelay{ 200 };
constexpr Milliseconds kMaxBaseDelay{ 1'000 };
// Doublings after which kMaxBaseDelay is reached.
constexpr int kMaxDoublings = 3;

} // namespace

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

Milliseconds
HostListRetryDelay(int aFailures, std::uint64_t aRandomValue)
{
  const int doublings = std::clamp(aFailures - 1, 0, kMaxDoublings);
  const Milliseconds base = std::min(kMaxBaseDelay, kMinRetryDelay * (1 << doublings));
  const std::uint64_t jitter = aRandomValue % static_cast<std::uint64_t>(base.count() + 1);
  return base + Milliseconds{ static_cast<std::int64_t>(jitter) };
}

} // namespace trefoil
