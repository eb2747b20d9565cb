// The part of the control state that keeps non-idempotent requests from running twice.
//
//   ControlEffects effects = OnIdempotency(aState.mIdempotency, claimWanted, aNow);
//
// Translates between the idempotency package and the calls to the store.
#pragma once

#include "trefoil/idempotency/claim_table.h"
#include "trefoil/idempotency/ticket.h"
#include "trefoil/node/event.h"

namespace trefoil {

struct IdempotencyControl
{
  ClaimTable mClaims;
  TicketTable mTickets;
};

ControlEffects
OnIdempotency(IdempotencyControl& aState, const ClaimRequested& aEvent, Instant aNow);
ControlEffects
OnIdempotency(IdempotencyControl& aState, const ClaimCompleted& aEvent, Instant aNow);
ControlEffects
OnIdempotency(IdempotencyControl& aState, const TicketWanted& aEvent, Instant aNow);
ControlEffects
OnIdempotency(IdempotencyControl& aState, const TicketUsed& aEvent, Instant aNow);
ControlEffects
OnIdempotency(IdempotencyControl& aState, const TicketEnded& aEvent, Instant aNow);

// Takes in the end of a call of the topic kClaims.
ControlEffects
OnIdempotency(IdempotencyControl& aState, const StoreReadDone& aEvent, Instant aNow);
ControlEffects
OnIdempotency(IdempotencyControl& aState, const StoreWriteDone& aEvent, Instant aNow);

// Does what is due.
ControlEffects
OnIdempotencyTimer(IdempotencyControl& aState, Instant aNow);

} // namespace trefoil
