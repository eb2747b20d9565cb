#include "trefoil/frontend/completion.h"
#include "trefoil/frontend/verdict_response.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>
#include <string>
#include <utility>
#include <vector>

namespace trefoil {
namespace {

TEST_CASE("A completion request is parsed and checked")
{
  SECTION("a valid text request is accepted")
  {
    const auto request = ParseCompletion(CompletionApi::kText,
                                         R"({"model":"rules","prompt":"castling?","stream":true})");
    REQUIRE(request.ok());
    CHECK(request->mService == ServiceId{ "rules" });
    CHECK(request->mPrompt == "castling?");
    CHECK(request->mStream);
  }
  SECTION("a valid chat request is accepted")
  {
    const auto request =
      ParseCompletion(CompletionApi::kChat,
                      R"({"model":"rules","messages":[{"role":"user","content":"castling?"}]})");
    REQUIRE(request.ok());
    CHECK(request->mPrompt == "user: castling?\n");
  }
  SECTION("an invalid request is rejected with a reason")
  {
    for (const char* body : { "",
                              "[]",
                              "{",
                              R"({"prompt":"p"})",
                              R"({"model":3,"prompt":"p"})",
                              R"({"model":"m"})",
                              R"({"model":"m","prompt":["a"]})",
                              R"({"model":"m","prompt":"p","stream":1})",
                              R"({"model":"m","prompt":"p","max_tokens":0})",
                              R"({"model":"m","prompt":"p","max_tokens":"many"})",
                              R"({"model":"m","prompt":"p","max_tokens":99999999999})",
                              R"({"model":"m","prompt":"p","stream_options":7})",
                              R"({"model":"m","prompt":"p","stream_options":{"include_usage":7}})",
                              R"("text")",
                              "7",
                              "null" }) {
      const auto request = ParseCompletion(CompletionApi::kText, body);
      CHECK_FALSE(request.ok());
      CHECK_FALSE(request.status().message().empty());
    }
    for (const char* messages : { R"(["x"])",
                                  "[]",
                                  "{}",
                                  R"([{"role":"user"}])",
                                  R"([{"role":1,"content":"x"}])",
                                  R"([{"role":"user","content":null}])" }) {
      const std::string body = fmt::format(R"({{"model":"m","messages":{}}})", messages);
      CHECK_FALSE(ParseCompletion(CompletionApi::kChat, body).ok());
    }
    CHECK_FALSE(ParseCompletion(CompletionApi::kText, std::string(100'000, '[')).ok());
  }
}

TEST_CASE("A body of arbitrary bytes is parsed or rejected with a reason")
{
  const std::string validBody = R"({"model":"m","prompt":"p","stream":true,"max_tokens":4})";
  const bool holds = rc::check([&validBody] {
    std::string body = validBody;
    const auto changes =
      *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(rc::gen::pair(
        rc::gen::inRange<std::size_t>(0, validBody.size()), rc::gen::arbitrary<char>()));
    for (const auto& [position, character] : changes) {
      body[position] = character;
    }
    body.resize(*rc::gen::inRange<std::size_t>(0, body.size() + 1));
    for (const auto form : { CompletionApi::kText, CompletionApi::kChat }) {
      const auto request = ParseCompletion(form, body);
      RC_ASSERT(request.ok() || !request.status().message().empty());
    }
    ParseEngineEvent(body).IgnoreError();
  });
  CHECK(holds);
}

TEST_CASE("Stream events have the format that callers expect")
{
  const auto request =
    ParseCompletion(CompletionApi::kChat,
                    R"({"model":"rules","messages":[{"role":"user","content":"x"}],
                                           "stream":true,"stream_options":{"include_usage":true}})");
  REQUIRE(request.ok());
  const RequestId id{ "r1" };

  SECTION("only the first delta contains the role")
  {
    const std::string first = RenderTokenEvent(*request, id, { .mIndex = 0, .mText = "a" });
    CHECK(first.starts_with("id: 0\ndata: {"));
    CHECK(first.find(R"("role":"assistant")") != std::string::npos);
    CHECK(RenderTokenEvent(*request, id, { .mIndex = 1, .mText = "b" }).find("role") ==
          std::string::npos);
  }
  SECTION("requested usage is rendered as an event with the token counts")
  {
    REQUIRE(request->mIncludeUsage);
    const std::string event =
      RenderUsageEvent(*request, id, { .mPromptTokens = 3, .mCompletionTokens = 4 });
    CHECK(event.find(R"("choices":[])") != std::string::npos);
    CHECK(event.find(R"("total_tokens":7)") != std::string::npos);
  }
  SECTION("the moved event contains the path to resume the stream")
  {
    const std::string event = RenderMovedEvent(id, "/v1/requests/r1", 7);
    CHECK(event.starts_with("event: moved\n"));
    CHECK(event.find("requests\\/r1") + event.find("requests/r1") != 2 * std::string::npos);
  }
}

TEST_CASE("A failure response reports whether the request ran")
{
  const RequestId id{ "r1" };
  SECTION("for a request that did not run, the status code determines the HTTP status")
  {
    const HttpResponse response = RenderFailure(
      id, { .mVerdict = Verdict::kNotRun, .mStatus = absl::ResourceExhaustedError("limit") });
    CHECK(response.mStatus == 429);
    CHECK(HeaderValue(response.mHeaders, "Retry-After") == "1");
    CHECK(HeaderValue(response.mHeaders, kVerdictHeader) == "not_run");
    CHECK(response.mBody.find(R"("verdict":"not_run")") != std::string::npos);
  }
  SECTION("for a request that may have run, the HTTP status is 504")
  {
    const HttpResponse response = RenderFailure(
      id, { .mVerdict = Verdict::kMayHaveRun, .mStatus = absl::UnavailableError("lost") });
    CHECK(response.mStatus == 504);
    CHECK(HeaderValue(response.mHeaders, kVerdictHeader) == "may_have_run");
  }
}

} // namespace
} // namespace trefoil
