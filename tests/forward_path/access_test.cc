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
// A route that takes an account, in the form of the documents.
const char* const kRoutes = R"("Routes":[
  {"Name":"write","Host":"h.example","PathPrefix":"/write/","Kind":"non_idempotent","TimeoutMs":8000,
   "Service":"s"}])";

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

} // namespace
} // namespace trefoil
