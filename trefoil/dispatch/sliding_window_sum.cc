#include "trefoil/dispatch/sliding_window_sum.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace trefoil {
namespace {

// Number of slices in a window. The sum covers at most 1/32 more than the window.
constexpr int kSlicesPerWindow = 32;

void
AdvanceWindow(SlidingWindowSum& aSum, Instant aNow)
{
  const std::int64_t slice = aNow.time_since_epoch() / aSum.mSliceLength;
  const auto size = static_cast<std::int64_t>(aSum.mSlices.size());
  if (slice - aSum.mNewestSlice >= size) {
    std::ranges::fill(aSum.mSlices, 0);
    aSum.mNewestSlice = slice;
  }
  while (aSum.mNewestSlice < slice) {
    ++aSum.mNewestSlice;
    aSum.mSlices[static_cast<std::size_t>(aSum.mNewestSlice % size)] = 0;
  }
}

} // namespace

SlidingWindowSum
MakeSlidingWindowSum(Instant::duration aWindow)
{
  return { .mSliceLength = aWindow / kSlicesPerWindow,
           .mSlices = std::vector<double>(kSlicesPerWindow + 1, 0.0) };
}

void
AddToWindow(SlidingWindowSum& aSum, double aAmount, Instant aNow)
{
  AdvanceWindow(aSum, aNow);
  const auto size = static_cast<std::int64_t>(aSum.mSlices.size());
  aSum.mSlices[static_cast<std::size_t>(aSum.mNewestSlice % size)] += aAmount;
}

double
WindowSum(SlidingWindowSum& aSum, Instant aNow)
{
  AdvanceWindow(aSum, aNow);
  return std::accumulate(aSum.mSlices.begin(), aSum.mSlices.end(), 0.0);
}

} // namespace trefoil
