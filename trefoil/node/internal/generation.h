// Generates the answer to a completion into its StreamRecord: attempts on engines, one after the
// other, until the answer is whole.
//
//   Generation generation{ .mContext = context, .mRecord = *record, .mDocument = document };
//   Generate(generation);
#pragma once

#include "trefoil/frontend/completion.h"
#include "trefoil/node/internal/attempt_meter.h"
#include "trefoil/node/internal/stream_record.h"
#include "trefoil/node/traffic.h"
#include "trefoil/request/crash_tracker.h"
#include "trefoil/request/stream_progress.h"
#include "trefoil/service/service_document.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace trefoil {

struct Generation
{
  const TrafficContext& mContext;
  StreamRecord& mRecord;
  std::shared_ptr<const ServiceDocument> mDocument;
  // Where the answer stands; beyond 0 tokens if another host began it.
  StreamProgress mProgress;
  // Sees each new token. Returns false once its caller is gone; the generation goes on for a caller
  // who takes the stream up again. May be empty.
  std::function<bool(const TokenEvent& aToken)> mOnToken;
  // Servers that failed this request.
  std::set<BackendServerId> mFailed;
  RequestDigest mDigest;
  // The KV cache that the last engine exported; empty for none.
  std::string mCache;
  // The place in the pace of resumptions that is held; nothing if none.
  std::optional<std::uint64_t> mResumeTicket;
  // When the current attempt's first token came, and how many tokens there were before.
  Instant mFirstTokenAt;
  std::int64_t mTokensBefore = 0;
  Instant mStartedAt;
  // When the newest token was passed on.
  Instant mLastTokenAt;
  // Measures the current attempt, and what its failure would say of the version.
  std::optional<AttemptMeter> mMeter;
  OutcomeKind mOutcome = OutcomeKind::kError;
};

// Runs until the record has ended: complete, failed or handed over.
void
Generate(Generation& aGeneration);

} // namespace trefoil
