// Sends requests with and without credentials through a traffic thread, whose configuration comes
// from the documents that operators write.
#include "platform/store_documents.h"
#include "tests/forward_path/scripted_server.h"
#include "tests/forward_path/test_gateway.h"

#include <catch2/catch.hpp>
#include <string>

namespace trefoil {
namespace {

const char* const kClub = R"({"Name":"club","ApiKeys":["club-key"]})";
// Routes that require an account or none, in the form of the documents.
const char* const kRoutes = R"("Routes":[
  {"Name":"write","Host":"h.example","PathPrefix":"/write/","Kind":"non_idempotent","TimeoutMs":8000,
   "Service":"s"},
  {"Name":"open","Host":"h.example","PathPrefix":"/open/","Kind":"non_idempotent","TimeoutMs":8000,
   "Service":"s","AllowAnonymous":true}])";

// A gateway before one server, with its client.
class AccessSite
{
public:
  AccessSite() { mGateway.AddServer("e1", mServer); }

  // Puts a document with these fields beside the routes in force. The configuration was confirmed
  // to be current so long ago.
  void Configure(const std::string& aFields, Milliseconds aAge = Milliseconds{ 0 })
  {
    mGateway.mCatalogue = platform::DecodeCatalogue(
                            fmt::format(R"({{"Version":{},{}{}}})", ++mVersion, kRoutes, aFields))
                            .value();
    mGateway.Publish(SuspendAwareNow() - aAge);
  }

  // Sends a request with these header lines and returns the status of its answer.
  int Ask(const std::string& aHeaders, const std::string& aRoute = "write")
  {
    Client client = mGateway.Connect();
    client.Send(fmt::format("POST /{}/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id-{}\r\n"
                            "{}Content-Length: 4\r\n\r\nbody",
                            aRoute,
                            ++mRequests,
                            aHeaders));
    return client.Read().mStatus;
  }

  std::size_t Runs() const { return mServer.ReceivedRequests().size(); }

  ScriptedServer mServer{ AnswerSuccess };
  Gateway mGateway;

private:
  int mVersion = 0;
  int mRequests = 0;
};

std::string
WithKey(const std::string& aKey)
{
  return fmt::format("Authorization: Token {}\r\n", aKey);
}

// Guards against: once the last account is withdrawn, requests with withdrawn, unknown or no
// credentials run.
SCENARIO("operators withdraw the last client account")
{
  AccessSite site;
  site.Configure(fmt::format(R"(,"Tenants":[{}])", kClub));
  REQUIRE(site.Ask(WithKey("club-key")) == 200);
  REQUIRE(site.Ask(WithKey("stranger-key")) == 401);
  REQUIRE(site.Ask("") == 401);
  REQUIRE(site.Runs() == 1);
  for (const char* list : { "[]", "null" }) {
    WHEN(fmt::format("the list of accounts is {}", list))
    {
      site.Configure(fmt::format(R"(,"Tenants":{})", list));
      THEN("no credential is valid, and no request runs")
      {
        CHECK(site.Ask(WithKey("club-key")) == 401);
        CHECK(site.Ask(WithKey("stranger-key")) == 401);
        CHECK(site.Ask("") == 401);
        CHECK(site.Runs() == 1);
      }
      AND_WHEN("an account is added with a new credential")
      {
        site.Configure(R"(,"Tenants":[{"Name":"guild","ApiKeys":["guild-key"]}])");
        THEN("that credential alone is valid")
        {
          CHECK(site.Ask(WithKey("guild-key")) == 200);
          CHECK(site.Ask(WithKey("club-key")) == 401);
          CHECK(site.Runs() == 2);
        }
      }
      AND_WHEN("the configuration is not confirmed for long")
      {
        site.Configure(fmt::format(R"(,"Tenants":{})", list), std::chrono::minutes{ 2 });
        THEN("requests are refused until it is, since accounts may have been added")
        {
          CHECK(site.Ask(WithKey("club-key")) == 503);
          CHECK(site.Ask("") == 503);
          CHECK(site.Runs() == 1);
        }
      }
    }
  }
  WHEN("the document has no list of accounts")
  {
    site.Configure("");
    THEN("requests run without a credential, and no server is shown one")
    {
      CHECK(site.Ask("") == 200);
      CHECK(site.Ask(WithKey("club-key")) == 200);
      for (const HttpRequest& request : site.mServer.ReceivedRequests()) {
        CHECK(HeaderValue(request.mHeaders, "Authorization").empty());
      }
      CHECK(HeaderValue(site.mServer.ReceivedRequests().back().mHeaders, "Tenant").empty());
    }
  }
}

// Guards against: on a route that allows anonymous requests, a request with a credential runs
// without its account, or though its credential was withdrawn.
SCENARIO("a route allows anonymous requests")
{
  AccessSite site;
  const std::string accounts = fmt::format(R"(,"Tenants":[{}])", kClub);
  site.Configure(accounts);
  const auto accountOfLastRun = [&site] {
    const std::vector<HttpRequest> requests = site.mServer.ReceivedRequests();
    return std::string{ HeaderValue(requests.back().mHeaders, "Tenant") };
  };
  WHEN("a request has no credential")
  {
    THEN("it runs without an account, whatever account it names itself")
    {
      CHECK(site.Ask("Tenant: club\r\n", "open") == 200);
      CHECK(accountOfLastRun().empty());
      CHECK(site.mGateway.Usage(ClientAccountId{ "club" }) == 0);
    }
  }
  WHEN("a request has the credential of an account")
  {
    THEN("it runs as the account, whatever account it names itself, and counts as its usage")
    {
      for (const char* key : { "Token club-key", "token club-key", "TOKEN  club-key" }) {
        CHECK(site.Ask(fmt::format("Tenant: guild\r\nAuthorization: {}\r\n", key), "open") == 200);
        CHECK(accountOfLastRun() == "club");
      }
      CHECK(site.mGateway.Usage(ClientAccountId{ "club" }) == 3);
    }
    AND_WHEN("the account has a quota of one request")
    {
      site.Configure(
        R"(,"Tenants":[{"Name":"club","ApiKeys":["club-key"],"RatePerS":0.001,"Burst":1}])");
      THEN("the second one is refused")
      {
        CHECK(site.Ask(WithKey("club-key"), "open") == 200);
        CHECK(site.Ask(WithKey("club-key"), "open") == 429);
        CHECK(site.Ask("", "open") == 200);
      }
    }
  }
  WHEN("a request has a credential that no account has")
  {
    THEN("it does not run")
    {
      CHECK(site.Ask(WithKey("stranger-key"), "open") == 401);
      CHECK(site.Runs() == 0);
    }
  }
  WHEN("the account of a credential is withdrawn")
  {
    site.Configure(R"(,"Tenants":[])");
    THEN("requests with it do not run any more, those without any do")
    {
      CHECK(site.Ask(WithKey("club-key"), "open") == 401);
      CHECK(site.Ask("", "open") == 200);
      CHECK(site.Runs() == 1);
    }
  }
  WHEN("the configuration is not confirmed for long")
  {
    site.Configure(accounts, std::chrono::minutes{ 2 });
    THEN("requests with a credential are refused until it is, those without one run")
    {
      CHECK(site.Ask(WithKey("club-key"), "open") == 503);
      CHECK(site.Ask("", "open") == 200);
      CHECK(site.Runs() == 1);
    }
  }
}

} // namespace
} // namespace trefoil
