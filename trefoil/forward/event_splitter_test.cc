#include "trefoil/forward/cache_hints.h"
#include "trefoil/forward/event_splitter.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

SCENARIO("a stream of events is relayed")
{
  EventSplitter splitter;
  GIVEN("an event that arrives in two pieces")
  {
    CHECK(ExtractCompleteEvents(splitter, "id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.mLastId == "1");
    THEN("it is relayed once it is complete")
    {
      CHECK(ExtractCompleteEvents(splitter, "ta: b\n\n") == "id: 2\ndata: b\n\n");
      CHECK(splitter.mLastId == "2");
      CHECK(splitter.mPartialEvent.empty());
    }
    AND_THEN("only the new events of a repeated run are relayed")
    {
      splitter.mPartialEvent.clear();
      CHECK(ExtractCompleteEvents(splitter, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n") ==
            "id: 2\ndata: b\n\n");
    }
  }
  GIVEN("events whose lines end with CRLF")
  {
    THEN("they are relayed unchanged, as soon as they are complete")
    {
      CHECK(ExtractCompleteEvents(splitter, "id: 1\r\ndata: a\r\n\r").empty());
      CHECK(ExtractCompleteEvents(splitter, "\nid: 2\r\n") == "id: 1\r\ndata: a\r\n\r\n");
      CHECK(splitter.mLastId == "1");
      CHECK(ExtractCompleteEvents(splitter, "\r\n") == "id: 2\r\n\r\n");
    }
  }
  GIVEN("events without ids")
  {
    THEN("all of them are relayed")
    {
      CHECK(ExtractCompleteEvents(splitter, "data: a\n\ndata: a\n\n") == "data: a\n\ndata: a\n\n");
      CHECK(splitter.mLastId.empty());
    }
  }
}

SCENARIO("a host tracks which servers have the shared parts of a prompt in their cache")
{
  CacheHints hints;
  const BackendServerId server{ "engine-1" };
  const Instant now{ std::chrono::hours{ 1 } };
  RecordCacheHint(hints, "part", server, now);
  CHECK(IsLikelyCached(FindCacheHints(hints, "part"), server, now + std::chrono::seconds{ 10 }));
  CHECK_FALSE(IsLikelyCached(FindCacheHints(hints, "part"), BackendServerId{ "engine-2" }, now));
  CHECK_FALSE(IsLikelyCached(FindCacheHints(hints, "other"), server, now));
  THEN("an entry has expired after a minute without use")
  {
    CHECK_FALSE(
      IsLikelyCached(FindCacheHints(hints, "part"), server, now + std::chrono::minutes{ 1 }));
  }
}

} // namespace
} // namespace trefoil
