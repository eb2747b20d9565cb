// Returns the reason phrase of a status code, for the status line of a response.
//
//   ReasonPhrase(503);                         // "Service Unavailable"
#pragma once

#include <string>

namespace trefoil {

std::string
ReasonPhrase(int aStatus);

} // namespace trefoil
