// The expected cost of running a request on a backend server, in milliseconds.
//
//   double score = Score(weights, { .mUncachedTokens = 900, .mExpectedTokens = 200 }, server);
//
// The cost is the sum of: the prefill of the uncached prompt tokens, the prefill of the prompt
// tokens queued at the server, the slowdown of generated tokens by a larger batch, the network
// distance, the price of the work above the cheapest price, and the work that a reclaim is
// expected to destroy. Pure functions.
#pragma once

#include "trefoil/routing/server_load.h"

#include <cstdint>

namespace trefoil {

// The relative weights of the parts of a score, and the speed of an engine.
struct ScoreWeights
{
  double mPrefillTokensPerMs = 10;
  // Time per generated token if the server runs no other stream, in milliseconds.
  double mTokenMs = 10;
  // Slowdown of each generated token for each further stream in the batch.
  double mTokenMsPerStream = 0.3;
  // Weight of the slowdown. It is low because callers notice slower tokens less than the wait
  // for the first token.
  double mBatchWeight = 0.05;
  // Cost in milliseconds of one millisecond of work at a price of 1 above the cheapest.
  double mPriceWeight = 0.05;
  double mRiskWeight = 1;
  // The fraction of the prompt's prefill time that a rendezvous hash may add to a server's
  // cost. Hosts without information about a prefix thereby prefer the same server for it, so
  // that it is not prefilled on several servers at the same time.
  double mRendezvousWeight = 0.5;
};

struct RequestCost
{
  double mUncachedTokens = 0;
  double mExpectedTokens = 0;
};

struct ServerCost
{
  LoadEstimate mLoad;
  // Round-trip time from this entry host.
  double mRoundTripMs = 0;
  // Price relative to the cheapest class, at least 1.
  double mPrice = 1;
  double mReclaimsPerHour = 0;
};

double
Score(const ScoreWeights& aWeights, const RequestCost& aRequest, const ServerCost& aServer);

} // namespace trefoil
