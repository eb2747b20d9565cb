// Messages about the limits on requests that backend servers state.
//
//   ServerLimitMessage message{ .mHost = self, .mEntries = entries };
//
// Plain structs; trefoil/wire/codec.h encodes them.
#pragma once

#include "trefoil/base/ids.h"
#include "trefoil/base/name_table.h"

#include <cstdint>
#include <vector>

namespace trefoil {

// Which hosts a message is for. Each stage is forwarded to later ones only, so that messages never
// circulate.
enum class RelayStage : std::uint8_t
{
  // An aggregator of the sender's zone, which forwards the message.
  kZoneAggregators,
  // An aggregator of another zone, which forwards the message to the hosts of its zone.
  kOtherZones,
  // Any host. The message is not forwarded.
  kHosts,
};

inline constexpr NameTable<RelayStage, 3> kRelayStageNames{ {
  { RelayStage::kZoneAggregators, "zone_aggregators" },
  { RelayStage::kOtherZones, "other_zones" },
  { RelayStage::kHosts, "hosts" },
} };

struct ServerLimitEntry
{
  BackendServerId mServer;
  // The start of the server in Unix milliseconds.
  std::int64_t mIncarnation = 0;
  bool mLimited = false;
  // Requests per second of all hosts.
  double mPerSecond = 0;
  std::int64_t mAgeMilliseconds = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer, mIncarnation, mLimited, mPerSecond, mAgeMilliseconds);
  }
};

struct ServerLimitMessage
{
  HostId mHost;
  RelayStage mStage = RelayStage::kHosts;
  std::vector<ServerLimitEntry> mEntries;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost, mStage, mEntries);
  }
};

} // namespace trefoil
