#include "trefoil/net/bind_error.h"

#include <Poco/Exception.h>
#include <cerrno>

namespace trefoil {

absl::Status
BindError(const std::exception& aError)
{
  const auto* libraryError = dynamic_cast<const Poco::Exception*>(&aError);
  if (libraryError == nullptr) {
    return absl::UnavailableError(aError.what());
  }
  const int code = libraryError->code();
  return code == EACCES || code == EPERM ? absl::PermissionDeniedError(libraryError->displayText())
                                         : absl::UnavailableError(libraryError->displayText());
}

} // namespace trefoil
