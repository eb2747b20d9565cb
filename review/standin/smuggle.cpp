// A request that is hidden in the body of another one must not reach a server as a request.
#include "site.hpp"

using namespace review;

namespace {

constexpr int kRequests = 8;
constexpr const char* kAddress = "127.61.7.1";

std::string
Manifest()
{
  return R"({"Version":7,"Routes":[{"Name":"r-record","Host":"club.example","PathPrefix":"/record/",)"
         R"("Kind":"non_idempotent","TimeoutMs":2000,"GoalMs":100,"Priority":2,"Service":"ledger",)"
         R"("Attempts":1,"AllowAnonymous":false,"SessionAffinity":false,"ResumeStreams":false}],)"
         R"("Services":[{"Name":"ledger","HealthCheckPath":"/health","ConnectionLimit":110}],)"
         R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
         R"("IdleTimeoutMs":15000},)"
         R"("Tenants":[{"Name":"club-a","ApiKeys":["key-a"],"Unit":"requests","RatePerS":0,"Burst":0},)"
         R"({"Name":"club-b","ApiKeys":["key-b"],"Unit":"requests","RatePerS":0,"Burst":0}]})";
}

} // namespace

int
main(int, char** aArguments)
{
  Record record{ aArguments[1] };
  Platform platform{ kAddress, record };
  platform.Put("op/config", Manifest());

  std::mutex mutex;
  std::multiset<std::string> ran;
  std::vector<std::string> foreign;
  BackendServer server{ { .mId = "i-ledger-1", .mAddress = kAddress, .mService = "ledger" },
                        platform,
                        record,
                        [&](Connection& aConnection, const Message& aRequest) {
                          const std::string id = aRequest.Value("Request-Id");
                          const std::string tenant = aRequest.Value("Tenant");
                          record.Line("ran id=" + id + " tenant=" + tenant +
                                      " target=" + aRequest.mTarget +
                                      " body_bytes=" + std::to_string(aRequest.mBody.size()));
                          {
                            const std::lock_guard lock{ mutex };
                            ran.insert(id);
                            if (tenant != "club-a") {
                              foreign.push_back(id);
                            }
                          }
                          aConnection.Send(SealedAnswer(200, id, "recorded"));
                        } };
  server.Register();

  Gateway gateway{ { .mName = "front-a-1", .mAddress = kAddress }, platform };
  gateway.Start();
  gateway.WaitUntilReady();
  Sleep(Ms{ 1000 });

  std::set<std::string> sent;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "sent-" + std::to_string(i);
    const std::string hidden =
      "POST /record/2 HTTP/1.1\r\nHost: club.example\r\nRequest-Id: hidden-" + std::to_string(i) +
      "\r\nDeadline-Milliseconds: 2000\r\nTenant: club-b\r\n\r\n";
    // An empty element of a list means nothing (RFC 9110, section 5.6.1), so the body is chunked
    // with and without the first line.
    const std::string framing =
      (HasTrouble() ? std::string{ "Transfer-Encoding:\r\n" } : std::string{}) +
      "Transfer-Encoding: chunked\r\n\r\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", hidden.size());
    sent.insert(id);
    const Time deadline = Clock::now() + Ms{ 3000 };
    auto client = Connect(gateway.Address(), gateway.Port(), deadline);
    if (!client) {
      GiveUp("the gateway does not accept connections");
    }
    client->Send(RequestHead("POST", "/record/1", id, 2000, "key-a") + framing + size + hidden +
                   "\r\n0\r\n\r\n",
                 deadline);
    const Message answer = client->ReadAnswer(deadline);
    record.Line("sent id=" + id + " answered status=" + std::to_string(answer.mStatus));
    Sleep(Ms{ 100 });
  }
  Sleep(Ms{ 500 });

  int unasked = 0;
  const std::lock_guard lock{ mutex };
  for (const std::string& id : ran) {
    unasked += sent.contains(id) ? 0 : 1;
  }
  record.Line("requests sent " + std::to_string(sent.size()) + ", run " +
              std::to_string(ran.size()) + ", run but not sent " + std::to_string(unasked) +
              ", run for another tenant " + std::to_string(foreign.size()));
  if (!HasTrouble() && ran.size() != sent.size()) {
    GiveUp("not all requests ran");
  }
  gateway.End();
  Finish(unasked > 0 || !foreign.empty() ? 1 : 0);
}
