// The calls to the store for duties and version moves, and their results.
#pragma once

#include "trefoil/node/node_control_state.h"

namespace trefoil {

// Appends the store calls for the effects of duties.
void
AppendDutyEffects(ControlEffects& aEffects, const DutyEffects& aEffect, Instant aNow);

// Appends the store calls for the effects of a service's version move.
void
AppendMoveRecordCalls(NodeControlState& aState,
                      const ServiceId& aService,
                      const MoveEffects& aEffect,
                      ControlEffects& aEffects,
                      Instant aNow);

} // namespace trefoil
