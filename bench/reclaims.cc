// Measures what reclaims cost: engines killed, frozen or reclaimed on notice at random points of
// many streams, an entry host stopped under load, and a request that crashes engines.
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

constexpr const char* kUsage = R"(trefoil-reclaims, measures what reclaims cost.

Usage:
  trefoil-reclaims [--streams=N] [--at-once=N] [--seed=N]

Options:
  --streams=N  Streams of each case [default: 1000].
  --at-once=N  Streams that run at once [default: 40].
  --seed=N     Decides when which engine is reclaimed [default: 20261204].
)";
constexpr std::int64_t kTokens = 60;
constexpr Milliseconds kLongNotice{ 2000 };
constexpr Milliseconds kShortNotice{ 200 };
// How long an engine stays away before it starts again.
constexpr Milliseconds kAway{ 300 };
constexpr Milliseconds kMaxBetween{ 400 };

struct Load
{
  std::int64_t mStreams = 0;
  std::int64_t mAtOnce = 0;
  std::uint64_t mSeed = 0;
};

// What became of the streams of a case.
struct Outcome
{
  std::int64_t mWhole = 0;
  std::int64_t mReattached = 0;
  std::map<std::string_view, std::int64_t> mEnds;
  int mReclaims = 0;
  std::int64_t mRecomputed = 0;
};

enum class Reclaim
{
  kKilled,
  kFrozen,
  kLongNotice,
  kShortNotice,
};

constexpr NameTable<Reclaim, 4> kReclaimNames{ {
  { Reclaim::kKilled, "killed" },
  { Reclaim::kFrozen, "frozen for 300 ms past the stall limit" },
  { Reclaim::kLongNotice, "2 s notice" },
  { Reclaim::kShortNotice, "200 ms notice" },
} };

std::string
PromptOf(std::int64_t aIndex)
{
  return fmt::format(
    "question {} about a tournament of {} rounds and what follows", aIndex, aIndex % 9);
}

// Asks, and takes the stream up elsewhere if it moved.
CallerAnswer
AskToTheEnd(Site& aSite, std::int64_t aIndex, std::int64_t& aReattached)
{
  const auto host = static_cast<std::size_t>(aIndex) % aSite.HostCount();
  CallerAnswer answer =
    StreamCompletion(aSite.ListenEndpoint(host), MakeCompletionBody(PromptOf(aIndex), kTokens));
  for (std::size_t next = 1; next < aSite.HostCount(); ++next) {
    const std::size_t other = (host + next) % aSite.HostCount();
    if (answer.mEnd == StreamEnd::kRefused && answer.mStatus == 0) {
      // Nobody listens there any more: the caller's balancer sends it elsewhere.
      answer = StreamCompletion(aSite.ListenEndpoint(other),
                                MakeCompletionBody(PromptOf(aIndex), kTokens));
    } else if (answer.mEnd == StreamEnd::kMoved) {
      ++aReattached;
      Reattach(aSite.ListenEndpoint(other), answer);
    }
  }
  return answer;
}

// Runs the streams of a case on as many threads as run at once.
Outcome
RunStreams(Site& aSite, const Load& aLoad)
{
  std::vector<Outcome> parts(static_cast<std::size_t>(aLoad.mAtOnce));
  std::vector<std::thread> threads;
  std::atomic<std::int64_t> next = 0;
  for (Outcome& part : parts) {
    threads.emplace_back([&aSite, &aLoad, &next, &part] {
      for (std::int64_t i = next++; i < aLoad.mStreams; i = next++) {
        const CallerAnswer answer = AskToTheEnd(aSite, i, part.mReattached);
        const bool whole = answer.mEnd == StreamEnd::kDone && answer.mInOrder &&
                           answer.mText == standin::AnswerText(PromptOf(i), kTokens);
        part.mWhole += whole ? 1 : 0;
        ++part.mEnds[NameOf(kStreamEndNames, answer.mEnd)];
      }
    });
  }
  Outcome all;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    threads[i].join();
    all.mWhole += parts[i].mWhole;
    all.mReattached += parts[i].mReattached;
    for (const auto& [end, count] : parts[i].mEnds) {
      all.mEnds[end] += count;
    }
  }
  return all;
}

void
ReclaimOne(standin::Engine& aEngine, Reclaim aReclaim)
{
  switch (aReclaim) {
    case Reclaim::kKilled:
      aEngine.SetState(EngineState::kDead);
      break;
    case Reclaim::kFrozen:
      aEngine.SetState(EngineState::kFrozen);
      absl::SleepFor(absl::Milliseconds(2000));
      break;
    case Reclaim::kLongNotice:
      aEngine.Leave(kLongNotice);
      absl::SleepFor(absl::FromChrono(kLongNotice));
      break;
    case Reclaim::kShortNotice:
      aEngine.Leave(kShortNotice);
      absl::SleepFor(absl::FromChrono(kShortNotice));
      break;
  }
  absl::SleepFor(absl::FromChrono(kAway));
  aEngine.SetState(EngineState::kServing);
}

// Reclaims one engine after the other at random times until `aDone`.
int
ReclaimUntil(Site& aSite, Reclaim aReclaim, std::uint64_t aSeed, const std::atomic<bool>& aDone)
{
  std::mt19937_64 random{ aSeed };
  int reclaims = 0;
  while (!aDone.load()) {
    absl::SleepFor(absl::Milliseconds(
      static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(kMaxBetween.count()))));
    ReclaimOne(aSite.EngineAt(random() % aSite.EngineCount()), aReclaim);
    ++reclaims;
  }
  return reclaims;
}

Outcome
MeasureReclaims(const Load& aLoad, Reclaim aReclaim, bool aWithTransfer)
{
  Site site{
    { .mEngines = 6, .mHosts = 3, .mExportTokensPerSecond = aWithTransfer ? 100'000 : 0 }
  };
  std::atomic<bool> done = false;
  int reclaims = 0;
  std::thread reclaimer{ [&] { reclaims = ReclaimUntil(site, aReclaim, aLoad.mSeed, done); } };
  Outcome outcome = RunStreams(site, aLoad);
  done = true;
  reclaimer.join();
  outcome.mReclaims = reclaims;
  outcome.mRecomputed = site.RecomputedTokens();
  return outcome;
}

Outcome
MeasureStop(const Load& aLoad, std::int64_t aTokenMilliseconds, std::int64_t aNoticeMilliseconds)
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
  Outcome outcome = RunStreams(site, aLoad);
  stop.join();
  outcome.mRecomputed = site.RecomputedTokens();
  return outcome;
}

void
Print(const std::string& aCase, const Load& aLoad, const Outcome& aOutcome)
{
  std::string ends;
  for (const auto& [end, count] : aOutcome.mEnds) {
    ends += fmt::format(" {}={}", end, count);
  }
  fmt::print("{:<52} whole {} of {}; reclaims {}; reattached {}; tokens recomputed {};{}\n",
             aCase,
             aOutcome.mWhole,
             aLoad.mStreams,
             aOutcome.mReclaims,
             aOutcome.mReattached,
             aOutcome.mRecomputed,
             ends);
  std::fflush(stdout);
}

// Sends a request that crashes engines to all hosts, `aAtOnce` copies at a time.
void
MeasurePoison(std::size_t aAtOnce)
{
  Site site{ { .mEngines = 20, .mHosts = 9 } };
  const std::string poison =
    MakeCompletionBody(fmt::format("read this {}", standin::kCrashMarker), kTokens);
  constexpr std::size_t kCopies = 90;
  for (std::size_t sent = 0; sent < kCopies; sent += aAtOnce) {
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < aAtOnce; ++i) {
      threads.emplace_back([&site, &poison, host = (sent + i) % site.HostCount()] {
        StreamCompletion(site.ListenEndpoint(host), poison);
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }
  fmt::print("crashing request, {} copies to 9 hosts, {} at once: {} of 20 engines lost\n",
             kCopies,
             aAtOnce,
             site.Crashes());
  std::fflush(stdout);
}

void
MeasureAll(const Load& aLoad)
{
  for (const auto& [reclaim, name] : kReclaimNames) {
    for (const bool transfer : { true, false }) {
      const bool noticed = reclaim == Reclaim::kLongNotice || reclaim == Reclaim::kShortNotice;
      if (transfer && !noticed) {
        continue;
      }
      Print(fmt::format("engine {}{}", name, transfer ? ", cache transfer" : ", no cache transfer"),
            aLoad,
            MeasureReclaims(aLoad, reclaim, transfer));
    }
  }
  Print("entry host stopped, 20 s notice", aLoad, MeasureStop(aLoad, 5, 20'000));
  Print(
    "entry host stopped, notice shorter than the streams", aLoad, MeasureStop(aLoad, 40, 1'000));
  MeasurePoison(1);
  MeasurePoison(9);
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
  MeasureAll(
    { .mStreams = *streams, .mAtOnce = *atOnce, .mSeed = static_cast<std::uint64_t>(*seed) });
  return 0;
}
