// The view that the control thread publishes to a traffic thread, and the reports that the traffic
// thread returns.
//
// Plain data. A view is immutable after it is published.
#pragma once

#include "trefoil/catalogue/catalogue.h"
#include "trefoil/catalogue/server_registry.h"
#include "trefoil/dispatch/quota.h"
#include "trefoil/dispatch/server_choice.h"
#include "trefoil/dispatch/server_path.h"
#include "trefoil/request/crash_tracker.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace trefoil {

struct PublishedCatalogue
{
  Catalogue mCatalogue;
  CatalogueIndex mIndex;
};

// How the traffic of a service is split between a target version and its other versions.
struct VersionSteering
{
  VersionId mTarget;
  // The fraction of the service's requests that goes to the target version, from 0 to 1.
  double mTargetShare = 0;
};

struct TrafficView
{
  // Null until a configuration is received.
  std::shared_ptr<const PublishedCatalogue> mCatalogue;
  std::shared_ptr<const ServerRegistry> mServers;
  // When the catalogue was last confirmed to be the latest one.
  Instant mConfirmedCurrentAt;
  // When the servers were last confirmed to be the registered ones.
  Instant mServersConfirmedAt;
  // The share of each quota that this host and the hosts in contact with it may use, from 0 to 1.
  double mQuotaShare = 1;
  // Number of entry hosts, whether in contact with this one or not; at least 1. mReachableHosts
  // counts those in contact, including this host.
  int mHosts = 1;
  int mReachableHosts = 1;
  // All entry hosts, this one included, by which the limits of servers are divided. Null until they
  // are known.
  std::shared_ptr<const std::vector<HostId>> mHostList;
  // How long it takes until a request is known to all hosts in contact.
  Milliseconds mPropagationTime{ 500 };
  // Correction to add to this host's wall clock.
  Milliseconds mClockCorrection{ 0 };
  std::map<ServiceId, VersionSteering> mSteering;
  // Zones whose servers get no requests, health requests included.
  std::set<AvailabilityZoneId> mEvacuatedZones;
  // The other entry hosts that may carry connections to servers for this one. Null if there are
  // none.
  std::shared_ptr<const Carriers> mCarriers;
};

// An update from other hosts for the traffic thread.
struct PeerUpdate
{
  // The accounts' quotas as recorded in the store, applied when this host starts.
  std::map<ClientAccountId, QuotaSnapshot> mQuotaSnapshots;
  // Cost of the requests that other hosts have admitted, and of all that they have received, since
  // the previous update.
  std::map<ClientAccountId, double> mQuotaUsed;
  std::map<ClientAccountId, double> mQuotaAsked;
  // Servers that several other hosts report as broken.
  std::set<BackendServerId> mBroken;
};

// Number of requests of each account that have run or probably have, by usage window. Windows are
// numbered from the Unix epoch.
using UsageWindows = std::map<std::int64_t, std::map<ClientAccountId, std::int64_t>>;

// Hosts exchange the outcomes of each of these, so their number bounds the size of messages.
inline constexpr std::ptrdiff_t kMaxRoutesCounted = 32;

// The requests of one route to one version of a service.
struct RouteOutcomes
{
  std::int64_t mServed = 0;
  // The time that servers took for these, and for requests until their clients left. Without the
  // latter, a version that is too slow for its clients would look fast.
  double mSpentMs = 0;
};

// The outcomes of requests to one version of a service.
struct VersionOutcomes
{
  std::int64_t mServed = 0;
  std::int64_t mFailed = 0;
  // Sum of the latencies of the served requests, to compute their mean.
  double mLatencyMs = 0;
  // By the name of the route; the first kMaxRoutesCounted of the catalogue, and "" for the others.
  // Counted from the first order of a move of the service on.
  std::map<std::string, RouteOutcomes> mRoutes;
};

// A host's use of an account's quota.
struct QuotaUse
{
  // Cost of the requests that the host has received since its start.
  QuotaCosts mTotal;
  QuotaSnapshot mSnapshot;
};

// The load of a service on one host since the host's start.
struct ServiceLoad
{
  // Prompt tokens of all requests to the service.
  double mPromptTokens = 0;
  // Prompt tokens that servers prefilled while no other prompt was known to wait there, and the
  // time from the dispatch of these requests to their first event.
  double mPrefillTokens = 0;
  double mPrefillMs = 0;
  // The sum over all requests of the time that they spend at servers.
  double mBusyMs = 0;
};

// A report of the traffic thread to the control thread.
struct TrafficReport
{
  // Quota use by account.
  std::map<ClientAccountId, QuotaUse> mQuotaUsed;
  UsageWindows mUsage;
  // Evidence to repeat to the other hosts.
  CrashEvidence mCrashes;
  // Servers that broke a connection, were unreachable or did not respond, and have not responded
  // since.
  std::vector<BackendServerId> mBroken;
  std::map<ServiceId, ServiceLoad> mLoads;
  // Events that this host has received from servers since its start.
  std::map<BackendServerId, EventTotals> mServerEvents;
  std::map<ServiceId, std::map<VersionId, VersionOutcomes>> mOutcomes;
  // Limits of servers to repeat to the other hosts.
  std::vector<LimitReport> mLimits;
};

} // namespace trefoil
