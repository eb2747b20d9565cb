#include "trefoil/base/digest.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/verdict.h"

#include <catch2/catch.hpp>

namespace trefoil {
namespace {

TEST_CASE("A verdict says whether a request may have run")
{
  SECTION("each verdict has a name that parses to the same verdict")
  {
    for (const auto& entry : kVerdictNames) {
      CHECK(ParseVerdict(VerdictName(entry.mValue)) == entry.mValue);
    }
    SECTION("and an unknown name does not parse")
    {
      CHECK_FALSE(ParseVerdict("perhaps").has_value());
    }
  }
  SECTION("the combined verdict of two attempts is the less certain one")
  {
    CHECK(CombineVerdicts(Verdict::kNotRun, Verdict::kNotRun) == Verdict::kNotRun);
    CHECK(CombineVerdicts(Verdict::kNotRun, Verdict::kRan) == Verdict::kRan);
    CHECK(CombineVerdicts(Verdict::kMayHaveRun, Verdict::kRan) == Verdict::kMayHaveRun);
  }
}

TEST_CASE("An endpoint is an IPv4 address and a port")
{
  SECTION("a valid endpoint is parsed and formatted to the same text")
  {
    const auto endpoint = ParseEndpoint("127.0.1.1:8080");
    REQUIRE(endpoint.ok());
    CHECK(ToText(*endpoint) == "127.0.1.1:8080");
  }
  SECTION("an invalid endpoint is rejected")
  {
    for (const char* text : { "", "127.0.0.1", "localhost:80", "127.0.0.1:0", "127.0.0.1:70000" }) {
      CHECK_FALSE(ParseEndpoint(text).ok());
    }
  }
}

TEST_CASE("Digests are stable and comparisons are exact")
{
  CHECK(Sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(ConstantTimeEqual("abc", "abc"));
  CHECK_FALSE(ConstantTimeEqual("abc", "abd"));
  CHECK_FALSE(ConstantTimeEqual("abc", "abcd"));
  CHECK(RandomHex() != RandomHex());
  CHECK(RendezvousScore("a", "k") != RendezvousScore("b", "k"));
}

} // namespace
} // namespace trefoil
