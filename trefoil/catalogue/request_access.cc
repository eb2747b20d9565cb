#include "trefoil/catalogue/request_access.h"

namespace trefoil {

RequestAccess
DecideAccess(const Catalogue& aCatalogue, const CatalogueIndex& aIndex, const AccessQuery& aQuery)
{
  if (!aCatalogue.mAccounts.has_value()) {
    return { .mDecision = AccessDecision::kAccountsUnlisted };
  }
  // A credential counts also where none is required: the server must learn whose request it is.
  if (aQuery.mRoute.mAllowsAnonymous && aQuery.mKey.empty()) {
    return { .mDecision = AccessDecision::kAnonymous };
  }
  const ClientAccount* account = FindAccount(aCatalogue, aIndex, aQuery.mKey);
  if (!aQuery.mConfigurationIsCurrent) {
    return { .mDecision = AccessDecision::kStaleConfiguration, .mAccount = account };
  }
  return { .mDecision =
             account == nullptr ? AccessDecision::kUnknownCredential : AccessDecision::kAccount,
           .mAccount = account };
}

bool
IsAdmitted(AccessDecision aDecision)
{
  return aDecision != AccessDecision::kUnknownCredential &&
         aDecision != AccessDecision::kStaleConfiguration;
}

} // namespace trefoil
