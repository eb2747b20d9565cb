// Sums over entry hosts, exchanged in fleets in which the hosts do not report to all others.
//
//   TotalsMessage message{ .mHost = self, .mScope = TotalsScope::kZone, .mCounters = counters };
//
// Plain structs; trefoil/wire/codec.h encodes them.
#pragma once

#include "trefoil/base/name_table.h"
#include "trefoil/wire/dispatch_message.h"
#include "trefoil/wire/traffic_message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoil {

// What a counter counts. Values are part of the encoding; receivers sum kinds that they do not know
// like all others.
enum class CounterKind : std::uint8_t
{
  // The cost of an account's admitted requests.
  kQuotaUsed,
  // The prompt tokens of the requests to a service.
  kPromptTokens,
  // Results of the requests to one version of a service. kLatencyMs is the sum over the served
  // ones.
  kServed,
  kFailed,
  kLatencyMs,
  // Prompt tokens that servers prefilled while no other prompt was known to wait there, and the
  // time from the dispatch of these requests to their first event.
  kPrefillTokens,
  kPrefillMs,
  // The sum over all requests to a service of the time that they spend at its servers.
  kBusyMs,
  // The cost of all requests of an account, admitted or not.
  kQuotaAsked,
  // The served requests of one route to one version of a service, and the time that servers took
  // for the route's requests. The subject names the service and the route, see
  // steering/route_counters.h.
  kRouteServed,
  kRouteSpentMs,
};

inline constexpr NameTable<CounterKind, 11> kCounterKindNames{ {
  { CounterKind::kQuotaUsed, "quota_used" },
  { CounterKind::kPromptTokens, "prompt_tokens" },
  { CounterKind::kServed, "served" },
  { CounterKind::kFailed, "failed" },
  { CounterKind::kLatencyMs, "latency_ms" },
  { CounterKind::kPrefillTokens, "prefill_tokens" },
  { CounterKind::kPrefillMs, "prefill_ms" },
  { CounterKind::kBusyMs, "busy_ms" },
  { CounterKind::kQuotaAsked, "quota_asked" },
  { CounterKind::kRouteServed, "route_served" },
  { CounterKind::kRouteSpentMs, "route_spent_ms" },
} };

struct CounterTotal
{
  CounterKind mKind = CounterKind::kQuotaUsed;
  // The account or the service that is counted.
  std::string mSubject;
  // Empty for counters that do not distinguish versions.
  std::string mVersion;
  std::uint64_t mTotal = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKind, mSubject, mVersion, mTotal);
  }
};

// The traffic update of a host with further counters. Hosts whose version does not support
// aggregation are sent the update alone.
struct HostReport
{
  TrafficUpdate mUpdate;
  std::vector<CounterTotal> mCounters;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mUpdate, mCounters);
  }
};

// The number of hosts that report a server as broken.
struct BrokenServer
{
  BackendServerId mServer;
  std::uint32_t mHosts = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer, mHosts);
  }
};

// The usage windows of one host, for the holder of the duties. It keeps them by host, so that the
// usage of a host that is lost together with its aggregators still counts.
struct UsageUpdate
{
  HostId mHost;
  std::uint64_t mIncarnation = 0;
  std::vector<WindowCount> mUsage;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mIncarnation, mUsage);
  }
};

enum class TotalsScope : std::uint8_t
{
  // The hosts of the sender's zone. Sent to the aggregators of other zones.
  kZone,
  // All hosts except the receiver. Sent to the hosts of the sender's zone.
  kFleet,
};

inline constexpr NameTable<TotalsScope, 2> kTotalsScopeNames{ {
  { TotalsScope::kZone, "zone" },
  { TotalsScope::kFleet, "fleet" },
} };

struct TotalsMessage
{
  HostId mHost;
  // Changes whenever the counters of the sender begin anew.
  std::uint64_t mEpoch = 0;
  std::uint64_t mSequence = 0;
  AvailabilityZoneId mZone;
  TotalsScope mScope = TotalsScope::kZone;
  // Whether the sender is shutting down.
  bool mLeaving = false;
  // The holder of the duties; empty if none has been heard recently.
  HostId mHolder;
  // Hosts that are in contact with the sender, and hosts that have announced that they leave.
  std::uint32_t mLiveHosts = 0;
  std::uint32_t mLeavingHosts = 0;
  // The median wall clock of the hosts, in milliseconds since the Unix epoch.
  std::int64_t mWallMs = 0;
  std::vector<CounterTotal> mCounters;
  // The newest usage windows. With TotalsScope::kFleet only for the holder of the duties.
  std::vector<WindowCount> mUsage;
  // Empty, but for hosts of earlier versions. Crashes are told by CrashEvidenceMessage.
  std::vector<CrashReport> mCrashes;
  std::vector<BrokenServer> mBroken;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mEpoch, mSequence, mZone, mScope, mLeaving, mHolder, mLiveHosts);
    aArchive(mLeavingHosts, mWallMs, mCounters, mUsage, mCrashes, mBroken);
  }
};

// Dispatches that an aggregator forwards: to the aggregators of other zones those of its own zone,
// to the hosts of its zone all.
struct RelayedDispatches
{
  HostId mHost;
  AvailabilityZoneId mZone;
  std::vector<DispatchUpdate> mUpdates;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mZone, mUpdates);
  }
};

} // namespace trefoil
