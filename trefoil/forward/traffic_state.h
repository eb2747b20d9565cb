// The state of a traffic thread, shared by the parts that run on it.
#pragma once

#include "trefoil/forward/cache_hints.h"
#include "trefoil/forward/server_pool.h"
#include "trefoil/forward/traffic.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
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
  ServerPool mPool;
  std::shared_ptr<const TrafficView> mView;
  // Servers of the view by service; they live as long as the view.
  std::map<ServiceId, std::vector<const RegisteredServer*>> mServers;
  std::unordered_map<BackendServerId, ServerStatus> mStandings;
  std::map<AvailabilityZoneId, ZoneStatus> mZones;
  QuotaState mQuotas;
  ServiceRetryBudget mRetries;
  CrashTracker mCrashes;
  // Own counts of crashes since the last report.
  std::vector<CrashCount> mCrashNews;
  CacheHints mCacheHints;
  std::map<ServiceId, PrefillRate> mReadRates;
  // Requests that the other hosts were not told of yet, and how they are told.
  std::vector<DispatchReport> mDispatches;
  std::function<void(std::vector<DispatchReport>)> mOnDispatches;
  UsageWindows mUsage;
  // Prompt tokens of the requests to each service since the start.
  std::map<ServiceId, double> mPromptTokens;
  std::map<ServiceId, std::map<VersionId, VersionOutcomes>> mOutcomes;
  std::mt19937_64 mRandom;
  bool mStopping = false;
};

} // namespace trefoil
