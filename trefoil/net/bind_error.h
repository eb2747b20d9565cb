// Errors of binding an endpoint and of acquiring what serves it.
//
//   try {
//     BindExclusively(socket, endpoint);
//   } catch (const std::exception& error) {
//     return BindError(error);
//   }
#pragma once

#include "absl/status/status.h"

#include <exception>

namespace trefoil {

// Returns PermissionDenied if the process may not use the endpoint. Returns Unavailable for all
// other errors, since they can end without a change of the settings: the port is in use, the
// address is not assigned to an interface yet, or descriptors, threads or memory are short.
absl::Status
BindError(const std::exception& aError);

} // namespace trefoil
