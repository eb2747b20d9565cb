// Quotas of client accounts, summed over all entry hosts.
//
//   QuotaState quotas = MakeQuotaState(window);
//   if (TakeQuota(quotas, account, tokens, { .mShare = 1.0 }, now)) { ... dispatch ... }
//   AddUsedElsewhere(quotas, account, tokens, now);
//
// Hosts tell each other what they let through. Each host allows what the account's quota leaves of the
// window after all that it knows of. A host that hears only some of the others allows their share of the
// quota, so that the parts of a divided system stay inside the quota together. Pure functions.
#pragma once

#include "trefoil/catalogue/catalogue.h"
#include "trefoil/dispatch/sliding_count.h"

#include <map>

namespace trefoil {

struct AccountUse
{
  // Tokens (or requests) let through by all hosts in the window.
  SlidingCount mWindow;
  // What this host has let through since its start.
  double mOwnTotal = 0;
};

struct QuotaState
{
  Instant::duration mWindow{ 0 };
  std::map<ClientAccountId, AccountUse> mAccounts;
};

struct QuotaTerms
{
  // The part of the quota that the hosts in touch with this one may use together.
  double mShare = 1;
};

QuotaState
MakeQuotaState(Instant::duration aWindow);

// Returns what a request counts against its account's quota. `aTokens` is 0 if the request does not say.
double
QuotaCost(const ClientAccount& aAccount, std::int64_t aTokens);

// Counts a request if the quota allows it. Returns whether it does.
bool
TakeQuota(QuotaState& aState,
          const ClientAccount& aAccount,
          double aCost,
          const QuotaTerms& aTerms,
          Instant aNow);

// Gives back what a request took that was then not sent.
void
ReturnQuota(QuotaState& aState, const ClientAccount& aAccount, double aCost, Instant aNow);

void
AddUsedElsewhere(QuotaState& aState, const ClientAccountId& aAccount, double aCost, Instant aNow);

} // namespace trefoil
