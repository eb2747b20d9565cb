// Converts between reports about limits of servers and server limit messages.
//
//   ServerLimitMessage message = ToServerLimitMessage(self, RelayStage::kHosts, reports, now);
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/dispatch/server_limit.h"
#include "trefoil/wire/server_limit_message.h"

#include <vector>

namespace trefoil {

ServerLimitMessage
ToServerLimitMessage(const HostId& aHost,
                     RelayStage aStage,
                     const std::vector<LimitReport>& aReports,
                     Instant aNow);

// Entries whose limit is not a number of requests are left out.
std::vector<LimitReport>
ToLimitReports(const ServerLimitMessage& aMessage, Instant aNow);

} // namespace trefoil
