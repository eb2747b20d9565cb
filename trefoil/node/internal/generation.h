// Generates the response of a completion into its StreamRecord: runs attempts on engines, one
// after another, until the response is complete.
//
//   Generation generation{ .mContext = context, .mRecord = *record, .mDocument = document };
//   Generate(generation);
#pragma once

#include "trefoil/frontend/completion.h"
#include "trefoil/node/internal/attempt_meter.h"
#include "trefoil/node/internal/server_connector.h"
#include "trefoil/node/internal/stream_record.h"
#include "trefoil/node/request_routing.h"
#include "trefoil/request/crash_tracker.h"
#include "trefoil/request/stream_progress.h"
#include "trefoil/service/service_document.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace trefoil {

struct Generation
{
  const TrafficContext& mContext;
  StreamRecord& mRecord;
  std::shared_ptr<const ServiceDocument> mDocument;
  // The tokens and attempts so far. Starts with tokens if another host began the stream.
  StreamProgress mProgress;
  // Whether another host may have sent the request to an engine before.
  bool mMayHaveRunBefore = false;
  // Called with each new token; may be empty. Returns false once the caller has disconnected. The
  // generation then continues for a limited time, so that the caller can reattach to the stream.
  std::function<bool(const TokenEvent& aToken)> mOnToken;
  // Servers on which an attempt of this request did not complete.
  std::set<BackendServerId> mFailedServers;
  // The path of the current attempt.
  TakenPath mPath;
  // Identifies the request and its copies.
  SuspectKey mRequestKey = 0;
  // The KV cache that the last engine exported. Empty if there is none.
  std::string mCache;
  // The ticket of the resumption in progress, which counts against the limit of concurrent
  // resumptions. std::nullopt if no resumption is in progress.
  std::optional<std::uint64_t> mResumeTicket;
  // When the first token of the current attempt arrived, and the number of tokens before it.
  Instant mFirstTokenAt;
  std::int64_t mTokensBeforeAttempt = 0;
  Instant mStartedAt;
  // When the latest token arrived.
  Instant mLastTokenAt;
  // Measures the current attempt. mFailureOutcome is what is reported for it if it fails.
  std::optional<AttemptMeter> mMeter;
  OutcomeKind mFailureOutcome = OutcomeKind::kError;
};

// Returns the key that identifies a completion and its copies.
SuspectKey
RequestKeyOfCompletion(const ClientAccountId& aAccount,
                       const ServiceId& aService,
                       CompletionApi aApi,
                       std::string_view aBody);

// Generates the response until its record has ended: complete, failed or handed over. An exception
// fails the record. Blocks the calling thread.
void
Generate(Generation& aGeneration);

} // namespace trefoil
