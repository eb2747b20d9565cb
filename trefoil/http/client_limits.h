// What a client may send, and how long it may take.
//
//   const ClientLimits limits{ .mMaxBodyBytes = 1'000'000 };
#pragma once

#include "trefoil/base/instant.h"

#include <cstddef>

namespace trefoil {

struct ClientLimits
{
  std::size_t mMaxHeadBytes = std::size_t{ 16 } * 1024;
  std::size_t mMaxBodyBytes = std::size_t{ 4 } * 1024 * 1024;
  // From the first byte of a request to its last one.
  Milliseconds mHeadTimeout{ 3'000 };
  // From the end of an answer, or from the connect, to the first byte of a request.
  Milliseconds mIdleTimeout{ 15'000 };
};

} // namespace trefoil
