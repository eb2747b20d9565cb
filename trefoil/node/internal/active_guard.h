// Counts a request as active for the lifetime of the guard.
//
//   const ActiveGuard active{ *context.mActiveRequests };
#pragma once

#include <atomic>
#include <cstdint>

namespace trefoil {

class ActiveGuard
{
public:
  explicit ActiveGuard(std::atomic<std::int64_t>& aActive)
    : mActiveRequests(aActive)
  {
    ++mActiveRequests;
  }
  ~ActiveGuard() { --mActiveRequests; }
  ActiveGuard(const ActiveGuard&) = delete;
  ActiveGuard& operator=(const ActiveGuard&) = delete;

private:
  std::atomic<std::int64_t>& mActiveRequests;
};

} // namespace trefoil
