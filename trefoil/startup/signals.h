// The signals that a daemon handles: SIGTERM and SIGINT stop it, SIGHUP makes it read its settings
// file again.
//
//   const sigset_t signals = BlockDaemonSignals();    // first in main
//   while (true) {
//     const std::optional<int> signal = AwaitSignal(signals, SuspendAwareNow() + kInterval);
//     if (signal.has_value() && IsStopSignal(*signal)) {
//       break;
//     }
//   }
#pragma once

#include "trefoil/base/instant.h"
#include "trefoil/startup/block_signals.h"

#include <csignal>
#include <optional>

namespace trefoil {

// Waits for one of the blocked signals `aSignals` and returns it. Returns std::nullopt if none
// arrives before `aDeadline`, a value of SuspendAwareNow. Not thread-safe.
std::optional<int>
AwaitSignal(const sigset_t& aSignals, Instant aDeadline);

bool
IsStopSignal(int aSignal);

} // namespace trefoil
