// Selects the streams that a stopping host hands over to other hosts, their order and the hosts
// that receive them. Any host can compute the same hosts from a request ID to find its stream.
//
//   const std::vector<RequestId> order = PlanHandOver(streams, aStopsAt, aNow);
//   const std::vector<HostId> hosts = HandOverHostsFor(request, members, 2);
//
// Pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace trefoil {

// A running stream on a host that is stopping.
struct HandOverCandidate
{
  RequestId mRequest;
  // Tokens of the prompt and the generated text, which are lost if no host continues the stream.
  std::int64_t mContextTokens = 0;
  std::int64_t mTokensLeft = 0;
  // Observed generation rate; 0 if unknown.
  double mTokensPerSecond = 0;
};

// Returns the streams that are not expected to end before `aStopsAt`, those with the most context
// tokens first, because the host may terminate before it has handed over all of them.
std::vector<RequestId>
PlanHandOver(std::span<const HandOverCandidate> aStreams, Instant aStopsAt, Instant aNow);

// Returns up to `aMax` of `aHosts` to which a request may be handed over, the preferred host first.
// The order depends only on the request ID and the host IDs (rendezvous hashing).
std::vector<HostId>
HandOverHostsFor(const RequestId& aRequest, std::span<const HostId> aHosts, std::size_t aMax);

// Returns a request ID that consists of a hash of the issuing host `aHost` and `aRandomHex`.
RequestId
MakeRequestId(const HostId& aHost, std::string_view aRandomHex);

// Returns whether `aHost` issued the request ID.
bool
IsIssuedBy(const RequestId& aRequest, const HostId& aHost);

} // namespace trefoil
