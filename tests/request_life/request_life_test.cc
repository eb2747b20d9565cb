// Runs callers, entry hosts and stand-in engines in one process, and checks that each caller
// receives its complete answer while engines, entry hosts or connections are lost.
#include "standin/token_text.h"
#include "tests/forward_path/scripted_server.h"
#include "tests/site/site.h"

#include "absl/time/clock.h"
#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace trefoil {
namespace {

using standin::AnswerText;
using standin::EngineState;

constexpr std::int64_t kTokens = 60;

// Callers that stream concurrently, each on a thread of its own. A caller writes only its own
// element of mAnswers.
struct Callers
{
  std::vector<CallerAnswer> mAnswers;
  std::vector<std::thread> mThreads;
};

std::string
MakePrompt(std::size_t aIndex)
{
  return fmt::format("May a king castle out of check, question {}", aIndex);
}

// Starts `aCount` callers, spread over the hosts.
void
StartCallers(Callers& aCallers, Site& aSite, std::size_t aCount)
{
  aCallers.mAnswers.resize(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    aCallers.mThreads.emplace_back([&aCallers, &aSite, i] {
      aCallers.mAnswers[i] = StreamCompletion(aSite.ListenEndpoint(i % aSite.HostCount()),
                                              MakeCompletionBody(MakePrompt(i), kTokens));
    });
  }
}

void
JoinCallers(Callers& aCallers)
{
  for (std::thread& thread : aCallers.mThreads) {
    thread.join();
  }
}

// Checks that each caller received all tokens of its answer in order.
void
CheckComplete(const Callers& aCallers)
{
  for (std::size_t i = 0; i < aCallers.mAnswers.size(); ++i) {
    const CallerAnswer& answer = aCallers.mAnswers[i];
    CHECK(answer.mInOrder);
    CHECK(NameOf(kStreamEndNames, answer.mEnd) == "done");
    CHECK(answer.mText == AnswerText(MakePrompt(i), kTokens));
  }
}

// Sleeps long enough for the streams to begin.
void
WaitForStreams()
{
  absl::SleepFor(absl::Milliseconds(100));
}

TEST_CASE("Callers stream answers while an engine is reclaimed")
{
  Site site{ { .mEngines = 3, .mHosts = 2 } };
  Callers callers;
  StartCallers(callers, site, 12);
  WaitForStreams();

  SECTION("it crashes: every answer is complete")
  {
    site.EngineAt(0).SetState(EngineState::kDead);
    JoinCallers(callers);
    CheckComplete(callers);
  }
  SECTION("it freezes: every answer is complete")
  {
    site.EngineAt(1).SetState(EngineState::kFrozen);
    JoinCallers(callers);
    CheckComplete(callers);
  }
  SECTION("it receives a long notice: every answer is complete and no token is recomputed")
  {
    site.EngineAt(2).Leave(Milliseconds{ 5000 });
    JoinCallers(callers);
    CheckComplete(callers);
    CHECK(site.RecomputedTokens() == 0);
  }
  SECTION("it receives a short notice: the streams move to other engines with their KV cache")
  {
    site.EngineAt(2).Leave(Milliseconds{ 150 });
    JoinCallers(callers);
    CheckComplete(callers);
  }
}

TEST_CASE("A request crashes each engine that runs it, and its caller sends it to every host")
{
  Site site{ { .mEngines = 8, .mHosts = 3 } };
  Callers callers;
  StartCallers(callers, site, 6);
  WaitForStreams();
  const std::string crashingBody =
    MakeCompletionBody(fmt::format("read this {}", standin::kCrashMarker), kTokens);
  for (std::size_t i = 0; i < 12; ++i) {
    CHECK(StreamCompletion(site.ListenEndpoint(i % site.HostCount()), crashingBody).mEnd !=
          StreamEnd::kDone);
  }

  SECTION("three engines crash, then every host rejects the request")
  {
    CHECK(site.Crashes() == 3);
    for (std::size_t host = 0; host < site.HostCount(); ++host) {
      const CallerAnswer answer = StreamCompletion(site.ListenEndpoint(host), crashingBody);
      CHECK(answer.mStatus == 422);
      CHECK(answer.mRefusalText.find("not_run") != std::string::npos);
    }
  }
  JoinCallers(callers);
  CheckComplete(callers);
}

TEST_CASE("A caller loses its connection")
{
  Site site{ { .mEngines = 2, .mHosts = 3, .mZones = 2 } };
  CallerAnswer answer =
    StreamCompletion(site.ListenEndpoint(0), MakeCompletionBody(MakePrompt(0), kTokens), 5);
  REQUIRE(answer.mLastEventId == 4);

  SECTION("it can resume the stream at any host, without repeated or missing events")
  {
    for (std::size_t host = 0; host < site.HostCount(); ++host) {
      CallerAnswer resumed = answer;
      Reattach(site.ListenEndpoint(host), resumed);
      CHECK(resumed.mEnd == StreamEnd::kDone);
      CHECK(resumed.mInOrder);
      CHECK(resumed.mText == AnswerText(MakePrompt(0), kTokens));
    }
  }
  SECTION("an unknown request id is answered with 404")
  {
    CallerAnswer unknown{ .mRequestId = "0123" };
    Reattach(site.ListenEndpoint(1), unknown);
    CHECK(unknown.mStatus == 404);
  }
}

// Guards against a request to a plain service that crashes one server after the other, since only
// completions were recorded.
TEST_CASE("A request to a plain service crashes each server that runs it")
{
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  std::vector<Endpoint> endpoints;
  for (int i = 0; i < 12; ++i) {
    servers.push_back(std::make_unique<ScriptedServer>([](const ReceivedRequest& aRequest) {
      return aRequest.mRequest.mTarget == "/bad" ? Reply{ .mClose = true }
                                                 : Reply{ .mBytes = MakeAnswer(aRequest, 200) };
    }));
    endpoints.push_back(servers.back()->ListenEndpoint());
  }
  Site site{ { .mEngines = 1, .mHosts = 2, .mPlainServers = endpoints } };
  const auto statusOf = [&site](const char* aTarget, std::size_t aHost) {
    const HttpResult result = Call(
      MakeAuthorizedCall(site.ListenEndpoint(aHost), { .mMethod = "GET", .mTarget = aTarget }));
    return std::holds_alternative<HttpResponse>(result) ? std::get<HttpResponse>(result).mStatus
                                                        : 0;
  };
  // Returns how often servers received the request. They are also asked whether they are healthy.
  const auto received = [&servers] {
    std::ptrdiff_t requests = 0;
    for (const auto& server : servers) {
      requests += std::ranges::count(server->ReceivedRequests(), "/bad", &HttpRequest::mTarget);
    }
    return requests;
  };
  const int first = statusOf("/app/bad", 0);
  CHECK(first != 200);
  CHECK(received() == 3);
  SECTION("its copies are refused, and the client is told that they have not run")
  {
    CHECK(statusOf("/app/bad", 0) == 422);
    CHECK(received() == 3);
  }
  SECTION("the other host learns of it, also if the first news was lost")
  {
    const Instant deadline = Now() + Milliseconds{ 20'000 };
    while (statusOf("/app/bad", 1) != 422 && !HasPassed(deadline, Now())) {
      absl::SleepFor(absl::Milliseconds(50));
    }
    CHECK(statusOf("/app/bad", 1) == 422);
    CHECK(received() <= 6);
  }
  SECTION("other reads of the account are served")
  {
    CHECK(statusOf("/app/good", 0) == 200);
    CHECK(statusOf("/app/good", 1) == 200);
  }
}

// Guards against requests that are cut without an answer at the end of a planned stop (LOST).
TEST_CASE("An entry host stops that has requests to a plain service")
{
  const ScriptedServer server{ [](const ReceivedRequest& aRequest) {
    return aRequest.mRequest.mTarget == "/slow" ? Reply{ .mHang = true }
                                                : Reply{ .mBytes = MakeAnswer(aRequest, 200) };
  } };
  Site site{ { .mEngines = 1,
               .mHosts = 1,
               .mPlainServers = { server.ListenEndpoint() },
               .mStopNoticeMilliseconds = 4'000 } };
  const auto call = [&site](const char* aMethod, const char* aTarget) {
    return std::async(std::launch::async, [&site, aMethod, aTarget] {
      return Call(
        MakeAuthorizedCall(site.ListenEndpoint(0), { .mMethod = aMethod, .mTarget = aTarget }));
    });
  };
  const auto received = [&server](const char* aTarget) {
    return std::ranges::count(server.ReceivedRequests(), aTarget, &HttpRequest::mTarget);
  };
  REQUIRE(std::holds_alternative<HttpResponse>(call("GET", "/app/quick").get()));
  auto running = call("POST", "/app/slow");
  const Instant deadline = Now() + Milliseconds{ 20'000 };
  while (received("/slow") == 0 && !HasPassed(deadline, Now())) {
    absl::SleepFor(absl::Milliseconds(5));
  }
  auto stopped = std::async(std::launch::async, [&site] { return site.HostAt(0).Stop(); });
  // The host still accepts connections, since the balancer needs some time to notice the stop.
  absl::SleepFor(absl::Milliseconds(50));
  auto late = call("POST", "/app/slow");
  auto quick = call("GET", "/app/quick");
  SECTION("one that may not end in time is refused as not run, others are served")
  {
    const HttpResult result = late.get();

    REQUIRE(std::holds_alternative<HttpResponse>(result));
    CHECK(std::get<HttpResponse>(result).mStatus == 503);
    CHECK(HeaderValue(std::get<HttpResponse>(result).mHeaders, "X-Trefoil-Verdict") == "not_run");
    CHECK(received("/slow") == 1);
    const HttpResult other = quick.get();
    REQUIRE(std::holds_alternative<HttpResponse>(other));
    CHECK(std::get<HttpResponse>(other).mStatus == 200);
  }
  SECTION("one that a server runs is answered before the host ends")
  {
    CHECK(stopped.get() == 0);
    site.DestroyHost(0);
    const HttpResult result = running.get();
    REQUIRE(std::holds_alternative<HttpResponse>(result));
    CHECK(std::get<HttpResponse>(result).mStatus == 504);
  }
}

TEST_CASE("An entry host stops")
{
  SECTION("with a notice that is long enough: no stream is cut off")
  {
    Site site{ { .mEngines = 2, .mHosts = 2 } };
    Callers callers;
    StartCallers(callers, site, 10);
    WaitForStreams();
    CHECK(site.HostAt(0).Stop() == 0);
    JoinCallers(callers);
    CheckComplete(callers);
  }
  SECTION("with less notice than its streams need: they are completed at other hosts")
  {
    Site site{ { .mEngines = 2,
                 .mHosts = 3,
                 .mTokenIntervalMilliseconds = 40,
                 .mStopNoticeMilliseconds = 1200 } };
    Callers callers;
    StartCallers(callers, site, 12);
    WaitForStreams();
    CHECK(site.HostAt(0).Stop() == 0);
    site.DestroyHost(0);
    JoinCallers(callers);
    for (std::size_t i = 0; i < callers.mAnswers.size(); i += 3) {
      CHECK(NameOf(kStreamEndNames, callers.mAnswers[i].mEnd) == "moved");
      Reattach(site.ListenEndpoint(1 + (i / 3) % 2), callers.mAnswers[i]);
    }
    CheckComplete(callers);
  }
}

} // namespace
} // namespace trefoil
