// Merge of the reports of a backend server, independent of their order of arrival.
#pragma once

#include "trefoil/wire/health_message.h"

namespace trefoil {

// Merges `aOther` into `aReport`; both must be of the same server. Any order of the same merges
// gives the same state. Of two reports with the same incarnation and sequence only the worse state
// is merged. Returns whether `aReport` changed.
bool
MergeReport(ServerReport& aReport, const ServerReport& aOther);

} // namespace trefoil
