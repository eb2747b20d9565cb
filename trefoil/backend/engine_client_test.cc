#include "trefoil/backend/engine_client.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

TEST_CASE("The events of an engine are parsed")
{
  SECTION("a token has its attempt, index and text")
  {
    const auto event = ParseEngineEvent(
      R"({"id":"a1","token_index":4,"choices":[{"index":0,"text":" pawn","finish_reason":null}]})");
    REQUIRE(event.ok());
    CHECK(event->mAttempt == AttemptId{ "a1" });
    CHECK(event->mIndex == 4);
    CHECK(event->mText == " pawn");
    CHECK(event->mFinishReason.empty());
  }
  SECTION("the text of a chat token is in a delta")
  {
    const auto event = ParseEngineEvent(
      R"({"id":"a1","token_index":0,"choices":[{"delta":{"content":"x"},"finish_reason":"stop"}]})");
    REQUIRE(event.ok());
    CHECK(event->mText == "x");
    CHECK(event->mFinishReason == "stop");
  }
  SECTION("the end marker ends the stream")
  {
    CHECK(ParseEngineEvent("[DONE]").value().mKind == EngineEventKind::kEnd);
  }
  SECTION("an engine that will be reclaimed reports it in the stream")
  {
    const auto event = ParseEngineEvent(R"({"id":"a1","leaving_ms":1500})");
    REQUIRE(event.ok());
    CHECK(event->mKind == EngineEventKind::kLeaving);
    CHECK(event->mNoticeMilliseconds == 1500);
  }
  SECTION("any other data is an error")
  {
    for (const char* data : { "", "x", "{}", "[]", R"({"id":"a","token_index":1,"choices":[]})" }) {
      CHECK_FALSE(ParseEngineEvent(data).ok());
    }
  }
}

TEST_CASE("A request to an engine contains the point at which to resume")
{
  const EngineRequest call{ .mAttempt = AttemptId{ "a2" },
                            .mBody = R"({"prompt":"p","temperature":0})",
                            .mGenerated = "x y",
                            .mFirstTokenIndex = 2 };
  const auto body = RenderEngineBody(call);
  REQUIRE(body.ok());
  CHECK(body->find(R"("first_index":2)") != std::string::npos);
  CHECK(body->find(R"("generated":"x y")") != std::string::npos);
  CHECK(body->find(R"("temperature":0)") != std::string::npos);
  CHECK(body->find(R"("stream":true)") != std::string::npos);
}

} // namespace
} // namespace trefoil
