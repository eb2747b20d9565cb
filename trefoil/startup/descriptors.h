// Divides the descriptors that a process may open.
//
//   const std::size_t left = DescriptorsLeft({ .mMax = DescriptorLimit(), .mReserved = 60 });
//
// Thread-safe.
#pragma once

#include <cstddef>

namespace trefoil {

// Returns the number of descriptors that the system lets the process have open.
std::size_t
DescriptorLimit();

struct DescriptorLimits
{
  // All descriptors of the process.
  std::size_t mMax = 0;
  // Those that are kept for files, listeners, the log and calls to the store and to other hosts.
  std::size_t mReserved = 0;
};

// Returns the descriptors that are left for connections, 2 at least.
std::size_t
DescriptorsLeft(const DescriptorLimits& aLimits);

} // namespace trefoil
