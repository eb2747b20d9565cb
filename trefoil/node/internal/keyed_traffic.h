// Serves a non-idempotent request that carries an idempotency key or a ticket.
//
//   HttpAnswer answer = ServeKeyed(context, { .mCaller = caller, .mRequest = request, .mId = id },
//                                  [&] { return CallService(...); });
//
// The dispatch function is called once at most.
#pragma once

#include "trefoil/http/client.h"
#include "trefoil/http/message.h"
#include "trefoil/node/internal/caller.h"
#include "trefoil/node/traffic.h"

#include <functional>

namespace trefoil {

inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
// How often the caller has sent the request, this time included. "1" says that no earlier one can
// have run.
inline constexpr std::string_view kAttemptHeader = "X-Trefoil-Attempt";

struct KeyedRequest
{
  const Caller& mCaller;
  // As the caller sent it.
  const HttpRequest& mRequest;
  RequestId mId;
};

using Dispatch = std::function<HttpResult()>;

bool
HasIdempotencyKey(const HttpRequest& aRequest);

HttpAnswer
ServeKeyed(const TrafficContext& aContext, const KeyedRequest& aRequest, const Dispatch& aDispatch);

// Answers POST /v1/tickets?service=NAME with a new ticket.
HttpAnswer
MintTicket(const TrafficContext& aContext, const HttpRequest& aRequest);

} // namespace trefoil
