// Random interleavings of hosts that claim the same keys over a store that loses answers, answers
// late and shows old values.
#include "trefoil/idempotency/claims.h"

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
constexpr Milliseconds kRequestLimit{ 300 };

// A call to the store under way.
struct Call
{
  std::size_t mHost = 0;
  std::uint64_t mIncarnation = 0;
  ClaimEffect mEffect;
  // The host has its answer, or will have none; a write may still take effect.
  bool mAnswered = false;
};

// A request that was told that it may be dispatched.
struct Granted
{
  std::size_t mHost = 0;
  std::uint64_t mIncarnation = 0;
  ClaimRecord mRecord;
};

struct World
{
  Instant mNow;
  std::vector<Claims> mHosts{ kHosts };
  std::vector<std::uint64_t> mIncarnations = std::vector<std::uint64_t>(kHosts, 0);
  // All values that the store ever held, oldest first.
  std::vector<StoredSlot> mHistory{ StoredSlot{} };
  std::vector<Call> mCalls;
  std::vector<Granted> mGranted;
  std::uint64_t mNumber = 0;
  std::map<std::string, int> mDispatches;
  std::map<std::uint64_t, ClaimAnswer> mAnswers;
};

// Draws numbers from the generated list, zero once it is used up.
struct Draws
{
  const std::vector<std::uint32_t>& mNumbers;
  std::size_t mNext = 0;

  std::uint32_t Below(std::uint32_t aLimit)
  {
    const std::uint32_t number = mNext < mNumbers.size() ? mNumbers[mNext] : 0;
    ++mNext;
    return aLimit == 0 ? 0 : number % aLimit;
  }
  bool Done() const { return mNext >= mNumbers.size(); }
};

void
Note(World& aWorld, std::size_t aHost, const ClaimDecided& aDecided)
{
  RC_ASSERT(!aWorld.mAnswers.contains(aDecided.mWaiter));
  aWorld.mAnswers[aDecided.mWaiter] = aDecided.mAnswer;
  const int dispatches = aWorld.mDispatches[aDecided.mRecord.mKey];
  if (aDecided.mAnswer == ClaimAnswer::kDispatch) {
    aWorld.mGranted.push_back(
      { .mHost = aHost, .mIncarnation = aWorld.mIncarnations[aHost], .mRecord = aDecided.mRecord });
  } else if (aDecided.mAnswer == ClaimAnswer::kFull) {
    RC_ASSERT(dispatches == 0);
  } else if (aDecided.mAnswer == ClaimAnswer::kRecorded) {
    RC_ASSERT(aDecided.mRecord.mOutcome.mStage != ClaimStage::kNotRun);
    RC_ASSERT(dispatches == 1);
  }
}

void
CarryOut(World& aWorld, std::size_t aHost, const ClaimEffects& aEffects)
{
  for (const ClaimEffect& effect : aEffects) {
    if (const auto* decided = std::get_if<ClaimDecided>(&effect)) {
      Note(aWorld, aHost, *decided);
    } else {
      aWorld.mCalls.push_back(
        { .mHost = aHost, .mIncarnation = aWorld.mIncarnations[aHost], .mEffect = effect });
    }
  }
}

void
Deliver(World& aWorld, std::size_t aHost, const ClaimEvent& aEvent)
{
  CarryOut(aWorld, aHost, Step(aWorld.mHosts[aHost], aEvent, aWorld.mNow));
}

void
SendRequest(World& aWorld, Draws& aDraws)
{
  const std::size_t host = aDraws.Below(kHosts);
  const std::uint32_t key = aDraws.Below(kKeys);
  const std::uint64_t number = ++aWorld.mNumber;
  const bool otherRequest = aDraws.Below(10) == 0;
  Deliver(aWorld,
          host,
          ClaimWanted{ .mWaiter = number,
                       .mSlot = kSlot,
                       .mRecord = { .mKey = "key-" + std::to_string(key),
                                    .mNonce = std::to_string(number * 7919 % 1000),
                                    .mClaimant = HostId{ std::to_string(host) },
                                    .mRequestSha256 = otherRequest ? "two" : "one" },
                       .mDeadline = aWorld.mNow + kRequestLimit });
}

bool
IsAlive(const World& aWorld, std::size_t aHost, std::uint64_t aIncarnation)
{
  return aWorld.mIncarnations[aHost] == aIncarnation;
}

void
AnswerCall(World& aWorld, Call& aCall, const ClaimEvent& aEvent)
{
  if (!aCall.mAnswered && IsAlive(aWorld, aCall.mHost, aCall.mIncarnation)) {
    aCall.mAnswered = true;
    Deliver(aWorld, aCall.mHost, aEvent);
  }
}

void
EndRead(World& aWorld, Call aCall, Draws& aDraws)
{
  const std::uint32_t fate = aDraws.Below(6);
  // Fate 0: no answer. Fate 1: an old value.
  const std::size_t newest = aWorld.mHistory.size() - 1;
  const std::size_t seen =
    fate == 1 ? aDraws.Below(static_cast<std::uint32_t>(newest + 1)) : newest;
  SlotReadEnded ended{ .mSlot = kSlot };
  if (fate != 0) {
    ended.mStored = aWorld.mHistory[seen];
  }
  AnswerCall(aWorld, aCall, ended);
}

SlotWriteEnded
ApplyWrite(World& aWorld, const SlotWriteWanted& aWrite)
{
  const StoredSlot current = aWorld.mHistory.back();
  if (current.mRevision != aWrite.mExpected) {
    return { .mSlot = kSlot, .mResult = SlotWriteResult::kConflict, .mStored = current };
  }
  const StoredSlot written{ .mValue = aWrite.mValue, .mRevision = current.mRevision + 1 };
  aWorld.mHistory.push_back(written);
  return { .mSlot = kSlot, .mResult = SlotWriteResult::kWritten, .mStored = written };
}

// Ends a write. Returns whether it stays under way, to take effect later.
bool
EndWrite(World& aWorld, Call& aCall, Draws& aDraws)
{
  const SlotWriteWanted write = std::get<SlotWriteWanted>(aCall.mEffect);
  const SlotWriteEnded unknown{ .mSlot = kSlot, .mResult = SlotWriteResult::kUnknown };
  switch (aDraws.Below(6)) {
    case 0: // The answer is lost after the write.
      ApplyWrite(aWorld, write);
      AnswerCall(aWorld, aCall, unknown);
      return false;
    case 1: // The host gives up and the write takes effect later.
      AnswerCall(aWorld, aCall, unknown);
      return aDraws.Below(2) == 0;
    case 2:
      AnswerCall(aWorld,
                 aCall,
                 { SlotWriteEnded{ .mSlot = kSlot, .mResult = SlotWriteResult::kNotWritten } });
      return false;
    default: {
      const SlotWriteEnded ended = ApplyWrite(aWorld, write);
      AnswerCall(aWorld, aCall, ended);
      return false;
    }
  }
}

void
EndCall(World& aWorld, Draws& aDraws)
{
  if (aWorld.mCalls.empty()) {
    return;
  }
  const auto index = aDraws.Below(static_cast<std::uint32_t>(aWorld.mCalls.size()));
  Call call = aWorld.mCalls[index];
  aWorld.mCalls.erase(aWorld.mCalls.begin() + index);
  if (std::holds_alternative<SlotReadWanted>(call.mEffect)) {
    EndRead(aWorld, call, aDraws);
  } else if (EndWrite(aWorld, call, aDraws)) {
    aWorld.mCalls.push_back(call);
  }
}

// Lets a request that may be dispatched go on: it is dispatched, or gives up first.
void
UseGrant(World& aWorld, Draws& aDraws)
{
  if (aWorld.mGranted.empty()) {
    return;
  }
  const auto index = aDraws.Below(static_cast<std::uint32_t>(aWorld.mGranted.size()));
  Granted granted = aWorld.mGranted[index];
  aWorld.mGranted.erase(aWorld.mGranted.begin() + index);
  if (!IsAlive(aWorld, granted.mHost, granted.mIncarnation)) {
    return;
  }
  int& dispatches = aWorld.mDispatches[granted.mRecord.mKey];
  const bool givesUp = aDraws.Below(3) == 0;
  if (givesUp) {
    // The caller is told "not run".
    RC_ASSERT(dispatches == 0);
  } else {
    ++dispatches;
    RC_ASSERT(dispatches <= 1);
  }
  granted.mRecord.mOutcome.mStage = givesUp ? ClaimStage::kNotRun : ClaimStage::kRan;
  if (aDraws.Below(4) != 0) {
    Deliver(aWorld, granted.mHost, OutcomeKnown{ .mSlot = kSlot, .mRecord = granted.mRecord });
  }
}

void
Restart(World& aWorld, Draws& aDraws)
{
  const std::size_t host = aDraws.Below(kHosts);
  if (aDraws.Below(3) == 0) {
    aWorld.mHosts[host] = Claims{};
    ++aWorld.mIncarnations[host];
  }
}

void
PassTime(World& aWorld, Draws& aDraws)
{
  aWorld.mNow += Milliseconds{ aDraws.Below(120) };
  for (std::size_t host = 0; host < kHosts; ++host) {
    // A frozen host's timer does not fire.
    if (aDraws.Below(4) != 0) {
      CarryOut(aWorld, host, Tick(aWorld.mHosts[host], aWorld.mNow));
    }
  }
}

void
RunStep(World& aWorld, Draws& aDraws)
{
  switch (aDraws.Below(9)) {
    case 0:
    case 1:
      return SendRequest(aWorld, aDraws);
    case 2:
    case 3:
    case 4:
      return EndCall(aWorld, aDraws);
    case 5:
    case 6:
      return UseGrant(aWorld, aDraws);
    case 7:
      return PassTime(aWorld, aDraws);
    default:
      return Restart(aWorld, aDraws);
  }
}

TEST_CASE("Whatever the interleaving of hosts, store and requests")
{
  SECTION("no key is dispatched twice and no dispatched one is called not run")
  {
    rc::prop("claims", [] {
      const auto size = *rc::gen::inRange<std::size_t>(100, 500);
      const auto numbers = *rc::gen::container<std::vector<std::uint32_t>>(
        size, rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint32_t>(0, 1U << 30)));
      World world;
      Draws draws{ .mNumbers = numbers };
      while (!draws.Done()) {
        RunStep(world, draws);
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
