// Streams between entry hosts: answers the stream messages of other hosts, and hands the running
// streams over to other hosts when this host stops.
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/frontend/completion.h"
#include "trefoil/node/internal/stream_record.h"
#include "trefoil/node/request_routing.h"
#include "trefoil/wire/message.h"

#include <memory>
#include <optional>

namespace trefoil {

// Returns the reply to a message that reads or hands over a stream, or std::nullopt for another
// kind of message. Thread-safe. Blocks while a read waits for tokens.
std::optional<Message>
AnswerStreamMessage(const TrafficContext& aContext, const Message& aMessage);

// Hands the streams that will not end before `aFinishBy` over to other hosts, the most valuable
// first. Returns how many were accepted. Blocks until `aDeadline` at the latest. Once it is called,
// this host accepts no streams.
std::int64_t
HandOverStreams(const TrafficContext& aContext, Instant aFinishBy, Instant aDeadline);

// Returns the identity of the stream that answers a caller's request.
StreamIdentity
MakeStreamIdentity(const RequestId& aRequest,
                   const ClientAccountId& aAccount,
                   const CompletionRequest& aCompletion,
                   Instant aDeadline);

} // namespace trefoil
