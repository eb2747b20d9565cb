// Tickets: idempotency keys that an entry host mints and that need no store.
//
//   Ticket ticket = NewTicket(table, options, aNow);
//   TicketAnswer answer = Use(table, ticket, requestSha256, aNow);
//   if (answer.mAction == TicketAction::kDispatch) { ... End(table, ticket.mSerial, outcome); }
//
// A ticket names one incarnation of one host. That incarnation alone may run the request and knows
// whether it did, so a ticket works while the store is out and in a zone that is cut off. Any other
// host passes the request on, and says "may have run" once the incarnation is gone.
//
// The idea of a token that is good for a stated time and is verified locally, without a third
// party, is that of L. Hejtmanek, "Secure and Fault Tolerant Distributed Framework with Mobility
// Support", section 2.4.
//
// Plain data and functions without I/O; ticket_codec.h makes the authenticated text.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/base/ids.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"
#include "trefoil/idempotency/claim.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace trefoil {

struct Ticket
{
  AvailabilityZoneId mZone;
  HostId mHost;
  // Where the host serves callers.
  Endpoint mEndpoint;
  std::uint64_t mIncarnation = 0;
  // Rises with each ticket of the incarnation.
  std::uint64_t mSerial = 0;
  // The account and the service that the ticket is good for.
  ClientAccountId mAccount;
  ServiceId mService;
  WallTime mIssuedAt;
  WallTime mExpiresAt;

  friend bool operator==(const Ticket&, const Ticket&) = default;
};

struct TicketIssuer
{
  AvailabilityZoneId mZone;
  HostId mHost;
  Endpoint mEndpoint;
  std::uint64_t mIncarnation = 0;
  std::int64_t mLifetimeMilliseconds = 600'000;
  // Used tickets that are remembered. Further ones are refused until some expire.
  std::size_t mMaxUsed = 100'000;
};

// A ticket that was used.
struct UsedTicket
{
  std::string mRequestSha256;
  ClaimOutcome mOutcome;
  WallTime mExpiresAt;
};

struct TicketTable
{
  TicketIssuer mIssuer;
  std::uint64_t mLastSerial = 0;
  std::map<std::uint64_t, UsedTicket> mUsed;
  // Tickets that expire up to here are refused, also when the calendar is set back.
  WallTime mExpiredUpTo;
};

enum class TicketAction
{
  // The caller of Use may dispatch, once.
  kDispatch,
  // The request ended; the outcome says how.
  kRecorded,
  // The request is being run.
  kInProgress,
  // The ticket was used with another request, or is another account's or service's.
  kOtherRequest,
  kExpired,
  // Too many tickets are in use.
  kFull,
  // Another host minted it: pass the request on to it.
  kForward,
  // The incarnation that minted it is gone.
  kGone,
};

inline constexpr NameTable<TicketAction, 8> kTicketActionNames{ {
  { TicketAction::kDispatch, "dispatch" },
  { TicketAction::kRecorded, "recorded" },
  { TicketAction::kInProgress, "in_progress" },
  { TicketAction::kOtherRequest, "other_request" },
  { TicketAction::kExpired, "expired" },
  { TicketAction::kFull, "full" },
  { TicketAction::kForward, "forward" },
  { TicketAction::kGone, "gone" },
} };

struct TicketAnswer
{
  TicketAction mAction = TicketAction::kGone;
  // For kRecorded.
  ClaimOutcome mOutcome;
};

// Mints a ticket for an account and a service.
Ticket
NewTicket(TicketTable& aTable,
          const ClientAccountId& aAccount,
          const ServiceId& aService,
          WallTime aNow);

// Asks to run a request with an authenticated ticket.
TicketAnswer
Use(TicketTable& aTable, const Ticket& aTicket, const std::string& aRequestSha256, WallTime aNow);

// Records how a request ended that was told kDispatch.
void
End(TicketTable& aTable, std::uint64_t aSerial, ClaimOutcome aOutcome);

} // namespace trefoil
