#include "trefoil/fleet/purchase.h"

namespace trefoil {
namespace {

constexpr Milliseconds kStoreCallLimit{ 3'000 };
constexpr Milliseconds kCloudCallLimit{ 10'000 };
constexpr Milliseconds kAfterRefusal{ 60'000 };

PurchaseEffects
Read(PurchaseState& aPurchase, Instant aNow)
{
  aPurchase.mPhase = PurchasePhase::kReading;
  aPurchase.mCallUntil = aNow + kStoreCallLimit;
  return { ReadPurchase{} };
}

PurchaseEffects
Write(PurchaseState& aPurchase, const PurchaseRecord& aRecord, Instant aNow)
{
  aPurchase.mPhase = PurchasePhase::kWriting;
  aPurchase.mCallUntil = aNow + kStoreCallLimit;
  return { WritePurchase{ .mRecord = aRecord, .mExpected = aPurchase.mRevision } };
}

PurchaseEffects
Call(PurchaseState& aPurchase, Instant aNow)
{
  aPurchase.mPhase = PurchasePhase::kCalling;
  aPurchase.mCallUntil = aNow + kCloudCallLimit;
  return { StartHosts{ .mToken = aPurchase.mRecord.mToken, .mCount = aPurchase.mRecord.mCount } };
}

PurchaseEffects
Begin(PurchaseState& aPurchase, const PurchaseTick& aTick, Instant aNow)
{
  const int missing = aTick.mWanted - aPurchase.mRecord.mBought;
  if (missing <= 0) {
    return {};
  }
  return Write(
    aPurchase,
    { .mToken = aTick.mFreshToken, .mCount = missing, .mBought = aPurchase.mRecord.mBought },
    aNow);
}

PurchaseEffects
On(PurchaseState& aPurchase, const PurchaseTick& aTick, Instant aNow)
{
  if (!aTick.mMayAct) {
    aPurchase.mPhase = PurchasePhase::kUnknown;
    return {};
  }
  switch (aPurchase.mPhase) {
    case PurchasePhase::kUnknown:
      return Read(aPurchase, aNow);
    case PurchasePhase::kReading:
    case PurchasePhase::kWriting:
      return HasPassed(aPurchase.mCallUntil, aNow) ? Read(aPurchase, aNow) : PurchaseEffects{};
    case PurchasePhase::kReady:
      return aPurchase.mRecord.mToken != 0 ? Call(aPurchase, aNow) : Begin(aPurchase, aTick, aNow);
    case PurchasePhase::kCalling:
      return HasPassed(aPurchase.mCallUntil, aNow) ? Call(aPurchase, aNow) : PurchaseEffects{};
  }
  return {};
}

PurchaseEffects
On(PurchaseState& aPurchase, const PurchaseRead& aEvent, Instant)
{
  if (aPurchase.mPhase == PurchasePhase::kReading) {
    aPurchase.mRecord = aEvent.mRecord;
    aPurchase.mRevision = aEvent.mRevision;
    aPurchase.mPhase = PurchasePhase::kReady;
  }
  return {};
}

PurchaseEffects
On(PurchaseState& aPurchase, const PurchaseWritten& aEvent, Instant)
{
  if (aPurchase.mPhase == PurchasePhase::kWriting) {
    aPurchase.mRecord = aEvent.mRecord;
    aPurchase.mRevision = aEvent.mRevision;
    aPurchase.mPhase = PurchasePhase::kReady;
  }
  return {};
}

PurchaseEffects
On(PurchaseState& aPurchase, const PurchaseUnknown&, Instant)
{
  if (aPurchase.mPhase == PurchasePhase::kReading || aPurchase.mPhase == PurchasePhase::kWriting) {
    aPurchase.mPhase = PurchasePhase::kUnknown;
  }
  return {};
}

PurchaseEffects
On(PurchaseState& aPurchase, const HostsStarted& aEvent, Instant aNow)
{
  if (aPurchase.mPhase != PurchasePhase::kCalling || aEvent.mToken != aPurchase.mRecord.mToken) {
    return {};
  }
  if (aEvent.mCount == 0) {
    // The token stays: a former holder may still call with it, and may then be given hosts.
    aPurchase.mNotBefore = aNow + kAfterRefusal;
    aPurchase.mPhase = PurchasePhase::kReady;
    return {};
  }
  return Write(aPurchase, { .mBought = aPurchase.mRecord.mBought + aEvent.mCount }, aNow);
}

} // namespace

PurchaseEffects
Step(PurchaseState& aPurchase, const PurchaseEvent& aEvent, Instant aNow)
{
  return std::visit([&aPurchase, aNow](const auto& aKind) { return On(aPurchase, aKind, aNow); },
                    aEvent);
}

} // namespace trefoil
