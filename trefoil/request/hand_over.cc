#include "trefoil/request/hand_over.h"

#include "trefoil/base/digest.h"

#include <algorithm>
#include <fmt/format.h>
#include <string>

namespace trefoil {
namespace {

// A stream counts on this share of the time left, since its speed varies.
constexpr double kUsableShare = 0.7;

bool
EndsBefore(const StreamOutlook& aStream, Instant aStopsAt, Instant aNow)
{
  if (aStream.mTokensPerSecond <= 0) {
    // It has just begun: there is time to see how fast it is.
    return !HasPassed(aStopsAt, aNow);
  }
  const double left = std::chrono::duration<double>(Remaining(aStopsAt, aNow)).count();
  return static_cast<double>(aStream.mTokensLeft) / aStream.mTokensPerSecond < left * kUsableShare;
}

std::string
HostPart(const HostId& aHost)
{
  return fmt::format("{:016x}", Digest64(aHost.Value()));
}

} // namespace

std::vector<RequestId>
PlanHandOver(std::span<const StreamOutlook> aStreams, Instant aStopsAt, Instant aNow)
{
  std::vector<StreamOutlook> staying;
  std::ranges::copy_if(aStreams, std::back_inserter(staying), [&](const StreamOutlook& aStream) {
    return !EndsBefore(aStream, aStopsAt, aNow);
  });
  std::ranges::stable_sort(staying, std::ranges::greater{}, &StreamOutlook::mContextTokens);
  std::vector<RequestId> order;
  order.reserve(staying.size());
  for (const StreamOutlook& stream : staying) {
    order.push_back(stream.mRequest);
  }
  return order;
}

std::vector<HostId>
HostsFor(const RequestId& aRequest, std::span<const HostId> aHosts, std::size_t aMax)
{
  std::vector<HostId> hosts{ aHosts.begin(), aHosts.end() };
  std::ranges::sort(hosts, std::ranges::greater{}, [&aRequest](const HostId& aHost) {
    return RendezvousScore(aHost.Value(), aRequest.Value());
  });
  hosts.resize(std::min(hosts.size(), aMax));
  return hosts;
}

RequestId
MakeRequestId(const HostId& aHost, std::string_view aRandomHex)
{
  return RequestId{ HostPart(aHost) + std::string{ aRandomHex } };
}

bool
IsMadeBy(const RequestId& aRequest, const HostId& aHost)
{
  return aRequest.Value().starts_with(HostPart(aHost));
}

} // namespace trefoil
