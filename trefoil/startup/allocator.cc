#include "trefoil/startup/allocator.h"

#include <malloc.h>
#include <unistd.h>

namespace trefoil {

void
ConfigureAllocator()
{
  // The C library's own first values, which it raises unless they are set.
  constexpr int kOwnMappingBytes = 128 * 1024;
  constexpr int kKeptBytes = 128 * 1024;
  constexpr int kArenas = 2;
  mallopt(M_MMAP_THRESHOLD, kOwnMappingBytes);
  mallopt(M_TRIM_THRESHOLD, kKeptBytes);
  mallopt(M_ARENA_MAX, kArenas);
}

std::size_t
MachineMemory(std::int64_t aStatedBytes)
{
  if (aStatedBytes > 0) {
    return static_cast<std::size_t>(aStatedBytes);
  }
  return static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) *
         static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace trefoil
