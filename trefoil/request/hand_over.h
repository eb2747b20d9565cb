// Which streams a host that stops passes to other hosts, in which order and to whom; and where a
// host finds the stream of a request id.
//
//   const std::vector<RequestId> order = PlanHandOver(streams, aStopsAt, aNow);
//   const std::vector<HostId> hosts = HostsFor(request, members);
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

// A running stream of a host that stops.
struct StreamOutlook
{
  RequestId mRequest;
  // The prompt and what was generated: what is lost if nobody goes on.
  std::int64_t mContextTokens = 0;
  std::int64_t mTokensLeft = 0;
  // As observed; 0 if unknown.
  double mTokensPerSecond = 0;
};

// Returns the streams that will not end before `aStopsAt`, the most valuable first: the host may
// die before the last one is passed on.
std::vector<RequestId>
PlanHandOver(std::span<const StreamOutlook> aStreams, Instant aStopsAt, Instant aNow);

// Returns the hosts that may hold a request which its own host passed on, the first choice first
// (rendezvous hashing), at most `aMax`.
std::vector<HostId>
HostsFor(const RequestId& aRequest, std::span<const HostId> aHosts, std::size_t aMax);

// Returns a new request id that tells which host holds the request.
RequestId
MakeRequestId(const HostId& aHost, std::string_view aRandomHex);

// Returns whether `aHost` made the id.
bool
IsMadeBy(const RequestId& aRequest, const HostId& aHost);

} // namespace trefoil
