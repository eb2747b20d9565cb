// standin-platform-server, a program that stands in for a backend server of the users' platform. It
// registers itself in the platform's store and serves plain requests and, under /talk/, event
// streams. For each request that it starts, it appends the request's id and its own id to a file.
#include "standin/serve_until_signal.h"
#include "trefoil/base/instant.h"
#include "trefoil/command_line/command_line.h"
#include "trefoil/http/client.h"
#include "trefoil/http/status_code.h"

#include "absl/synchronization/mutex.h"
#include <algorithm>
#include <atomic>
#include <cstdint>
#include <fmt/format.h>
#include <fstream>
#include <string>
#include <thread>

namespace {

using trefoil::HttpExchange;
using trefoil::HttpHeaders;
using trefoil::HttpRequest;

constexpr const char* kUsage =
  R"(standin-platform-server, a stand-in for a backend server of the users' platform.

Usage:
  standin-platform-server ID ADDRESS --platform=ADDRESS --service=NAME --zone=ZONE --runs=FILE
    [--answer-bytes=N] [--close-every=N] [--work-ms=N] [--server-version=NAME] [--slots=N]

Options:
  --answer-bytes=N  The length of the answers that are not streams, or that of their text if it is longer [default: 0].
  --close-every=N  Every Nth answer closes its connection.
  --runs=FILE  The file to which the id of each request that begins to run is appended.
  --server-version=NAME  The version that the server registers [default: v1].
  --slots=N  The number of requests at once that the server registers [default: 64].
  --work-ms=N  The time from the start of a request to its answer, or to the first event of a stream [default: 10].
)";
// The interval of the heartbeats that renew the registration, and the time after which the store
// removes a registration that was not renewed.
constexpr trefoil::Milliseconds kHeartbeatInterval{ 300 };
constexpr int kRegistrationTtlMs = 1'200;
// The interval between the events of a stream, and the number of events.
constexpr trefoil::Milliseconds kEventInterval{ 30 };
constexpr int kEventCount = 10;

struct Server
{
  std::string mId;
  // The path of the file to which the requests that start are appended.
  std::string mRunsPath;
  trefoil::Milliseconds mWorkDuration{ 0 };
  // Every answer with a multiple of this number closes its connection; 0 if none does.
  std::int64_t mCloseEvery = 0;
  // Answers that are not streams are extended to this length.
  std::size_t mAnswerBytes = 0;
  std::atomic<std::int64_t> mAnswers{ 0 };
  absl::Mutex mMutex;
};

// Appends the start of a request to the file of runs, before the request is answered.
void
RecordRun(Server& aServer, const std::string& aRequestId)
{
  const absl::MutexLock lock{ &aServer.mMutex };
  std::ofstream file{ aServer.mRunsPath, std::ios::app };
  file << aRequestId << ' ' << aServer.mId << std::endl;
}

void
Serve(Server& aServer, HttpExchange& aExchange)
{
  const HttpRequest& request = aExchange.Request();
  const std::string id{ HeaderValue(request.mHeaders, "Request-Id") };
  if (HeaderValue(request.mHeaders, "Expected-Instance") != aServer.mId) {
    aExchange.Respond(
      { .mStatus = trefoil::kMisdirectedRequest, .mHeaders = { { "Request-Id", id } } });
    return;
  }
  RecordRun(aServer, id);
  HttpHeaders headers{ { "Request-Id", id }, { "Response-Seal", "seal-" + id } };
  if (aServer.mCloseEvery > 0 && ++aServer.mAnswers % aServer.mCloseEvery == 0) {
    headers.push_back({ .mName = "Connection", .mValue = "close" });
  }
  std::this_thread::sleep_for(aServer.mWorkDuration);
  if (!request.mTarget.starts_with("/talk/")) {
    std::string body = "answer to " + id;
    body.resize(std::max(body.size(), aServer.mAnswerBytes), '.');
    aExchange.Respond({ .mHeaders = headers, .mBody = std::move(body) });
    return;
  }
  const std::string after{ HeaderValue(request.mHeaders, "Last-Event-Id") };
  aExchange.BeginStream({ .mHeaders = headers });
  for (int event = after.empty() ? 1 : std::stoi(after) + 1; event <= kEventCount; ++event) {
    if (!aExchange.Write(fmt::format("id: {}\ndata: {}\n\n", event, event))) {
      return;
    }
    std::this_thread::sleep_for(kEventInterval);
  }
}

// Writes the server's registration to the platform's store every kHeartbeatInterval. Never returns.
void
SendHeartbeats(const std::string& aId,
               const trefoil::Endpoint& aPlatform,
               const std::string& aRegistration)
{
  const HttpRequest heartbeat{ .mMethod = "PUT",
                               .mTarget = fmt::format(
                                 "/admin/key?Key=servers%2F{}&LastsMs={}", aId, kRegistrationTtlMs),
                               .mBody = aRegistration };
  for (;;) {
    const trefoil::HttpResult result =
      trefoil::Call({ .mServer = aPlatform,
                      .mRequest = heartbeat,
                      .mDeadline = trefoil::Now() + kHeartbeatInterval });
    if (std::holds_alternative<trefoil::Failure>(result)) {
      fmt::print(stderr, "the platform does not answer\n");
    }
    std::this_thread::sleep_for(kHeartbeatInterval);
  }
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  const auto commandLine =
    trefoil::ParseCommandLine({ .mUsage = kUsage, .mVersion = trefoil::standin::kStandinVersion },
                              aArgumentCount,
                              aArguments);
  if (commandLine.mExit.has_value()) {
    return *commandLine.mExit;
  }
  const auto text = [&commandLine](const char* aName) {
    return commandLine.mArguments.at(aName).asString();
  };
  const auto platform = trefoil::ParseEndpoint(text("--platform"));
  if (!platform.ok()) {
    fmt::print(stderr, "--platform: {}\n", std::string{ platform.status().message() });
    return trefoil::kExitBadInput;
  }
  const bool closesSome = commandLine.mArguments.at("--close-every").isString();
  Server server{ .mId = text("ID"),
                 .mRunsPath = text("--runs"),
                 .mWorkDuration = trefoil::Milliseconds{ std::stol(text("--work-ms")) },
                 .mCloseEvery = closesSome ? std::stol(text("--close-every")) : 0,
                 .mAnswerBytes = std::stoul(text("--answer-bytes")) };
  const std::string registration = fmt::format(
    R"({{"Service":"{}","Address":"{}","Zone":"{}","Version":"{}","Slots":{},"State":"ready","born":{}}})",
    text("--service"),
    text("ADDRESS"),
    text("--zone"),
    text("--server-version"),
    text("--slots"),
    trefoil::UnixMilliseconds(trefoil::WallNow()));
  std::thread{ SendHeartbeats, server.mId, *platform, registration }.detach();
  return trefoil::standin::ServeUntilSignal(
    text("ADDRESS"), [&server](HttpExchange& aExchange) { Serve(server, aExchange); });
}
