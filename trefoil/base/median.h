// The median of a list of values.
//
//   Milliseconds median = Median(std::vector{ 3ms, 90ms, 4ms });   // 4 ms
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace trefoil {

// Returns the median; for an even number of values the higher of the two middle ones. `aValues`
// must not be empty.
template<typename Value>
Value
Median(std::vector<Value> aValues)
{
  const auto middle = aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

} // namespace trefoil
