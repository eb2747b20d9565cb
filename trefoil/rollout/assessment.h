// Judges a new version by the evidence.
//
//   Assessment assessment = Assess(evidence, { .mVersion = version, .mFromWindow = window,
//                                              .mServers = counts });
//   if (assessment.mWorst.mFault != VersionFault::kNone) { ... withdraw it ... }
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
  // Slow to the first token.
  kFirstToken,
  // Slow from token to token.
  kTokenGap,
  // Its backend servers break off more often.
  kServersLost,
};

inline constexpr NameTable<VersionFault, 5> kVersionFaultNames{ {
  { VersionFault::kNone, "none" },
  { VersionFault::kErrors, "errors" },
  { VersionFault::kFirstToken, "first_token" },
  { VersionFault::kTokenGap, "token_gap" },
  { VersionFault::kServersLost, "servers_lost" },
} };

// A difference that one test found.
struct Finding
{
  VersionFault mFault = VersionFault::kNone;
  // Empty for all routes together.
  std::string mRoute;
  double mPValue = 1;
  double mEffect = 0;
};

// How many backend servers the versions have in the zones.
using ServerCounts = std::map<AvailabilityZoneId, std::map<VersionId, std::uint64_t>>;

struct AssessOptions
{
  VersionId mVersion;
  // The window in which the present step began.
  std::uint64_t mFromWindow = 0;
  ServerCounts mServers;
};

struct Assessment
{
  std::uint64_t mNewRequests = 0;
  std::uint64_t mNewErrors = 0;
  std::uint64_t mOldRequests = 0;
  std::uint64_t mOldErrors = 0;
  // The surest fault, kNone if none is sure.
  Finding mWorst;
  // Whether a fault is likely enough to wait for more samples.
  bool mDoubtful = false;
};

Assessment
Assess(const Evidence& aEvidence, const AssessOptions& aOptions);

} // namespace trefoil
