// Makes the system refuse new threads for the lifetime of the guard: no address space has room for
// their stacks. Threads with a stack size of their own, as those of connections, still start.
#pragma once

#include <cstddef>
#include <pthread.h>

namespace trefoil::standin {

struct NoThreads
{
  NoThreads()
  {
    pthread_getattr_default_np(&mPrevious);
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, std::size_t{ 1 } << 50U);
    pthread_setattr_default_np(&attributes);
    pthread_attr_destroy(&attributes);
  }
  ~NoThreads() { pthread_setattr_default_np(&mPrevious); }
  NoThreads(const NoThreads&) = delete;
  NoThreads& operator=(const NoThreads&) = delete;

  pthread_attr_t mPrevious{};
};

} // namespace trefoil::standin
