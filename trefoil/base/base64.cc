#include "trefoil/base/base64.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/StreamCopier.h>
#include <sstream>

namespace trefoil {

std::string
ToBase64(const std::string& aBytes)
{
  std::ostringstream text;
  Poco::Base64Encoder encoder{ text };
  encoder.rdbuf()->setLineLength(0);
  encoder << aBytes;
  encoder.close();
  return text.str();
}

std::string
FromBase64(const std::string& aText)
{
  std::istringstream text{ aText };
  Poco::Base64Decoder decoder{ text };
  std::string bytes;
  Poco::StreamCopier::copyToString(decoder, bytes);
  return bytes;
}

} // namespace trefoil
