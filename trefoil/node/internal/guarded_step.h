// Keeps an exception from ending the process.
//
//   while (!queue.Closed()) {
//     RunGuardedStep("control", [&] { ... });
//   }
#pragma once

#include <functional>
#include <string_view>

namespace trefoil {

// Runs one step of the loop of a thread. If an exception leaves it, logs the exception with the
// name of the thread, blocks for 100 ms, so that neither the thread spins nor the log fills if
// every step fails, and returns false.
bool
RunGuardedStep(std::string_view aThread, const std::function<void()>& aStep);

} // namespace trefoil
