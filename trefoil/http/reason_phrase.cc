#include "trefoil/http/reason_phrase.h"

#include <Poco/Net/HTTPResponse.h>

namespace trefoil {

std::string
ReasonPhrase(int aStatus)
{
  return Poco::Net::HTTPResponse::getReasonForStatus(
    static_cast<Poco::Net::HTTPResponse::HTTPStatus>(aStatus));
}

} // namespace trefoil
