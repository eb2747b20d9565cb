// trefoilctl, the command-line tool of operators and callers. Writes and shows service documents,
// sends requests to entry hosts and explains their logs.
//
// Each function that carries out a command prints its result and returns the exit status.
#include "absl/strings/numbers.h"
#include "trefoil/audit/trail_codec.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/command_line/command_line.h"
#include "trefoil/eventlog/request_timeline.h"
#include "trefoil/http/client.h"
#include "trefoil/operations/document.h"
#include "trefoil/store_client/store_client.h"

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
// How long the commands that use the store wait for it.
constexpr Milliseconds kStoreTimeout{ 5'000 };
// How long a request to an entry host may take; for a stream, how long the next line may take.
constexpr Milliseconds kCallTimeout{ 120'000 };

// Prints a reason to stderr and returns the exit status.
int
Fail(std::string_view aReason, int aExitStatus = kExitFailed)
{
  std::fprintf(stderr, "trefoilctl: %s\n", std::string{ aReason }.c_str());
  return aExitStatus;
}

std::string
TextArgument(const Arguments& aArguments, const std::string& aName)
{
  return aArguments.at(aName).asString();
}

// Returns the author of a change: --author if it is given, otherwise the user's login name.
std::string
AuthorName(const Arguments& aArguments)
{
  if (aArguments.at("--author").isString()) {
    return TextArgument(aArguments, "--author");
  }
  const char* login = std::getenv("USER");
  return login == nullptr ? "unknown" : login;
}

int
PrintPutResult(const trefoil::PutResult& aResult)
{
  switch (aResult.mState) {
    case trefoil::PutState::kAccepted:
      fmt::print("accepted as revision {}\n", aResult.mRevision);
      return 0;
    case trefoil::PutState::kInvalid:
      return Fail(aResult.mReason, kExitBadInput);
    case trefoil::PutState::kConflict:
      return Fail(fmt::format("{}: the stored revision is {}, put by {}; see 'trefoilctl show'",
                              aResult.mReason,
                              aResult.mRevision,
                              aResult.mStoredAuthor.has_value() ? aResult.mStoredAuthor->mName
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
  const std::string path = TextArgument(aArguments, "FILE");
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
    if (!absl::SimpleAtoi(TextArgument(aArguments, "--expect"), &expected)) {
      return Fail("--expect must be a revision", kExitBadInput);
    }
    options.mExpected = expected;
  }
  return PrintPutResult(
    trefoil::PutDocument({ .mEndpoint = aStore }, options, trefoil::Now() + kStoreTimeout));
}

int
Audit(const Arguments& aArguments, const Endpoint& aStore)
{
  const auto records =
    trefoil::ReadAuditTrail({ .mEndpoint = aStore },
                            trefoil::ServiceId{ TextArgument(aArguments, "SERVICE") },
                            trefoil::Now() + kStoreTimeout);
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
                                   "services/" + TextArgument(aArguments, "SERVICE"),
                                   trefoil::Now() + kStoreTimeout);
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
  const auto entry = trefoil::Read({ .mEndpoint = aStore },
                                   "moves/" + TextArgument(aArguments, "SERVICE"),
                                   trefoil::Now() + kStoreTimeout);
  if (!entry.ok()) {
    return Fail(std::string{ entry.status().message() });
  }
  if (entry->mRevision == 0) {
    return Fail("the service has no version moves yet");
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
    aRequest.mHeaders, "Authorization", "Bearer " + TextArgument(aArguments, "--credential"));
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
  HttpRequest request{ .mMethod = TextArgument(aArguments, "METHOD"),
                       .mTarget = TextArgument(aArguments, "TARGET") };
  if (aArguments.at("BODY").isString()) {
    request.mBody = TextArgument(aArguments, "BODY");
  }
  return PrintAnswer(trefoil::Call({ .mServer = aHost,
                                     .mRequest = WithCredential(aArguments, request),
                                     .mDeadline = trefoil::Now() + kCallTimeout }));
}

std::string
MakeCompletionBody(const Arguments& aArguments, std::int64_t aMaxTokens)
{
  Poco::JSON::Object body;
  body.set("model", TextArgument(aArguments, "SERVICE"));
  body.set("prompt", TextArgument(aArguments, "PROMPT"));
  body.set("max_tokens", aMaxTokens);
  body.set("stream", true);
  std::ostringstream text;
  body.stringify(text);
  return text.str();
}

// Prints the events of a stream as they arrive. Returns whether the stream ended with its end mark;
// false if it broke off or no line arrived within kCallTimeout.
bool
PrintEvents(trefoil::HttpStream& aStream)
{
  while (true) {
    const auto line = aStream.ReadLine(trefoil::Now() + kCallTimeout);
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
Complete(const Arguments& aArguments, std::int64_t aMaxTokens, const Endpoint& aHost)
{
  HttpRequest request{ .mMethod = "POST",
                       .mTarget = "/v1/completions",
                       .mBody = MakeCompletionBody(aArguments, aMaxTokens) };
  const trefoil::HttpCall call{ .mServer = aHost,
                                .mRequest = WithCredential(aArguments, request),
                                .mDeadline = trefoil::Now() + kCallTimeout };
  auto opened = trefoil::HttpStream::Open(call);
  if (const auto* failure = std::get_if<Failure>(&opened)) {
    return PrintAnswer(*failure);
  }
  auto& stream = std::get<trefoil::HttpStream>(opened);
  if (stream.Status() != 200) {
    return PrintAnswer(stream.ReadAll(call));
  }
  return PrintEvents(stream) ? 0 : Fail("the answer ended before its end mark");
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
  const auto timeline = trefoil::BuildTimeline(lines, TextArgument(aArguments, "ID"));
  if (timeline.empty()) {
    return Fail(fmt::format("none of the {} log lines names the request", lines.size()));
  }
  for (const auto& [host, offset] : trefoil::ClockOffsets(lines)) {
    if (offset != Milliseconds{ 0 }) {
      fmt::print("the clock of {} is {} ms ahead\n", host, offset.count());
    }
  }
  for (const trefoil::TimelineEntry& entry : timeline) {
    fmt::print("{} {:+7} ms {} {} {}\n",
               entry.mNamesRequest ? '*' : ' ',
               entry.mOffset.count(),
               entry.mLine->mHost,
               entry.mLine->mEvent,
               entry.mLine->mText);
  }
  return 0;
}

int
Run(const trefoil::CommandLine& aCommandLine)
{
  const Arguments& arguments = aCommandLine.mArguments;
  if (arguments.at("explain").asBool()) {
    return Explain(arguments);
  }
  const bool usesStore = arguments.at("put").asBool() || arguments.at("show").asBool() ||
                         arguments.at("audit").asBool() || arguments.at("moves").asBool();
  const auto endpoint =
    trefoil::ParseEndpoint(TextArgument(arguments, usesStore ? "--store" : "--host"));
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
    const auto tokens = trefoil::NumberOption(aCommandLine, "--tokens", 1);
    return tokens.has_value() ? Complete(arguments, *tokens, *endpoint) : kExitBadInput;
  }
  if (arguments.at("call").asBool()) {
    return CallPlain(arguments, *endpoint);
  }
  return PrintAnswer(trefoil::Call({ .mServer = *endpoint,
                                     .mRequest = { .mTarget = "/status" },
                                     .mDeadline = trefoil::Now() + kCallTimeout }));
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  const auto commandLine = trefoil::ParseCommandLine(
    { .mUsage = kUsage, .mVersion = kVersion }, aArgumentCount, aArguments);
  return commandLine.mExit.has_value() ? *commandLine.mExit : Run(commandLine);
}
