// A TCP proxy that forwards connections to a target and injects network faults on demand, for the
// soak test.
//
//   auto proxy = FaultProxy::Start(listen, target);
//   (*proxy)->SetFault(LinkFault::kCutToTarget);
//   (*proxy)->SetConnectFault(ConnectFault::kHang);
//
// Each connection has one thread for each direction. Thread-safe.
#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/status/statusor.h"
#include "absl/synchronization/mutex.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/name_table.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

namespace trefoil::standin {

enum class LinkFault
{
  kNone,
  // Data arrives late in both directions.
  kDelay,
  // Open and new connections are reset.
  kReset,
  // Data to the target, or to the caller, is lost. Connections stay open.
  kCutToTarget,
  kCutToCaller,
  // Data in both directions is lost. Connections stay open.
  kSilence,
};

inline constexpr NameTable<LinkFault, 6> kLinkFaultNames{ {
  { LinkFault::kNone, "none" },
  { LinkFault::kDelay, "delay" },
  { LinkFault::kReset, "reset" },
  { LinkFault::kCutToTarget, "cut_to_target" },
  { LinkFault::kCutToCaller, "cut_to_caller" },
  { LinkFault::kSilence, "silence" },
} };

// What happens to a new connection before any byte of it is forwarded.
enum class ConnectFault
{
  kNone,
  // The connection is refused.
  kRefuse,
  // The connection is established, then reset.
  kReset,
  // The connection is not established, and the caller's attempt is not answered.
  kHang,
};

inline constexpr NameTable<ConnectFault, 4> kConnectFaultNames{ {
  { ConnectFault::kNone, "none" },
  { ConnectFault::kRefuse, "refuse" },
  { ConnectFault::kReset, "reset" },
  { ConnectFault::kHang, "hang" },
} };

class FaultProxy
{
public:
  // Listens at `aListen`, where port 0 picks a free port. Returns Unavailable if the endpoint
  // cannot be bound.
  static absl::StatusOr<std::unique_ptr<FaultProxy>> Start(const Endpoint& aListen,
                                                           const Endpoint& aTarget);
  // Stops forwarding, closes all connections and waits for the threads.
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // Sets the fault for the data of new and of open connections.
  void SetFault(LinkFault aFault) { mFault.store(aFault); }
  // Sets the fault for new connections. Open ones live on.
  void SetConnectFault(ConnectFault aFault) { mConnectFault.store(aFault); }
  // Returns the endpoint that the proxy listens at.
  Endpoint ListenEndpoint() const { return mListen; }

private:
  // The two sockets of a forwarded connection.
  struct Connection
  {
    Poco::Net::StreamSocket mCaller;
    Poco::Net::StreamSocket mTarget;
    std::atomic<bool> mReset{ false };
  };

  FaultProxy(const Poco::Net::ServerSocket& aListener, Endpoint aTarget);
  // Accepts connections until the proxy stops.
  void Accept();
  // Puts a connect fault into force, or ends the one that is in force.
  void ApplyConnectFault(ConnectFault aFault);
  // Connects to the target and starts the two forwarding threads.
  void OpenConnection(const Poco::Net::StreamSocket& aCaller);
  // Forwards one direction until an end closes, a fault resets the connection or the proxy stops.
  void Forward(const std::shared_ptr<Connection>& aConnection, bool aToTarget);

  Poco::Net::ServerSocket mListener;
  const Endpoint mListen;
  Endpoint mTarget;
  std::atomic<LinkFault> mFault{ LinkFault::kNone };
  std::atomic<ConnectFault> mConnectFault{ ConnectFault::kNone };
  // Fills the queue of the listener while new connections hang. Used by the acceptor only.
  Poco::Net::StreamSocket mFiller;
  std::atomic<bool> mStopped{ false };
  absl::Mutex mMutex;
  std::vector<std::thread> mForwarders ABSL_GUARDED_BY(mMutex);
  std::thread mAcceptor;
};

} // namespace trefoil::standin
