// The calls to the store that duties and version moves need, and their ends.
#pragma once

#include "trefoil/node/control_state.h"

namespace trefoil {

// Adds the calls that the effects of the duties stand for.
void
AddDutyEffects(ControlEffects& aEffects, const DutyEffects& aWanted, Instant aNow);

// Adds the calls that the effects of a service's move stand for.
void
AddMoveEffects(ControlState& aState,
               const ServiceId& aService,
               const MoveEffects& aWanted,
               ControlEffects& aEffects,
               Instant aNow);

} // namespace trefoil
