// Applies the datagrams of other entry hosts, on the thread that waits for them or on one that is
// about to decide by what they tell.
//
//   PeerInbox inbox{ { .mSocket = &socket, .mApply = [](std::string_view aBytes) { ... } } };
//   inbox.Wait(Now() + kReceiveTimeout);   // in a loop on one thread
//   inbox.ApplyArrived();                  // on any thread
//
// A caller who has an answer of one host and turns to another one must not be faster than what the
// first host has told the other: the datagram may have arrived, while the thread that waits for it
// has not run yet. Thread-safe.
#pragma once

#include "absl/synchronization/mutex.h"
#include "trefoil/base/instant.h"
#include "trefoil/wire/udp_socket.h"

#include <functional>
#include <string_view>

namespace trefoil {

struct PeerInboxOptions
{
  // Must outlive the inbox.
  UdpSocket* mSocket = nullptr;
  // Called for one datagram at a time. An exception is logged and drops the datagram.
  std::function<void(std::string_view aBytes)> mApply;
};

class PeerInbox
{
public:
  explicit PeerInbox(PeerInboxOptions aOptions);

  // Blocks until a datagram has arrived or `aDeadline` has passed, and applies what has arrived.
  void Wait(Instant aDeadline);

  // Applies the datagrams that have arrived at this host and are not applied yet. When it returns,
  // those that arrived before the call are in effect, unless the system had queued more than
  // kMaxDatagramsAtOnce.
  void ApplyArrived();

private:
  void Apply(std::string_view aBytes) const;

  const PeerInboxOptions mOptions;
  // Held while a datagram is received and applied.
  absl::Mutex mMutex;
};

} // namespace trefoil
