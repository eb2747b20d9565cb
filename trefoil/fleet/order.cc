#include "trefoil/fleet/order.h"

#include <utility>

namespace trefoil {
namespace {

constexpr Milliseconds kStoreCallLimit{ 3'000 };
// How long a server may take to report what it was ordered to run before the order is repeated.
constexpr Milliseconds kObeyLimit{ 30'000 };

bool
IsSatisfied(const OrderState& aOrder)
{
  return aOrder.mReported.has_value() && *aOrder.mReported == aOrder.mWanted &&
         (aOrder.mRevision == 0 || aOrder.mIntent.mTask == aOrder.mWanted);
}

OrderEffects
Read(OrderState& aOrder, Instant aNow)
{
  aOrder.mPhase = OrderPhase::kReading;
  aOrder.mCallUntil = aNow + kStoreCallLimit;
  return { ReadIntent{} };
}

OrderEffects
Write(OrderState& aOrder, std::uint64_t aFencing, Instant aNow)
{
  aOrder.mPhase = OrderPhase::kWriting;
  aOrder.mCallUntil = aNow + kStoreCallLimit;
  aOrder.mIntent = { .mNumber = aOrder.mIntent.mNumber + 1,
                     .mFencing = aFencing,
                     .mTask = aOrder.mWanted };
  return { WriteIntent{ .mIntent = aOrder.mIntent, .mExpected = aOrder.mRevision } };
}

OrderEffects
Send(OrderState& aOrder, Instant aNow)
{
  aOrder.mPhase = OrderPhase::kSent;
  aOrder.mCallUntil = aNow + kObeyLimit + BackOff(aOrder.mFailures, NextRandom(aOrder.mRandom));
  ++aOrder.mFailures;
  return { SendOrder{ .mIntent = aOrder.mIntent } };
}

// What to do about a server that does not run what it should.
OrderEffects
Pursue(OrderState& aOrder, const OrderTick& aTick, Instant aNow)
{
  const bool isOwn =
    aOrder.mIntent.mFencing == aTick.mFencing && aOrder.mIntent.mTask == aOrder.mWanted;
  if (aOrder.mRevision != 0 && isOwn) {
    return Send(aOrder, aNow);
  }
  return Write(aOrder, aTick.mFencing, aNow);
}

OrderEffects
On(OrderState& aOrder, const OrderTick& aTick, Instant aNow)
{
  if (!aTick.mMayAct) {
    // A later holder may have written another intent meanwhile.
    aOrder.mPhase = OrderPhase::kUnknown;
    return {};
  }
  switch (aOrder.mPhase) {
    case OrderPhase::kUnknown:
      return Read(aOrder, aNow);
    case OrderPhase::kReading:
    case OrderPhase::kWriting:
      return HasPassed(aOrder.mCallUntil, aNow) ? Read(aOrder, aNow) : OrderEffects{};
    case OrderPhase::kIdle:
    case OrderPhase::kWritten:
      return IsSatisfied(aOrder) ? OrderEffects{} : Pursue(aOrder, aTick, aNow);
    case OrderPhase::kSent:
      if (IsSatisfied(aOrder)) {
        aOrder.mPhase = OrderPhase::kIdle;
        aOrder.mFailures = 0;
        return {};
      }
      return HasPassed(aOrder.mCallUntil, aNow) ? Pursue(aOrder, aTick, aNow) : OrderEffects{};
  }
  return {};
}

OrderEffects
On(OrderState& aOrder, const TaskReported& aEvent, Instant)
{
  aOrder.mReported = aEvent.mTask;
  return {};
}

OrderEffects
On(OrderState& aOrder, const IntentRead& aEvent, Instant)
{
  if (aOrder.mPhase == OrderPhase::kReading) {
    aOrder.mIntent = aEvent.mIntent;
    aOrder.mRevision = aEvent.mRevision;
    aOrder.mPhase = OrderPhase::kIdle;
  }
  return {};
}

OrderEffects
On(OrderState& aOrder, const IntentWritten& aEvent, Instant)
{
  if (aOrder.mPhase == OrderPhase::kWriting) {
    aOrder.mRevision = aEvent.mRevision;
    aOrder.mPhase = OrderPhase::kWritten;
  }
  return {};
}

OrderEffects
On(OrderState& aOrder, const IntentUnknown&, Instant)
{
  if (aOrder.mPhase == OrderPhase::kReading || aOrder.mPhase == OrderPhase::kWriting) {
    aOrder.mPhase = OrderPhase::kUnknown;
  }
  return {};
}

OrderEffects
On(OrderState&, const OrderEnded&, Instant)
{
  return {};
}

} // namespace

OrderState
MakeOrder(BackendServerId aServer, ServerTask aWanted, std::uint64_t aRandomSeed)
{
  return { .mServer = std::move(aServer), .mWanted = std::move(aWanted), .mRandom = aRandomSeed };
}

OrderEffects
Step(OrderState& aOrder, const OrderEvent& aEvent, Instant aNow)
{
  return std::visit([&aOrder, aNow](const auto& aKind) { return On(aOrder, aKind, aNow); }, aEvent);
}

} // namespace trefoil
