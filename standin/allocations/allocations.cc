#include "standin/allocations/allocations.h"

#include <cstdlib>
#include <new>

namespace {

thread_local std::int64_t allocations = 0;
// The allocation that fails, counted from the next one; 0 for none.
thread_local int failingAllocation = 0;

} // namespace

// Takes the place of the library's function.
void*
operator new(std::size_t aSize)
{
  ++allocations;
  if (failingAllocation > 0 && --failingAllocation == 0) {
    throw std::bad_alloc{};
  }
  void* memory = std::malloc(aSize == 0 ? 1 : aSize);
  if (memory == nullptr) {
    throw std::bad_alloc{};
  }
  return memory;
}

void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void
operator delete(void* aMemory, std::size_t /*aSize*/) noexcept
{
  std::free(aMemory);
}

namespace trefoil::standin {

std::int64_t
CountAllocations()
{
  return allocations;
}

void
FailAllocation(int aNumber)
{
  failingAllocation = aNumber;
}

} // namespace trefoil::standin
