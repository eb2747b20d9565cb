// A load tool: sends streamed completions, checks that each answer is whole, and prints latencies.
#include "standin/token_text.h"
#include "trefoil/backend/engine_client.h"
#include "trefoil/base/instant.h"
#include "trefoil/http/client.h"

#include <Poco/JSON/Object.h>
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <mutex>
#include <random>
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

LoadOptions
OptionsOf(std::map<std::string, docopt::value>& aArguments)
{
  LoadOptions options{ .mService = aArguments["SERVICE"].asString(),
                       .mCredential = aArguments["--credential"].asString(),
                       .mStreams = aArguments["--streams"].asLong(),
                       .mRequests = aArguments["--requests"].asLong(),
                       .mTokens = aArguments["--tokens"].asLong(),
                       .mSeed = aArguments["--seed"].asLong() };
  for (const std::string& address : aArguments["ADDRESS"].asStringList()) {
    options.mServers.push_back(trefoil::ParseEndpoint(address).value());
  }
  return options;
}

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments = docopt::docopt(kUsage, { aValues + 1, aValues + aCount });
  const LoadOptions options = OptionsOf(arguments);
  const Instant startedAt = trefoil::Now();
  LoadResult result = RunLoad(options);
  const double seconds = MillisecondsBetween(startedAt, trefoil::Now()) / kMillisecondsPerSecond;
  const double tokens = static_cast<double>(result.mFirstToken.size() + result.mGap.size());
  std::printf("whole %lld broken %lld first_token_ms p50 %.2f p95 %.2f gap_ms p50 %.2f p95 %.2f "
              "requests_per_s %.1f tokens_per_s %.0f\n",
              static_cast<long long>(result.mWhole),
              static_cast<long long>(result.mBroken),
              Quantile(result.mFirstToken, 0.5),
              Quantile(result.mFirstToken, 0.95),
              Quantile(result.mGap, 0.5),
              Quantile(result.mGap, 0.95),
              static_cast<double>(result.mWhole + result.mBroken) / seconds,
              tokens / seconds);
  return result.mBroken == 0 ? 0 : 1;
}
