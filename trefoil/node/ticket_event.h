// What traffic threads ask the control thread about tickets, and its answers.
#pragma once

#include "trefoil/idempotency/ticket.h"

#include <cstdint>
#include <string>

namespace trefoil {

// A caller asks for a ticket.
struct TicketWanted
{
  std::uint64_t mWaiter = 0;
  ClientAccountId mAccount;
  ServiceId mService;
  WallTime mNow;
};

// A request came with an authenticated ticket.
struct TicketUsed
{
  std::uint64_t mWaiter = 0;
  Ticket mTicket;
  std::string mRequestSha256;
  WallTime mNow;
};

// A request that was told kDispatch has ended.
struct TicketEnded
{
  std::uint64_t mSerial = 0;
  ClaimOutcome mOutcome;
};

// The answer to TicketWanted.
struct TicketMinted
{
  std::uint64_t mWaiter = 0;
  Ticket mTicket;
};

// The answer to TicketUsed.
struct TicketDecided
{
  std::uint64_t mWaiter = 0;
  TicketAnswer mAnswer;
};

} // namespace trefoil
