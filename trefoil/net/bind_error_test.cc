#include "trefoil/net/bind_error.h"

#include "trefoil/net/exclusive_bind.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <catch2/catch.hpp>
#include <cerrno>
#include <stdexcept>

namespace trefoil {
namespace {

// Guards against: a daemon ends because another process still uses its port.
SCENARIO("errors of binding tell what may end without a change of the settings")
{
  GIVEN("a port in use")
  {
    Poco::Net::ServerSocket holder;
    holder.bind(Poco::Net::SocketAddress{ "127.0.0.1", 0 }, false);
    holder.listen();
    THEN("a listener cannot start now, but maybe later")
    {
      absl::Status status;
      try {
        Poco::Net::ServerSocket socket;
        BindExclusively(socket, { .mAddress = "127.0.0.1", .mPort = holder.address().port() });
      } catch (const std::exception& error) {
        status = BindError(error);
      }
      CHECK(absl::IsUnavailable(status));
    }
  }
  GIVEN("an endpoint that the process may not use")
  {
    THEN("the error is final")
    {
      CHECK(absl::IsPermissionDenied(BindError(Poco::IOException{ "Permission denied", EACCES })));
    }
  }
  GIVEN("a lack of threads or memory")
  {
    THEN("the error may end")
    {
      CHECK(absl::IsUnavailable(BindError(std::runtime_error{ "no thread" })));
    }
  }
}

} // namespace
} // namespace trefoil
