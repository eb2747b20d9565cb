#include "trefoil/idempotency/ticket.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// Forgets used tickets that have expired. Serials rise with the time of issue, so the first that
// has not expired ends the search.
void
DropExpired(TicketTable& aTable, WallTime aNow)
{
  aTable.mExpiredUpTo = std::max(aTable.mExpiredUpTo, aNow);
  while (!aTable.mUsed.empty() && aTable.mUsed.begin()->second.mExpiresAt <= aTable.mExpiredUpTo) {
    aTable.mUsed.erase(aTable.mUsed.begin());
  }
}

TicketAnswer
UseAgain(UsedTicket& aUsed, const std::string& aRequestSha256)
{
  if (aUsed.mRequestSha256 != aRequestSha256) {
    return { .mAction = TicketAction::kOtherRequest };
  }
  switch (aUsed.mOutcome.mStage) {
    case ClaimStage::kClaimed:
      return { .mAction = TicketAction::kInProgress };
    case ClaimStage::kNotRun:
      aUsed.mOutcome = {};
      return { .mAction = TicketAction::kDispatch };
    case ClaimStage::kRan:
    case ClaimStage::kMayHaveRun:
      break;
  }
  return { .mAction = TicketAction::kRecorded, .mOutcome = aUsed.mOutcome };
}

} // namespace

Ticket
NewTicket(TicketTable& aTable,
          const ClientAccountId& aAccount,
          const ServiceId& aService,
          WallTime aNow)
{
  const TicketIssuer& issuer = aTable.mIssuer;
  return { .mZone = issuer.mZone,
           .mHost = issuer.mHost,
           .mEndpoint = issuer.mEndpoint,
           .mIncarnation = issuer.mIncarnation,
           .mSerial = ++aTable.mLastSerial,
           .mAccount = aAccount,
           .mService = aService,
           .mIssuedAt = aNow,
           .mExpiresAt = aNow + Milliseconds{ issuer.mLifetimeMilliseconds } };
}

TicketAnswer
Use(TicketTable& aTable, const Ticket& aTicket, const std::string& aRequestSha256, WallTime aNow)
{
  if (aTicket.mHost != aTable.mIssuer.mHost) {
    return { .mAction = TicketAction::kForward };
  }
  if (aTicket.mIncarnation != aTable.mIssuer.mIncarnation) {
    return { .mAction = TicketAction::kGone };
  }
  DropExpired(aTable, aNow);
  if (aTicket.mExpiresAt <= aTable.mExpiredUpTo) {
    return { .mAction = TicketAction::kExpired };
  }
  const auto used = aTable.mUsed.find(aTicket.mSerial);
  if (used != aTable.mUsed.end()) {
    return UseAgain(used->second, aRequestSha256);
  }
  if (aTable.mUsed.size() >= aTable.mIssuer.mMaxUsed) {
    return { .mAction = TicketAction::kFull };
  }
  aTable.mUsed[aTicket.mSerial] = { .mRequestSha256 = aRequestSha256,
                                    .mExpiresAt = aTicket.mExpiresAt };
  return { .mAction = TicketAction::kDispatch };
}

void
End(TicketTable& aTable, std::uint64_t aSerial, ClaimOutcome aOutcome)
{
  const auto used = aTable.mUsed.find(aSerial);
  if (used != aTable.mUsed.end()) {
    used->second.mOutcome = std::move(aOutcome);
  }
}

} // namespace trefoil
