// The control thread of an entry host: what the store says, what other hosts say, and the duties
// that one host at a time carries out.
//
//   auto control = Control::Start(options, *traffic, log);
//   ...
//   control->Stop();
//
// All state belongs to the thread. It publishes views to the traffic thread and takes its reports.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/eventlog/event_log.h"
#include "trefoil/forward/traffic.h"
#include "trefoil/steering/platform_codec.h"

#include <memory>
#include <optional>
#include <vector>

namespace trefoil {

struct ControlOptions
{
  HostId mHost;
  AvailabilityZoneId mZone;
  // Where other hosts send their news, over UDP.
  Endpoint mPeerEndpoint;
  std::vector<AvailabilityZoneId> mZones;
  Endpoint mStore;
  // Where duties are carried out; nothing if there are none.
  std::optional<Endpoint> mCloud;
  bool mReportsUsage = false;
  bool mOrdersServers = false;
  Milliseconds mUsageWindow{ 0 };
  Milliseconds mUsageLateAfter{ 0 };
  PlatformCodec mCodec;
};

class Control
{
public:
  // Returns Unavailable if the peer endpoint cannot be bound.
  static absl::StatusOr<std::unique_ptr<Control>> Start(const ControlOptions& aOptions,
                                                        Traffic& aTraffic,
                                                        EventLog& aLog);
  ~Control();

  // Gives up duties and tells the other hosts that this one stops. The thread goes on.
  void Leave();
  // Tells the other hosts what traffic has reported last.
  void TellLast(TrafficReport aReport);
  // Ends the thread.
  void Stop();

private:
  struct Impl;
  explicit Control(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace trefoil
