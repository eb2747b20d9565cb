// What entry hosts tell each other of the traffic that they forward.
//
//   TrafficUpdate news{ .mHost = self, .mIncarnation = start, .mSequence = 12 };
//
// Totals count from the start of the sender, so that a message may be lost, repeated or late.
// Plain structs: only the codec knows their bytes.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/wire/crash_report.h"

#include <cstdint>
#include <vector>

namespace trefoil {

// What a host let through of an account's quota.
struct AccountTotal
{
  ClientAccountId mAccount;
  // Since the start of the host.
  std::uint64_t mUsed = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAccount, mUsed);
  }
};

// Requests of an account that began to run in a usage window.
struct WindowCount
{
  std::int64_t mWindow = 0;
  ClientAccountId mAccount;
  std::int64_t mRequests = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWindow, mAccount, mRequests);
  }
};

// What a host was asked to forward to a service since its start.
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

// How the answers of one version of a service were, on one host since its start.
struct VersionTotal
{
  ServiceId mService;
  VersionId mVersion;
  std::int64_t mServed = 0;
  std::int64_t mFailed = 0;
  double mLatencyMs = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mVersion, mServed, mFailed, mLatencyMs);
  }
};

struct TrafficUpdate
{
  HostId mHost;
  // The sender's start, so that totals that begin anew are told from lost ones.
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  Endpoint mEndpoint;
  AvailabilityZoneId mZone;
  // The sender's calendar time, in Unix milliseconds.
  std::int64_t mWallMs = 0;
  // The sender carries out the duties.
  bool mHoldsDuties = false;
  // The sender stops and will take no further requests.
  bool mLeaving = false;
  std::vector<AccountTotal> mQuotas;
  std::vector<WindowCount> mUsage;
  std::vector<CrashReport> mCrashes;
  // Servers that broke off, were not reached or stayed silent, and have not answered since.
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
