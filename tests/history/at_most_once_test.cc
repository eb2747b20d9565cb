// Runs entry hosts in one process with callers that send requests again with the same key to
// different hosts, while the store fails. No non-idempotent request may run twice.
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
constexpr int kKeysPerCaller = 12;
constexpr int kMaxAttempts = 5;
// Upper bound of each wait; the awaited events normally come much earlier.
constexpr Milliseconds kTestTimeout{ 30'000 };
// The ports depend on the process id, so that this test does not reach the hosts of another run on
// the machine.
const auto kHttpPort = static_cast<std::uint16_t>(20'000 + getpid() % 5'000);
const auto kPeerPort = static_cast<std::uint16_t>(kHttpPort + 5'000);
const std::string kCredential = "secret";

Endpoint
HostEndpoint(int aHost, std::uint16_t aPort)
{
  return { .mAddress = fmt::format("127.0.12.{}", aHost + 1), .mPort = aPort };
}

HttpServer
StartServer(HttpHandler aHandler)
{
  auto server = HttpServer::Start({ .mListen = { .mAddress = "127.0.12.1", .mPort = 0 },
                                    .mHandler = std::move(aHandler),
                                    .mMaxConnections = 200 });
  REQUIRE(server.ok());
  return std::move(*server);
}

// The store and the backend server that all hosts of a test use.
struct Platform
{
  standin::Store mStore;
  standin::PlainService mService{ { .mName = "app-1", .mDelayMilliseconds = 5 } };
  HttpServer mStoreServer =
    StartServer([this](HttpExchange& aExchange) { mStore.Serve(aExchange); });
  HttpServer mServiceServer =
    StartServer([this](HttpExchange& aExchange) { mService.Serve(aExchange); });

  Endpoint StoreEndpoint() const
  {
    return { .mAddress = "127.0.12.1", .mPort = mStoreServer.Port() };
  }

  // Sets the faults of the store, such as "down=1"; an empty query clears them.
  void SetFault(const std::string& aQuery) const
  {
    const HttpResult result =
      Call({ .mServer = StoreEndpoint(),
             .mRequest = { .mMethod = "POST", .mTarget = "/admin/fault?" + aQuery },
             .mDeadline = Now() + kTestTimeout });
    REQUIRE(std::holds_alternative<HttpResponse>(result));
  }

  // Writes the document of the service "results" to the store.
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
                                      Now() + kTestTimeout);
    REQUIRE(write.mState == StoreWriteState::kWritten);
  }
};

std::unique_ptr<EntryHost>
StartHost(const Platform& aPlatform, int aHost)
{
  auto host = EntryHost::Start({ .mHost = HostId{ fmt::format("h{}", aHost) },
                                 .mZone = AvailabilityZoneId{ "zone-a" },
                                 .mListen = HostEndpoint(aHost, kHttpPort),
                                 .mPeerListen = HostEndpoint(aHost, kPeerPort),
                                 .mStore = aPlatform.StoreEndpoint(),
                                 .mSeeds = { HostEndpoint(0, kPeerPort) },
                                 .mMaxConnections = 100,
                                 .mMaxBodyBytes = 65'536,
                                 .mIdleConnectionMilliseconds = 1'000,
                                 .mStopNoticeMilliseconds = 1'000,
                                 .mClusterSecret = "a secret of the test" });
  REQUIRE(host.ok());
  return std::move(*host);
}

// Waits until the host is ready. Returns false on timeout.
bool
WaitUntilReady(int aHost)
{
  const Instant deadline = Now() + kTestTimeout;
  while (!HasPassed(deadline, Now())) {
    const HttpResult result = Call({ .mServer = HostEndpoint(aHost, kHttpPort),
                                     .mRequest = { .mTarget = "/readyz" },
                                     .mDeadline = deadline });
    const auto* answer = std::get_if<HttpResponse>(&result);
    if (answer != nullptr && answer->mStatus == 200) {
      return true;
    }
    absl::SleepFor(absl::Milliseconds(20));
  }
  return false;
}

// The history to which all callers append. Thread-safe.
struct SharedHistory
{
  absl::Mutex mMutex;
  History mHistory ABSL_GUARDED_BY(mMutex);

  void AddCall(CallerCall aCall)
  {
    const absl::MutexLock lock{ &mMutex };
    mHistory.mCalls.push_back(std::move(aCall));
  }
};

HttpRequest
MakeRecordRequest(const std::string& aKey, const std::string& aBody)
{
  return { .mMethod = "POST",
           .mTarget = "/results/record",
           .mHeaders = { { .mName = "Authorization", .mValue = "Bearer " + kCredential },
                         { .mName = "Idempotency-Key", .mValue = aKey } },
           .mBody = aBody };
}

// Sends a request once and returns the verdict and body of the answer. The request's body serves
// as the key in the history.
CallerCall
Send(const HttpRequest& aRequest, int aHost, Instant aDeadline)
{
  const HttpResult result = Call(
    { .mServer = HostEndpoint(aHost, kHttpPort), .mRequest = aRequest, .mDeadline = aDeadline });
  CallerCall call{ .mKey = aRequest.mBody, .mAnsweredAt = Now() };
  if (const auto* answer = std::get_if<HttpResponse>(&result)) {
    call.mVerdict = ParseVerdict(HeaderValue(answer->mHeaders, "X-Trefoil-Verdict"));
    call.mBody = answer->mBody;
  }
  return call;
}

// Requests a ticket from the host. Returns an empty string if the host does not mint one.
std::string
MintTicket(int aHost)
{
  const HttpResult result =
    Call({ .mServer = HostEndpoint(aHost, kHttpPort),
           .mRequest = { .mMethod = "POST",
                         .mTarget = "/v1/tickets?service=results",
                         .mHeaders = { { .mName = "Authorization",
                                         .mValue = "Bearer " + kCredential } } },
           .mDeadline = Now() + kTestTimeout });
  const auto* answer = std::get_if<HttpResponse>(&result);
  if (answer == nullptr || answer->mStatus != 201) {
    return "";
  }
  const std::string start = "{\"ticket\":\"";
  return answer->mBody.substr(start.size(), answer->mBody.find('"', start.size()) - start.size());
}

// Returns an idempotency key of the form SECONDS-TEXT, with the current time.
std::string
MakeDatedKey(const std::string& aName)
{
  return fmt::format("{}-{}", UnixMilliseconds(WallNow()) / 1000, aName);
}

// Runs one caller. It sends each of its requests to random hosts until an answer says that the
// request ran, at most kMaxAttempts times; about a third of the attempts have a timeout of 20 ms.
// Every third request uses a ticket as its key.
void
RunCaller(int aCaller, SharedHistory& aHistory)
{
  std::minstd_rand random{ static_cast<unsigned>(aCaller + 1) };
  const auto randomBelow = [&random](int aLimit) { return static_cast<int>(random() % aLimit); };
  for (int number = 0; number < kKeysPerCaller; ++number) {
    const std::string name = fmt::format("caller-{}-result-{}", aCaller, number);
    const std::string ticket = number % 3 == 0 ? MintTicket(randomBelow(kHosts)) : "";
    const HttpRequest request =
      MakeRecordRequest(ticket.empty() ? MakeDatedKey(name) : ticket, name);
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      HttpRequest attemptRequest = request;
      if (attempt == 0) {
        SetHeader(attemptRequest.mHeaders, "X-Trefoil-Attempt", "1");
      }
      const Milliseconds timeout = randomBelow(3) == 0 ? Milliseconds{ 20 } : kTestTimeout;
      const CallerCall call = Send(attemptRequest, randomBelow(kHosts), Now() + timeout);
      aHistory.AddCall(call);
      if (call.mVerdict == Verdict::kRan) {
        break;
      }
      absl::SleepFor(absl::Milliseconds(randomBelow(200)));
    }
  }
}

// Runs all callers, each on a thread of its own.
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

// Returns the history of the callers with the executions of the backend server.
History
CollectHistory(Platform& aPlatform, SharedHistory& aHistory)
{
  const absl::MutexLock lock{ &aHistory.mMutex };
  History history = aHistory.mHistory;
  for (const standin::PlainRecord& record : aPlatform.mService.Records()) {
    history.mExecutions.push_back(
      { .mKey = record.mBody, .mBody = record.mAnswer, .mAt = record.mAt });
  }
  return history;
}

TEST_CASE("Callers send non-idempotent requests again to other hosts")
{
  Platform platform;
  platform.PutDocument();
  std::array<std::unique_ptr<EntryHost>, kHosts> hosts;
  for (int host = 0; host < kHosts; ++host) {
    hosts.at(host) = StartHost(platform, host);
  }
  for (int host = 0; host < kHosts; ++host) {
    REQUIRE(WaitUntilReady(host));
  }

  SECTION("the store is unavailable: a caller's key is rejected as not run, a ticket works")
  {
    const std::string ticket = MintTicket(0);
    platform.SetFault("down=1");
    HttpRequest callerKeyed = MakeRecordRequest(MakeDatedKey("outage"), "outage");
    CHECK(Send(callerKeyed, 0, Now() + kTestTimeout).mVerdict == Verdict::kMayHaveRun);
    SetHeader(callerKeyed.mHeaders, "X-Trefoil-Attempt", "1");
    CHECK(Send(callerKeyed, 1, Now() + kTestTimeout).mVerdict == Verdict::kNotRun);
    CHECK(platform.mService.Records().empty());
    const HttpRequest withTicket = MakeRecordRequest(ticket, "ticket");
    CHECK(Send(withTicket, 1, Now() + kTestTimeout).mVerdict == Verdict::kRan);
    SECTION("and the request runs once, whichever host receives it")
    {
      const CallerCall again = Send(withTicket, 0, Now() + kTestTimeout);
      CHECK(again.mVerdict == Verdict::kRan);
      CHECK(again.mBody == platform.mService.Records().at(0).mAnswer);
      CHECK(platform.mService.Records().size() == 1);
    }
    SECTION("and after the outage the request with the caller's key runs")
    {
      platform.SetFault("");
      CallerCall call;
      for (int i = 0; i < 20 && call.mVerdict != Verdict::kRan; ++i) {
        call = Send(callerKeyed, 2, Now() + kTestTimeout);
      }
      CHECK(call.mVerdict == Verdict::kRan);
    }
  }
  SECTION("lost answers, stale reads, a store outage and a stopped host cause no violation")
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

    const History history = CollectHistory(platform, shared);
    const auto violations = CheckHistory(history);
    INFO(ToText(violations));
    CHECK(violations.empty());
    SECTION("and most requests ran")
    {
      CHECK(history.mExecutions.size() * 2 > std::size_t{ kCallers } * kKeysPerCaller);
    }
  }
}

} // namespace
} // namespace trefoil::history
