// Quotas of client accounts, summed over all entry hosts.
//
//   QuotaState quotas;
//   if (TakeQuota(quotas, account, tokens, { .mShare = 1.0 }, now)) { ... dispatch ... }
//   AddUsedElsewhere(quotas, account, tokens);
//   OnQuotaUpdate(quotas);
//
// Each host keeps a copy of the account's bucket, which fills at the account's rate up to its
// burst, and takes out what any host lets through as it learns of it. Once what is left lasts for a
// few rounds of news only, it is divided among the hosts until the next one, by how much each of
// them uses, so that they do not all spend it at once. A host that hears only some of the others
// fills its copy by their share of the rate, so that the parts of a divided system stay inside the
// quota together. Pure functions.
#pragma once

#include "trefoil/admission/token_bucket.h"
#include "trefoil/catalogue/catalogue.h"

#include <map>

namespace trefoil {

struct AccountUse
{
  TokenBucket mBucket;
  // Let through by this host since its start.
  double mOwnTotal = 0;
  // Let through by this host, and by all, since the last news of the others.
  double mSinceNews = 0;
  // Moving means of what this host and all hosts let through between two news.
  double mOwnMean = 0;
  double mAllMean = 0;
  double mElsewhereSinceNews = 0;
};

struct QuotaState
{
  std::map<ClientAccountId, AccountUse> mAccounts;
};

struct QuotaTerms
{
  // The part of the quota that the hosts in touch with this one may use together.
  double mShare = 1;
  // Hosts in touch with this one, itself included.
  int mHostsInTouch = 1;
  // What the platform allows beyond the quota: a part of the rate, and tokens (or requests) of the
  // burst.
  double mOverage = 0;
  double mSlack = 0;
  // A random number from 0 to 1: hosts that want the last of a quota do not take it all at once.
  double mDraw = 0;
};

// What a decision was based on.
struct QuotaDecision
{
  bool mAllowed = true;
  // What the bucket held, and how much this host might have taken.
  double mLevel = 0;
  double mMax = 0;

  explicit operator bool() const { return mAllowed; }
};

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
ReturnQuota(QuotaState& aState, const ClientAccountId& aAccount, double aCost);

void
AddUsedElsewhere(QuotaState& aState, const ClientAccountId& aAccount, double aCost);

// Sets what an account's bucket holds, as found by a host that starts.
void
SetQuotaLevel(QuotaState& aState, const ClientAccountId& aAccount, double aLevel, Instant aNow);

// A round of news of the other hosts was taken in; what is left is divided anew. Called at the
// interval of the news.
void
OnQuotaUpdate(QuotaState& aState);

} // namespace trefoil
