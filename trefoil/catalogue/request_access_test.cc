#include "trefoil/catalogue/request_access.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace trefoil {
namespace {

const ClientAccountId kClub{ "club" };

Catalogue
MakeCatalogue(std::optional<std::vector<ClientAccount>> aAccounts)
{
  return { .mRoutes = { { .mName = "closed" }, { .mName = "open", .mAllowsAnonymous = true } },
           .mAccounts = std::move(aAccounts) };
}

// Decides on a request of the closed route, or of the route that serves anonymous requests.
RequestAccess
Decide(const Catalogue& aCatalogue, bool aIsOpen, std::string_view aKey, bool aIsCurrent = true)
{
  return DecideAccess(aCatalogue,
                      MakeCatalogueIndex(aCatalogue),
                      { .mRoute = aCatalogue.mRoutes.at(aIsOpen ? 1 : 0),
                        .mKey = aKey,
                        .mConfigurationIsCurrent = aIsCurrent });
}

// Guards against: an empty list of accounts admits every request.
SCENARIO("a request asks for access")
{
  GIVEN("a configuration without a list of accounts")
  {
    const Catalogue catalogue = MakeCatalogue(std::nullopt);
    THEN("credentials mean nothing, however old the configuration is")
    {
      for (const char* key : { "", "club-key" }) {
        CHECK(Decide(catalogue, false, key).mDecision == AccessDecision::kAccountsUnlisted);
        CHECK(Decide(catalogue, true, key).mDecision == AccessDecision::kAccountsUnlisted);
        CHECK(Decide(catalogue, false, key, false).mDecision == AccessDecision::kAccountsUnlisted);
      }
    }
  }
  GIVEN("an empty list of accounts")
  {
    const Catalogue catalogue = MakeCatalogue(std::vector<ClientAccount>{});
    THEN("no credential is valid on a closed route")
    {
      CHECK(Decide(catalogue, false, "").mDecision == AccessDecision::kUnknownCredential);
      CHECK(Decide(catalogue, false, "club-key").mDecision == AccessDecision::kUnknownCredential);
    }
    THEN("requests without a credential run on an open route")
    {
      CHECK(Decide(catalogue, true, "").mDecision == AccessDecision::kAnonymous);
      CHECK(Decide(catalogue, true, "", false).mDecision == AccessDecision::kAnonymous);
    }
    THEN("a credential is refused there too")
    {
      CHECK(Decide(catalogue, true, "club-key").mDecision == AccessDecision::kUnknownCredential);
    }
  }
  GIVEN("an account")
  {
    const Catalogue catalogue =
      MakeCatalogue(std::vector<ClientAccount>{ { .mName = kClub, .mKeys = { "club-key" } } });
    WHEN("the route is closed")
    {
      THEN("only the credential of the account is admitted, as the account")
      {
        const RequestAccess access = Decide(catalogue, false, "club-key");
        CHECK(access.mDecision == AccessDecision::kAccount);
        REQUIRE(access.mAccount != nullptr);
        CHECK(access.mAccount->mName == kClub);
        CHECK(Decide(catalogue, false, "other").mDecision == AccessDecision::kUnknownCredential);
        CHECK(Decide(catalogue, false, "").mDecision == AccessDecision::kUnknownCredential);
      }
      AND_WHEN("the configuration is too old")
      {
        THEN("none is admitted; the account that had the credential is named")
        {
          const RequestAccess access = Decide(catalogue, false, "club-key", false);
          CHECK(access.mDecision == AccessDecision::kStaleConfiguration);
          CHECK(access.mAccount != nullptr);
          CHECK(Decide(catalogue, false, "", false).mDecision ==
                AccessDecision::kStaleConfiguration);
        }
      }
    }
    // Guards against: a request with a credential is taken for an anonymous one.
    WHEN("the route allows anonymous requests")
    {
      THEN("a request without a credential is anonymous, however old the configuration is")
      {
        CHECK(Decide(catalogue, true, "").mDecision == AccessDecision::kAnonymous);
        CHECK(Decide(catalogue, true, "", false).mDecision == AccessDecision::kAnonymous);
      }
      THEN("a credential decides as on a closed route")
      {
        const RequestAccess access = Decide(catalogue, true, "club-key");
        CHECK(access.mDecision == AccessDecision::kAccount);
        REQUIRE(access.mAccount != nullptr);
        CHECK(access.mAccount->mName == kClub);
        CHECK(Decide(catalogue, true, "other").mDecision == AccessDecision::kUnknownCredential);
        CHECK(Decide(catalogue, true, "club-key", false).mDecision ==
              AccessDecision::kStaleConfiguration);
        CHECK(Decide(catalogue, true, "other", false).mDecision ==
              AccessDecision::kStaleConfiguration);
      }
    }
  }
  THEN("refusals admit no request")
  {
    CHECK(IsAdmitted(AccessDecision::kAccountsUnlisted));
    CHECK(IsAdmitted(AccessDecision::kAnonymous));
    CHECK(IsAdmitted(AccessDecision::kAccount));
    CHECK_FALSE(IsAdmitted(AccessDecision::kUnknownCredential));
    CHECK_FALSE(IsAdmitted(AccessDecision::kStaleConfiguration));
  }
}

} // namespace
} // namespace trefoil
