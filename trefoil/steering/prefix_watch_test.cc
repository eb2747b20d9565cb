#include "trefoil/steering/prefix_watch.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

// Guards against requests to servers that have said they leave: a watch whose answer is lost alone,
// so that no other call shows it, must end early enough (DRAIN).
SCENARIO("a watch is bounded by how soon changes must be known")
{
  const PrefixWatchOptions options{ .mPrefix = "servers/",
                                    .mWait = Milliseconds{ 5'000 },
                                    .mBatchDelay = Milliseconds{ 500 } };
  WHEN("changes must be known within 5 s")
  {
    const Milliseconds wait = BoundedWait(options, Milliseconds{ 5'000 });
    THEN("a lost watch has ended and was repeated before that")
    {
      CHECK(wait + options.mAnswerMargin + options.mBatchDelay < Milliseconds{ 5'000 });
      CHECK(wait >= Milliseconds{ 1'000 });
    }
  }
  WHEN("changes may be known much later")
  {
    THEN("the store holds the watch open as long as configured")
    {
      CHECK(BoundedWait(options, Milliseconds{ 60'000 }) == options.mWait);
    }
  }
  WHEN("changes must be known sooner than a call can time out")
  {
    THEN("the store still waits a little, so that calls do not follow each other immediately")
    {
      CHECK(BoundedWait(options, Milliseconds{ 500 }) > Milliseconds{ 0 });
    }
  }
}

} // namespace
} // namespace trefoil
