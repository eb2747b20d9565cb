#include "trefoil/frontend/answer.h"
#include "trefoil/frontend/completion.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

TEST_CASE("A caller's completion request is read")
{
  SECTION("a good one")
  {
    const auto request = ParseCompletion(CompletionForm::kText,
                                         R"({"model":"rules","prompt":"castling?","stream":true})");
    REQUIRE(request.ok());
    CHECK(request->mService == ServiceId{ "rules" });
    CHECK(request->mPrompt == "castling?");
    CHECK(request->mStream);
  }
  SECTION("a good chat")
  {
    const auto request =
      ParseCompletion(CompletionForm::kChat,
                      R"({"model":"rules","messages":[{"role":"user","content":"castling?"}]})");
    REQUIRE(request.ok());
    CHECK(request->mPrompt == "user: castling?\n");
  }
  SECTION("a bad one is refused with a reason")
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
                              R"({"model":"m","prompt":"p","max_tokens":"many"})" }) {
      const auto request = ParseCompletion(CompletionForm::kText, body);
      CHECK_FALSE(request.ok());
      CHECK_FALSE(request.status().message().empty());
    }
    CHECK_FALSE(ParseCompletion(CompletionForm::kChat, R"({"model":"m","messages":["x"]})").ok());
  }
}

TEST_CASE("An answer says whether the request ran")
{
  const RequestId id{ "r1" };
  SECTION("a failure that did not run has the status of its reason")
  {
    const HttpAnswer answer = RenderFailure(
      id, { .mVerdict = Verdict::kNotRun, .mStatus = absl::ResourceExhaustedError("limit") });
    CHECK(answer.mStatus == 429);
    CHECK(HeaderValue(answer.mHeaders, "Retry-After") == "1");
    CHECK(HeaderValue(answer.mHeaders, kVerdictHeader) == "not_run");
    CHECK(answer.mBody.find(R"("verdict":"not_run")") != std::string::npos);
  }
  SECTION("one that may have run is a gateway timeout")
  {
    const HttpAnswer answer = RenderFailure(
      id, { .mVerdict = Verdict::kMayHaveRun, .mStatus = absl::UnavailableError("lost") });
    CHECK(answer.mStatus == 504);
    CHECK(HeaderValue(answer.mHeaders, kVerdictHeader) == "may_have_run");
  }
}

} // namespace
} // namespace trefoil
