// A sum over the newest part of time.
//
//   SlidingCount count = MakeSlidingCount(std::chrono::seconds{ 10 });
//   Add(count, 1, now);
//   double sum = Sum(count, now);
//
// Time is cut into slices; the sum covers the window and up to one slice more, so that it never
// misses what happened inside the window. Plain data and pure functions.
#pragma once

#include "trefoil/base/instant.h"

#include <cstdint>
#include <vector>

namespace trefoil {

struct SlidingCount
{
  Instant::duration mSlice{ 0 };
  // A ring; the newest slice is mNewest modulo its size.
  std::vector<double> mSlices;
  std::int64_t mNewest = 0;
};

SlidingCount
MakeSlidingCount(Instant::duration aWindow);

void
Add(SlidingCount& aCount, double aAmount, Instant aNow);

double
Sum(SlidingCount& aCount, Instant aNow);

} // namespace trefoil
