// A sum of amounts over a sliding time window.
//
//   SlidingWindowSum requests = MakeSlidingWindowSum(std::chrono::seconds{ 10 });
//   AddToWindow(requests, 1, now);
//   double sum = WindowSum(requests, now);
//
// Time is divided into slices of equal length. The sum covers the window and up to one more
// slice, so that it always includes everything inside the window. Plain data and pure
// functions.
#pragma once

#include "trefoil/base/instant.h"

#include <cstdint>
#include <vector>

namespace trefoil {

struct SlidingWindowSum
{
  Instant::duration mSliceLength{ 0 };
  // A ring buffer with one sum for each slice; the newest slice is at index mNewestSlice modulo
  // the size.
  std::vector<double> mSlices;
  std::int64_t mNewestSlice = 0;
};

// Returns an empty sum over the last `aWindow`.
SlidingWindowSum
MakeSlidingWindowSum(Instant::duration aWindow);

void
AddToWindow(SlidingWindowSum& aSum, double aAmount, Instant aNow);

// Returns the sum of the amounts added in the window that ends at `aNow`.
double
WindowSum(SlidingWindowSum& aSum, Instant aNow);

} // namespace trefoil
