// A deadline that one thread sets while others wait for it, e.g. the end of a host that stops.
//
//   AtomicDeadline end;
//   end.Set(Now() + kGrace);                          // in one thread
//   const Instant until = std::min(deadline, end.Read());  // in the others
//
// Thread-safe.
#pragma once

#include "trefoil/base/instant.h"

#include <atomic>

namespace trefoil {

class AtomicDeadline
{
public:
  void Set(Instant aDeadline) { mDeadline.store(aDeadline); }
  // Returns the deadline, or Instant::max() if it has not been set.
  Instant Read() const { return mDeadline.load(); }
  bool IsSet() const { return Read() != Instant::max(); }

private:
  std::atomic<Instant> mDeadline{ Instant::max() };
};

} // namespace trefoil
