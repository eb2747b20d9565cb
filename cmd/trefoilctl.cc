// The operators' and callers' tool.
#include "absl/strings/numbers.h"
#include "trefoil/audit/trail_codec.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/command_line/command_line.h"
#include "trefoil/eventlog/request_timeline.h"
#include "trefoil/http/client.h"
#include "trefoil/operations/document.h"
#include "trefoil/platform/store_client.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace {

using trefoil::Endpoint;
using trefoil::Failure;
using trefoil::HttpRequest;
using trefoil::HttpResponse;
using trefoil::kExitBadInput;
using trefoil::Milliseconds;
using Arguments = std::map<std::string, docopt::value>;

constexpr const char* kUsage = R"(trefoilctl, the tool of trefoillb's operators and callers.

Usage:
  trefoilctl put FILE --store=ADDRESS [--author=NAME] [--expect=REVISION]
  trefoilctl show SERVICE --store=ADDRESS
  trefoilctl audit SERVICE --store=ADDRESS
  trefoilctl moves SERVICE --store=ADDRESS
  trefoilctl status --host=ADDRESS
  trefoilctl complete SERVICE PROMPT --host=ADDRESS --credential=TEXT [--tokens=N]
  trefoilctl call METHOD TARGET [BODY] --host=ADDRESS --credential=TEXT
  trefoilctl explain ID
  trefoilctl --help
  trefoilctl --version

Commands:
  put       Check a service document and put it into the store. Another operator's change in between is
            told, not overwritten.
  audit     Print who changed the document of a service, and when it was in force where.
  show      Print the document of a service.
  moves     Print the version moves of a service: phase, shares, reason and figures, the last ones too.
  status    Print what an entry host sees.
  complete  Send a completion and print the answer as it streams.
  call      Send a request to a plain service and print status, verdict and body.
  explain   Read log lines of entry hosts from standard input and print those of one request in order of
            time, with what the hosts believed of its servers. Clocks that differ are corrected.

Options:
  --store=ADDRESS    The key-value service, as IP:PORT.
  --author=NAME      Who makes the change; the login's name if it is left out.
  --expect=REVISION  Put only if the document still has this revision; 0 for a new one.
  --host=ADDRESS     An entry host, as IP:PORT.
  --credential=TEXT  The client account's credential.
  --tokens=N         The most tokens to generate [default: 16].

Exit status: 0 done, 1 failed, 2 bad command line or document.
)";
constexpr const char* kVersion = "trefoilctl 0.1.0";
constexpr int kExitFailed = 1;
constexpr Milliseconds kStoreLimit{ 5'000 };
constexpr Milliseconds kCallLimit{ 120'000 };

int
Fail(std::string_view aReason, int aCode = kExitFailed)
{
  std::fprintf(stderr, "trefoilctl: %s\n", std::string{ aReason }.c_str());
  return aCode;
}

std::string
Text(const Arguments& aArguments, const std::string& aKey)
{
  return aArguments.at(aKey).asString();
}

// Returns who makes the change: as told, else the name of the login.
std::string
AuthorName(const Arguments& aArguments)
{
  if (aArguments.at("--author").isString()) {
    return Text(aArguments, "--author");
  }
  const char* login = std::getenv("USER");
  return login == nullptr ? "unknown" : login;
}

int
ReportPut(const trefoil::PutResult& aResult)
{
  switch (aResult.mState) {
    case trefoil::PutState::kAccepted:
      fmt::print("accepted as revision {}\n", aResult.mRevision);
      return 0;
    case trefoil::PutState::kInvalid:
      return Fail(aResult.mReason, kExitBadInput);
    case trefoil::PutState::kConflict:
      return Fail(fmt::format("{}: it stands at revision {}, put by {}; see 'trefoilctl show'",
                              aResult.mReason,
                              aResult.mRevision,
                              aResult.mStanding.has_value() ? aResult.mStanding->mName
                                                            : "an unknown author"));
    default:
      return Fail(fmt::format("the document was not accepted: {} {}",
                              NameOf(trefoil::kPutStateNames, aResult.mState),
                              aResult.mReason));
  }
}

int
Put(const Arguments& aArguments, const Endpoint& aStore)
{
  const std::string path = Text(aArguments, "FILE");
  std::ifstream file{ path };
  if (!file) {
    return Fail(fmt::format("{}: cannot be read", path), kExitBadInput);
  }
  std::ostringstream text;
  text << file.rdbuf();
  trefoil::PutOptions options{ .mText = text.str(),
                               .mFile = path,
                               .mAuthor = AuthorName(aArguments) };
  if (aArguments.at("--expect").isString()) {
    std::uint64_t expected = 0;
    if (!absl::SimpleAtoi(Text(aArguments, "--expect"), &expected)) {
      return Fail("--expect must be a revision", kExitBadInput);
    }
    options.mExpected = expected;
  }
  return ReportPut(
    trefoil::PutDocument({ .mEndpoint = aStore }, options, trefoil::Now() + kStoreLimit));
}

int
Audit(const Arguments& aArguments, const Endpoint& aStore)
{
  const auto records = trefoil::ReadTrail({ .mEndpoint = aStore },
                                          trefoil::ServiceId{ Text(aArguments, "SERVICE") },
                                          trefoil::Now() + kStoreLimit);
  if (!records.ok()) {
    return Fail(std::string{ records.status().message() });
  }
  for (const trefoil::AuditRecord& record : *records) {
    fmt::print("{}\n", trefoil::RenderRecord(record));
  }
  return 0;
}

int
Show(const Arguments& aArguments, const Endpoint& aStore)
{
  const auto entry = trefoil::Read({ .mEndpoint = aStore },
                                   "services/" + Text(aArguments, "SERVICE"),
                                   trefoil::Now() + kStoreLimit);
  if (!entry.ok()) {
    return Fail(std::string{ entry.status().message() });
  }
  if (entry->mRevision == 0) {
    return Fail("there is no such service");
  }
  std::printf("# revision %llu\n%s",
              static_cast<unsigned long long>(entry->mRevision),
              entry->mValue.c_str());
  return 0;
}

int
ShowMoves(const Arguments& aArguments, const Endpoint& aStore)
{
  const auto entry = trefoil::Read(
    { .mEndpoint = aStore }, "moves/" + Text(aArguments, "SERVICE"), trefoil::Now() + kStoreLimit);
  if (!entry.ok()) {
    return Fail(std::string{ entry.status().message() });
  }
  if (entry->mRevision == 0) {
    return Fail("the service has no moves yet");
  }
  std::ostringstream text;
  Poco::JSON::Parser{}.parse(entry->mValue).extract<Poco::JSON::Object::Ptr>()->stringify(text, 2);
  std::printf("%s\n", text.str().c_str());
  return 0;
}

HttpRequest
WithCredential(const Arguments& aArguments, HttpRequest aRequest)
{
  trefoil::SetHeader(
    aRequest.mHeaders, "Authorization", "Bearer " + Text(aArguments, "--credential"));
  return aRequest;
}

int
PrintAnswer(const trefoil::HttpResult& aResult)
{
  if (const auto* failure = std::get_if<Failure>(&aResult)) {
    return Fail(fmt::format("{} ({})",
                            std::string{ failure->mStatus.message() },
                            trefoil::VerdictName(failure->mVerdict)));
  }
  const auto& answer = std::get<HttpResponse>(aResult);
  const std::string verdict{ trefoil::HeaderValue(answer.mHeaders, "X-Trefoil-Verdict") };
  std::printf("status %d verdict %s\n%s", answer.mStatus, verdict.c_str(), answer.mBody.c_str());
  return answer.mStatus < 400 ? 0 : kExitFailed;
}

int
CallPlain(const Arguments& aArguments, const Endpoint& aHost)
{
  HttpRequest request{ .mMethod = Text(aArguments, "METHOD"),
                       .mTarget = Text(aArguments, "TARGET") };
  if (aArguments.at("BODY").isString()) {
    request.mBody = Text(aArguments, "BODY");
  }
  return PrintAnswer(trefoil::Call({ .mServer = aHost,
                                     .mRequest = WithCredential(aArguments, request),
                                     .mDeadline = trefoil::Now() + kCallLimit }));
}

std::string
CompletionBody(const Arguments& aArguments, std::int64_t aTokens)
{
  Poco::JSON::Object body;
  body.set("model", Text(aArguments, "SERVICE"));
  body.set("prompt", Text(aArguments, "PROMPT"));
  body.set("max_tokens", aTokens);
  body.set("stream", true);
  std::ostringstream text;
  body.stringify(text);
  return text.str();
}

// Prints the events of a stream. Returns whether it came to its end mark.
bool
PrintEvents(trefoil::HttpStream& aStream)
{
  while (true) {
    const auto line = aStream.ReadLine(trefoil::Now() + kCallLimit);
    if (!line.ok()) {
      return false;
    }
    if (line->starts_with("data: ") || line->starts_with("event: ")) {
      std::printf("%s\n", line->c_str());
      std::fflush(stdout);
    }
    if (*line == "data: [DONE]") {
      return true;
    }
  }
}

int
Complete(const Arguments& aArguments, std::int64_t aTokens, const Endpoint& aHost)
{
  HttpRequest request{ .mMethod = "POST",
                       .mTarget = "/v1/completions",
                       .mBody = CompletionBody(aArguments, aTokens) };
  const trefoil::HttpCall call{ .mServer = aHost,
                                .mRequest = WithCredential(aArguments, request),
                                .mDeadline = trefoil::Now() + kCallLimit };
  auto opened = trefoil::HttpStream::Open(call);
  if (const auto* failure = std::get_if<Failure>(&opened)) {
    return PrintAnswer(*failure);
  }
  auto& stream = std::get<trefoil::HttpStream>(opened);
  if (stream.Status() != 200) {
    return PrintAnswer(stream.ReadAll(call));
  }
  return PrintEvents(stream) ? 0 : Fail("the answer did not come to its end");
}

int
Explain(const Arguments& aArguments)
{
  std::vector<trefoil::LogLine> lines;
  std::string text;
  while (std::getline(std::cin, text)) {
    auto line = trefoil::ParseLogLine(text);
    if (line.has_value()) {
      lines.push_back(std::move(*line));
    }
  }
  const auto story = trefoil::BuildTimeline(lines, Text(aArguments, "ID"));
  if (story.empty()) {
    return Fail(fmt::format("none of {} log lines names the request", lines.size()));
  }
  for (const auto& [host, ahead] : trefoil::ClockOffsets(lines)) {
    if (ahead != Milliseconds{ 0 }) {
      fmt::print("the clock of {} is {} ms ahead\n", host, ahead.count());
    }
  }
  for (const trefoil::TimelineEntry& line : story) {
    fmt::print("{} {:+7} ms {} {} {}\n",
               line.mNamesRequest ? '*' : ' ',
               line.mOffset.count(),
               line.mLine->mHost,
               line.mLine->mEvent,
               line.mLine->mText);
  }
  return 0;
}

int
Run(const trefoil::CommandLine& aLine)
{
  const Arguments& arguments = aLine.mArguments;
  if (arguments.at("explain").asBool()) {
    return Explain(arguments);
  }
  const bool usesStore = arguments.at("put").asBool() || arguments.at("show").asBool() ||
                         arguments.at("audit").asBool() || arguments.at("moves").asBool();
  const auto endpoint = trefoil::ParseEndpoint(Text(arguments, usesStore ? "--store" : "--host"));
  if (!endpoint.ok()) {
    return Fail(std::string{ endpoint.status().message() }, kExitBadInput);
  }
  if (arguments.at("put").asBool()) {
    return Put(arguments, *endpoint);
  }
  if (arguments.at("audit").asBool()) {
    return Audit(arguments, *endpoint);
  }
  if (arguments.at("show").asBool()) {
    return Show(arguments, *endpoint);
  }
  if (arguments.at("moves").asBool()) {
    return ShowMoves(arguments, *endpoint);
  }
  if (arguments.at("complete").asBool()) {
    const auto tokens = trefoil::NumberOption(aLine, "--tokens", 1);
    return tokens.has_value() ? Complete(arguments, *tokens, *endpoint) : kExitBadInput;
  }
  if (arguments.at("call").asBool()) {
    return CallPlain(arguments, *endpoint);
  }
  return PrintAnswer(trefoil::Call({ .mServer = *endpoint,
                                     .mRequest = { .mTarget = "/status" },
                                     .mDeadline = trefoil::Now() + kCallLimit }));
}

} // namespace

int
main(int aCount, char** aValues)
{
  const auto line =
    trefoil::ParseCommandLine({ .mUsage = kUsage, .mVersion = kVersion }, aCount, aValues);
  return line.mExit.has_value() ? *line.mExit : Run(line);
}
