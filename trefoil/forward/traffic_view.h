// What the control thread publishes to a traffic thread, and what the traffic thread tells back.
//
// Plain data. A view is never changed after it was published.
#pragma once

#include "trefoil/catalogue/catalogue.h"
#include "trefoil/catalogue/server_registry.h"
#include "trefoil/dispatch/server_choice.h"
#include "trefoil/dispatch/sliding_count.h"
#include "trefoil/request/crash_ledger.h"

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace trefoil {

struct PublishedCatalogue
{
  Catalogue mCatalogue;
  RouteIndex mIndex;
};

// How the traffic of a service is moved from its versions to another one.
struct VersionSteering
{
  VersionId mTarget;
  // The part of the service's requests that goes to the target, 0 to 1.
  double mTargetShare = 0;
};

struct TrafficView
{
  // Null until a configuration is known.
  std::shared_ptr<const PublishedCatalogue> mCatalogue;
  std::shared_ptr<const ServerRegistry> mServers;
  // When the catalogue was last known to be the newest.
  Instant mProvenAt;
  // The part of each quota that the hosts in touch may use.
  double mQuotaShare = 1;
  // Entry hosts, in touch or not; at least 1.
  int mHosts = 1;
  int mHostsInTouch = 1;
  std::map<ServiceId, VersionSteering> mSteering;
};

// What some host let through of an account's quota some time ago.
struct PastUse
{
  ClientAccountId mAccount;
  double mCost = 0;
  Milliseconds mAge{ 0 };
};

// News of other hosts for the traffic thread.
struct PeerNews
{
  // From before the start of this host.
  std::vector<PastUse> mPastUses;
  std::map<ClientAccountId, double> mQuotaUsed;
  std::vector<CrashCount> mCrashes;
  // Pending prompt tokens at each server, summed over the other hosts.
  std::map<BackendServerId, double> mPendingTokens;
};

// Requests of each account that began to run, by number of the usage window.
using UsageWindows = std::map<std::int64_t, std::map<ClientAccountId, std::int64_t>>;

// What the answers of one version of a service were like.
struct VersionOutcomes
{
  std::int64_t mServed = 0;
  std::int64_t mFailed = 0;
  // Sums over served answers, for a mean.
  double mLatencyMs = 0;
};

struct ServiceLoad
{
  // Since the start of the host.
  std::int64_t mRequests = 0;
  double mPromptTokens = 0;
  // Requests turned away or late to their first event.
  std::int64_t mSlow = 0;
  int mInFlight = 0;
};

// What a host let through of an account's quota.
struct QuotaUse
{
  // Since the start of the host.
  double mTotal = 0;
  // In the newest window.
  double mWindow = 0;
  // What all hosts let through in the window, as far as this one knows.
  SlidingCount mAllHosts;
};

// What the traffic thread tells the control thread.
struct TrafficReport
{
  // Totals since the start of the host.
  std::map<ClientAccountId, QuotaUse> mQuotaUsed;
  UsageWindows mUsage;
  std::vector<CrashCount> mCrashes;
  std::map<BackendServerId, double> mPendingTokens;
  std::map<ServiceId, ServiceLoad> mLoads;
  std::map<ServiceId, std::map<VersionId, VersionOutcomes>> mOutcomes;
};

} // namespace trefoil
