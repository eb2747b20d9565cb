// Reports from entry hosts about the traffic that they forward.
//
//   TrafficUpdate update{ .mHost = self, .mIncarnation = start, .mSequence = 12 };
//
// Totals are counted from the start of the sender's process, so messages may be lost, repeated or
// delayed. Plain structs; trefoil/wire/codec.h encodes them.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/wire/crash_report.h"

#include <cstdint>
#include <vector>

namespace trefoil {

// The part of a client account's quota that one host has used.
struct AccountTotal
{
  ClientAccountId mAccount;
  // The total cost of the account's admitted requests since the start of the host.
  std::uint64_t mUsed = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAccount, mUsed);
  }
};

// The number of an account's requests that started to run in a usage window.
struct WindowCount
{
  // The number of the usage window.
  std::int64_t mWindow = 0;
  ClientAccountId mAccount;
  std::int64_t mRequests = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWindow, mAccount, mRequests);
  }
};

// The prompt tokens of all requests to a service that a host has received since its start.
struct ServiceTotal
{
  ServiceId mService;
  std::uint64_t mPromptTokens = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mPromptTokens);
  }
};

// The results of requests to one version of a service, on one host since its start.
struct VersionTotal
{
  ServiceId mService;
  VersionId mVersion;
  std::int64_t mServed = 0;
  std::int64_t mFailed = 0;
  // The sum over the served requests.
  double mLatencyMs = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mVersion, mServed, mFailed, mLatencyMs);
  }
};

// The regular report of one host.
struct TrafficUpdate
{
  HostId mHost;
  // Changes with each start of the sender, so that receivers detect that its totals were reset.
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  Endpoint mEndpoint;
  AvailabilityZoneId mZone;
  // The sender's wall clock, in milliseconds since the Unix epoch.
  std::int64_t mWallMs = 0;
  // Whether the sender holds the duties.
  bool mHoldsDuties = false;
  // Whether the sender is shutting down and accepts no new requests.
  bool mLeaving = false;
  std::vector<AccountTotal> mQuotas;
  std::vector<WindowCount> mUsage;
  // Empty, but for hosts of earlier versions. Crashes are told by CrashEvidenceMessage.
  std::vector<CrashReport> mCrashes;
  // Servers that closed a connection during a request, were unreachable or sent no reply in time,
  // and have not answered since.
  std::vector<BackendServerId> mBroken;
  std::vector<ServiceTotal> mServices;
  std::vector<VersionTotal> mVersions;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHost,
             mIncarnation,
             mSequence,
             mEndpoint,
             mZone,
             mWallMs,
             mHoldsDuties,
             mLeaving,
             mQuotas,
             mUsage,
             mCrashes,
             mBroken,
             mServices,
             mVersions);
  }
};

} // namespace trefoil
