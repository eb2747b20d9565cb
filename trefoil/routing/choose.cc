#include "trefoil/routing/choose.h"

#include <algorithm>

namespace trefoil {
namespace {

constexpr unsigned kHalfBits = 32;

// Returns the index of the best candidate, ordered by `aLess`. The search starts at a random
// candidate, so that candidates that compare equal are chosen equally often.
template<typename Less>
std::size_t
FindBest(std::span<const Candidate> aCandidates, std::uint64_t aRandom, Less aLess)
{
  const std::size_t start = aRandom % aCandidates.size();
  std::size_t best = start;
  for (std::size_t step = 1; step < aCandidates.size(); ++step) {
    const std::size_t index = (start + step) % aCandidates.size();
    if (aLess(aCandidates[index], aCandidates[best])) {
      best = index;
    }
  }
  return best;
}

bool
HasFewerInFlight(const Candidate& aLeft, const Candidate& aRight)
{
  return aLeft.mInFlight < aRight.mInFlight;
}

bool
HasLowerScore(const Candidate& aLeft, const Candidate& aRight)
{
  return aLeft.mScore < aRight.mScore;
}

std::size_t
LessLoadedOfTwo(std::span<const Candidate> aCandidates, std::uint64_t aRandom)
{
  const std::size_t first = (aRandom >> kHalfBits) % aCandidates.size();
  const std::size_t second = (aRandom & UINT32_MAX) % aCandidates.size();
  return aCandidates[second].mInFlight < aCandidates[first].mInFlight ? second : first;
}

} // namespace

std::optional<std::size_t>
Choose(RoutingPolicy aPolicy, std::span<const Candidate> aCandidates, std::uint64_t aRandom)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  switch (aPolicy) {
    case RoutingPolicy::kRandom:
      return aRandom % aCandidates.size();
    case RoutingPolicy::kLeastInFlight:
      return FindBest(aCandidates, aRandom, HasFewerInFlight);
    case RoutingPolicy::kPowerOfTwo:
      return LessLoadedOfTwo(aCandidates, aRandom);
    case RoutingPolicy::kScored:
      return FindBest(aCandidates, aRandom, HasLowerScore);
  }
  return std::nullopt;
}

} // namespace trefoil
