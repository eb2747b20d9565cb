// Encodings and well-known keys of a particular platform, as the control thread uses them.
//
// The functions are implemented by an adapter and contain no decisions.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/catalogue/catalogue.h"
#include "trefoil/catalogue/server_registry.h"
#include "trefoil/store/store_channel.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace trefoil {

// The holder of a duty and its fencing number, sent with each call that performs the duty.
struct FencedHolder
{
  HostId mHolder;
  std::uint64_t mFencing = 0;
};

// The requests of each account that began in one usage window. Windows are numbered by wall
// clock.
struct UsageReport
{
  std::int64_t mWindow = 0;
  std::map<ClientAccountId, std::int64_t> mCounts;
};

// The desired number of servers of a service in a zone.
struct ServerOrder
{
  ServiceId mService;
  AvailabilityZoneId mZone;
  int mCount = 0;
  // True for servers that cost less and can be reclaimed.
  bool mReclaimable = false;
};

enum class VersionMoveState
{
  kRunning,
  kCompleted,
  kRolledBack,
};

inline constexpr NameTable<VersionMoveState, 3> kVersionMoveStateNames{ {
  { VersionMoveState::kRunning, "running" },
  { VersionMoveState::kCompleted, "completed" },
  { VersionMoveState::kRolledBack, "rolled_back" },
} };

// An operator's order to move the traffic of a service to a version.
struct VersionOrder
{
  ServiceId mService;
  VersionId mTarget;
  Milliseconds mTimeLimit{ 0 };

  friend bool operator==(const VersionOrder&, const VersionOrder&) = default;
};

struct ControlCodec
{
  StoreCodec mStore;
  // The prefix of the keys that operators write, and among these the key of the configuration
  // and the prefixes of the version orders and of the evacuated zones.
  std::string mOperatorPrefix;
  std::string mConfigurationKey;
  std::string mVersionOrderPrefix;
  std::string mEvacuationPrefix;
  // The prefix of the keys that backend servers write.
  std::string mServerPrefix;
  absl::StatusOr<Catalogue> (*mDecodeCatalogue)(const std::string& aValue) = nullptr;
  absl::StatusOr<RegisteredServer> (*mDecodeServer)(const StoreItem& aItem) = nullptr;
  // Returns the id of the server that wrote `aKey`.
  BackendServerId (*mServerOfKey)(std::string_view aKey) = nullptr;
  absl::StatusOr<VersionOrder> (*mDecodeVersionOrder)(const std::string& aValue) = nullptr;
  KeyWrite (*mEncodeVersionStatus)(const VersionOrder& aOrder, VersionMoveState aState) = nullptr;
  HttpRequest (*mEncodeUsageReport)(const UsageReport& aReport,
                                    const FencedHolder& aHolder) = nullptr;
  HttpRequest (*mEncodeServerOrder)(const ServerOrder& aOrder,
                                    const FencedHolder& aHolder) = nullptr;
};

} // namespace trefoil
