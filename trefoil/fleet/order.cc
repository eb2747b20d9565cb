#include "trefoil/fleet/order.h"

#include <utility>

namespace trefoil {
namespace {

constexpr Milliseconds kStoreCallTimeout{ 3'000 };
// How long a server may take to report the ordered task before the order is repeated. A backoff
// that grows with the repetitions is added.
constexpr Milliseconds kReportTimeout{ 30'000 };

bool
IsSatisfied(const ServerOrderState& aOrder)
{
  return aOrder.mReportedTask.has_value() && *aOrder.mReportedTask == aOrder.mDesiredTask &&
         (aOrder.mRevision == 0 || aOrder.mIntent.mTask == aOrder.mDesiredTask);
}

OrderEffects
BeginRead(ServerOrderState& aOrder, Instant aNow)
{
  aOrder.mPhase = OrderPhase::kReading;
  aOrder.mCallDeadline = aNow + kStoreCallTimeout;
  return { ReadIntent{} };
}

OrderEffects
BeginWrite(ServerOrderState& aOrder, std::uint64_t aFencing, Instant aNow)
{
  aOrder.mPhase = OrderPhase::kWriting;
  aOrder.mCallDeadline = aNow + kStoreCallTimeout;
  aOrder.mIntent = { .mNumber = aOrder.mIntent.mNumber + 1,
                     .mFencing = aFencing,
                     .mTask = aOrder.mDesiredTask };
  return { WriteIntent{ .mIntent = aOrder.mIntent, .mExpectedRevision = aOrder.mRevision } };
}

OrderEffects
BeginSend(ServerOrderState& aOrder, Instant aNow)
{
  aOrder.mPhase = OrderPhase::kSent;
  aOrder.mCallDeadline = aNow + kReportTimeout +
                         JitteredBackoff(aOrder.mUnconfirmedSends, NextRandom(aOrder.mRandomState));
  ++aOrder.mUnconfirmedSends;
  return { SendOrder{ .mIntent = aOrder.mIntent } };
}

// Acts on a server that does not run the desired task: sends the order if the stored intent is the
// current one of this holder, and writes that intent otherwise.
OrderEffects
Reconcile(ServerOrderState& aOrder, const OrderTick& aTick, Instant aNow)
{
  const bool isCurrentIntent =
    aOrder.mIntent.mFencing == aTick.mFencing && aOrder.mIntent.mTask == aOrder.mDesiredTask;
  if (aOrder.mRevision != 0 && isCurrentIntent) {
    return BeginSend(aOrder, aNow);
  }
  return BeginWrite(aOrder, aTick.mFencing, aNow);
}

OrderEffects
On(ServerOrderState& aOrder, const OrderTick& aTick, Instant aNow)
{
  if (!aTick.mMayAct) {
    // Another holder may write an intent meanwhile, so the stored one must be read again.
    aOrder.mPhase = OrderPhase::kUnknown;
    return {};
  }
  switch (aOrder.mPhase) {
    case OrderPhase::kUnknown:
      return BeginRead(aOrder, aNow);
    case OrderPhase::kReading:
    case OrderPhase::kWriting:
      return HasPassed(aOrder.mCallDeadline, aNow) ? BeginRead(aOrder, aNow) : OrderEffects{};
    case OrderPhase::kIdle:
    case OrderPhase::kWritten:
      return IsSatisfied(aOrder) ? OrderEffects{} : Reconcile(aOrder, aTick, aNow);
    case OrderPhase::kSent:
      if (IsSatisfied(aOrder)) {
        aOrder.mPhase = OrderPhase::kIdle;
        aOrder.mUnconfirmedSends = 0;
        return {};
      }
      return HasPassed(aOrder.mCallDeadline, aNow) ? Reconcile(aOrder, aTick, aNow)
                                                   : OrderEffects{};
  }
  return {};
}

OrderEffects
On(ServerOrderState& aOrder, const TaskReported& aEvent, Instant)
{
  aOrder.mReportedTask = aEvent.mTask;
  return {};
}

OrderEffects
On(ServerOrderState& aOrder, const IntentRead& aEvent, Instant)
{
  if (aOrder.mPhase == OrderPhase::kReading) {
    aOrder.mIntent = aEvent.mIntent;
    aOrder.mRevision = aEvent.mRevision;
    aOrder.mPhase = OrderPhase::kIdle;
  }
  return {};
}

OrderEffects
On(ServerOrderState& aOrder, const IntentWritten& aEvent, Instant)
{
  if (aOrder.mPhase == OrderPhase::kWriting) {
    aOrder.mRevision = aEvent.mRevision;
    aOrder.mPhase = OrderPhase::kWritten;
  }
  return {};
}

OrderEffects
On(ServerOrderState& aOrder, const IntentCallFailed&, Instant)
{
  if (aOrder.mPhase == OrderPhase::kReading || aOrder.mPhase == OrderPhase::kWriting) {
    aOrder.mPhase = OrderPhase::kUnknown;
  }
  return {};
}

OrderEffects
On(ServerOrderState&, const OrderCallEnded&, Instant)
{
  return {};
}

} // namespace

ServerOrderState
MakeOrder(BackendServerId aServer, ServerTask aDesiredTask, std::uint64_t aRandomSeed)
{
  return { .mServer = std::move(aServer),
           .mDesiredTask = std::move(aDesiredTask),
           .mRandomState = aRandomSeed };
}

OrderEffects
Step(ServerOrderState& aOrder, const OrderEvent& aEvent, Instant aNow)
{
  return std::visit([&aOrder, aNow](const auto& aKind) { return On(aOrder, aKind, aNow); }, aEvent);
}

} // namespace trefoil
