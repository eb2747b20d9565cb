// The traffic threads' requests about tickets to the control thread, and its replies.
//
// `mWaiter` identifies the thread that waits for the reply, see ControlRequestBroker.
#pragma once

#include "trefoil/idempotency/ticket.h"

#include <cstdint>
#include <string>

namespace trefoil {

// A caller requested a ticket.
struct TicketRequested
{
  std::uint64_t mWaiter = 0;
  ClientAccountId mAccount;
  ServiceId mService;
  WallTime mNow;
};

// A request with an authenticated ticket was received.
struct TicketUsed
{
  std::uint64_t mWaiter = 0;
  Ticket mTicket;
  std::string mRequestSha256;
  WallTime mNow;
};

// A request whose ticket was answered with kDispatch has completed.
struct TicketRequestCompleted
{
  std::uint64_t mSerial = 0;
  ClaimOutcome mOutcome;
};

// Replies to TicketRequested.
struct AnswerTicketRequest
{
  std::uint64_t mWaiter = 0;
  Ticket mTicket;
};

// Replies to TicketUsed.
struct AnswerTicketUse
{
  std::uint64_t mWaiter = 0;
  TicketAnswer mAnswer;
};

} // namespace trefoil
