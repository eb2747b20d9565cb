// Converts between the evidence of the prompt crash tracker and prompt crash messages.
//
//   CrashEvidenceMessage message = ToCrashEvidenceMessage(self, evidence, now);
#pragma once

#include "trefoil/request/crash_tracker.h"
#include "trefoil/wire/crash_evidence_message.h"

namespace trefoil {

CrashEvidenceMessage
ToCrashEvidenceMessage(const HostId& aHost, const CrashEvidence& aEvidence, Instant aNow);

CrashEvidence
ToCrashEvidence(const CrashEvidenceMessage& aMessage, Instant aNow);

} // namespace trefoil
