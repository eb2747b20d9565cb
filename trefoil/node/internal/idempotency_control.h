// The part of the control state that prevents non-idempotent requests from running twice.
//
//   ControlEffects effects = OnIdempotency(aState.mIdempotency, claimRequested, aNow);
//
// Translates the effects of trefoil/idempotency into calls to the store, and the calls' results
// into its events.
#pragma once

#include "trefoil/idempotency/claim_table.h"
#include "trefoil/idempotency/ticket.h"
#include "trefoil/node/event.h"

namespace trefoil {

struct IdempotencyControlState
{
  ClaimTable mClaims;
  TicketTable mTickets;
};

ControlEffects
OnIdempotency(IdempotencyControlState& aState, const ClaimRequested& aEvent, Instant aNow);
ControlEffects
OnIdempotency(IdempotencyControlState& aState, const ClaimCompleted& aEvent, Instant aNow);
ControlEffects
OnIdempotency(IdempotencyControlState& aState, const TicketRequested& aEvent, Instant aNow);
ControlEffects
OnIdempotency(IdempotencyControlState& aState, const TicketUsed& aEvent, Instant aNow);
ControlEffects
OnIdempotency(IdempotencyControlState& aState, const TicketRequestCompleted& aEvent, Instant aNow);

// Applies the result of a store call of topic kClaims.
ControlEffects
OnIdempotency(IdempotencyControlState& aState, const StoreReadCompleted& aEvent, Instant aNow);
ControlEffects
OnIdempotency(IdempotencyControlState& aState, const StoreWriteCompleted& aEvent, Instant aNow);

// Performs the actions that are due at `aNow`.
ControlEffects
OnIdempotencyTimer(IdempotencyControlState& aState, Instant aNow);

} // namespace trefoil
