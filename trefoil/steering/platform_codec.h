// How the control thread speaks to a particular platform: encodings and well-known keys.
//
// Functions of an adapter; no decision is made in them.
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

// The holder of a duty and its fencing number, sent along with each call that carries it out.
struct DutyStamp
{
  HostId mHolder;
  std::uint64_t mFencing = 0;
};

// Requests of each account that began in one window of the calendar.
struct UsageReport
{
  std::int64_t mWindow = 0;
  std::map<ClientAccountId, std::int64_t> mCounts;
};

// How many servers of a service should run in a zone.
struct ServerOrder
{
  ServiceId mService;
  AvailabilityZoneId mZone;
  int mCount = 0;
  // Servers that cost less and may be taken away.
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

// The operators' order to move a service's traffic to a version.
struct VersionOrder
{
  ServiceId mService;
  VersionId mTarget;
  Milliseconds mWithin{ 0 };
};

struct PlatformCodec
{
  StoreCodec mStore;
  // Keys that operators write, and the one among them that holds the configuration.
  std::string mOperatorPrefix;
  std::string mConfigurationKey;
  std::string mVersionOrderPrefix;
  // Keys that backend servers write.
  std::string mServerPrefix;
  absl::StatusOr<Catalogue> (*mReadCatalogue)(const std::string& aValue) = nullptr;
  absl::StatusOr<RegisteredServer> (*mReadServer)(const StoreItem& aItem) = nullptr;
  // Returns the id of the server that wrote a key.
  BackendServerId (*mServerOfKey)(std::string_view aKey) = nullptr;
  absl::StatusOr<VersionOrder> (*mReadVersionOrder)(const std::string& aValue) = nullptr;
  KeyWrite (*mVersionStatus)(const VersionOrder& aOrder, VersionMoveState aState) = nullptr;
  HttpRequest (*mUsageReport)(const UsageReport& aReport, const DutyStamp& aStamp) = nullptr;
  HttpRequest (*mServerOrder)(const ServerOrder& aOrder, const DutyStamp& aStamp) = nullptr;
};

} // namespace trefoil
