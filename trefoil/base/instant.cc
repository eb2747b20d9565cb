#include "trefoil/base/instant.h"

#include <ctime>

namespace trefoil {

Instant
SuspendAwareNow()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant{ std::chrono::seconds{ time.tv_sec } + std::chrono::nanoseconds{ time.tv_nsec } };
}

} // namespace trefoil
