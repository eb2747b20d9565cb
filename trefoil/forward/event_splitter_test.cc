#include "trefoil/forward/cache_hints.h"
#include "trefoil/forward/event_splitter.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

SCENARIO("a stream of events is passed on")
{
  EventSplitter splitter;
  GIVEN("an event that arrives in two pieces")
  {
    CHECK(TakeWholeEvents(splitter, "id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.mLastId == "1");
    THEN("it is passed on once it is whole")
    {
      CHECK(TakeWholeEvents(splitter, "ta: b\n\n") == "id: 2\ndata: b\n\n");
      CHECK(splitter.mLastId == "2");
      CHECK(splitter.mRest.empty());
    }
    AND_THEN("a further run that repeats an event adds only what is new")
    {
      splitter.mRest.clear();
      CHECK(TakeWholeEvents(splitter, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n") ==
            "id: 2\ndata: b\n\n");
    }
  }
  GIVEN("events without ids")
  {
    THEN("all are passed on")
    {
      CHECK(TakeWholeEvents(splitter, "data: a\n\ndata: a\n\n") == "data: a\n\ndata: a\n\n");
      CHECK(splitter.mLastId.empty());
    }
  }
}

SCENARIO("a host remembers which servers read a prompt")
{
  CacheHints hints;
  const BackendServerId server{ "engine-1" };
  const Instant now{ std::chrono::hours{ 1 } };
  NoteRead(hints, "part", server, now);
  CHECK(Holds(ReadersOf(hints, "part"), server, now + std::chrono::seconds{ 10 }));
  CHECK_FALSE(Holds(ReadersOf(hints, "part"), BackendServerId{ "engine-2" }, now));
  CHECK_FALSE(Holds(ReadersOf(hints, "other"), server, now));
  THEN("it forgets them after a while")
  {
    CHECK_FALSE(Holds(ReadersOf(hints, "part"), server, now + std::chrono::minutes{ 1 }));
  }
}

} // namespace
} // namespace trefoil
