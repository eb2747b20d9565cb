// Which of two reports of a backend server prevails.
#pragma once

#include "trefoil/wire/health_message.h"

namespace trefoil {

// Merges `aOther` into `aReport`. Any order of the same merges gives the same states. Returns
// whether anything changed.
bool
MergeReport(ServerReport& aReport, const ServerReport& aOther);

} // namespace trefoil
