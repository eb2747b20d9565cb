// Determines the service, the client account and the deadline of a request.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/http/message.h"
#include "trefoil/node/snapshot.h"

#include <memory>

namespace trefoil {

// The authenticated caller of a request, with the document of the service that it calls.
struct Caller
{
  std::shared_ptr<const ServiceDocument> mDocument;
  ClientAccountId mAccount;
  Instant mDeadline;
};

// Finds the service and the client account of a request. Returns NotFound for an unknown service,
// Unauthenticated for a missing or unknown credential, and InvalidArgument for a malformed
// deadline.
absl::StatusOr<Caller>
AuthenticateCaller(const Snapshot& aSnapshot,
                   const ServiceId& aService,
                   const HttpRequest& aRequest,
                   Instant aNow);

// Returns a new random request id.
RequestId
NewRequestId();

} // namespace trefoil
