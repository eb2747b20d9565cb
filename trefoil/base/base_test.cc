#include "trefoil/base/digest.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/store_revision.h"
#include "trefoil/base/verdict.h"

#include <catch2/catch.hpp>
#include <limits>

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

TEST_CASE("Revisions are ordered over the lives of a store")
{
  const std::int64_t revision = MakeStoreRevision(3, 118);
  CHECK(EraOf(revision) == 3);
  CHECK(NumberOf(revision) == 118);
  CHECK(MakeStoreRevision(4, 1) > revision);
  CHECK(MakeStoreRevision(3, 119) > revision);

  SECTION("a store that states no era uses its own numbers")
  {
    CHECK(MakeStoreRevision(0, 118) == 118);
    CHECK(RevisionText(118) == "118");
    CHECK(RevisionText(revision) == "3/118");
  }
  SECTION("values out of range keep the order of eras")
  {
    constexpr std::int64_t kMax = std::numeric_limits<std::int64_t>::max();
    CHECK(MakeStoreRevision(3, kMax) < MakeStoreRevision(4, -5));
    CHECK(MakeStoreRevision(kMax, kMax) > MakeStoreRevision(4, kMax));
    CHECK(EraOf(MakeStoreRevision(-1, 7)) == 0);
  }
}

} // namespace
} // namespace trefoil
