#include "trefoil/net/socket_wait.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <algorithm>
#include <cerrno>
#include <limits>
#include <poll.h>

namespace trefoil {
namespace {

// Returns whether one of the events, or an error, occurs before the deadline.
bool
WaitFor(const Poco::Net::Socket& aSocket, short aEvents, Instant aDeadline)
{
  pollfd entry{ .fd = aSocket.impl()->sockfd(), .events = aEvents, .revents = 0 };
  while (true) {
    const auto left = std::chrono::ceil<Milliseconds>(aDeadline - Now()).count();
    const auto timeout = std::clamp<Milliseconds::rep>(left, 0, std::numeric_limits<int>::max());
    const int ready = ::poll(&entry, 1, static_cast<int>(timeout));
    if (ready > 0) {
      return true;
    }
    if ((ready == 0 && HasPassed(aDeadline, Now())) || (ready < 0 && errno != EINTR)) {
      return false;
    }
  }
}

} // namespace

bool
WaitUntilReadable(const Poco::Net::Socket& aSocket, Instant aDeadline)
{
  return WaitFor(aSocket, POLLIN, aDeadline);
}

void
ConnectBefore(Poco::Net::StreamSocket& aSocket,
              const Poco::Net::SocketAddress& aAddress,
              Instant aDeadline)
{
  aSocket.connectNB(aAddress);
  if (!WaitFor(aSocket, POLLOUT, aDeadline)) {
    throw Poco::TimeoutException("connect timed out", aAddress.toString());
  }
  if (const int error = aSocket.impl()->socketError(); error != 0) {
    throw Poco::Net::NetException("cannot connect", aAddress.toString(), error);
  }
  aSocket.setBlocking(true);
}

} // namespace trefoil
