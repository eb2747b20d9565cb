// Blocks the signals that a daemon handles. Uses the C library alone, so that the launcher of a
// daemon needs no other.
//
//   const sigset_t signals = BlockDaemonSignals();    // first in main
#pragma once

#include <csignal>

namespace trefoil {

// Blocks SIGTERM, SIGINT and SIGHUP in this thread, in the threads that it starts later and in a
// program that it executes, and ignores SIGPIPE. A blocked signal stays pending until AwaitSignal
// receives it, so none is lost and none takes its default action, which would end the process.
// Returns the blocked signals.
sigset_t
BlockDaemonSignals();

} // namespace trefoil
