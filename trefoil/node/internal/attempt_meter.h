// Measures one attempt on a backend server and reports how it ended.
//
//   AttemptMeter meter{ context, { .mService = service, .mServer = server, ... } };
//   meter.Token();
//   meter.End(OutcomeKind::kGood);
//
// Belongs to the thread of the request. An attempt without End is not counted.
#pragma once

#include "trefoil/base/verdict.h"
#include "trefoil/http/message.h"
#include "trefoil/node/traffic.h"
#include "trefoil/rollout/evidence.h"
#include "trefoil/service/service_document.h"

#include <cstdint>
#include <string>
#include <vector>

namespace trefoil {

struct AttemptMeterOptions
{
  ServiceId mService;
  const BackendServerSpec* mServer = nullptr;
  std::string mRoute;
  // Client account and body, of which only a digest is kept.
  std::string mIdentity;
};

class AttemptMeter
{
public:
  AttemptMeter(const TrafficContext& aContext, const AttemptMeterOptions& aOptions);

  // Notes a token of a stream.
  void Token();

  // Reports the outcome. For a plain service the whole answer counts as its first token.
  void End(OutcomeKind aKind);

private:
  const TrafficContext& mContext;
  AttemptOutcome mOutcome;
  Instant mStartedAt;
  Instant mLastTokenAt;
  std::vector<double> mGaps;
};

// Returns what a failure to begin or to go on says of the version.
OutcomeKind
OutcomeOf(const Failure& aFailure);

// Returns what a stream that broke says of the version. One that its caller gave too little time
// says nothing.
OutcomeKind
OutcomeOfBreak(const absl::Status& aStatus, Instant aDeadline);

// Returns what a plain service's answer says of the version.
OutcomeKind
OutcomeOf(const HttpAnswer& aAnswer);

// Returns the route that a plain request counts to: the method and the first part of the path.
std::string
MeterRoute(const HttpRequest& aRequest);

} // namespace trefoil
