#include "trefoil/service/service_document.h"

#include "trefoil/base/digest.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace trefoil {
namespace {

std::string
ValidDocument()
{
  return fmt::format(R"(service = "results"
kind = "plain"

[[version]]
version = "v1"
share_percent = 100
move_by = 2027-01-31T18:00:00Z

[[account]]
account = "arbiters"
credential_sha256 = "{}"

[[backend_server]]
server = "app-1"
endpoint = "127.0.0.1:9100"
availability_zone = "zone-a"
version = "v1"

[[route]]
prefix = "/search"
method = "POST"
repeatable = true
)",
                     Sha256Hex("secret"));
}

std::string
ErrorMessageOf(const std::string& aText)
{
  const auto document = ParseServiceDocument(aText, "results");
  return document.ok() ? "" : std::string{ document.status().message() };
}

TEST_CASE("A service document is parsed and checked")
{
  SECTION("a valid document is accepted")
  {
    const auto document = ParseServiceDocument(ValidDocument(), "results");
    REQUIRE(document.ok());
    CHECK(document->mKind == ServiceKind::kPlain);
    CHECK(UnixMilliseconds(*document->mVersions.front().mMoveBy) == 1'801'418'400'000);

    SECTION("an account is found by its credential")
    {
      REQUIRE(FindAccount(*document, Sha256Hex("secret")) != nullptr);
      CHECK(FindAccount(*document, Sha256Hex("wrong")) == nullptr);
    }
    SECTION("the route decides whether a request is repeatable, otherwise the method does")
    {
      CHECK(RepeatableOf(*document, "POST", "/search/all") == Repeatable::kYes);
      CHECK(RepeatableOf(*document, "POST", "/record") == Repeatable::kNo);
      CHECK(RepeatableOf(*document, "GET", "/standings") == Repeatable::kYes);
    }
  }
  SECTION("an invalid document is rejected with the position of the error")
  {
    SECTION("when the shares do not add up to 100 percent")
    {
      CHECK(ErrorMessageOf("service = \"a\"\n[[version]]\nversion = \"v1\"\nshare_percent = 90\n")
              .find("add up to 90 percent") != std::string::npos);
    }
    SECTION("when a key is unknown inside a table")
    {
      const std::string message = ErrorMessageOf(ValidDocument() + "colour = 1\n");
      CHECK(message == "results:23:10: colour: is not a known key");
    }
    SECTION("when a server is listed twice")
    {
      const std::string duplicateServer = ValidDocument() +
                                          "[[backend_server]]\nserver = \"app-1\"\n"
                                          "endpoint = \"127.0.0.1:9101\"\navailability_zone = "
                                          "\"zone-a\"\nversion = \"v1\"\n";
      CHECK(ErrorMessageOf(duplicateServer).find("'app-1' is listed twice") != std::string::npos);
    }
  }
}

} // namespace
} // namespace trefoil
