// Sets up the allocator of a daemon, and reports the memory of the machine.
//
//   ConfigureAllocator();                    // before the first thread is started
//   const std::size_t bytes = MachineMemory(settings.mMemoryBytes);
#pragma once

#include <cstddef>
#include <cstdint>

namespace trefoil {

// Makes the C library return the memory of large buffers to the system when they are freed, and
// keep few arenas. By default it keeps what was freed once a buffer of its size has been freed, up
// to 32 MB each.
void
ConfigureAllocator();

// Returns the memory that the process may use: `aStatedBytes`, or what the system reports if that
// is 0.
std::size_t
MachineMemory(std::int64_t aStatedBytes);

} // namespace trefoil
