// Entry hosts in one process, callers who repeat keys at different hosts, and a store that fails.
#include "tests/history/history.h"

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "standin/plain_service.h"
#include "standin/store.h"
#include "trefoil/base/digest.h"
#include "trefoil/http/client.h"
#include "trefoil/node/entry_host.h"

#include <array>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <random>
#include <thread>
#include <unistd.h>

namespace trefoil::history {
namespace {

constexpr int kHosts = 3;
constexpr int kCallers = 6;
constexpr int kKeysOfCaller = 12;
constexpr int kMaxSendings = 5;
constexpr Milliseconds kGenerousLimit{ 30'000 };
// Ports of this run, so that another one on the machine is not mistaken for it.
const auto kHttpPort = static_cast<std::uint16_t>(20'000 + getpid() % 5'000);
const auto kPeerPort = static_cast<std::uint16_t>(kHttpPort + 5'000);
const std::string kCredential = "secret";

Endpoint
EndpointOf(int aHost, std::uint16_t aPort)
{
  return { .mAddress = fmt::format("127.0.12.{}", aHost + 1), .mPort = aPort };
}

HttpServer
Serve(HttpHandler aHandler)
{
  auto server = HttpServer::Start({ .mListen = { .mAddress = "127.0.12.1", .mPort = 0 },
                                    .mHandler = std::move(aHandler),
                                    .mMaxConnections = 200 });
  REQUIRE(server.ok());
  return std::move(*server);
}

// What all hosts of a test share.
struct Platform
{
  standin::Store mStore;
  standin::PlainService mService{ { .mName = "app-1", .mDelayMilliseconds = 5 } };
  HttpServer mStoreServer = Serve([this](HttpExchange& aExchange) { mStore.Serve(aExchange); });
  HttpServer mServiceServer = Serve([this](HttpExchange& aExchange) { mService.Serve(aExchange); });

  Endpoint StoreEndpoint() const
  {
    return { .mAddress = "127.0.12.1", .mPort = mStoreServer.Port() };
  }

  void SetFault(const std::string& aQuery) const
  {
    const HttpResult result =
      Call({ .mServer = StoreEndpoint(),
             .mRequest = { .mMethod = "POST", .mTarget = "/admin/fault?" + aQuery },
             .mDeadline = Now() + kGenerousLimit });
    REQUIRE(std::holds_alternative<HttpResponse>(result));
  }

  void PutDocument() const
  {
    const std::string text = fmt::format("service = \"results\"\nkind = \"plain\"\n"
                                         "[[version]]\nversion = \"v1\"\nshare_percent = 100\n"
                                         "[[account]]\naccount = \"directors\"\n"
                                         "credential_sha256 = \"{}\"\n"
                                         "[[backend_server]]\nserver = \"app-1\"\n"
                                         "endpoint = \"127.0.12.1:{}\"\n"
                                         "availability_zone = \"zone-a\"\nversion = \"v1\"\n",
                                         Sha256Hex(kCredential),
                                         mServiceServer.Port());
    const auto write = CompareAndSwap({ .mEndpoint = StoreEndpoint() },
                                      { .mKey = "services/results", .mValue = text },
                                      Now() + kGenerousLimit);
    REQUIRE(write.mState == StoreWriteState::kWritten);
  }
};

std::unique_ptr<EntryHost>
StartHost(const Platform& aPlatform, int aHost)
{
  auto host = EntryHost::Start({ .mHost = HostId{ fmt::format("h{}", aHost) },
                                 .mZone = AvailabilityZoneId{ "zone-a" },
                                 .mListen = EndpointOf(aHost, kHttpPort),
                                 .mPeerListen = EndpointOf(aHost, kPeerPort),
                                 .mStore = aPlatform.StoreEndpoint(),
                                 .mSeeds = { EndpointOf(0, kPeerPort) },
                                 .mMaxConnections = 100,
                                 .mMaxBodyBytes = 65'536,
                                 .mIdleConnectionMilliseconds = 1'000,
                                 .mStopNoticeMilliseconds = 1'000,
                                 .mClusterSecret = "a secret of the test" });
  REQUIRE(host.ok());
  return std::move(*host);
}

bool
AwaitReady(int aHost)
{
  const Instant limit = Now() + kGenerousLimit;
  while (!HasPassed(limit, Now())) {
    const HttpResult result = Call({ .mServer = EndpointOf(aHost, kHttpPort),
                                     .mRequest = { .mTarget = "/readyz" },
                                     .mDeadline = limit });
    const auto* answer = std::get_if<HttpResponse>(&result);
    if (answer != nullptr && answer->mStatus == 200) {
      return true;
    }
    absl::SleepFor(absl::Milliseconds(20));
  }
  return false;
}

// The history that the callers write together.
struct SharedHistory
{
  absl::Mutex mMutex;
  History mHistory ABSL_GUARDED_BY(mMutex);

  void Add(CallerCall aCall)
  {
    const absl::MutexLock lock{ &mMutex };
    mHistory.mCalls.push_back(std::move(aCall));
  }
};

HttpRequest
RecordRequest(const std::string& aKey, const std::string& aBody)
{
  return { .mMethod = "POST",
           .mTarget = "/results/record",
           .mHeaders = { { .mName = "Authorization", .mValue = "Bearer " + kCredential },
                         { .mName = "Idempotency-Key", .mValue = aKey } },
           .mBody = aBody };
}

// Sends a request once and notes what the caller is told.
CallerCall
Send(const HttpRequest& aRequest, int aHost, Instant aDeadline)
{
  const HttpResult result =
    Call({ .mServer = EndpointOf(aHost, kHttpPort), .mRequest = aRequest, .mDeadline = aDeadline });
  CallerCall call{ .mKey = aRequest.mBody, .mAnsweredAt = Now() };
  if (const auto* answer = std::get_if<HttpResponse>(&result)) {
    call.mVerdict = ParseVerdict(HeaderValue(answer->mHeaders, "X-Trefoil-Verdict"));
    call.mBody = answer->mBody;
  }
  return call;
}

// Returns a ticket's text, empty if the host mints none now.
std::string
TicketOf(int aHost)
{
  const HttpResult result =
    Call({ .mServer = EndpointOf(aHost, kHttpPort),
           .mRequest = { .mMethod = "POST",
                         .mTarget = "/v1/tickets?service=results",
                         .mHeaders = { { .mName = "Authorization",
                                         .mValue = "Bearer " + kCredential } } },
           .mDeadline = Now() + kGenerousLimit });
  const auto* answer = std::get_if<HttpResponse>(&result);
  if (answer == nullptr || answer->mStatus != 201) {
    return "";
  }
  const std::string start = "{\"ticket\":\"";
  return answer->mBody.substr(start.size(), answer->mBody.find('"', start.size()) - start.size());
}

std::string
DatedKey(const std::string& aName)
{
  return fmt::format("{}-{}", UnixMilliseconds(WallNow()) / 1000, aName);
}

// One caller: sends each of its keys until it knows the outcome, at any host, often impatiently.
void
RunCaller(int aCaller, SharedHistory& aHistory)
{
  std::minstd_rand random{ static_cast<unsigned>(aCaller + 1) };
  const auto below = [&random](int aLimit) { return static_cast<int>(random() % aLimit); };
  for (int number = 0; number < kKeysOfCaller; ++number) {
    const std::string name = fmt::format("caller-{}-result-{}", aCaller, number);
    const std::string ticket = number % 3 == 0 ? TicketOf(below(kHosts)) : "";
    const HttpRequest request = RecordRequest(ticket.empty() ? DatedKey(name) : ticket, name);
    for (int sending = 0; sending < kMaxSendings; ++sending) {
      HttpRequest sent = request;
      if (sending == 0) {
        SetHeader(sent.mHeaders, "X-Trefoil-Attempt", "1");
      }
      const Milliseconds patience = below(3) == 0 ? Milliseconds{ 20 } : kGenerousLimit;
      const CallerCall call = Send(sent, below(kHosts), Now() + patience);
      aHistory.Add(call);
      if (call.mVerdict == Verdict::kRan) {
        break;
      }
      absl::SleepFor(absl::Milliseconds(below(200)));
    }
  }
}

class Callers
{
public:
  explicit Callers(SharedHistory& aHistory)
  {
    for (int caller = 0; caller < kCallers; ++caller) {
      mThreads.emplace_back([caller, &aHistory] { RunCaller(caller, aHistory); });
    }
  }
  ~Callers() { Join(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Join()
  {
    for (std::thread& thread : mThreads) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

private:
  std::vector<std::thread> mThreads;
};

History
JoinHistories(Platform& aPlatform, SharedHistory& aHistory)
{
  const absl::MutexLock lock{ &aHistory.mMutex };
  History history = aHistory.mHistory;
  for (const standin::PlainRecord& record : aPlatform.mService.Records()) {
    history.mExecutions.push_back(
      { .mKey = record.mBody, .mBody = record.mAnswer, .mAt = record.mAt });
  }
  return history;
}

TEST_CASE("Callers repeat non-idempotent requests at several hosts")
{
  Platform platform;
  platform.PutDocument();
  std::array<std::unique_ptr<EntryHost>, kHosts> hosts;
  for (int host = 0; host < kHosts; ++host) {
    hosts.at(host) = StartHost(platform, host);
  }
  for (int host = 0; host < kHosts; ++host) {
    REQUIRE(AwaitReady(host));
  }

  SECTION("the store is out: a chosen key is refused as not run, a ticket works")
  {
    const std::string ticket = TicketOf(0);
    platform.SetFault("down=1");
    HttpRequest chosen = RecordRequest(DatedKey("outage"), "outage");
    CHECK(Send(chosen, 0, Now() + kGenerousLimit).mVerdict == Verdict::kMayHaveRun);
    SetHeader(chosen.mHeaders, "X-Trefoil-Attempt", "1");
    CHECK(Send(chosen, 1, Now() + kGenerousLimit).mVerdict == Verdict::kNotRun);
    CHECK(platform.mService.Records().empty());
    const HttpRequest withTicket = RecordRequest(ticket, "ticket");
    CHECK(Send(withTicket, 1, Now() + kGenerousLimit).mVerdict == Verdict::kRan);
    SECTION("once, whichever host it is sent to")
    {
      const CallerCall again = Send(withTicket, 0, Now() + kGenerousLimit);
      CHECK(again.mVerdict == Verdict::kRan);
      CHECK(again.mBody == platform.mService.Records().at(0).mAnswer);
      CHECK(platform.mService.Records().size() == 1);
    }
    SECTION("and after the outage the chosen key runs")
    {
      platform.SetFault("");
      CallerCall call;
      for (int i = 0; i < 20 && call.mVerdict != Verdict::kRan; ++i) {
        call = Send(chosen, 2, Now() + kGenerousLimit);
      }
      CHECK(call.mVerdict == Verdict::kRan);
    }
  }
  SECTION("through lost answers, old reads, an outage and the stop of a host")
  {
    SharedHistory shared;
    Callers callers{ shared };
    for (const char* fault : { "lost_answers_percent=30&stale_reads_percent=30",
                               "down=1",
                               "slow_ms=60&lost_answers_percent=20&stale_reads_percent=50" }) {
      platform.SetFault(fault);
      absl::SleepFor(absl::Milliseconds(700));
    }
    hosts[2]->Stop();
    hosts[2].reset();
    absl::SleepFor(absl::Milliseconds(300));
    hosts[2] = StartHost(platform, 2);
    platform.SetFault("");
    callers.Join();

    const History history = JoinHistories(platform, shared);
    const auto violations = CheckHistory(history);
    INFO(ToText(violations));
    CHECK(violations.empty());
    SECTION("and most requests ran")
    {
      CHECK(history.mExecutions.size() * 2 > std::size_t{ kCallers } * kKeysOfCaller);
    }
  }
}

} // namespace
} // namespace trefoil::history
