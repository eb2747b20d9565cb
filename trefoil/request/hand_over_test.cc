#include "trefoil/request/hand_over.h"
#include "trefoil/request/stream_buffer.h"
#include "trefoil/request/stream_progress.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>
#include <vector>

namespace trefoil {
namespace {

const Instant kStart{};

TEST_CASE("A host stops in ten seconds")
{
  const std::vector<StreamOutlook> streams{
    { .mRequest = RequestId{ "short" }, .mTokensLeft = 10, .mTokensPerSecond = 40 },
    { .mRequest = RequestId{ "new" }, .mContextTokens = 50, .mTokensLeft = 900 },
    { .mRequest = RequestId{ "cheap" },
      .mContextTokens = 100,
      .mTokensLeft = 900,
      .mTokensPerSecond = 40 },
    { .mRequest = RequestId{ "dear" },
      .mContextTokens = 9000,
      .mTokensLeft = 900,
      .mTokensPerSecond = 40 },
  };
  const Instant stopsAt = kStart + Milliseconds{ 10'000 };

  SECTION("it hands over what will not end, the most valuable first")
  {
    CHECK(PlanHandOver(streams, stopsAt, kStart) ==
          std::vector<RequestId>{ RequestId{ "dear" }, RequestId{ "cheap" } });
  }
  SECTION("at the end of the notice, that is everything")
  {
    CHECK(PlanHandOver(streams, stopsAt, stopsAt).size() == 4);
  }
  SECTION("to hosts that any other host finds by the request's id")
  {
    const std::vector<HostId> hosts{ HostId{ "h1" }, HostId{ "h2" }, HostId{ "h3" } };
    const std::vector<HostId> turned{ hosts.rbegin(), hosts.rend() };
    const RequestId request = MakeRequestId(HostId{ "h0" }, "ab");
    CHECK(IsMadeBy(request, HostId{ "h0" }));
    CHECK_FALSE(IsMadeBy(request, HostId{ "h1" }));
    CHECK(HostsFor(request, hosts, 2).size() == 2);
    CHECK(HostsFor(request, hosts, 3) == HostsFor(request, turned, 3));
  }
}

TEST_CASE("A stream is handed over")
{
  StreamBuffer buffer;
  REQUIRE(Append(buffer, { .mIndex = 0, .mText = "a" }) == AppendFate::kKept);
  REQUIRE(BeginHandOver(buffer));

  SECTION("no token is added while the reply is open, however it is asked")
  {
    CHECK(Append(buffer, { .mIndex = 1, .mText = "b" }) == AppendFate::kWait);
    EndHandOver(buffer, HandOverOutcome::kUnknown, HostId{ "h2" });
    CHECK(Append(buffer, { .mIndex = 1, .mText = "b" }) == AppendFate::kWait);
    CHECK_FALSE(BeginHandOver(buffer));
  }
  SECTION("once it is taken, this host adds nothing more")
  {
    EndHandOver(buffer, HandOverOutcome::kTaken, HostId{ "h2" });
    CHECK(buffer.mHandedTo == HostId{ "h2" });
    CHECK(Append(buffer, { .mIndex = 1, .mText = "b" }) == AppendFate::kRefused);
  }
  SECTION("if it is refused, this host goes on")
  {
    EndHandOver(buffer, HandOverOutcome::kRefused, HostId{ "h2" });
    CHECK(Append(buffer, { .mIndex = 1, .mText = "b" }) == AppendFate::kKept);
  }
}

constexpr std::int64_t kAnswerTokens = 12;

// One host's part in the life of a request.
struct Replica
{
  StreamProgress mProgress;
  StreamBuffer mBuffer;
  bool mHolds = false;
};

// Two hosts, a caller, and engines that never say the same thing twice: the text of a token tells
// which attempt made it, so that a seam between two attempts shows.
struct World
{
  Replica mReplicas[2];
  int mAttempts = 0;
  std::vector<Token> mLate;
  std::vector<std::string> mSeen;
};

void
StartAttempt(World& aWorld, Replica& aReplica)
{
  BeginAttempt(aReplica.mProgress, AttemptId{ fmt::format("a{}", ++aWorld.mAttempts) });
}

void
TakeToken(Replica& aReplica, const Token& aToken)
{
  StreamProgress progress = aReplica.mProgress;
  if (Accept(progress, aToken) != TokenFate::kForward) {
    return;
  }
  const bool last = aToken.mIndex + 1 == kAnswerTokens;
  const AppendFate fate = Append(
    aReplica.mBuffer,
    { .mIndex = aToken.mIndex, .mText = aToken.mText, .mFinishReason = last ? "length" : "" });
  if (fate == AppendFate::kKept) {
    aReplica.mProgress = progress;
  }
}

// The engine sends the next token of the current attempt; a copy of it stays under way.
void
SendToken(World& aWorld, Replica& aReplica)
{
  const Token token{ .mAttempt = aReplica.mProgress.mAttempt,
                     .mIndex = aReplica.mProgress.mTokens,
                     .mText = fmt::format(
                       "{}@{} ", aReplica.mProgress.mTokens, aReplica.mProgress.mAttempt.Value()) };
  if (token.mIndex < kAnswerTokens) {
    aWorld.mLate.push_back(token);
    TakeToken(aReplica, token);
  }
}

// The other host receives the hand-over; its reply may be lost.
void
HandOver(World& aWorld, bool aReplyLost)
{
  Replica& from = aWorld.mReplicas[0];
  Replica& to = aWorld.mReplicas[1];
  if (from.mBuffer.mState != StreamState::kHandingOver && !BeginHandOver(from.mBuffer)) {
    return;
  }
  if (!to.mHolds) {
    to.mHolds = true;
    to.mBuffer.mTokens = from.mBuffer.mTokens;
    to.mProgress.mTokens = static_cast<std::int64_t>(to.mBuffer.mTokens.size());
    StartAttempt(aWorld, to);
  }
  EndHandOver(
    from.mBuffer, aReplyLost ? HandOverOutcome::kUnknown : HandOverOutcome::kTaken, HostId{ "h2" });
}

// The caller reads from either host what it has not seen.
void
ReadFrom(World& aWorld, const Replica& aReplica)
{
  const auto& tokens = aReplica.mBuffer.mTokens;
  if (aReplica.mHolds && tokens.size() > aWorld.mSeen.size()) {
    aWorld.mSeen.insert(
      aWorld.mSeen.end(), tokens.begin() + std::ssize(aWorld.mSeen), tokens.end());
  }
}

void
Happen(World& aWorld, int aWhat)
{
  Replica& replica = aWorld.mReplicas[aWhat % 2];
  switch (aWhat / 2) {
    case 0:
      StartAttempt(aWorld, replica);
      break;
    case 1:
      HandOver(aWorld, aWhat % 2 == 0);
      break;
    case 2:
      if (!aWorld.mLate.empty()) {
        TakeToken(replica, aWorld.mLate[aWorld.mLate.size() / 2]);
      }
      break;
    case 3:
      ReadFrom(aWorld, replica);
      break;
    default:
      if (replica.mHolds) {
        SendToken(aWorld, replica);
      }
  }
}

TEST_CASE("Whatever dies, comes late or moves, the caller's answer is whole and from one cast")
{
  const bool holds = rc::check([] {
    World world;
    world.mReplicas[0].mHolds = true;
    StartAttempt(world, world.mReplicas[0]);
    const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 14));
    for (const int event : events) {
      Happen(world, event);
    }
    Replica& last = world.mReplicas[world.mReplicas[1].mHolds ? 1 : 0];
    EndHandOver(world.mReplicas[0].mBuffer, HandOverOutcome::kTaken, HostId{ "h2" });
    while (last.mProgress.mTokens < kAnswerTokens) {
      SendToken(world, last);
    }
    ReadFrom(world, last);
    RC_ASSERT(std::ssize(world.mSeen) == kAnswerTokens);
    RC_ASSERT(world.mSeen == last.mBuffer.mTokens);
    for (std::int64_t index = 0; index < kAnswerTokens; ++index) {
      RC_ASSERT(
        world.mSeen[static_cast<std::size_t>(index)].starts_with(fmt::format("{}@", index)));
    }
  });
  CHECK(holds);
}

} // namespace
} // namespace trefoil
