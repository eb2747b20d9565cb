#include "trefoil/base/store_revision.h"

#include <algorithm>
#include <fmt/format.h>

namespace trefoil {
namespace {

// With 40 bits, a store can make 10,000 changes per second for three years.
constexpr int kNumberBits = 40;
constexpr std::int64_t kMaxNumber = (std::int64_t{ 1 } << kNumberBits) - 1;
constexpr std::int64_t kMaxEra = (std::int64_t{ 1 } << (62 - kNumberBits)) - 1;

} // namespace

std::int64_t
MakeStoreRevision(std::int64_t aEra, std::int64_t aNumber)
{
  return (std::clamp<std::int64_t>(aEra, 0, kMaxEra) << kNumberBits) +
         std::clamp<std::int64_t>(aNumber, 0, kMaxNumber);
}

std::int64_t
EraOf(std::int64_t aRevision)
{
  return aRevision >> kNumberBits;
}

std::int64_t
NumberOf(std::int64_t aRevision)
{
  return aRevision & kMaxNumber;
}

std::string
RevisionText(std::int64_t aRevision)
{
  return EraOf(aRevision) == 0 ? std::to_string(aRevision)
                               : fmt::format("{}/{}", EraOf(aRevision), NumberOf(aRevision));
}

} // namespace trefoil
