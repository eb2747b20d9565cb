#include "trefoil/request/hand_over.h"

#include "trefoil/base/digest.h"

#include <algorithm>
#include <fmt/format.h>
#include <string>

namespace trefoil {
namespace {

// Fraction of the remaining time that a stream is expected to use at most. The rest covers
// variation of its generation rate.
constexpr double kUsableTimeFraction = 0.7;

bool
IsExpectedToEndBefore(const HandOverCandidate& aStream, Instant aStopsAt, Instant aNow)
{
  if (aStream.mTokensPerSecond <= 0) {
    // The rate of a stream that has just started is unknown. It is not handed over until a rate
    // is observed or `aStopsAt` is reached.
    return !HasPassed(aStopsAt, aNow);
  }
  const double remainingSeconds = std::chrono::duration<double>(Remaining(aStopsAt, aNow)).count();
  return static_cast<double>(aStream.mTokensLeft) / aStream.mTokensPerSecond <
         remainingSeconds * kUsableTimeFraction;
}

std::string
HostPrefixOf(const HostId& aHost)
{
  return fmt::format("{:016x}", Digest64(aHost.Value()));
}

} // namespace

std::vector<RequestId>
PlanHandOver(std::span<const HandOverCandidate> aStreams, Instant aStopsAt, Instant aNow)
{
  std::vector<HandOverCandidate> toHandOver;
  std::ranges::copy_if(
    aStreams, std::back_inserter(toHandOver), [&](const HandOverCandidate& aStream) {
      return !IsExpectedToEndBefore(aStream, aStopsAt, aNow);
    });
  std::ranges::stable_sort(toHandOver, std::ranges::greater{}, &HandOverCandidate::mContextTokens);
  std::vector<RequestId> order;
  order.reserve(toHandOver.size());
  for (const HandOverCandidate& stream : toHandOver) {
    order.push_back(stream.mRequest);
  }
  return order;
}

std::vector<HostId>
HandOverHostsFor(const RequestId& aRequest, std::span<const HostId> aHosts, std::size_t aMax)
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
  return RequestId{ HostPrefixOf(aHost) + std::string{ aRandomHex } };
}

bool
IsIssuedBy(const RequestId& aRequest, const HostId& aHost)
{
  return aRequest.Value().starts_with(HostPrefixOf(aHost));
}

} // namespace trefoil
