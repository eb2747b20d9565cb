#include "trefoil/dispatch/sliding_count.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace trefoil {
namespace {

// Slices in a window: the sum covers at most a thirty-second more than the window.
constexpr int kSlicesPerWindow = 32;

void
Advance(SlidingCount& aCount, Instant aNow)
{
  const std::int64_t slice = aNow.time_since_epoch() / aCount.mSlice;
  const auto size = static_cast<std::int64_t>(aCount.mSlices.size());
  if (slice - aCount.mNewest >= size) {
    std::ranges::fill(aCount.mSlices, 0);
    aCount.mNewest = slice;
  }
  while (aCount.mNewest < slice) {
    ++aCount.mNewest;
    aCount.mSlices[static_cast<std::size_t>(aCount.mNewest % size)] = 0;
  }
}

} // namespace

SlidingCount
MakeSlidingCount(Instant::duration aWindow)
{
  return { .mSlice = aWindow / kSlicesPerWindow,
           .mSlices = std::vector<double>(kSlicesPerWindow + 1, 0.0) };
}

void
Add(SlidingCount& aCount, double aAmount, Instant aNow)
{
  Advance(aCount, aNow);
  const auto size = static_cast<std::int64_t>(aCount.mSlices.size());
  aCount.mSlices[static_cast<std::size_t>(aCount.mNewest % size)] += aAmount;
}

double
Sum(SlidingCount& aCount, Instant aNow)
{
  Advance(aCount, aNow);
  return std::accumulate(aCount.mSlices.begin(), aCount.mSlices.end(), 0.0);
}

} // namespace trefoil
