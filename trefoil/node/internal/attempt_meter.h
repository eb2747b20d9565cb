// Measures the latencies of one attempt on a backend server and reports its outcome.
//
//   AttemptMeter meter{ context, { .mService = service, .mServer = &server, ... } };
//   meter.RecordToken();
//   meter.ReportOutcome(OutcomeKind::kGood);
//
// Not thread-safe: used by the thread of the request only. An attempt whose outcome is not
// reported is not counted.
#pragma once

#include "trefoil/base/verdict.h"
#include "trefoil/http/message.h"
#include "trefoil/node/request_routing.h"
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
  // The client account and the body of the request. Only their digest is kept.
  std::string mIdentity;
};

class AttemptMeter
{
public:
  AttemptMeter(const TrafficContext& aContext, const AttemptMeterOptions& aOptions);

  // Records the arrival of a token of a stream.
  void RecordToken();

  // Reports the outcome with the measured latencies. For a good attempt without tokens, as on a
  // plain service, the time to the whole response counts as the time to the first token.
  void ReportOutcome(OutcomeKind aKind);

private:
  const TrafficContext& mContext;
  AttemptOutcome mOutcome;
  Instant mStartedAt;
  Instant mLastTokenAt;
  std::vector<double> mTokenGaps;
};

// Classifies the failure of an attempt that returned no response or stream. A request that was
// not run does not count against the version.
OutcomeKind
OutcomeOf(const Failure& aFailure);

// Classifies a stream that ended early with `aStatus`. It does not count against the version if
// `aDeadline`, the caller's deadline, has passed.
OutcomeKind
OutcomeOfBrokenStream(const absl::Status& aStatus, Instant aDeadline);

// Classifies the response of a plain service: an error if its status is 500 or above.
OutcomeKind
OutcomeOf(const HttpResponse& aAnswer);

// Returns the route under which a plain request is counted: its method and the first segment of
// its path.
std::string
RouteLabel(const HttpRequest& aRequest);

} // namespace trefoil
