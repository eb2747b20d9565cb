// Converts between the evidence of the prompt crash tracker and prompt crash messages.
//
//   PromptCrashMessage message = ToPromptCrashMessage(self, evidence, now);
#pragma once

#include "trefoil/request/prompt_crash_tracker.h"
#include "trefoil/wire/prompt_crash_message.h"

namespace trefoil {

PromptCrashMessage
ToPromptCrashMessage(const HostId& aHost, const PromptCrashEvidence& aEvidence, Instant aNow);

PromptCrashEvidence
ToPromptCrashEvidence(const PromptCrashMessage& aMessage, Instant aNow);

} // namespace trefoil
