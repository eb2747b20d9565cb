// Streams between entry hosts: answers to the other hosts' messages, and streams passed on when
// this host stops.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/frontend/completion.h"
#include "trefoil/node/internal/stream_record.h"
#include "trefoil/node/traffic.h"
#include "trefoil/wire/message.h"

#include <memory>
#include <optional>

namespace trefoil {

// Answers a message about a stream. Returns nothing for a message that is none.
std::optional<Message>
AnswerStreams(const TrafficContext& aContext, const Message& aMessage);

// Passes the streams that will not end before `aEndBefore` to other hosts, the most valuable first.
// Returns how many were taken. Blocks, until `aStopsAt` at most.
std::int64_t
HandOverStreams(const TrafficContext& aContext, Instant aEndBefore, Instant aStopsAt);

// Makes the record of a caller's request.
StreamIdentity
IdentityOf(const RequestId& aRequest,
           const ClientAccountId& aAccount,
           const CompletionRequest& aCompletion,
           Instant aDeadline);

} // namespace trefoil
