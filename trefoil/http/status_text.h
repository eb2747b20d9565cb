// The reason phrase of a status, for the first line of an answer.
//
//   StatusText(503);                         // "Service Unavailable"
#pragma once

#include <string>

namespace trefoil {

std::string
StatusText(int aStatus);

} // namespace trefoil
