#include "trefoil/eventlog/request_timeline.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

using std::chrono::milliseconds;

std::vector<LogLine>
Parse(const std::vector<std::string>& aTexts)
{
  std::vector<LogLine> lines;
  for (const std::string& text : aTexts) {
    const auto line = ParseLogLine(text);
    REQUIRE(line.has_value());
    lines.push_back(*line);
  }
  return lines;
}

SCENARIO("a log line is parsed")
{
  WHEN("it is a gateway's line with a prefix of a log collector")
  {
    const auto line = ParseLogLine(
      "  1.3 node-1 2026-08-05T16:29:31.029+00:00 host=h1 event=input_rejected input=peer "
      "reason=\"no such host\" id=7");
    THEN("its time, host, event and fields are extracted")
    {
      REQUIRE(line.has_value());
      CHECK(line->mAt.count() % 1'000 == 29);
      CHECK(line->mHost == "h1");
      CHECK(line->mEvent == "input_rejected");
      CHECK(line->mFields.at("reason") == "no such host");
      CHECK(line->mFields.at("id") == "7");
      CHECK(line->mText == "input=peer reason=\"no such host\" id=7");
    }
  }
  WHEN("it is other text")
  {
    THEN("it is not parsed")
    {
      CHECK_FALSE(ParseLogLine("").has_value());
      CHECK_FALSE(ParseLogLine("panic at host=7").has_value());
      CHECK_FALSE(ParseLogLine("2026-08-05T16:29:31.029+00:00 host=h1 started").has_value());
    }
  }
}

SCENARIO("an engineer requests the timeline of a request")
{
  std::vector<std::string> texts{
    "2026-08-05T10:00:00.000+00:00 host=h1 event=servers_changed server=e1 phase=gone revision=9",
    "2026-08-05T10:00:00.010+00:00 host=h2 event=servers_changed server=e1 phase=gone revision=9",
    "2026-08-05T10:00:07.000+00:00 host=h3 event=servers_changed server=e1 phase=gone revision=9",
    "2026-08-05T10:00:00.500+00:00 host=h1 event=attempt_failed id=a server=e1 end=broken ms=400",
    "2026-08-05T10:00:00.900+00:00 host=h1 event=request_done id=a status=200 server=e2 ms=800",
    "2026-08-05T10:00:00.700+00:00 host=h1 event=request_done id=b status=200 server=e1 ms=5",
    "2026-08-05T10:00:07.300+00:00 host=h3 event=server_avoided server=e1 service=s reason=silent",
    "2026-08-05T09:59:00.000+00:00 host=h1 event=dependency_lost dependency=store watch=servers",
    "2026-08-05T10:00:00.200+00:00 host=h1 event=peers_changed in_touch=1 hosts=3",
  };
  GIVEN("lines of three hosts, one of which has a clock that is seven seconds ahead")
  {
    const auto lines = Parse(texts);
    THEN("the clock offset is computed from the change that all hosts logged")
    {
      const auto clockOffsets = ClockOffsets(lines);
      CHECK(clockOffsets.at("h1") == milliseconds{ 0 });
      CHECK(clockOffsets.at("h3") == milliseconds{ 6'990 });
    }
    WHEN("lines have the id of the request")
    {
      const auto timeline = BuildTimeline(lines, "a");
      THEN("they are in order, together with the state changes of its servers and hosts")
      {
        std::vector<std::string> hostEvents;
        for (const TimelineEntry& line : timeline) {
          hostEvents.push_back(line.mLine->mHost + " " + line.mLine->mEvent);
        }
        CHECK(hostEvents == std::vector<std::string>{ "h1 servers_changed",
                                                      "h2 servers_changed",
                                                      "h3 servers_changed",
                                                      "h1 peers_changed",
                                                      "h3 server_avoided",
                                                      "h1 attempt_failed",
                                                      "h1 request_done" });
        CHECK(timeline.back().mOffset == milliseconds{ 800 });
        CHECK(timeline.back().mNamesRequest);
        CHECK_FALSE(timeline.front().mNamesRequest);
      }
    }
    WHEN("no line has the id of the request")
    {
      THEN("the timeline is empty")
      {
        CHECK(BuildTimeline(lines, "c").empty());
      }
    }
  }
}

} // namespace
} // namespace trefoil
