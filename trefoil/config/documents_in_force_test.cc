#include "trefoil/config/documents_in_force.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

namespace trefoil {
namespace {

const ServiceId kService{ "rules" };

DocumentRevision
Good(std::uint64_t aRevision)
{
  return { .mService = kService,
           .mRevision = aRevision,
           .mText = "service = \"rules\"\n[[version]]\nversion = \"v1\"\nshare_percent = 100\n" };
}

DocumentRevision
Bad(std::uint64_t aRevision)
{
  return { .mService = kService, .mRevision = aRevision, .mText = "service = 1\n" };
}

TEST_CASE("A document comes into force")
{
  DocumentsInForce documents;
  REQUIRE(Apply(documents, Good(3)) == DocumentFate::kInForce);
  const DocumentState& state = documents.mByService.at(kService);

  SECTION("and an older one never takes its place")
  {
    CHECK(Apply(documents, Good(2)) == DocumentFate::kStale);
    CHECK(Apply(documents, Good(3)) == DocumentFate::kStale);
    CHECK(state.mRevision == 3);
  }
  SECTION("and a bad newer one is refused visibly")
  {
    CHECK(Apply(documents, Bad(4)) == DocumentFate::kRefused);
    CHECK(state.mRevision == 3);
    CHECK(state.mDocument != nullptr);
    CHECK_FALSE(state.mRefusal.empty());
    SECTION("until it is mended")
    {
      CHECK(Apply(documents, Good(5)) == DocumentFate::kInForce);
      CHECK(state.mRefusal.empty());
    }
  }
  SECTION("and a deleted one is gone")
  {
    DocumentRevision deleted = Good(6);
    deleted.mDeleted = true;
    CHECK(Apply(documents, deleted) == DocumentFate::kInForce);
    CHECK(state.mDocument == nullptr);
  }
  SECTION("but not under another service's name")
  {
    DocumentRevision wrong = Good(7);
    wrong.mService = ServiceId{ "results" };
    CHECK(Apply(documents, wrong) == DocumentFate::kRefused);
  }
}

TEST_CASE("Whatever arrives in whatever order, the revision in force never goes down")
{
  const bool holds = rc::check([] {
    DocumentsInForce documents;
    std::uint64_t inForce = 0;
    const auto revisions =
      *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 20));
    for (const std::uint64_t revision : revisions) {
      const bool good = *rc::gen::arbitrary<bool>();
      Apply(documents, good ? Good(revision) : Bad(revision));
      RC_ASSERT(documents.mByService.at(kService).mRevision >= inForce);
      inForce = documents.mByService.at(kService).mRevision;
    }
  });
  CHECK(holds);
}

} // namespace
} // namespace trefoil
