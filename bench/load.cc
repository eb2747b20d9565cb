// A load tool: sends streamed completions, checks that each answer is whole, and prints latencies.
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

constexpr const char* kUsage = R"(trefoil-load, sends streamed completions and checks the answers.

Usage:
  trefoil-load SERVICE ADDRESS... [--credential=TEXT] [--streams=N] [--requests=N] [--tokens=N] [--seed=N]

Each request goes to one of the addresses in turn. Exit status: 0 if every answer was whole, else 1.

Options:
  --credential=TEXT  The client account's credential [default: ].
  --streams=N        Streams open at a time [default: 10].
  --requests=N       Requests in all [default: 100].
  --tokens=N         Tokens of each answer [default: 50].
  --seed=N           Seed of the prompts [default: 1].
)";
constexpr Milliseconds kRequestLimit{ 300'000 };
constexpr double kMillisecondsPerSecond = 1000;
constexpr double kMedian = 0.5;
constexpr double kTail = 0.95;

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

// What the requests of one stream met, in milliseconds.
struct LoadResult
{
  std::vector<double> mFirstToken;
  std::vector<double> mGap;
  std::int64_t mWhole = 0;
  std::int64_t mBroken = 0;
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
  const auto place = static_cast<std::size_t>(aQuantile * static_cast<double>(aValues.size() - 1));
  std::nth_element(
    aValues.begin(), aValues.begin() + static_cast<std::ptrdiff_t>(place), aValues.end());
  return aValues[place];
}

std::string
BodyOf(const LoadOptions& aOptions, const std::string& aPrompt)
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
CallOf(const LoadOptions& aOptions, std::int64_t aNumber, const std::string& aPrompt)
{
  trefoil::HttpCall call{
    .mServer = aOptions.mServers[static_cast<std::size_t>(aNumber) % aOptions.mServers.size()],
    .mRequest = { .mMethod = "POST",
                  .mTarget = "/v1/completions",
                  .mBody = BodyOf(aOptions, aPrompt) },
    .mDeadline = trefoil::Now() + kRequestLimit
  };
  trefoil::SetHeader(call.mRequest.mHeaders, "Authorization", "Bearer " + aOptions.mCredential);
  return call;
}

// Returns the text of a token event, or nothing for another line.
std::optional<std::string>
TokenIn(const std::string& aLine)
{
  constexpr std::string_view kPrefix = "\"text\":\"";
  const std::size_t start = aLine.find(kPrefix);
  if (start == std::string::npos) {
    return std::nullopt;
  }
  const std::size_t begin = start + kPrefix.size();
  return aLine.substr(begin, aLine.find('"', begin) - begin);
}

// Reads a stream to its end mark. Returns the answer's text, shorter if the stream broke.
std::string
ReadAnswer(trefoil::HttpStream& aStream, Instant aStartedAt, LoadResult& aResult)
{
  std::string answer;
  Instant last = aStartedAt;
  while (true) {
    const auto line = aStream.ReadLine(trefoil::Now() + kRequestLimit);
    if (!line.ok() || *line == "data: [DONE]") {
      return answer;
    }
    const auto token = TokenIn(*line);
    if (!token.has_value()) {
      continue;
    }
    const Instant now = trefoil::Now();
    (answer.empty() ? aResult.mFirstToken : aResult.mGap).push_back(MillisecondsBetween(last, now));
    last = now;
    answer += *token;
  }
}

void
SendOne(const LoadOptions& aOptions, std::int64_t aNumber, LoadResult& aResult)
{
  const std::string prompt = fmt::format("prompt {} of seed {}", aNumber, aOptions.mSeed);
  const Instant startedAt = trefoil::Now();
  auto opened = trefoil::HttpStream::Open(CallOf(aOptions, aNumber, prompt));
  std::string answer;
  if (auto* stream = std::get_if<trefoil::HttpStream>(&opened)) {
    answer = ReadAnswer(*stream, startedAt, aResult);
  }
  const bool whole = answer == trefoil::standin::AnswerText(prompt, aOptions.mTokens);
  ++(whole ? aResult.mWhole : aResult.mBroken);
}

void
Merge(LoadResult& aInto, const LoadResult& aFrom)
{
  aInto.mFirstToken.insert(
    aInto.mFirstToken.end(), aFrom.mFirstToken.begin(), aFrom.mFirstToken.end());
  aInto.mGap.insert(aInto.mGap.end(), aFrom.mGap.begin(), aFrom.mGap.end());
  aInto.mWhole += aFrom.mWhole;
  aInto.mBroken += aFrom.mBroken;
}

LoadResult
RunLoad(const LoadOptions& aOptions)
{
  std::vector<LoadResult> results(static_cast<std::size_t>(aOptions.mStreams));
  std::vector<std::thread> threads;
  for (std::int64_t stream = 0; stream < aOptions.mStreams; ++stream) {
    threads.emplace_back([&aOptions, &results, stream] {
      for (std::int64_t number = stream; number < aOptions.mRequests; number += aOptions.mStreams) {
        SendOne(aOptions, number, results[static_cast<std::size_t>(stream)]);
      }
    });
  }
  LoadResult total;
  for (std::size_t i = 0; i < threads.size(); ++i) {
    threads[i].join();
    Merge(total, results[i]);
  }
  return total;
}

// Returns nothing and prints the reason if an option is bad.
std::optional<LoadOptions>
OptionsOf(const trefoil::CommandLine& aLine)
{
  const auto& arguments = aLine.mArguments;
  const auto streams = trefoil::NumberOption(aLine, "--streams", 1);
  const auto requests = trefoil::NumberOption(aLine, "--requests", 1);
  const auto tokens = trefoil::NumberOption(aLine, "--tokens", 1);
  const auto seed = trefoil::NumberOption(aLine, "--seed", 0);
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
Print(LoadResult& aResult, double aSeconds)
{
  const double tokens = static_cast<double>(aResult.mFirstToken.size() + aResult.mGap.size());
  std::printf("whole %lld broken %lld first_token_ms p50 %.2f p95 %.2f gap_ms p50 %.2f p95 %.2f "
              "requests_per_s %.1f tokens_per_s %.0f\n",
              static_cast<long long>(aResult.mWhole),
              static_cast<long long>(aResult.mBroken),
              Quantile(aResult.mFirstToken, kMedian),
              Quantile(aResult.mFirstToken, kTail),
              Quantile(aResult.mGap, kMedian),
              Quantile(aResult.mGap, kTail),
              static_cast<double>(aResult.mWhole + aResult.mBroken) / aSeconds,
              tokens / aSeconds);
}

} // namespace

int
main(int aCount, char** aValues)
{
  const auto line = trefoil::ParseCommandLine(
    { .mUsage = kUsage, .mVersion = "trefoil-load 0.1.0" }, aCount, aValues);
  if (line.mExit.has_value()) {
    return *line.mExit;
  }
  const auto options = OptionsOf(line);
  if (!options.has_value()) {
    return trefoil::kExitBadInput;
  }
  const Instant startedAt = trefoil::Now();
  LoadResult result = RunLoad(*options);
  Print(result, MillisecondsBetween(startedAt, trefoil::Now()) / kMillisecondsPerSecond);
  return result.mBroken == 0 ? 0 : 1;
}
