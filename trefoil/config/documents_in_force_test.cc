#include "trefoil/config/documents_in_force.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <vector>

namespace trefoil {
namespace {

const ServiceId kService{ "rules" };

DocumentRevision
ValidDocument(std::uint64_t aRevision)
{
  return { .mService = kService,
           .mRevision = aRevision,
           .mText = "service = \"rules\"\n[[version]]\nversion = \"v1\"\nshare_percent = 100\n" };
}

DocumentRevision
InvalidDocument(std::uint64_t aRevision)
{
  return { .mService = kService, .mRevision = aRevision, .mText = "service = 1\n" };
}

TEST_CASE("A document comes into force")
{
  DocumentsInForce documents;
  REQUIRE(Apply(documents, ValidDocument(3)) == DocumentApplyResult::kInForce);
  const DocumentState& state = documents.mByService.at(kService);

  SECTION("and an older one never replaces it")
  {
    CHECK(Apply(documents, ValidDocument(2)) == DocumentApplyResult::kStale);
    CHECK(Apply(documents, ValidDocument(3)) == DocumentApplyResult::kStale);
    CHECK(state.mRevision == 3);
  }
  SECTION("and a newer invalid one is refused with a reason")
  {
    CHECK(Apply(documents, InvalidDocument(4)) == DocumentApplyResult::kRefused);
    CHECK(state.mRevision == 3);
    CHECK(state.mDocument != nullptr);
    CHECK_FALSE(state.mRefusal.empty());
    SECTION("until a valid one follows")
    {
      CHECK(Apply(documents, ValidDocument(5)) == DocumentApplyResult::kInForce);
      CHECK(state.mRefusal.empty());
    }
  }
  SECTION("and is removed by a deletion")
  {
    DocumentRevision deleted = ValidDocument(6);
    deleted.mDeleted = true;
    CHECK(Apply(documents, deleted) == DocumentApplyResult::kInForce);
    CHECK(state.mDocument == nullptr);
  }
  SECTION("but is refused under the name of another service")
  {
    DocumentRevision wrong = ValidDocument(7);
    wrong.mService = ServiceId{ "results" };
    CHECK(Apply(documents, wrong) == DocumentApplyResult::kRefused);
  }
}

TEST_CASE("The revision in force never decreases, whatever the order of revisions")
{
  const bool holds = rc::check([] {
    DocumentsInForce documents;
    std::uint64_t inForce = 0;
    const auto revisions =
      *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 20));
    for (const std::uint64_t revision : revisions) {
      const bool isValid = *rc::gen::arbitrary<bool>();
      Apply(documents, isValid ? ValidDocument(revision) : InvalidDocument(revision));
      RC_ASSERT(documents.mByService.at(kService).mRevision >= inForce);
      inForce = documents.mByService.at(kService).mRevision;
    }
  });
  CHECK(holds);
}

} // namespace
} // namespace trefoil
