// Carries out what one entry host at a time does for all: usage reports, orders and version moves.
#pragma once

#include "trefoil/steering/control_state.h"

namespace trefoil {

// Begins to stand ready for the duties.
void
JoinDuties(ControlState& aState);

// Gives them up.
void
LeaveDuties(ControlState& aState);

// Another host says that it holds the duties.
void
OnHolderHeard(ControlState& aState);

// Does what is due if this host holds the duties.
void
WorkOnDuties(ControlState& aState);

} // namespace trefoil
