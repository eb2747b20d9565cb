// Who calls, which service, and by when the answer is due.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/http/message.h"
#include "trefoil/node/snapshot.h"

#include <memory>

namespace trefoil {

// A request whose account and service are known.
struct Caller
{
  std::shared_ptr<const ServiceDocument> mDocument;
  ClientAccountId mAccount;
  Instant mDeadline;
};

// Finds the service and the account of a request. Returns NotFound for an unknown service,
// Unauthenticated for an unknown account, InvalidArgument for a bad deadline.
absl::StatusOr<Caller>
Identify(const Snapshot& aSnapshot,
         const ServiceId& aService,
         const HttpRequest& aRequest,
         Instant aNow);

// Returns a new id.
RequestId
NewRequestId();

} // namespace trefoil
