#include "standin/token_text.h"
#include "tests/site/site.h"

#include "absl/time/clock.h"
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <thread>
#include <vector>

namespace trefoil {
namespace {

using standin::AnswerText;
using standin::EngineState;

constexpr std::int64_t kTokens = 60;

// Callers whose streams run at once.
struct Callers
{
  std::vector<CallerAnswer> mAnswers;
  std::vector<std::thread> mThreads;
};

std::string
PromptOf(std::size_t aIndex)
{
  return fmt::format("May a king castle out of check, question {}", aIndex);
}

void
StartCallers(Callers& aCallers, Site& aSite, std::size_t aCount)
{
  aCallers.mAnswers.resize(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    aCallers.mThreads.emplace_back([&aCallers, &aSite, i] {
      aCallers.mAnswers[i] = Ask(aSite.Listen(i % aSite.Hosts()), BodyOf(PromptOf(i), kTokens));
    });
  }
}

void
AwaitCallers(Callers& aCallers)
{
  for (std::thread& thread : aCallers.mThreads) {
    thread.join();
  }
}

void
CheckWhole(const Callers& aCallers)
{
  for (std::size_t i = 0; i < aCallers.mAnswers.size(); ++i) {
    const CallerAnswer& answer = aCallers.mAnswers[i];
    CHECK(answer.mInOrder);
    CHECK(NameOf(kStreamEndNames, answer.mEnd) == "done");
    CHECK(answer.mText == AnswerText(PromptOf(i), kTokens));
  }
}

// Waits until streams have begun.
void
AwaitStreams()
{
  absl::SleepFor(absl::Milliseconds(100));
}

TEST_CASE("Callers stream answers while an engine is reclaimed")
{
  Site site{ { .mEngines = 3, .mHosts = 2 } };
  Callers callers;
  StartCallers(callers, site, 12);
  AwaitStreams();

  SECTION("it dies: every answer is whole")
  {
    site.EngineAt(0).SetState(EngineState::kDead);
    AwaitCallers(callers);
    CheckWhole(callers);
  }
  SECTION("it freezes: every answer is whole")
  {
    site.EngineAt(1).SetState(EngineState::kFrozen);
    AwaitCallers(callers);
    CheckWhole(callers);
  }
  SECTION("it leaves on a long notice: every answer is whole and nothing is recomputed")
  {
    site.EngineAt(2).Leave(Milliseconds{ 5000 });
    AwaitCallers(callers);
    CheckWhole(callers);
    CHECK(site.RecomputedTokens() == 0);
  }
  SECTION("it leaves on a short notice: the streams move with their cache")
  {
    site.EngineAt(2).Leave(Milliseconds{ 150 });
    AwaitCallers(callers);
    CheckWhole(callers);
  }
}

TEST_CASE("A request crashes each engine that runs it, and its caller sends it to all hosts")
{
  Site site{ { .mEngines = 8, .mHosts = 3 } };
  Callers callers;
  StartCallers(callers, site, 6);
  AwaitStreams();
  const std::string poison = BodyOf(fmt::format("read this {}", standin::kCrashMarker), kTokens);
  for (std::size_t i = 0; i < 12; ++i) {
    CHECK(Ask(site.Listen(i % site.Hosts()), poison).mEnd != StreamEnd::kDone);
  }

  SECTION("three engines are lost, then every host refuses it")
  {
    CHECK(site.Crashes() == 3);
    for (std::size_t host = 0; host < site.Hosts(); ++host) {
      const CallerAnswer answer = Ask(site.Listen(host), poison);
      CHECK(answer.mStatus == 422);
      CHECK(answer.mRefusal.find("not_run") != std::string::npos);
    }
  }
  AwaitCallers(callers);
  CheckWhole(callers);
}

TEST_CASE("A caller loses its connection")
{
  Site site{ { .mEngines = 2, .mHosts = 3, .mZones = 2 } };
  CallerAnswer answer = Ask(site.Listen(0), BodyOf(PromptOf(0), kTokens), 5);
  REQUIRE(answer.mLastEvent == 4);

  SECTION("it takes the stream up at any host, without a repeat or a gap")
  {
    for (std::size_t host = 0; host < site.Hosts(); ++host) {
      CallerAnswer again = answer;
      Reattach(site.Listen(host), again);
      CHECK(again.mEnd == StreamEnd::kDone);
      CHECK(again.mInOrder);
      CHECK(again.mText == AnswerText(PromptOf(0), kTokens));
    }
  }
  SECTION("a request that nobody knows is not found")
  {
    CallerAnswer unknown{ .mRequest = "0123" };
    Reattach(site.Listen(1), unknown);
    CHECK(unknown.mStatus == 404);
  }
}

TEST_CASE("An entry host stops")
{
  SECTION("with time enough: no stream is cut off")
  {
    Site site{ { .mEngines = 2, .mHosts = 2 } };
    Callers callers;
    StartCallers(callers, site, 10);
    AwaitStreams();
    CHECK(site.HostAt(0).Stop() == 0);
    AwaitCallers(callers);
    CheckWhole(callers);
  }
  SECTION("with less notice than its streams need: they end at other hosts")
  {
    Site site{
      { .mEngines = 2, .mHosts = 3, .mTokenEveryMilliseconds = 40, .mStopNoticeMilliseconds = 1200 }
    };
    Callers callers;
    StartCallers(callers, site, 12);
    AwaitStreams();
    CHECK(site.HostAt(0).Stop() == 0);
    site.DropHost(0);
    AwaitCallers(callers);
    for (std::size_t i = 0; i < callers.mAnswers.size(); i += 3) {
      CHECK(NameOf(kStreamEndNames, callers.mAnswers[i].mEnd) == "moved");
      Reattach(site.Listen(1 + (i / 3) % 2), callers.mAnswers[i]);
    }
    CheckWhole(callers);
  }
}

} // namespace
} // namespace trefoil
