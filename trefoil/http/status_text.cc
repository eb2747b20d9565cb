#include "trefoil/http/status_text.h"

#include <Poco/Net/HTTPResponse.h>

namespace trefoil {

std::string
StatusText(int aStatus)
{
  return Poco::Net::HTTPResponse::getReasonForStatus(
    static_cast<Poco::Net::HTTPResponse::HTTPStatus>(aStatus));
}

} // namespace trefoil
