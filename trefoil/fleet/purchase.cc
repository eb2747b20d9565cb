#include "trefoil/fleet/purchase.h"

namespace trefoil {
namespace {

constexpr Milliseconds kStoreCallTimeout{ 3'000 };
constexpr Milliseconds kCloudCallTimeout{ 10'000 };
constexpr Milliseconds kRefusalDelay{ 60'000 };

PurchaseEffects
BeginRead(PurchaseState& aPurchase, Instant aNow)
{
  aPurchase.mPhase = PurchasePhase::kReading;
  aPurchase.mCallDeadline = aNow + kStoreCallTimeout;
  return { ReadPurchase{} };
}

PurchaseEffects
BeginWrite(PurchaseState& aPurchase, const PurchaseRecord& aRecord, Instant aNow)
{
  aPurchase.mPhase = PurchasePhase::kWriting;
  aPurchase.mCallDeadline = aNow + kStoreCallTimeout;
  return { WritePurchase{ .mRecord = aRecord, .mExpectedRevision = aPurchase.mRevision } };
}

PurchaseEffects
BeginCall(PurchaseState& aPurchase, Instant aNow)
{
  aPurchase.mPhase = PurchasePhase::kCalling;
  aPurchase.mCallDeadline = aNow + kCloudCallTimeout;
  return { StartHosts{ .mToken = aPurchase.mRecord.mToken, .mCount = aPurchase.mRecord.mCount } };
}

PurchaseEffects
BeginPurchase(PurchaseState& aPurchase, const PurchaseTick& aTick, Instant aNow)
{
  const int missing = aTick.mDesiredHosts - aPurchase.mRecord.mBought;
  if (missing <= 0) {
    return {};
  }
  return BeginWrite(
    aPurchase,
    { .mToken = aTick.mUnusedToken, .mCount = missing, .mBought = aPurchase.mRecord.mBought },
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
      return BeginRead(aPurchase, aNow);
    case PurchasePhase::kReading:
    case PurchasePhase::kWriting:
      return HasPassed(aPurchase.mCallDeadline, aNow) ? BeginRead(aPurchase, aNow)
                                                      : PurchaseEffects{};
    case PurchasePhase::kReady:
      return aPurchase.mRecord.mToken != 0 ? BeginCall(aPurchase, aNow)
                                           : BeginPurchase(aPurchase, aTick, aNow);
    case PurchasePhase::kCalling:
      return HasPassed(aPurchase.mCallDeadline, aNow) ? BeginCall(aPurchase, aNow)
                                                      : PurchaseEffects{};
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
On(PurchaseState& aPurchase, const PurchaseCallFailed&, Instant)
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
    // Keeps the token: a former holder may still call the cloud API with it and get hosts.
    aPurchase.mRetryNotBefore = aNow + kRefusalDelay;
    aPurchase.mPhase = PurchasePhase::kReady;
    return {};
  }
  return BeginWrite(aPurchase, { .mBought = aPurchase.mRecord.mBought + aEvent.mCount }, aNow);
}

} // namespace

PurchaseEffects
Step(PurchaseState& aPurchase, const PurchaseEvent& aEvent, Instant aNow)
{
  return std::visit([&aPurchase, aNow](const auto& aKind) { return On(aPurchase, aKind, aNow); },
                    aEvent);
}

} // namespace trefoil
