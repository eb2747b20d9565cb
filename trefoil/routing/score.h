// The expected cost of running a request on one backend server, in milliseconds.
//
//   double score = Score(weights, { .mUncachedTokens = 900, .mExpectedTokens = 200 }, server);
//
// The sum of: processing the prompt tokens that are not cached there, the prompt tokens queued
// there, the slower tokens of a fuller batch, the distance, the price of the work above the
// cheapest price, and the work that a reclaim is expected to destroy. Pure.
#pragma once

#include "trefoil/routing/server_load.h"

#include <cstdint>

namespace trefoil {

// How the parts of a score compare, and how fast an engine is.
struct ScoreWeights
{
  double mPrefillTokensPerMs = 10;
  double mTokenMs = 10;
  // By how much each further stream slows a token down.
  double mTokenMsPerStream = 0.3;
  // Weight of the slower tokens; the caller feels them less than the wait for the first.
  double mBatchWeight = 0.05;
  // Milliseconds that one millisecond of work at the price of 1 above the cheapest is worth.
  double mPriceWeight = 0.05;
  double mRiskWeight = 1;
  // The part of the prompt's processing time by which hosts that know no holder of a prefix prefer
  // the same server (rendezvous hashing), so that they do not process it on several at once.
  double mAgreementWeight = 0.5;
};

struct RequestCost
{
  double mUncachedTokens = 0;
  double mExpectedTokens = 0;
};

struct ServerCost
{
  LoadEstimate mLoad;
  // Round trip from this entry host.
  double mDistanceMs = 0;
  // Price relative to the cheapest class, 1 or more.
  double mPrice = 1;
  double mReclaimsPerHour = 0;
};

double
Score(const ScoreWeights& aWeights, const RequestCost& aRequest, const ServerCost& aServer);

} // namespace trefoil
