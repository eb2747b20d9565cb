#include "trefoil/startup/startup.h"

#include "trefoil/command_line/command_line.h"
#include "trefoil/settings/toml_reader.h"
#include "trefoil/startup/signals.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// The time between two attempts. A process that is waited for ends within seconds.
constexpr Milliseconds kRetryInterval{ 50 };

} // namespace

StartAttempt
SettingsFailure(const absl::Status& aError, Instant aStartedAt)
{
  return { .mStatus = MayBeIncomplete(aError) ? absl::UnavailableError(aError.message()) : aError,
           .mRetryUntil = aStartedAt + kSettingsWait,
           .mExitStatus = kExitBadInput };
}

StartResult
StartWhenPossible(const StartOptions& aOptions)
{
  bool waited = false;
  Instant nextAttemptAt;
  for (;;) {
    const auto signal = AwaitSignal(aOptions.mSignals, nextAttemptAt);
    if (signal.has_value() && IsStopSignal(*signal)) {
      return { .mOutcome = StartOutcome::kStopped, .mSignal = *signal };
    }
    StartAttempt attempt = aOptions.mAttempt();
    if (attempt.mStatus.ok()) {
      return { .mOutcome = StartOutcome::kStarted, .mAttempt = std::move(attempt) };
    }
    const Instant now = SuspendAwareNow();
    if (!absl::IsUnavailable(attempt.mStatus) || HasPassed(attempt.mRetryUntil, now)) {
      return { .mOutcome = StartOutcome::kFailed, .mAttempt = std::move(attempt) };
    }
    if (!std::exchange(waited, true)) {
      aOptions.mOnWait(attempt.mStatus);
    }
    nextAttemptAt = std::min(attempt.mRetryUntil, now + kRetryInterval);
  }
}

} // namespace trefoil
