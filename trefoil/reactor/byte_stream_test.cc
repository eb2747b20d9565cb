#include "trefoil/reactor/byte_stream.h"

#include <catch2/catch.hpp>
#include <string>

namespace trefoil {
namespace {

// Guards against connections that keep the memory of the largest message that they carried.
SCENARIO("a buffer of a connection releases its memory when it is empty")
{
  std::string buffer(100'000, 'x');
  GIVEN("a buffer that has held much")
  {
    buffer.clear();
    ShrinkIfEmpty(buffer);
    THEN("it keeps little")
    {
      CHECK(buffer.capacity() <= kMaxIdleCapacity);
    }
  }
  GIVEN("a buffer that still holds something")
  {
    buffer.resize(1);
    ShrinkIfEmpty(buffer);
    THEN("its contents stay")
    {
      CHECK(buffer == "x");
    }
  }
}

} // namespace
} // namespace trefoil
