// The state of a traffic thread, shared by the code that runs on it.
#pragma once

#include "trefoil/dispatch/answer_times.h"
#include "trefoil/dispatch/server_path.h"
#include "trefoil/dispatch/zone_choice.h"
#include "trefoil/forward/cache_hints.h"
#include "trefoil/forward/failure_blame.h"
#include "trefoil/forward/server_connection_pool.h"
#include "trefoil/forward/traffic_thread.h"
#include "trefoil/http_server/memory_relief.h"
#include "trefoil/memory/memory_budget.h"
#include "trefoil/request/server_links.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace trefoil {

struct TrafficState
{
  TrafficState(TrafficOptions aOptions, EventLog& aLog, Metrics& aMetrics);

  TrafficOptions mOptions;
  EventLog& mLog;
  Metrics& mMetrics;
  EventLoop mLoop;
  ServerConnectionPool mConnectionPool;
  std::shared_ptr<const TrafficView> mView;
  // Servers by service. The pointers refer to servers in mView.
  std::map<ServiceId, std::vector<const RegisteredServer*>> mServers;
  std::unordered_map<BackendServerId, ServerStatus> mServerStatuses;
  std::map<AvailabilityZoneId, ZoneStatus> mZones;
  ServerLinks mLinks;
  HeldBlame mHeldBlame;
  // The paths to the servers, and the servers and carriers that are being probed.
  ServerPaths mPaths;
  std::set<BackendServerId> mProbedServers;
  std::set<HostId> mProbedCarriers;
  bool mProbesScheduled = false;
  // The servers that other hosts are asked for since a connection of this one has ended.
  std::set<BackendServerId> mCheckedLinks;
  // When this host first knew the list of hosts.
  std::optional<Instant> mHostsListedSince;
  // Carriers that are being asked while none is known to carry.
  int mCarrierSearches = 0;
  QuotaState mQuotas;
  ServiceRetryBudget mRetries;
  CrashTracker mCrashes;
  // What the log and the metrics tell of CrashTracker::mLeftOut.
  LeftOutCounts mLeftOutTold{};
  // Receives new evidence. mEvidenceDue is whether a call is scheduled, and mHasOwnEvidence
  // whether it contains observations of this host.
  std::function<void(CrashEvidence, bool)> mOnCrashEvidence;
  bool mEvidenceDue = false;
  // When evidence was last passed to mOnCrashEvidence.
  Instant mEvidenceSentAt;
  bool mHasOwnEvidence = false;
  CacheHints mCacheHints;
  std::map<ServiceId, PrefillRate> mPrefillRates;
  std::map<ServiceId, ZoneChoice> mZoneChoices;
  // Dispatches that have not been reported to the other hosts yet, and the callback that reports
  // them.
  std::vector<DispatchReport> mUnsentReports;
  std::function<void(std::vector<DispatchReport>)> mOnDispatchReports;
  // Servers whose limits have changed and have not been reported to the other hosts yet, and the
  // callback that reports them.
  std::set<BackendServerId> mChangedLimits;
  std::function<void(std::vector<LimitReport>)> mOnLimitReports;
  // Receives rejections of brittle servers.
  std::function<void(const RejectionReport&)> mOnRejection;
  // What is held for clients, servers and other hosts.
  MemoryBudget mMemory;
  // Ends clients when mMemory is exhausted, those of any exchange included. Is never null while
  // requests are processed.
  MemoryRelief* mRelief = nullptr;
  // Returns whether a connection to a server is left for a further request.
  std::function<bool()> mMakeRoomForServerConnection;
  UsageWindows mUsage;
  std::map<ServiceId, ServiceLoad> mLoads;
  // Until when ServiceLoad::mBusyMs has been counted.
  Instant mBusyCountedUntil;
  std::map<ServiceId, std::map<VersionId, VersionOutcomes>> mOutcomes;
  std::mt19937_64 mRandom;
  AnswerTimes mAnswerTimes;
  bool mStopping = false;
  // When the requests that are left are ended; set while mStopping is true.
  Instant mStopsAt;
};

// Schedules a report of evidence about prompts that crash servers. `aIsOwn` is whether this host
// observed it.
void
ReportCrashEvidence(TrafficState& aState, bool aIsOwn);

// Returns whether operators have closed the server's zone, so that no request may be sent to it.
bool
IsEvacuated(const TrafficState& aState, const RegisteredServer& aServer);

// Returns the position of this host in the order by which what the server permits is divided. The
// list of hosts must be known.
std::size_t
RankForServer(const TrafficState& aState, const BackendServerId& aServer, ServerLimit& aLimit);

// Returns the part of the server's limit that this host may use.
RefillRate
OwnPartOfLimit(const TrafficState& aState, const BackendServerId& aServer, ServerLimit& aLimit);

// Returns the requests of this host at the server and its part of the server's slots.
ServerUse
UseOfServer(const TrafficState& aState, const RegisteredServer& aServer, ServerStatus& aStatus);

// Schedules a report of a server's limit to the other hosts.
void
ReportLimit(TrafficState& aState, const BackendServerId& aServer);

// Returns the parameters of a quota check at this moment, with a new random number.
QuotaParameters
QuotaParametersNow(TrafficState& aState);

} // namespace trefoil
