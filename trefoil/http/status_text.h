// Returns the reason phrase of a status code, for the status line of a response.
//
//   StatusText(503);                         // "Service Unavailable"
#pragma once

#include <string>

namespace trefoil {

std::string
StatusText(int aStatus);

} // namespace trefoil
