// Counts the allocations of a thread and lets single ones fail. A program that links this package
// gets its operator new and operator delete.
//
//   standin::FailAllocation(3);                 // the third one from now on
//   CallThatAllocates();
//   standin::FailAllocation(0);
#pragma once

#include <cstdint>

namespace trefoil::standin {

// Returns the number of allocations of the current thread so far.
std::int64_t
CountAllocations();

// Lets the `aNumber`-th allocation of the current thread from now on fail with std::bad_alloc,
// counted from 1. Lets none fail if `aNumber` is 0.
void
FailAllocation(int aNumber);

} // namespace trefoil::standin
