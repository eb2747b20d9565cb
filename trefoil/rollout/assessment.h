// Evaluates a new version by its request statistics.
//
//   Assessment assessment = Assess(evidence, { .mVersion = version, .mFromWindow = window,
//                                              .mServers = counts });
//   if (assessment.mConfirmed.mFault != VersionFault::kNone) { ... withdraw the version ... }
//
// Pure functions.
#pragma once

#include "trefoil/rollout/evidence.h"

#include <cstdint>
#include <map>
#include <string>

namespace trefoil {

enum class VersionFault
{
  kNone,
  kErrors,
  // High latency to the first token.
  kFirstToken,
  // High latency between tokens.
  kTokenGap,
  // Its backend servers lose connections more often.
  kServersLost,
};

inline constexpr NameTable<VersionFault, 5> kVersionFaultNames{ {
  { VersionFault::kNone, "none" },
  { VersionFault::kErrors, "errors" },
  { VersionFault::kFirstToken, "first_token" },
  { VersionFault::kTokenGap, "token_gap" },
  { VersionFault::kServersLost, "servers_lost" },
} };

// A difference between the versions that a statistical test found.
struct Finding
{
  VersionFault mFault = VersionFault::kNone;
  // Empty if the finding covers all routes.
  std::string mRoute;
  double mPValue = 1;
  double mEffect = 0;
};

// The number of backend servers of each version in each zone.
using ServerCounts = std::map<AvailabilityZoneId, std::map<VersionId, std::uint64_t>>;

struct AssessOptions
{
  VersionId mVersion;
  // The window in which the current step began.
  std::uint64_t mFromWindow = 0;
  ServerCounts mServers;
};

struct Assessment
{
  std::uint64_t mNewRequests = 0;
  std::uint64_t mNewErrors = 0;
  std::uint64_t mOldRequests = 0;
  std::uint64_t mOldErrors = 0;
  // The statistically certain fault with the smallest p-value; kNone if there is none.
  Finding mConfirmed;
  // The possible fault with the smallest p-value; kNone if there is none. While there is one,
  // the step waits for more requests.
  Finding mSuspected;
};

// Compares the version with all others, for each route and for all routes together. Each comparison
// is made over all windows, over the windows of the current step and over the newest windows.
Assessment
Assess(const Evidence& aEvidence, const AssessOptions& aOptions);

} // namespace trefoil
