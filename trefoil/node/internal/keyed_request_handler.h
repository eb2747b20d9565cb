// Serves non-idempotent requests that carry an idempotency key or a ticket, each at most once.
//
//   HttpResponse answer = ServeKeyed(context, { .mCaller = caller, .mRequest = request, .mId = id
//   },
//                                  [&] { return CallService(...); });
//
// The dispatch function is called at most once.
#pragma once

#include "trefoil/http/client.h"
#include "trefoil/http/message.h"
#include "trefoil/node/internal/caller.h"
#include "trefoil/node/request_routing.h"

#include <functional>

namespace trefoil {

inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
// How many times the caller has sent the request, including this time. "1" asserts that no earlier
// sending can have run.
inline constexpr std::string_view kAttemptHeader = "X-Trefoil-Attempt";

struct KeyedRequest
{
  const Caller& mCaller;
  // The request as the caller sent it.
  const HttpRequest& mRequest;
  RequestId mId;
};

// Sends the request to a backend server and returns the result.
using Dispatch = std::function<HttpResult()>;

// Returns whether a request carries an idempotency key or a ticket.
bool
HasIdempotencyKey(const HttpRequest& aRequest);

// Returns the response to a request with a key: the result of `aDispatch`, the recorded outcome of
// an earlier request with the same key, or a refusal. Blocks until the request is decided and, if
// it is dispatched, until `aDispatch` returns. A request with a ticket of another host is forwarded
// to that host.
HttpResponse
ServeKeyed(const TrafficContext& aContext, const KeyedRequest& aRequest, const Dispatch& aDispatch);

// Returns the response to POST /v1/tickets?service=NAME: a new ticket in JSON, or a refusal.
HttpResponse
MintTicket(const TrafficContext& aContext, const HttpRequest& aRequest);

} // namespace trefoil
