// Measures the effect of reclaims on streams: engines are killed, frozen or reclaimed with notice
// at random times while many streams run. Also measures an entry host that stops under load, and a
// request that crashes engines.
#include "standin/token_text.h"
#include "tests/site/site.h"
#include "trefoil/command_line/command_line.h"

#include "absl/time/clock.h"
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fmt/format.h>
#include <map>
#include <random>
#include <spdlog/spdlog.h>
#include <thread>
#include <vector>

namespace {

using namespace trefoil;
using standin::EngineState;

constexpr const char* kUsage = R"(trefoil-reclaims measures the effect of reclaims on streams.

Usage:
  trefoil-reclaims [--streams=N] [--at-once=N] [--seed=N]

Options:
  --streams=N  Number of streams per case [default: 1000].
  --at-once=N  Number of concurrent streams [default: 40].
  --seed=N     Seed of the times and engines of the reclaims [default: 20261204].
)";
constexpr std::int64_t kTokens = 60;
constexpr Milliseconds kLongNotice{ 2000 };
constexpr Milliseconds kShortNotice{ 200 };
// Delay until an engine serves again after it was killed or its notice ended, and the time that an
// engine stays frozen beyond the first 2 s.
constexpr Milliseconds kRestartDelay{ 300 };
constexpr Milliseconds kMaxReclaimInterval{ 400 };

struct LoadOptions
{
  std::int64_t mStreams = 0;
  std::int64_t mConcurrentStreams = 0;
  std::uint64_t mSeed = 0;
};

// Results of the streams of one case. `mEnds` counts streams by how they ended.
struct StreamResults
{
  std::int64_t mCompleteStreams = 0;
  std::int64_t mReattached = 0;
  std::map<std::string_view, std::int64_t> mEnds;
  int mReclaims = 0;
  std::int64_t mRecomputedTokens = 0;
};

enum class ReclaimKind
{
  kKilled,
  kFrozen,
  kLongNotice,
  kShortNotice,
};

constexpr NameTable<ReclaimKind, 4> kReclaimKindNames{ {
  { ReclaimKind::kKilled, "killed" },
  { ReclaimKind::kFrozen, "frozen for 300 ms past the stall limit" },
  { ReclaimKind::kLongNotice, "2 s notice" },
  { ReclaimKind::kShortNotice, "200 ms notice" },
} };

std::string
PromptOf(std::int64_t aIndex)
{
  return fmt::format(
    "question {} about a tournament of {} rounds and what follows", aIndex, aIndex % 9);
}

// Sends a completion and resumes the stream on another host each time that it moves. Returns the
// answer.
CallerAnswer
CompleteStream(Site& aSite, std::int64_t aIndex, std::int64_t& aReattached)
{
  const auto host = static_cast<std::size_t>(aIndex) % aSite.HostCount();
  CallerAnswer answer =
    StreamCompletion(aSite.ListenEndpoint(host), MakeCompletionBody(PromptOf(aIndex), kTokens));
  for (std::size_t next = 1; next < aSite.HostCount(); ++next) {
    const std::size_t other = (host + next) % aSite.HostCount();
    if (answer.mEnd == StreamEnd::kRefused && answer.mStatus == 0) {
      // The host no longer listens. Uses the next host, as the caller's load balancer would do.
      answer = StreamCompletion(aSite.ListenEndpoint(other),
                                MakeCompletionBody(PromptOf(aIndex), kTokens));
    } else if (answer.mEnd == StreamEnd::kMoved) {
      ++aReattached;
      Reattach(aSite.ListenEndpoint(other), answer);
    }
  }
  return answer;
}

// Runs the streams of a case on one thread per concurrent stream.
StreamResults
RunStreams(Site& aSite, const LoadOptions& aOptions)
{
  std::vector<StreamResults> threadResults(static_cast<std::size_t>(aOptions.mConcurrentStreams));
  std::vector<std::thread> threads;
  std::atomic<std::int64_t> next = 0;
  for (StreamResults& threadResult : threadResults) {
    threads.emplace_back([&aSite, &aOptions, &next, &threadResult] {
      for (std::int64_t i = next++; i < aOptions.mStreams; i = next++) {
        const CallerAnswer answer = CompleteStream(aSite, i, threadResult.mReattached);
        const bool isComplete = answer.mEnd == StreamEnd::kDone && answer.mInOrder &&
                                answer.mText == standin::AnswerText(PromptOf(i), kTokens);
        threadResult.mCompleteStreams += isComplete ? 1 : 0;
        ++threadResult.mEnds[NameOf(kStreamEndNames, answer.mEnd)];
      }
    });
  }
  StreamResults total;
  for (std::size_t i = 0; i < threadResults.size(); ++i) {
    threads[i].join();
    total.mCompleteStreams += threadResults[i].mCompleteStreams;
    total.mReattached += threadResults[i].mReattached;
    for (const auto& [end, count] : threadResults[i].mEnds) {
      total.mEnds[end] += count;
    }
  }
  return total;
}

void
ReclaimEngine(standin::Engine& aEngine, ReclaimKind aKind)
{
  switch (aKind) {
    case ReclaimKind::kKilled:
      aEngine.SetState(EngineState::kDead);
      break;
    case ReclaimKind::kFrozen:
      aEngine.SetState(EngineState::kFrozen);
      absl::SleepFor(absl::Milliseconds(2000));
      break;
    case ReclaimKind::kLongNotice:
      aEngine.Leave(kLongNotice);
      absl::SleepFor(absl::FromChrono(kLongNotice));
      break;
    case ReclaimKind::kShortNotice:
      aEngine.Leave(kShortNotice);
      absl::SleepFor(absl::FromChrono(kShortNotice));
      break;
  }
  absl::SleepFor(absl::FromChrono(kRestartDelay));
  aEngine.SetState(EngineState::kServing);
}

// Reclaims random engines one at a time, with random intervals of up to `kMaxReclaimInterval`,
// until `aDone` is set. Returns the number of reclaims.
int
ReclaimEnginesUntil(Site& aSite,
                    ReclaimKind aKind,
                    std::uint64_t aSeed,
                    const std::atomic<bool>& aDone)
{
  std::mt19937_64 random{ aSeed };
  int reclaims = 0;
  while (!aDone.load()) {
    absl::SleepFor(absl::Milliseconds(static_cast<std::int64_t>(
      random() % static_cast<std::uint64_t>(kMaxReclaimInterval.count()))));
    ReclaimEngine(aSite.EngineAt(random() % aSite.EngineCount()), aKind);
    ++reclaims;
  }
  return reclaims;
}

StreamResults
MeasureReclaims(const LoadOptions& aOptions, ReclaimKind aKind, bool aWithTransfer)
{
  Site site{
    { .mEngines = 6, .mHosts = 3, .mExportTokensPerSecond = aWithTransfer ? 100'000 : 0 }
  };
  std::atomic<bool> done = false;
  int reclaims = 0;
  std::thread reclaimer{ [&] {
    reclaims = ReclaimEnginesUntil(site, aKind, aOptions.mSeed, done);
  } };
  StreamResults results = RunStreams(site, aOptions);
  done = true;
  reclaimer.join();
  results.mReclaims = reclaims;
  results.mRecomputedTokens = site.RecomputedTokens();
  return results;
}

StreamResults
MeasureHostStop(const LoadOptions& aOptions,
                std::int64_t aTokenMilliseconds,
                std::int64_t aNoticeMilliseconds)
{
  Site site{ { .mEngines = 6,
               .mHosts = 3,
               .mTokenIntervalMilliseconds = aTokenMilliseconds,
               .mStopNoticeMilliseconds = aNoticeMilliseconds } };
  std::thread stop{ [&site] {
    absl::SleepFor(absl::Milliseconds(1000));
    site.HostAt(0).Stop();
    site.DestroyHost(0);
  } };
  StreamResults results = RunStreams(site, aOptions);
  stop.join();
  results.mRecomputedTokens = site.RecomputedTokens();
  return results;
}

void
PrintResults(const std::string& aCase, const LoadOptions& aOptions, const StreamResults& aResults)
{
  std::string ends;
  for (const auto& [end, count] : aResults.mEnds) {
    ends += fmt::format(" {}={}", end, count);
  }
  fmt::print("{:<52} whole {} of {}; reclaims {}; reattached {}; tokens recomputed {};{}\n",
             aCase,
             aResults.mCompleteStreams,
             aOptions.mStreams,
             aResults.mReclaims,
             aResults.mReattached,
             aResults.mRecomputedTokens,
             ends);
  std::fflush(stdout);
}

// Sends 90 copies of a request that crashes engines to the hosts in turn, `aConcurrency` copies at
// a time, and prints how many engines crashed.
void
MeasureCrashingRequest(std::size_t aConcurrency)
{
  Site site{ { .mEngines = 20, .mHosts = 9 } };
  const std::string crashingBody =
    MakeCompletionBody(fmt::format("read this {}", standin::kCrashMarker), kTokens);
  constexpr std::size_t kCopies = 90;
  for (std::size_t sent = 0; sent < kCopies; sent += aConcurrency) {
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < aConcurrency; ++i) {
      threads.emplace_back([&site, &crashingBody, host = (sent + i) % site.HostCount()] {
        StreamCompletion(site.ListenEndpoint(host), crashingBody);
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }
  fmt::print("crashing request, {} copies to 9 hosts, {} at once: {} of 20 engines lost\n",
             kCopies,
             aConcurrency,
             site.Crashes());
  std::fflush(stdout);
}

void
MeasureAll(const LoadOptions& aOptions)
{
  for (const auto& [kind, name] : kReclaimKindNames) {
    for (const bool transfer : { true, false }) {
      const bool hasNotice = kind == ReclaimKind::kLongNotice || kind == ReclaimKind::kShortNotice;
      if (transfer && !hasNotice) {
        continue;
      }
      PrintResults(
        fmt::format("engine {}{}", name, transfer ? ", cache transfer" : ", no cache transfer"),
        aOptions,
        MeasureReclaims(aOptions, kind, transfer));
    }
  }
  PrintResults("entry host stopped, 20 s notice", aOptions, MeasureHostStop(aOptions, 5, 20'000));
  PrintResults("entry host stopped, notice shorter than the streams",
               aOptions,
               MeasureHostStop(aOptions, 40, 1'000));
  MeasureCrashingRequest(1);
  MeasureCrashingRequest(9);
}

} // namespace

int
main(int aCount, char** aValues)
{
  const auto line =
    ParseCommandLine({ .mUsage = kUsage, .mVersion = "trefoil-reclaims 0.1.0" }, aCount, aValues);
  if (line.mExit.has_value()) {
    return *line.mExit;
  }
  const auto streams = NumberOption(line, "--streams", 1);
  const auto atOnce = NumberOption(line, "--at-once", 1);
  const auto seed = NumberOption(line, "--seed", 0);
  if (!streams.has_value() || !atOnce.has_value() || !seed.has_value()) {
    return kExitBadInput;
  }
  spdlog::set_level(spdlog::level::off);
  MeasureAll({ .mStreams = *streams,
               .mConcurrentStreams = *atOnce,
               .mSeed = static_cast<std::uint64_t>(*seed) });
  return 0;
}
