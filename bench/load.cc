// A load generator: sends streamed completions, checks that each answer is complete, and prints
// latencies.
#include "standin/token_text.h"
#include "trefoil/backend/engine_client.h"
#include "trefoil/base/instant.h"
#include "trefoil/command_line/command_line.h"
#include "trefoil/http/client.h"

#include <Poco/JSON/Object.h>
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <fmt/format.h>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using trefoil::Endpoint;
using trefoil::Instant;
using trefoil::Milliseconds;

constexpr const char* kUsage = R"(trefoil-load sends streamed completions and checks the answers.

Usage:
  trefoil-load SERVICE ADDRESS... [--credential=TEXT] [--streams=N] [--requests=N] [--tokens=N] [--seed=N]

Distributes the requests over the addresses in turn. Exit status: 0 if every answer was complete, 1
if not, 2 for a bad command line.

Options:
  --credential=TEXT  The client account's credential [default: ].
  --streams=N        Number of concurrent streams [default: 10].
  --requests=N       Total number of requests [default: 100].
  --tokens=N         Number of tokens per answer [default: 50].
  --seed=N           Seed of the prompts [default: 1].
)";
constexpr Milliseconds kRequestTimeout{ 300'000 };
constexpr double kMillisecondsPerSecond = 1000;
constexpr double kMedianQuantile = 0.5;
constexpr double kTailQuantile = 0.95;

struct LoadOptions
{
  std::string mService;
  std::vector<Endpoint> mServers;
  std::string mCredential;
  std::int64_t mStreams = 0;
  std::int64_t mRequests = 0;
  std::int64_t mTokens = 0;
  std::int64_t mSeed = 0;
};

// Latencies and answer counts of the requests of one stream.
struct LoadResult
{
  std::vector<double> mFirstTokenMilliseconds;
  std::vector<double> mTokenGapMilliseconds;
  std::int64_t mCompleteAnswers = 0;
  std::int64_t mBrokenAnswers = 0;
};

double
MillisecondsBetween(Instant aFrom, Instant aTo)
{
  return std::chrono::duration<double, std::milli>(aTo - aFrom).count();
}

double
Quantile(std::vector<double>& aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto position =
    static_cast<std::size_t>(aQuantile * static_cast<double>(aValues.size() - 1));
  std::nth_element(
    aValues.begin(), aValues.begin() + static_cast<std::ptrdiff_t>(position), aValues.end());
  return aValues[position];
}

std::string
RequestBody(const LoadOptions& aOptions, const std::string& aPrompt)
{
  Poco::JSON::Object body;
  body.set("model", aOptions.mService);
  body.set("prompt", aPrompt);
  body.set("max_tokens", aOptions.mTokens);
  body.set("stream", true);
  std::ostringstream text;
  body.stringify(text);
  return text.str();
}

trefoil::HttpCall
MakeCall(const LoadOptions& aOptions, std::int64_t aNumber, const std::string& aPrompt)
{
  trefoil::HttpCall call{
    .mServer = aOptions.mServers[static_cast<std::size_t>(aNumber) % aOptions.mServers.size()],
    .mRequest = { .mMethod = "POST",
                  .mTarget = "/v1/completions",
                  .mBody = RequestBody(aOptions, aPrompt) },
    .mDeadline = trefoil::Now() + kRequestTimeout
  };
  trefoil::SetHeader(call.mRequest.mHeaders, "Authorization", "Bearer " + aOptions.mCredential);
  return call;
}

// Returns the text of a token event, or std::nullopt for any other line.
std::optional<std::string>
TokenText(const std::string& aLine)
{
  constexpr std::string_view kPrefix = "\"text\":\"";
  const std::size_t start = aLine.find(kPrefix);
  if (start == std::string::npos) {
    return std::nullopt;
  }
  const std::size_t begin = start + kPrefix.size();
  return aLine.substr(begin, aLine.find('"', begin) - begin);
}

// Reads a stream up to its end mark and records the latencies. Returns the text of the answer,
// which is incomplete if the stream broke.
std::string
ReadAnswer(trefoil::HttpStream& aStream, Instant aStartedAt, LoadResult& aResult)
{
  std::string answer;
  Instant last = aStartedAt;
  while (true) {
    const auto line = aStream.ReadLine(trefoil::Now() + kRequestTimeout);
    if (!line.ok() || *line == "data: [DONE]") {
      return answer;
    }
    const auto token = TokenText(*line);
    if (!token.has_value()) {
      continue;
    }
    const Instant now = trefoil::Now();
    (answer.empty() ? aResult.mFirstTokenMilliseconds : aResult.mTokenGapMilliseconds)
      .push_back(MillisecondsBetween(last, now));
    last = now;
    answer += *token;
  }
}

void
SendRequest(const LoadOptions& aOptions, std::int64_t aNumber, LoadResult& aResult)
{
  const std::string prompt = fmt::format("prompt {} of seed {}", aNumber, aOptions.mSeed);
  const Instant startedAt = trefoil::Now();
  auto opened = trefoil::HttpStream::Open(MakeCall(aOptions, aNumber, prompt));
  std::string answer;
  if (auto* stream = std::get_if<trefoil::HttpStream>(&opened)) {
    answer = ReadAnswer(*stream, startedAt, aResult);
  }
  const bool isComplete = answer == trefoil::standin::AnswerText(prompt, aOptions.mTokens);
  ++(isComplete ? aResult.mCompleteAnswers : aResult.mBrokenAnswers);
}

void
MergeResult(LoadResult& aInto, const LoadResult& aFrom)
{
  aInto.mFirstTokenMilliseconds.insert(aInto.mFirstTokenMilliseconds.end(),
                                       aFrom.mFirstTokenMilliseconds.begin(),
                                       aFrom.mFirstTokenMilliseconds.end());
  aInto.mTokenGapMilliseconds.insert(aInto.mTokenGapMilliseconds.end(),
                                     aFrom.mTokenGapMilliseconds.begin(),
                                     aFrom.mTokenGapMilliseconds.end());
  aInto.mCompleteAnswers += aFrom.mCompleteAnswers;
  aInto.mBrokenAnswers += aFrom.mBrokenAnswers;
}

LoadResult
RunLoad(const LoadOptions& aOptions)
{
  std::vector<LoadResult> results(static_cast<std::size_t>(aOptions.mStreams));
  std::vector<std::thread> threads;
  for (std::int64_t stream = 0; stream < aOptions.mStreams; ++stream) {
    threads.emplace_back([&aOptions, &results, stream] {
      for (std::int64_t number = stream; number < aOptions.mRequests; number += aOptions.mStreams) {
        SendRequest(aOptions, number, results[static_cast<std::size_t>(stream)]);
      }
    });
  }
  LoadResult total;
  for (std::size_t i = 0; i < threads.size(); ++i) {
    threads[i].join();
    MergeResult(total, results[i]);
  }
  return total;
}

// Returns std::nullopt and prints the reason if an option is invalid.
std::optional<LoadOptions>
ParseOptions(const trefoil::CommandLine& aCommandLine)
{
  const auto& arguments = aCommandLine.mArguments;
  const auto streams = trefoil::NumberOption(aCommandLine, "--streams", 1);
  const auto requests = trefoil::NumberOption(aCommandLine, "--requests", 1);
  const auto tokens = trefoil::NumberOption(aCommandLine, "--tokens", 1);
  const auto seed = trefoil::NumberOption(aCommandLine, "--seed", 0);
  if (!streams.has_value() || !requests.has_value() || !tokens.has_value() || !seed.has_value()) {
    return std::nullopt;
  }
  LoadOptions options{ .mService = arguments.at("SERVICE").asString(),
                       .mCredential = arguments.at("--credential").asString(),
                       .mStreams = *streams,
                       .mRequests = *requests,
                       .mTokens = *tokens,
                       .mSeed = *seed };
  for (const std::string& address : arguments.at("ADDRESS").asStringList()) {
    const auto endpoint = trefoil::ParseEndpoint(address);
    if (!endpoint.ok()) {
      std::fprintf(stderr, "%s\n", std::string{ endpoint.status().message() }.c_str());
      return std::nullopt;
    }
    options.mServers.push_back(*endpoint);
  }
  return options;
}

void
PrintResult(LoadResult& aResult, double aSeconds)
{
  const double tokens = static_cast<double>(aResult.mFirstTokenMilliseconds.size() +
                                            aResult.mTokenGapMilliseconds.size());
  std::printf("whole %lld broken %lld first_token_ms p50 %.2f p95 %.2f gap_ms p50 %.2f p95 %.2f "
              "requests_per_s %.1f tokens_per_s %.0f\n",
              static_cast<long long>(aResult.mCompleteAnswers),
              static_cast<long long>(aResult.mBrokenAnswers),
              Quantile(aResult.mFirstTokenMilliseconds, kMedianQuantile),
              Quantile(aResult.mFirstTokenMilliseconds, kTailQuantile),
              Quantile(aResult.mTokenGapMilliseconds, kMedianQuantile),
              Quantile(aResult.mTokenGapMilliseconds, kTailQuantile),
              static_cast<double>(aResult.mCompleteAnswers + aResult.mBrokenAnswers) / aSeconds,
              tokens / aSeconds);
}

} // namespace

int
main(int aCount, char** aValues)
{
  const auto commandLine = trefoil::ParseCommandLine(
    { .mUsage = kUsage, .mVersion = "trefoil-load 0.1.0" }, aCount, aValues);
  if (commandLine.mExit.has_value()) {
    return *commandLine.mExit;
  }
  const auto options = ParseOptions(commandLine);
  if (!options.has_value()) {
    return trefoil::kExitBadInput;
  }
  const Instant startedAt = trefoil::Now();
  LoadResult result = RunLoad(*options);
  PrintResult(result, MillisecondsBetween(startedAt, trefoil::Now()) / kMillisecondsPerSecond);
  return result.mBrokenAnswers == 0 ? 0 : 1;
}
