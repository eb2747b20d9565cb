// Tickets: idempotency keys that an entry host issues and that work without the store.
//
//   Ticket ticket = IssueTicket(table, account, service, aNow);
//   TicketAnswer answer = UseTicket(table, ticket, requestSha256, aNow);
//   if (answer.mDecision == TicketDecision::kDispatch) { ... RecordTicketOutcome(table,
//   ticket.mSerial, outcome); }
//
// A ticket identifies one incarnation of one host. Only that incarnation may run the request, and
// it records whether the request ran. A ticket therefore works while the store is unavailable and
// in a partitioned availability zone. Any other host forwards the request to the issuing host.
// After the incarnation has ended, the answer is that the request may have run.
//
// A token that is valid for a limited time and is verified locally, without a third party, follows
// L. Hejtmanek, "Secure and Fault Tolerant Distributed Framework with Mobility Support", section
// 2.4.
//
// Plain data and functions without I/O. ticket_codec.h encodes tickets as authenticated text.
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
  // The endpoint on which the host serves callers.
  Endpoint mEndpoint;
  std::uint64_t mIncarnation = 0;
  // Increases with each ticket of the incarnation.
  std::uint64_t mSerial = 0;
  // The client account and the service for which the ticket is valid.
  ClientAccountId mAccount;
  ServiceId mService;
  WallTime mIssuedAt;
  WallTime mExpiresAt;

  friend bool operator==(const Ticket&, const Ticket&) = default;
};

// The incarnation of the host that issues tickets, and its limits.
struct TicketIssuer
{
  AvailabilityZoneId mZone;
  HostId mHost;
  Endpoint mEndpoint;
  std::uint64_t mIncarnation = 0;
  std::int64_t mLifetimeMilliseconds = 600'000;
  // Maximum number of unexpired used tickets. Further tickets are refused until some expire.
  std::size_t mMaxUsedTickets = 100'000;
};

// The request that used a ticket, and its outcome.
struct UsedTicket
{
  std::string mRequestSha256;
  ClaimOutcome mOutcome;
  WallTime mExpiresAt;
};

// The used tickets of one incarnation, keyed by serial number.
struct TicketTable
{
  TicketIssuer mIssuer;
  std::uint64_t mLastSerial = 0;
  std::map<std::uint64_t, UsedTicket> mUsedTickets;
  // The latest wall clock time observed. Tickets that expired by then are refused, even if the wall
  // clock is set back.
  WallTime mLatestWallTime;
};

enum class TicketDecision
{
  // The caller of UseTicket may dispatch the request once.
  kDispatch,
  // The request has ended. The answer contains its outcome.
  kRecorded,
  // The request is running.
  kInProgress,
  // The ticket was used with a different request, or was issued for another client account or
  // service.
  kOtherRequest,
  kExpired,
  // The number of used tickets has reached mMaxUsedTickets.
  kFull,
  // Another host issued the ticket. The request must be forwarded to it.
  kForward,
  // The incarnation that issued the ticket has ended. The request may have run.
  kIssuerGone,
};

inline constexpr NameTable<TicketDecision, 8> kTicketDecisionNames{ {
  { TicketDecision::kDispatch, "dispatch" },
  { TicketDecision::kRecorded, "recorded" },
  { TicketDecision::kInProgress, "in_progress" },
  { TicketDecision::kOtherRequest, "other_request" },
  { TicketDecision::kExpired, "expired" },
  { TicketDecision::kFull, "full" },
  { TicketDecision::kForward, "forward" },
  { TicketDecision::kIssuerGone, "gone" },
} };

struct TicketAnswer
{
  TicketDecision mDecision = TicketDecision::kIssuerGone;
  // Only set for kRecorded.
  ClaimOutcome mOutcome;
};

// Issues a ticket for a client account and a service.
Ticket
IssueTicket(TicketTable& aTable,
            const ClientAccountId& aAccount,
            const ServiceId& aService,
            WallTime aNow);

// Returns whether a request with an authenticated ticket may be dispatched, and marks the ticket as
// used if so.
TicketAnswer
UseTicket(TicketTable& aTable,
          const Ticket& aTicket,
          const std::string& aRequestSha256,
          WallTime aNow);

// Records the outcome of a request that was answered kDispatch. Does nothing if the ticket has
// expired since.
void
RecordTicketOutcome(TicketTable& aTable, std::uint64_t aSerial, ClaimOutcome aOutcome);

} // namespace trefoil
