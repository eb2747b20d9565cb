#include "trefoil/idempotency/ticket.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// Removes used tickets that have expired. Serial numbers increase with the issue time, so the
// search ends at the first ticket that has not expired.
void
RemoveExpired(TicketTable& aTable, WallTime aNow)
{
  aTable.mLatestWallTime = std::max(aTable.mLatestWallTime, aNow);
  while (!aTable.mUsedTickets.empty() &&
         aTable.mUsedTickets.begin()->second.mExpiresAt <= aTable.mLatestWallTime) {
    aTable.mUsedTickets.erase(aTable.mUsedTickets.begin());
  }
}

// Returns the answer to a request with a ticket that has been used. The ticket may be used again if
// its request did not run.
TicketAnswer
DecideReuse(UsedTicket& aUsed, const std::string& aRequestSha256)
{
  if (aUsed.mRequestSha256 != aRequestSha256) {
    return { .mDecision = TicketDecision::kOtherRequest };
  }
  switch (aUsed.mOutcome.mStage) {
    case ClaimStage::kClaimed:
      return { .mDecision = TicketDecision::kInProgress };
    case ClaimStage::kNotRun:
      aUsed.mOutcome = {};
      return { .mDecision = TicketDecision::kDispatch };
    case ClaimStage::kRan:
    case ClaimStage::kMayHaveRun:
      break;
  }
  return { .mDecision = TicketDecision::kRecorded, .mOutcome = aUsed.mOutcome };
}

} // namespace

Ticket
IssueTicket(TicketTable& aTable,
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
UseTicket(TicketTable& aTable,
          const Ticket& aTicket,
          const std::string& aRequestSha256,
          WallTime aNow)
{
  if (aTicket.mHost != aTable.mIssuer.mHost) {
    return { .mDecision = TicketDecision::kForward };
  }
  if (aTicket.mIncarnation != aTable.mIssuer.mIncarnation) {
    return { .mDecision = TicketDecision::kIssuerGone };
  }
  RemoveExpired(aTable, aNow);
  if (aTicket.mExpiresAt <= aTable.mLatestWallTime) {
    return { .mDecision = TicketDecision::kExpired };
  }
  const auto used = aTable.mUsedTickets.find(aTicket.mSerial);
  if (used != aTable.mUsedTickets.end()) {
    return DecideReuse(used->second, aRequestSha256);
  }
  if (aTable.mUsedTickets.size() >= aTable.mIssuer.mMaxUsedTickets) {
    return { .mDecision = TicketDecision::kFull };
  }
  aTable.mUsedTickets[aTicket.mSerial] = { .mRequestSha256 = aRequestSha256,
                                           .mExpiresAt = aTicket.mExpiresAt };
  return { .mDecision = TicketDecision::kDispatch };
}

void
RecordTicketOutcome(TicketTable& aTable, std::uint64_t aSerial, ClaimOutcome aOutcome)
{
  const auto used = aTable.mUsedTickets.find(aSerial);
  if (used != aTable.mUsedTickets.end()) {
    used->second.mOutcome = std::move(aOutcome);
  }
}

} // namespace trefoil
