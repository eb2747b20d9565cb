// Starts a daemon as soon as what it needs is there: a port that another process still uses and a
// settings file that is being written are waited for.
//
//   const StartResult result = StartWhenPossible(
//     { .mAttempt = [&] { return TryToStart(); },
//       .mOnWait = [&](const absl::Status& aReason) { log ... },
//       .mSignals = signals });
//   switch (result.mOutcome) { ... }
#pragma once

#include "absl/status/status.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/name_table.h"

#include <csignal>
#include <functional>

namespace trefoil {

// The exit status of a daemon that cannot start for another reason than its settings; for those it
// is kExitBadInput.
inline constexpr int kExitFailed = 1;

// How long a settings file that is missing or incomplete is waited for. Equals the default of the
// stop notice, which is not known without the file.
inline constexpr Milliseconds kSettingsWait{ 25'000 };

enum class StartOutcome
{
  // The attempt succeeded.
  kStarted,
  // The attempt failed for good, or temporarily until its deadline.
  kFailed,
  // A stop signal arrived during the wait.
  kStopped,
};

inline constexpr NameTable<StartOutcome, 3> kStartOutcomeNames{ {
  { StartOutcome::kStarted, "started" },
  { StartOutcome::kFailed, "failed" },
  { StartOutcome::kStopped, "stopped" },
} };

// The result of one attempt to start.
struct StartAttempt
{
  // OK if the daemon has started. Unavailable if it may start later; any other error is final.
  absl::Status mStatus;
  // Until when attempts that fail temporarily are repeated, as a value of SuspendAwareNow.
  Instant mRetryUntil;
  // The exit status of the process if the failure is final.
  int mExitStatus = kExitFailed;
};

// Returns the result of an attempt that could not read its settings file for the reason `aError`.
// It is temporary if MayBeIncomplete, so that a file which is being written is read again.
StartAttempt
SettingsFailure(const absl::Status& aError, Instant aStartedAt);

struct StartOptions
{
  std::function<StartAttempt()> mAttempt;
  // Called once, before the first wait, with the reason for it.
  std::function<void(const absl::Status& aReason)> mOnWait;
  // The signals that BlockDaemonSignals has blocked. SIGHUP ends a wait early, since the settings
  // file may be complete.
  sigset_t mSignals;
};

struct StartResult
{
  StartOutcome mOutcome = StartOutcome::kFailed;
  // The last attempt; empty if a stop signal arrived.
  StartAttempt mAttempt;
  // The signal that stopped the wait; 0 if there was none.
  int mSignal = 0;
};

// Calls the attempt until it succeeds, fails for good, its time to retry has passed, or a stop
// signal arrives; one that is pending already prevents the first attempt. Blocks meanwhile.
StartResult
StartWhenPossible(const StartOptions& aOptions);

} // namespace trefoil
