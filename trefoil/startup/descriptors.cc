#include "trefoil/startup/descriptors.h"

#include <algorithm>
#include <limits>
#include <sys/resource.h>

namespace trefoil {

std::size_t
DescriptorLimit()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return std::numeric_limits<std::size_t>::max();
  }
  return limit.rlim_cur;
}

std::size_t
DescriptorsLeft(const DescriptorLimits& aLimits)
{
  // One client and its server.
  constexpr std::size_t kMin = 2;
  return std::max(kMin, aLimits.mMax - std::min(aLimits.mMax, aLimits.mReserved));
}

} // namespace trefoil
