// What the control thread publishes to a traffic thread, and what the traffic thread tells back.
//
// Plain data. A view is never changed after it was published.
#pragma once

#include "trefoil/catalogue/catalogue.h"
#include "trefoil/catalogue/server_registry.h"
#include "trefoil/dispatch/server_choice.h"
#include "trefoil/request/crash_tracker.h"

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
  // What to add to this host's calendar.
  Milliseconds mClockCorrection{ 0 };
  std::map<ServiceId, VersionSteering> mSteering;
};

// News of other hosts for the traffic thread.
struct PeerUpdate
{
  // What the accounts' buckets held before the start of this host.
  std::map<ClientAccountId, double> mQuotaLevels;
  std::map<ClientAccountId, double> mQuotaUsed;
  std::vector<CrashCount> mCrashes;
  // Servers that several other hosts say are broken.
  std::set<BackendServerId> mBroken;
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

// A host's part in an account's quota.
struct QuotaUse
{
  // Let through by the host since its start.
  double mTotal = 0;
  // What the account's bucket holds, as far as the host knows.
  double mLevel = 0;
};

// What the traffic thread tells the control thread.
struct TrafficReport
{
  // Totals since the start of the host.
  std::map<ClientAccountId, QuotaUse> mQuotaUsed;
  UsageWindows mUsage;
  std::vector<CrashCount> mCrashes;
  // Servers that broke off, were not reached or stayed silent, and have not answered since.
  std::vector<BackendServerId> mBroken;
  // Prompt tokens of the requests to each service since the start of the host.
  std::map<ServiceId, double> mPromptTokens;
  std::map<ServiceId, std::map<VersionId, VersionOutcomes>> mOutcomes;
};

} // namespace trefoil
