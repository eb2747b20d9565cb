// Estimates the prompt tokens that a backend server still has to prefill, from the dispatches
// that all entry hosts report.
//
//   AddToBacklog(backlog, tokens, rate, now);
//   double waiting = RemainingTokens(backlog, rate, now);
//
// Plain data and pure functions.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"

#include <string>

namespace trefoil {

// Reports to other hosts that a request was sent to a server.
struct DispatchReport
{
  BackendServerId mServer;
  // Identifies the shared parts of the prompt; empty for requests without shared parts.
  std::string mCacheKey;
  // Prompt tokens that the server has to prefill for the request.
  double mTokens = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer, mCacheKey, mTokens);
  }
};

// Prompt tokens that were waiting for prefill at a server at mMeasuredAt.
struct PrefillBacklog
{
  double mTokens = 0;
  Instant mMeasuredAt;
};

// Adds `aTokens` prompt tokens to the backlog at `aNow`. `aRate` is the server's prefill rate
// in tokens per second.
void
AddToBacklog(PrefillBacklog& aBacklog, double aTokens, double aRate, Instant aNow);

// Returns the prompt tokens that still wait at `aNow` if the server prefills `aRate` tokens per
// second.
double
RemainingTokens(const PrefillBacklog& aBacklog, double aRate, Instant aNow);

// The prefill rate of a service's servers, as decaying sums of the observed prompt tokens and
// of the time that their prefill took.
struct PrefillRate
{
  double mTokens = 0;
  double mSeconds = 0;
};

// Records that a server took `aDuration` to prefill `aTokens` prompt tokens. Ignores short
// prefills.
void
RecordPrefill(PrefillRate& aRate, double aTokens, std::chrono::nanoseconds aDuration);

// Returns the estimated prefill rate in tokens per second.
double
TokensPerSecond(const PrefillRate& aRate);

} // namespace trefoil
