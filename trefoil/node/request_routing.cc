#include "trefoil/node/request_routing.h"

#include "trefoil/frontend/completion.h"
#include "trefoil/node/internal/active_guard.h"
#include "trefoil/node/internal/answer_stream.h"
#include "trefoil/node/internal/caller.h"
#include "trefoil/node/internal/completion_handler.h"
#include "trefoil/node/internal/keyed_request_handler.h"
#include "trefoil/node/internal/plain_service_handler.h"
#include "trefoil/node/internal/reattach_handler.h"
#include "trefoil/node/internal/status_page.h"

#include <string_view>

namespace trefoil {
namespace {

constexpr int kHttpUnavailable = 503;
constexpr int kHttpMethodNotAllowed = 405;

void
ServeReadiness(const TrafficContext& aContext, HttpExchange& aExchange)
{
  const bool ready = aContext.mSnapshots->Read()->mReady;
  aExchange.Respond(
    { .mStatus = ready ? 200 : kHttpUnavailable, .mBody = ready ? "ready\n" : "not ready\n" });
}

void
ServeCompletionPath(const TrafficContext& aContext, HttpExchange& aExchange, CompletionApi aForm)
{
  if (aExchange.Request().mMethod != "POST") {
    aExchange.Respond({ .mStatus = kHttpMethodNotAllowed, .mBody = "use POST\n" });
    return;
  }
  ServeCompletion(aContext, aExchange, aForm);
}

} // namespace

void
ServeRequest(const TrafficContext& aContext, HttpExchange& aExchange)
{
  const ActiveGuard active{ *aContext.mActiveRequests };
  const std::string_view path = PathOf(aExchange.Request().mTarget);
  if (path == "/healthz") {
    aExchange.Respond({ .mBody = "alive\n" });
    return;
  }
  if (path == "/readyz") {
    ServeReadiness(aContext, aExchange);
    return;
  }
  if (path == "/status") {
    aExchange.Respond(RenderStatusPage(aContext));
    return;
  }
  if (path.starts_with(kRequestsPath)) {
    ServeReattach(aContext, aExchange);
    return;
  }
  if (path == "/metrics") {
    aExchange.Respond(
      { .mHeaders = { { .mName = "Content-Type", .mValue = "text/plain; version=0.0.4" } },
        .mBody = aContext.mMetrics->Render() });
    return;
  }
  aContext.mMetrics->Add(Counter::kRequests, 1);
  if (path == "/v1/tickets" && aExchange.Request().mMethod == "POST") {
    aExchange.Respond(MintTicket(aContext, aExchange.Request()));
    return;
  }
  if (const auto form = ValueOf(kCompletionPaths, path)) {
    ServeCompletionPath(aContext, aExchange, *form);
    return;
  }
  ServePlain(aContext, aExchange);
}

} // namespace trefoil
