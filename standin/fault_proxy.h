// Passes connections on to a target and does harm to them on demand, for the soak.
//
//   auto proxy = FaultProxy::Start(listen, target);
//   (*proxy)->Set(LinkFault::kCutToTarget);
//
// A thread for each connection and direction. Thread-safe.
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
  // What is sent arrives late, in both directions.
  kDelay,
  // Open connections are reset, and new ones too.
  kReset,
  // What is sent to the target, or to the caller, is lost; connections stay open.
  kCutToTarget,
  kCutToCaller,
  // Both.
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

class FaultProxy
{
public:
  // Returns Unavailable if the endpoint cannot be bound.
  static absl::StatusOr<std::unique_ptr<FaultProxy>> Start(const Endpoint& aListen,
                                                           const Endpoint& aTarget);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // Holds from now on, for open connections too.
  void Set(LinkFault aFault) { mFault.store(aFault); }
  Endpoint Where() const;

private:
  // The two ends of a passed-on connection.
  struct Link
  {
    Poco::Net::StreamSocket mCaller;
    Poco::Net::StreamSocket mTarget;
    std::atomic<bool> mEnded{ false };
  };

  FaultProxy(const Poco::Net::ServerSocket& aListener, Endpoint aTarget);
  void Accept();
  void Open(const Poco::Net::StreamSocket& aCaller);
  void Pass(const std::shared_ptr<Link>& aLink, bool aToTarget);

  Poco::Net::ServerSocket mListener;
  Endpoint mTarget;
  std::atomic<LinkFault> mFault{ LinkFault::kNone };
  std::atomic<bool> mStopped{ false };
  absl::Mutex mMutex;
  std::vector<std::thread> mPassing ABSL_GUARDED_BY(mMutex);
  std::thread mAcceptor;
};

} // namespace trefoil::standin
