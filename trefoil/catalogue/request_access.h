// Decides who sent a request and whether it may run, from its credential and the configuration.
//
//   RequestAccess access = DecideAccess(
//     catalogue, index, { .mRoute = route, .mKey = key, .mConfigurationIsCurrent = isCurrent });
//   if (IsAdmitted(access.mDecision)) { ... access.mAccount ... }
//
// Whatever depends on the account of a request (quota, usage, priority, regions, identity) follows
// from this decision alone. Plain data and pure functions.
#pragma once

#include "trefoil/base/name_table.h"
#include "trefoil/catalogue/catalogue.h"

#include <string_view>

namespace trefoil {

enum class AccessDecision
{
  // The configuration has no list of accounts, so that credentials mean nothing.
  kAccountsUnlisted,
  // The request has no credential, and its route requires none.
  kAnonymous,
  kAccount,
  // Refused: no account has the credential, or the credential that the route requires is missing.
  kUnknownCredential,
  // Refused: the configuration is so old that the credential may have been withdrawn or added.
  kStaleConfiguration,
};

inline constexpr NameTable<AccessDecision, 5> kAccessDecisionNames{ {
  { AccessDecision::kAccountsUnlisted, "accounts_unlisted" },
  { AccessDecision::kAnonymous, "anonymous" },
  { AccessDecision::kAccount, "account" },
  { AccessDecision::kUnknownCredential, "unknown_credential" },
  { AccessDecision::kStaleConfiguration, "stale_configuration" },
} };

struct AccessQuery
{
  const Route& mRoute;
  // The credential of the request; empty if it has none.
  std::string_view mKey;
  // Whether the configuration was confirmed to be current recently enough for credentials.
  bool mConfigurationIsCurrent = false;
};

struct RequestAccess
{
  AccessDecision mDecision = AccessDecision::kUnknownCredential;
  // The account with the credential. Also set for kStaleConfiguration if the configuration has it.
  const ClientAccount* mAccount = nullptr;
};

// `aIndex` must be that of `aCatalogue`, which the result points into.
RequestAccess
DecideAccess(const Catalogue& aCatalogue, const CatalogueIndex& aIndex, const AccessQuery& aQuery);

// Returns whether the request may run.
bool
IsAdmitted(AccessDecision aDecision);

} // namespace trefoil
