// Standard base64 with padding, on one line.
//
//   FromBase64(ToBase64("bytes"));           // "bytes"
#pragma once

#include <string>

namespace trefoil {

std::string
ToBase64(const std::string& aBytes);

// Throws Poco::DataFormatException for a text that is no base64.
std::string
FromBase64(const std::string& aText);

} // namespace trefoil
