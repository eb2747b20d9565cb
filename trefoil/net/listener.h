// Accepts TCP connections and serves each on a thread of its own.
//
//   auto listener = Listener::Start({ .mListen = endpoint, .mServe = [](Connection& aConnection) {
//     while (aConnection.AwaitRequest(Now() + kIdleLimit)) { ... aConnection.Socket() ... }
//   } });
//   listener->Drain(Now() + kStopLimit);
//
// The library's own server drops connections that it accepted but has no thread for yet when it is
// stopped. This one accepts a connection only when there is a thread to serve it, so that none is
// lost.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/instant.h"

#include <Poco/Net/StreamSocket.h>
#include <cstdint>
#include <functional>
#include <memory>

namespace trefoil {

// One accepted connection. Belongs to the thread that serves it.
class Connection
{
public:
  Connection(const Poco::Net::StreamSocket& aSocket, const std::function<bool()>& aIsDraining);

  Poco::Net::StreamSocket& Socket() { return mSocket; }

  // Waits until the peer sends something or closes. Returns false if nothing came in time, or if
  // the listener drains and the connection has been served before.
  bool AwaitRequest(Instant aDeadline);

  // Returns whether the peer should be told that the connection closes.
  bool IsDraining() const { return mIsDraining(); }

private:
  Poco::Net::StreamSocket mSocket;
  const std::function<bool()>& mIsDraining;
  bool mServed = false;
};

struct ListenerOptions
{
  Endpoint mListen;
  // Serves a connection until it ends. Must not throw.
  std::function<void(Connection& aConnection)> mServe;
  // Further connections wait in the system's queue.
  std::int64_t mMaxConnections = 256;
};

class Listener
{
public:
  // Returns Unavailable if the endpoint cannot be bound.
  static absl::StatusOr<Listener> Start(ListenerOptions aOptions);

  Listener(Listener&&) noexcept;
  Listener& operator=(Listener&&) noexcept;
  // Stops accepting and breaks the connections that are left.
  ~Listener();

  // Takes in the connections that have come up, stops accepting, and waits for all connections to
  // end. Connections that wait for a further request are closed. Returns how many were left at
  // `aDeadline`.
  std::int64_t Drain(Instant aDeadline);

  std::uint16_t Port() const;

private:
  struct State;
  explicit Listener(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace trefoil
