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
  const std::vector<HandOverCandidate> streams{
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

  SECTION("it hands over the streams that will not end in time, the largest context first")
  {
    CHECK(PlanHandOver(streams, stopsAt, kStart) ==
          std::vector<RequestId>{ RequestId{ "dear" }, RequestId{ "cheap" } });
  }
  SECTION("at the stop time it hands over all streams")
  {
    CHECK(PlanHandOver(streams, stopsAt, stopsAt).size() == 4);
  }
  SECTION("any other host computes the same target hosts from the request ID")
  {
    const std::vector<HostId> hosts{ HostId{ "h1" }, HostId{ "h2" }, HostId{ "h3" } };
    const std::vector<HostId> reversed{ hosts.rbegin(), hosts.rend() };
    const RequestId request = MakeRequestId(HostId{ "h0" }, "ab");
    CHECK(IsIssuedBy(request, HostId{ "h0" }));
    CHECK_FALSE(IsIssuedBy(request, HostId{ "h1" }));
    CHECK(HandOverHostsFor(request, hosts, 2).size() == 2);
    CHECK(HandOverHostsFor(request, hosts, 3) == HandOverHostsFor(request, reversed, 3));
  }
}

TEST_CASE("A stream is handed over to another host")
{
  StreamBuffer buffer;
  REQUIRE(Append(buffer, { .mIndex = 0, .mText = "a" }) == AppendResult::kAppended);
  REQUIRE(BeginHandOver(buffer));

  SECTION("no token is appended while the reply is pending or its outcome is unknown")
  {
    CHECK(Append(buffer, { .mIndex = 1, .mText = "b" }) == AppendResult::kHandOverPending);
    EndHandOver(buffer, HandOverOutcome::kUnknown, HostId{ "h2" });
    CHECK(Append(buffer, { .mIndex = 1, .mText = "b" }) == AppendResult::kHandOverPending);
    CHECK_FALSE(BeginHandOver(buffer));
  }
  SECTION("after the other host accepts it, this host appends no more tokens")
  {
    EndHandOver(buffer, HandOverOutcome::kAccepted, HostId{ "h2" });
    CHECK(buffer.mHandedTo == HostId{ "h2" });
    CHECK(Append(buffer, { .mIndex = 1, .mText = "b" }) == AppendResult::kRefused);
  }
  SECTION("after the other host refuses it, this host continues the stream")
  {
    EndHandOver(buffer, HandOverOutcome::kRefused, HostId{ "h2" });
    CHECK(Append(buffer, { .mIndex = 1, .mText = "b" }) == AppendResult::kAppended);
  }
}

constexpr std::int64_t kResponseTokens = 12;

// The state of one request on one host.
struct Replica
{
  StreamProgress mProgress;
  StreamBuffer mBuffer;
  bool mHoldsStream = false;
};

// Two hosts, a caller and nondeterministic engines. The text of each token contains the ID of the
// attempt that generated it, so that tokens of different attempts can be distinguished.
struct World
{
  Replica mReplicas[2];
  int mAttempts = 0;
  std::vector<Token> mSentTokens;
  std::vector<std::string> mCallerTokens;
};

void
StartAttempt(World& aWorld, Replica& aReplica)
{
  BeginAttempt(aReplica.mProgress, AttemptId{ fmt::format("a{}", ++aWorld.mAttempts) });
}

void
ReceiveToken(Replica& aReplica, const Token& aToken)
{
  StreamProgress progress = aReplica.mProgress;
  if (AcceptToken(progress, aToken) != TokenResult::kForward) {
    return;
  }
  const bool isLast = aToken.mIndex + 1 == kResponseTokens;
  const AppendResult result = Append(
    aReplica.mBuffer,
    { .mIndex = aToken.mIndex, .mText = aToken.mText, .mFinishReason = isLast ? "length" : "" });
  if (result == AppendResult::kAppended) {
    aReplica.mProgress = progress;
  }
}

// Generates the next token of the current attempt. A copy stays in mSentTokens and may be delivered
// again later.
void
GenerateToken(World& aWorld, Replica& aReplica)
{
  const Token token{ .mAttempt = aReplica.mProgress.mAttempt,
                     .mIndex = aReplica.mProgress.mTokens,
                     .mText = fmt::format(
                       "{}@{} ", aReplica.mProgress.mTokens, aReplica.mProgress.mAttempt.Value()) };
  if (token.mIndex < kResponseTokens) {
    aWorld.mSentTokens.push_back(token);
    ReceiveToken(aReplica, token);
  }
}

// Hands the stream over to the other host, which receives it. Its reply may be lost.
void
HandOver(World& aWorld, bool aReplyLost)
{
  Replica& from = aWorld.mReplicas[0];
  Replica& to = aWorld.mReplicas[1];
  if (from.mBuffer.mState != StreamState::kHandingOver && !BeginHandOver(from.mBuffer)) {
    return;
  }
  if (!to.mHoldsStream) {
    to.mHoldsStream = true;
    to.mBuffer.mTokens = from.mBuffer.mTokens;
    to.mProgress.mTokens = static_cast<std::int64_t>(to.mBuffer.mTokens.size());
    StartAttempt(aWorld, to);
  }
  EndHandOver(from.mBuffer,
              aReplyLost ? HandOverOutcome::kUnknown : HandOverOutcome::kAccepted,
              HostId{ "h2" });
}

// Appends the tokens on `aReplica` that the caller has not received to the caller's tokens.
void
ReadFrom(World& aWorld, const Replica& aReplica)
{
  const auto& tokens = aReplica.mBuffer.mTokens;
  if (aReplica.mHoldsStream && tokens.size() > aWorld.mCallerTokens.size()) {
    aWorld.mCallerTokens.insert(
      aWorld.mCallerTokens.end(), tokens.begin() + std::ssize(aWorld.mCallerTokens), tokens.end());
  }
}

// Applies a random event: aEvent / 2 selects its kind, aEvent % 2 the host.
void
ApplyEvent(World& aWorld, int aEvent)
{
  Replica& replica = aWorld.mReplicas[aEvent % 2];
  switch (aEvent / 2) {
    case 0:
      StartAttempt(aWorld, replica);
      break;
    case 1:
      HandOver(aWorld, aEvent % 2 == 0);
      break;
    case 2:
      if (!aWorld.mSentTokens.empty()) {
        ReceiveToken(replica, aWorld.mSentTokens[aWorld.mSentTokens.size() / 2]);
      }
      break;
    case 3:
      ReadFrom(aWorld, replica);
      break;
    default:
      if (replica.mHoldsStream) {
        GenerateToken(aWorld, replica);
      }
  }
}

TEST_CASE("The caller receives the complete response of one host despite lost attempts, late "
          "tokens and hand-overs")
{
  const bool holds = rc::check([] {
    World world;
    world.mReplicas[0].mHoldsStream = true;
    StartAttempt(world, world.mReplicas[0]);
    const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 14));
    for (const int event : events) {
      ApplyEvent(world, event);
    }
    Replica& finalReplica = world.mReplicas[world.mReplicas[1].mHoldsStream ? 1 : 0];
    EndHandOver(world.mReplicas[0].mBuffer, HandOverOutcome::kAccepted, HostId{ "h2" });
    while (finalReplica.mProgress.mTokens < kResponseTokens) {
      GenerateToken(world, finalReplica);
    }
    ReadFrom(world, finalReplica);
    RC_ASSERT(std::ssize(world.mCallerTokens) == kResponseTokens);
    RC_ASSERT(world.mCallerTokens == finalReplica.mBuffer.mTokens);
    for (std::int64_t index = 0; index < kResponseTokens; ++index) {
      RC_ASSERT(world.mCallerTokens[static_cast<std::size_t>(index)].starts_with(
        fmt::format("{}@", index)));
    }
  });
  CHECK(holds);
}

} // namespace
} // namespace trefoil
