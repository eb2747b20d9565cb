// Random interleavings of hosts that claim the same keys in a store that loses responses, responds
// late and returns stale values.
#include "trefoil/idempotency/claim_table.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <map>
#include <rapidcheck/catch.h>
#include <set>
#include <string>
#include <vector>

namespace trefoil {
namespace {

constexpr std::size_t kHosts = 3;
constexpr std::uint32_t kKeys = 2;
const SlotId kSlot{ .mSlot = 0, .mBucket = 50 };
constexpr Milliseconds kClaimTimeout{ 300 };

// A store call in flight.
struct StoreCall
{
  std::size_t mHost = 0;
  std::uint64_t mIncarnation = 0;
  ClaimEffect mEffect;
  // Whether the host has received a response or given up. A write may still take effect later.
  bool mAnswered = false;
};

// A request that was answered kDispatch.
struct DispatchGrant
{
  std::size_t mHost = 0;
  std::uint64_t mIncarnation = 0;
  ClaimRecord mRecord;
};

// The hosts, the store and the history that the assertions check.
struct World
{
  Instant mNow;
  std::vector<ClaimTable> mHosts{ kHosts };
  std::vector<std::uint64_t> mIncarnations = std::vector<std::uint64_t>(kHosts, 0);
  // All values that the store has held, the oldest first.
  std::vector<StoredSlot> mHistory{ StoredSlot{} };
  std::vector<StoreCall> mCalls;
  std::vector<DispatchGrant> mGrants;
  std::uint64_t mLastRequest = 0;
  std::map<std::string, int> mDispatches;
  std::map<std::uint64_t, ClaimAnswer> mAnswers;
};

// Returns numbers from the generated list, and zero after its end.
struct RandomNumbers
{
  const std::vector<std::uint32_t>& mNumbers;
  std::size_t mNext = 0;

  std::uint32_t NextBelow(std::uint32_t aLimit)
  {
    const std::uint32_t number = mNext < mNumbers.size() ? mNumbers[mNext] : 0;
    ++mNext;
    return aLimit == 0 ? 0 : number % aLimit;
  }
  bool IsExhausted() const { return mNext >= mNumbers.size(); }
};

void
RecordAnswer(World& aWorld, std::size_t aHost, const AnswerClaim& aDecided)
{
  RC_ASSERT(!aWorld.mAnswers.contains(aDecided.mWaiter));
  aWorld.mAnswers[aDecided.mWaiter] = aDecided.mAnswer;
  const int dispatches = aWorld.mDispatches[aDecided.mRecord.mKey];
  if (aDecided.mAnswer == ClaimAnswer::kDispatch) {
    aWorld.mGrants.push_back(
      { .mHost = aHost, .mIncarnation = aWorld.mIncarnations[aHost], .mRecord = aDecided.mRecord });
  } else if (aDecided.mAnswer == ClaimAnswer::kFull) {
    RC_ASSERT(dispatches == 0);
  } else if (aDecided.mAnswer == ClaimAnswer::kRecorded) {
    RC_ASSERT(aDecided.mRecord.mOutcome.mStage != ClaimStage::kNotRun);
    RC_ASSERT(dispatches == 1);
  }
}

void
ExecuteEffects(World& aWorld, std::size_t aHost, const ClaimEffects& aEffects)
{
  for (const ClaimEffect& effect : aEffects) {
    if (const auto* decided = std::get_if<AnswerClaim>(&effect)) {
      RecordAnswer(aWorld, aHost, *decided);
    } else {
      aWorld.mCalls.push_back(
        { .mHost = aHost, .mIncarnation = aWorld.mIncarnations[aHost], .mEffect = effect });
    }
  }
}

void
Deliver(World& aWorld, std::size_t aHost, const ClaimEvent& aEvent)
{
  ExecuteEffects(aWorld, aHost, Step(aWorld.mHosts[aHost], aEvent, aWorld.mNow));
}

void
SendRequest(World& aWorld, RandomNumbers& aRandom)
{
  const std::size_t host = aRandom.NextBelow(kHosts);
  const std::uint32_t key = aRandom.NextBelow(kKeys);
  const std::uint64_t number = ++aWorld.mLastRequest;
  const bool otherRequest = aRandom.NextBelow(10) == 0;
  Deliver(aWorld,
          host,
          ClaimRequested{ .mWaiter = number,
                          .mSlot = kSlot,
                          .mRecord = { .mKey = "key-" + std::to_string(key),
                                       .mNonce = std::to_string(number * 7919 % 1000),
                                       .mClaimant = HostId{ std::to_string(host) },
                                       .mRequestSha256 = otherRequest ? "two" : "one" },
                          .mDeadline = aWorld.mNow + kClaimTimeout });
}

bool
IsAlive(const World& aWorld, std::size_t aHost, std::uint64_t aIncarnation)
{
  return aWorld.mIncarnations[aHost] == aIncarnation;
}

void
AnswerCall(World& aWorld, StoreCall& aCall, const ClaimEvent& aEvent)
{
  if (!aCall.mAnswered && IsAlive(aWorld, aCall.mHost, aCall.mIncarnation)) {
    aCall.mAnswered = true;
    Deliver(aWorld, aCall.mHost, aEvent);
  }
}

void
EndRead(World& aWorld, StoreCall aCall, RandomNumbers& aRandom)
{
  const std::uint32_t readOutcome = aRandom.NextBelow(6);
  // 0: no response. 1: a stale value.
  const std::size_t latest = aWorld.mHistory.size() - 1;
  const std::size_t returned =
    readOutcome == 1 ? aRandom.NextBelow(static_cast<std::uint32_t>(latest + 1)) : latest;
  SlotReadCompleted ended{ .mSlot = kSlot };
  if (readOutcome != 0) {
    ended.mStored = aWorld.mHistory[returned];
  }
  AnswerCall(aWorld, aCall, ended);
}

SlotWriteCompleted
ApplyWrite(World& aWorld, const WriteSlot& aWrite)
{
  const StoredSlot current = aWorld.mHistory.back();
  if (current.mRevision != aWrite.mExpected) {
    return { .mSlot = kSlot, .mResult = SlotWriteResult::kConflict, .mStored = current };
  }
  const StoredSlot written{ .mValue = aWrite.mValue, .mRevision = current.mRevision + 1 };
  aWorld.mHistory.push_back(written);
  return { .mSlot = kSlot, .mResult = SlotWriteResult::kWritten, .mStored = written };
}

// Ends a write. Returns whether it stays in flight and takes effect later.
bool
EndWrite(World& aWorld, StoreCall& aCall, RandomNumbers& aRandom)
{
  const WriteSlot write = std::get<WriteSlot>(aCall.mEffect);
  const SlotWriteCompleted unknown{ .mSlot = kSlot, .mResult = SlotWriteResult::kUnknown };
  switch (aRandom.NextBelow(6)) {
    case 0: // The response is lost after the write.
      ApplyWrite(aWorld, write);
      AnswerCall(aWorld, aCall, unknown);
      return false;
    case 1: // The host gives up, and the write may take effect later.
      AnswerCall(aWorld, aCall, unknown);
      return aRandom.NextBelow(2) == 0;
    case 2:
      AnswerCall(aWorld,
                 aCall,
                 { SlotWriteCompleted{ .mSlot = kSlot, .mResult = SlotWriteResult::kNotWritten } });
      return false;
    default: {
      const SlotWriteCompleted ended = ApplyWrite(aWorld, write);
      AnswerCall(aWorld, aCall, ended);
      return false;
    }
  }
}

void
EndCall(World& aWorld, RandomNumbers& aRandom)
{
  if (aWorld.mCalls.empty()) {
    return;
  }
  const auto index = aRandom.NextBelow(static_cast<std::uint32_t>(aWorld.mCalls.size()));
  StoreCall call = aWorld.mCalls[index];
  aWorld.mCalls.erase(aWorld.mCalls.begin() + index);
  if (std::holds_alternative<ReadSlot>(call.mEffect)) {
    EndRead(aWorld, call, aRandom);
  } else if (EndWrite(aWorld, call, aRandom)) {
    aWorld.mCalls.push_back(call);
  }
}

// Dispatches or abandons a request that may be dispatched. Its outcome may be lost.
void
UseOrAbandonGrant(World& aWorld, RandomNumbers& aRandom)
{
  if (aWorld.mGrants.empty()) {
    return;
  }
  const auto index = aRandom.NextBelow(static_cast<std::uint32_t>(aWorld.mGrants.size()));
  DispatchGrant grant = aWorld.mGrants[index];
  aWorld.mGrants.erase(aWorld.mGrants.begin() + index);
  if (!IsAlive(aWorld, grant.mHost, grant.mIncarnation)) {
    return;
  }
  int& dispatches = aWorld.mDispatches[grant.mRecord.mKey];
  const bool isAbandoned = aRandom.NextBelow(3) == 0;
  if (isAbandoned) {
    // The caller receives the verdict "not run".
    RC_ASSERT(dispatches == 0);
  } else {
    ++dispatches;
    RC_ASSERT(dispatches <= 1);
  }
  grant.mRecord.mOutcome.mStage = isAbandoned ? ClaimStage::kNotRun : ClaimStage::kRan;
  if (aRandom.NextBelow(4) != 0) {
    Deliver(aWorld, grant.mHost, ClaimCompleted{ .mSlot = kSlot, .mRecord = grant.mRecord });
  }
}

void
Restart(World& aWorld, RandomNumbers& aRandom)
{
  const std::size_t host = aRandom.NextBelow(kHosts);
  if (aRandom.NextBelow(3) == 0) {
    aWorld.mHosts[host] = ClaimTable{};
    ++aWorld.mIncarnations[host];
  }
}

void
AdvanceTime(World& aWorld, RandomNumbers& aRandom)
{
  aWorld.mNow += Milliseconds{ aRandom.NextBelow(120) };
  for (std::size_t host = 0; host < kHosts; ++host) {
    // The timers of a frozen host do not fire.
    if (aRandom.NextBelow(4) != 0) {
      ExecuteEffects(aWorld, host, Tick(aWorld.mHosts[host], aWorld.mNow));
    }
  }
}

void
RunStep(World& aWorld, RandomNumbers& aRandom)
{
  switch (aRandom.NextBelow(9)) {
    case 0:
    case 1:
      return SendRequest(aWorld, aRandom);
    case 2:
    case 3:
    case 4:
      return EndCall(aWorld, aRandom);
    case 5:
    case 6:
      return UseOrAbandonGrant(aWorld, aRandom);
    case 7:
      return AdvanceTime(aWorld, aRandom);
    default:
      return Restart(aWorld, aRandom);
  }
}

TEST_CASE("For any interleaving of hosts, store calls and requests")
{
  SECTION("no key is dispatched twice and no dispatched request is reported as not run")
  {
    rc::prop("claims", [] {
      const auto size = *rc::gen::inRange<std::size_t>(100, 500);
      const auto numbers = *rc::gen::container<std::vector<std::uint32_t>>(
        size, rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint32_t>(0, 1U << 30)));
      World world;
      RandomNumbers random{ .mNumbers = numbers };
      while (!random.IsExhausted()) {
        RunStep(world, random);
      }
      const auto ran = std::ranges::count_if(world.mDispatches,
                                             [](const auto& aEntry) { return aEntry.second == 1; });
      RC_CLASSIFY(ran == 2, "both keys ran");
      RC_CLASSIFY(world.mIncarnations != std::vector<std::uint64_t>(kHosts, 0), "restarts");
    });
  }
}

} // namespace
} // namespace trefoil
