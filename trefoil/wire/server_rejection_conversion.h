// Converts between reports about rejections of brittle servers and their messages.
//
//   auto message = ToServerRejectionMessage(self, RelayStage::kHosts, reports, now);
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/dispatch/brittle_server.h"
#include "trefoil/wire/server_rejection_message.h"

#include <vector>

namespace trefoil {

ServerRejectionMessage
ToServerRejectionMessage(const HostId& aHost,
                         RelayStage aStage,
                         const std::vector<RejectionReport>& aReports,
                         Instant aNow);

std::vector<RejectionReport>
ToRejectionReports(const ServerRejectionMessage& aMessage, Instant aNow);

} // namespace trefoil
