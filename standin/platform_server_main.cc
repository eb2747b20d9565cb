// A backend server of the users' platform as a program: registers itself, serves plain requests and
// event streams, and writes down which requests it began.
#include "standin/serve_until_signal.h"
#include "trefoil/base/instant.h"
#include "trefoil/command_line/command_line.h"
#include "trefoil/http/client.h"
#include "trefoil/http/status_code.h"

#include "absl/synchronization/mutex.h"
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
  standin-platform-server ID ADDRESS --platform=ADDRESS --service=NAME --zone=ZONE --runs=FILE [--reached-at=ADDRESS]

Options:
  --reached-at=ADDRESS  Where hosts reach it, if that is another address, such as a proxy's.
  --runs=FILE  The file to which the id of each request that begins to run is appended.
)";
constexpr trefoil::Milliseconds kBeatEvery{ 300 };
constexpr int kBeatLastsMs = 1'200;
constexpr trefoil::Milliseconds kWork{ 10 };
constexpr trefoil::Milliseconds kEventPause{ 30 };
constexpr int kEvents = 10;

struct Server
{
  std::string mId;
  std::string mRuns;
  absl::Mutex mMutex;
};

void
NoteRun(Server& aServer, const std::string& aRequestId)
{
  const absl::MutexLock lock{ &aServer.mMutex };
  std::ofstream file{ aServer.mRuns, std::ios::app };
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
  NoteRun(aServer, id);
  const HttpHeaders headers{ { "Request-Id", id }, { "Response-Seal", "seal-" + id } };
  std::this_thread::sleep_for(kWork);
  if (!request.mTarget.starts_with("/talk/")) {
    aExchange.Respond({ .mHeaders = headers, .mBody = "answer to " + id });
    return;
  }
  const std::string after{ HeaderValue(request.mHeaders, "Last-Event-Id") };
  aExchange.BeginStream({ .mHeaders = headers });
  for (int event = after.empty() ? 1 : std::stoi(after) + 1; event <= kEvents; ++event) {
    if (!aExchange.Write(fmt::format("id: {}\ndata: {}\n\n", event, event))) {
      return;
    }
    std::this_thread::sleep_for(kEventPause);
  }
}

// Tells the platform's store that the server is there, for ever.
void
Beat(const std::string& aId, const trefoil::Endpoint& aPlatform, const std::string& aEntry)
{
  const HttpRequest beat{ .mMethod = "PUT",
                          .mTarget = fmt::format(
                            "/admin/key?Key=servers%2F{}&LastsMs={}", aId, kBeatLastsMs),
                          .mBody = aEntry };
  for (;;) {
    const trefoil::HttpResult result = trefoil::Call(
      { .mServer = aPlatform, .mRequest = beat, .mDeadline = trefoil::Now() + kBeatEvery });
    if (std::holds_alternative<trefoil::Failure>(result)) {
      fmt::print(stderr, "the platform does not answer\n");
    }
    std::this_thread::sleep_for(kBeatEvery);
  }
}

} // namespace

int
main(int aCount, char** aValues)
{
  const auto line = trefoil::ParseCommandLine(
    { .mUsage = kUsage, .mVersion = trefoil::standin::kStandinVersion }, aCount, aValues);
  if (line.mExit.has_value()) {
    return *line.mExit;
  }
  const auto text = [&line](const char* aName) { return line.mArguments.at(aName).asString(); };
  const auto platform = trefoil::ParseEndpoint(text("--platform"));
  if (!platform.ok()) {
    fmt::print(stderr, "--platform: {}\n", std::string{ platform.status().message() });
    return trefoil::kExitBadInput;
  }
  Server server{ .mId = text("ID"), .mRuns = text("--runs") };
  const std::string entry = fmt::format(
    R"({{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":64,"State":"ready","born":{}}})",
    text("--service"),
    line.mArguments.at("--reached-at").isString() ? text("--reached-at") : text("ADDRESS"),
    text("--zone"),
    trefoil::UnixMilliseconds(trefoil::WallNow()));
  std::thread{ Beat, server.mId, *platform, entry }.detach();
  return trefoil::standin::ServeUntilSignal(
    text("ADDRESS"), [&server](HttpExchange& aExchange) { Serve(server, aExchange); });
}
