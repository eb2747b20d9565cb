#include "trefoil/request/crash_tracker.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <string>
#include <vector>

namespace trefoil {
namespace {

using Parts = std::vector<PromptPartKey>;

const Instant kStart{ std::chrono::hours{ 1 } };
constexpr std::chrono::seconds kSecond{ 1 };
const ServiceId kService{ "rules" };

// Returns the parts of a prompt or a document.
Parts
PartsOf(const std::string& aDocument, int aCount)
{
  Parts parts;
  for (int i = 0; i < aCount; ++i) {
    parts.push_back(PromptPartKeyOf(kService, fmt::format("{}-{}", aDocument, i)));
  }
  return parts;
}

Parts
Join(Parts aParts, const Parts& aMore)
{
  aParts.insert(aParts.end(), aMore.begin(), aMore.end());
  return aParts;
}

// A part whose key is above those of nearly all others.
PromptPartKey
LastKey()
{
  return std::ranges::max(PartsOf("deadly", 100'000));
}

bool
IsRefused(const CrashTracker& aTracker, const Parts& aParts, Instant aNow)
{
  return RefusedUntil(aTracker, aParts, aNow).has_value();
}

// Records that the server crashed while requests with these parts waited at it, each of another
// request.
void
Crash(CrashTracker& aTracker, int aServer, const std::vector<Parts>& aWaiting, Instant aNow)
{
  static std::uint64_t lastId = 0;
  for (const Parts& parts : aWaiting) {
    ++lastId;
    RecordCrash(aTracker,
                BackendServerId{ fmt::format("e{}", aServer) },
                { .mRequest = ~lastId, .mParts = parts },
                lastId * 0x9e3779b97f4a7c15U,
                aNow);
  }
}

// Guards against: a part that crashes servers is never found out in prompts of many parts, since
// its key is not among the lowest ones (BUDGET), and parts beside it are refused (LOST).
SCENARIO("a part of a long prompt crashes servers")
{
  const Parts deadly{ LastKey() };
  for (const int count : { 3, 64, 104, 900, 1'800, 3'200 }) {
    GIVEN(fmt::format("a prompt of {} parts that other requests share", count))
    {
      CrashTracker tracker;
      const Parts shared = PartsOf("shared", count);
      RecordPromptAnswer(tracker, shared, kStart - kSecond);
      WHEN("three servers crash under requests with it")
      {
        for (int i = 0; i < 3; ++i) {
          Crash(tracker, i, { Join(shared, deadly) }, kStart + i * kSecond);
        }
        THEN("the part is refused, and the parts beside it are not")
        {
          CHECK(IsRefused(tracker, deadly, kStart + 3 * kSecond));
          CHECK_FALSE(IsRefused(tracker, shared, kStart + 3 * kSecond));
        }
      }
      WHEN("no request with the parts was ever answered")
      {
        CrashTracker cold;
        for (int i = 0; i < 5; ++i) {
          Crash(cold, i, { Join(shared, deadly) }, kStart + i * kSecond);
        }
        THEN("requests with all of them are refused after the fifth crash")
        {
          CHECK(IsRefused(cold, Join(shared, deadly), kStart + 5 * kSecond));
        }
      }
    }
  }
}

// Guards against: the parts of sound requests that wait at the server displace the one that crashes
// it (BUDGET), or those that all requests share are refused in its place (LOST).
SCENARIO("many sound requests wait at the servers that crash")
{
  const Parts deadly{ LastKey() };
  const Parts shared = PartsOf("shared", 100);
  CrashTracker tracker;
  RecordPromptAnswer(tracker, shared, kStart - kSecond);
  for (const int sessionParts : { 5, 200, 1'000 }) {
    GIVEN(fmt::format("64 requests, each with {} parts of its own", sessionParts))
    {
      int crashes = 0;
      const auto crashNext = [&] {
        std::vector<Parts> waiting{ Join(shared, deadly) };
        for (int i = 0; i < 64; ++i) {
          waiting.push_back(
            Join(shared, PartsOf(fmt::format("session-{}-{}", crashes, i), sessionParts)));
        }
        Crash(tracker, crashes, waiting, kStart + crashes * kSecond);
        ++crashes;
      };
      while (!IsRefused(tracker, deadly, kStart + crashes * kSecond) && crashes < 64) {
        crashNext();
      }
      THEN("the part is found out, and the parts that all share are not refused")
      {
        INFO("crashes: " << crashes);
        CHECK(IsRefused(tracker, deadly, kStart + crashes * kSecond));
        CHECK_FALSE(IsRefused(tracker, shared, kStart + crashes * kSecond));
      }
      AND_WHEN("crashes follow until lists are cut")
      {
        while (crashes < (sessionParts < 100 ? 256 : 12)) {
          crashNext();
        }
        THEN("what is held is bounded, and what was left out is counted")
        {
          std::size_t parts = 0;
          for (const ServerCrash& crash : tracker.mCrashes) {
            parts += crash.mParts.size();
          }
          CHECK(parts <= 65'536);
          CHECK(tracker.mLeftOut.at(static_cast<std::size_t>(CrashList::kParts)) > 0);
        }
        THEN("the parts that all share are not refused")
        {
          CHECK_FALSE(IsRefused(tracker, shared, kStart + crashes * kSecond));
        }
      }
    }
  }
}

// Guards against: hosts that see one crash each do not find the part together, since their reports
// hold the lowest keys alone.
SCENARIO("several hosts see one crash each under long prompts")
{
  const Parts deadly{ LastKey() };
  const Parts shared = PartsOf("shared", 1'800);
  std::vector<CrashTracker> hosts(5);
  const auto exchange = [&hosts](Instant aNow) {
    for (const CrashTracker& from : hosts) {
      const CrashEvidence report = EvidenceToReport(from, aNow);
      for (CrashTracker& to : hosts) {
        MergeEvidence(to, report, aNow);
      }
    }
  };
  const auto crashAtEach = [&](int aCrashes) {
    for (int i = 0; i < aCrashes; ++i) {
      const Instant at = kStart + i * kSecond;
      Crash(hosts[static_cast<std::size_t>(i)], i, { Join(shared, deadly) }, at);
      exchange(at + Milliseconds{ 250 });
      exchange(at + Milliseconds{ 750 });
    }
  };
  WHEN("the other parts were answered on one of them")
  {
    RecordPromptAnswer(hosts[0], shared, kStart - kSecond);
    crashAtEach(5);
    THEN("each host refuses the part, and none of the others")
    {
      for (const CrashTracker& host : hosts) {
        CHECK(IsRefused(host, deadly, kStart + 5 * kSecond));
        CHECK_FALSE(IsRefused(host, shared, kStart + 5 * kSecond));
      }
    }
  }
  WHEN("none of them was answered")
  {
    crashAtEach(5);
    THEN("each host refuses requests with all of them")
    {
      for (const CrashTracker& host : hosts) {
        CHECK(IsRefused(host, Join(shared, deadly), kStart + 5 * kSecond));
      }
    }
  }
}

// Guards against: a list that was cut counts as one without the part, so that the parts beside it
// are refused.
SCENARIO("reports of crashes lack parts")
{
  const PromptPartKey sound = PromptPartKeyOf(kService, "sound");
  const PromptPartKey deadly = LastKey();
  CrashTracker tracker;
  const auto merge = [&tracker](int aServer, const Parts& aParts, bool aIsCut) {
    ServerCrash crash{ .mServer = BackendServerId{ fmt::format("e{}", aServer) },
                       .mIds = { static_cast<std::uint64_t>(aServer) + 1 },
                       .mAt = kStart + aServer * kSecond,
                       .mPartsCut = aIsCut };
    for (const PromptPartKey part : aParts) {
      crash.mParts.emplace(part, SuspectStanding::kNeverAnswered);
    }
    MergeEvidence(tracker, { .mCrashes = { crash } }, crash.mAt);
  };
  GIVEN("three crashes that list a sound part, of which all are cut")
  {
    for (int i = 0; i < 3; ++i) {
      merge(i, { sound }, true);
    }
    THEN("the sound part is not refused, since the cause may be missing")
    {
      CHECK_FALSE(IsRefused(tracker, { sound }, kStart + 3 * kSecond));
    }
    WHEN("three more crashes list the cause alone")
    {
      for (int i = 3; i < 6; ++i) {
        merge(i, { deadly }, false);
      }
      THEN("it is refused, and explains the earlier crashes too")
      {
        CHECK(IsRefused(tracker, { deadly }, kStart + 6 * kSecond));
        CHECK_FALSE(IsRefused(tracker, { sound }, kStart + 6 * kSecond));
      }
    }
  }
  GIVEN("three crashes whose lists are complete")
  {
    for (int i = 0; i < 3; ++i) {
      merge(i, { deadly }, false);
    }
    THEN("the part that all list is refused")
    {
      CHECK(IsRefused(tracker, { deadly }, kStart + 3 * kSecond));
    }
  }
}

// Guards against: refusals of very many parts at once end those of other causes.
SCENARIO("more parts are to be refused than there is room for")
{
  CrashTracker tracker;
  const Parts other{ PromptPartKeyOf(kService, "other") };
  for (int i = 0; i < 3; ++i) {
    Crash(tracker, i, { other }, kStart + i * kSecond);
  }
  REQUIRE(IsRefused(tracker, other, kStart + 3 * kSecond));
  const Parts many = PartsOf("many", 1'000);
  for (int i = 3; i < 8; ++i) {
    Crash(tracker, i, { many }, kStart + i * kSecond);
  }
  THEN("some of them are, and the earlier refusal stays")
  {
    CHECK(IsRefused(tracker, many, kStart + 8 * kSecond));
    CHECK(IsRefused(tracker, other, kStart + 8 * kSecond));
    CHECK(tracker.mLeftOut.at(static_cast<std::size_t>(CrashList::kRefusals)) > 0);
  }
}

// Guards against: a request that crashes servers is never found out where more requests run at each
// server than the list of a crash holds.
SCENARIO("a request crashes servers that run hundreds of others")
{
  CrashTracker tracker;
  const SuspectKey deadly = ~SuspectKey{ 0 } - 7;
  int crashes = 0;
  while (!IsRefused(tracker, { deadly }, kStart + crashes * kSecond) && crashes < 64) {
    for (std::uint64_t i = 0; i < 300; ++i) {
      const SuspectKey request =
        i == 150 ? deadly : (static_cast<std::uint64_t>(crashes) * 1'000 + i) * 0x9e3779b97f4a7c15U;
      RecordCrash(tracker,
                  BackendServerId{ fmt::format("e{}", crashes) },
                  { .mRequest = request },
                  static_cast<std::uint64_t>(crashes) * 0x9e3779b97f4a7c15U + 1,
                  kStart + crashes * kSecond);
    }
    ++crashes;
  }
  THEN("it is refused, and no other request is")
  {
    INFO("crashes: " << crashes);
    CHECK(IsRefused(tracker, { deadly }, kStart + crashes * kSecond));
    CHECK(tracker.mRefusals.size() == 1);
  }
}

} // namespace
} // namespace trefoil
