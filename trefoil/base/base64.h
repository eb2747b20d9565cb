// Encodes and decodes standard base64 with padding.
//
//   FromBase64(ToBase64("bytes"));           // "bytes"
#pragma once

#include <string>

namespace trefoil {

// Returns `aBytes` as base64 without line breaks.
std::string
ToBase64(const std::string& aBytes);

// Returns the decoded bytes. Throws Poco::DataFormatException if `aText` is not valid base64.
std::string
FromBase64(const std::string& aText);

} // namespace trefoil
