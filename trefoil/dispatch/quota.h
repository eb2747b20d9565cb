// Quotas of client accounts, summed over all entry hosts.
//
//   QuotaState quotas = MakeQuotaState(window);
//   if (TakeQuota(quotas, account, tokens, { .mShare = 1.0 }, now)) { ... dispatch ... }
//   AddUsedElsewhere(quotas, account, tokens, now);
//
// Hosts tell each other what they let through. Each host allows what the account's quota leaves of
// the window after all that it knows of. What is left near the end of a quota is divided among the
// hosts until the next news, by how much each of them uses, so that they do not all spend it at
// once. A host that hears only some of the others allows their share of the quota, so that the
// parts of a divided system stay inside the quota together. Pure functions.
#pragma once

#include "trefoil/catalogue/catalogue.h"
#include "trefoil/dispatch/sliding_count.h"

#include <map>

namespace trefoil {

struct AccountUse
{
  // Tokens (or requests) let through by all hosts in the window.
  SlidingCount mWindow;
  // The part of it that this host let through.
  SlidingCount mOwnWindow;
  // Let through by this host since the last news of the others.
  double mSinceNews = 0;
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
  // Hosts in touch with this one, itself included.
  int mHostsInTouch = 1;
  // Tokens (or requests) beyond the quota that a window may hold.
  double mSlack = 0;
};

// What a decision was based on.
struct QuotaDecision
{
  bool mAllowed = true;
  // Let through by all hosts in the window, and what may be.
  double mUsed = 0;
  double mLimit = 0;

  explicit operator bool() const { return mAllowed; }
};

QuotaState
MakeQuotaState(Instant::duration aWindow);

// Returns what a request counts against its account's quota. `aTokens` is 0 if the request does not
// say.
double
QuotaCost(const ClientAccount& aAccount, std::int64_t aTokens);

// Counts a request if the quota allows it.
QuotaDecision
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

// The news of the other hosts are taken in; what is left is divided anew.
void
OnQuotaNews(QuotaState& aState);

} // namespace trefoil
