#include "trefoil/backend/load_answer.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

TEST_CASE("A backend server tells its load")
{
  SECTION("as a model engine does")
  {
    const auto load = ParseLoadAnswer(
      R"({"incarnation":7,"sequence":3,"leaving":true,"running":2,"version":"v1"})");
    REQUIRE(load.has_value());
    CHECK(load->mIncarnation == 7);
    CHECK(load->mLeaving);
    CHECK(load->mRunning == 2);
    CHECK(load->mVersion == VersionId{ "v1" });
  }
  SECTION("or answers something else, as a plain service may")
  {
    CHECK_FALSE(ParseLoadAnswer("app-1 answers /load\n").has_value());
    CHECK_FALSE(ParseLoadAnswer("[]").has_value());
    CHECK_FALSE(ParseLoadAnswer(R"({"sequence":3})").has_value());
  }
}

} // namespace
} // namespace trefoil
