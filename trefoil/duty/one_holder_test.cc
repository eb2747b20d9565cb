// Property: two hosts never act for a service at the same time, even if the backend servers
// ignore fencing numbers.
#include "trefoil/duty/duty.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

namespace trefoil {
namespace {

const ServiceId kService{ "rules" };
constexpr int kHosts = 3;
constexpr std::int64_t kTickMilliseconds = 10;
constexpr std::int64_t kRunMilliseconds = 40'000;
// Hosts' clocks are up to this much slower than the store's clock.
constexpr std::int64_t kMaxDriftPermille = 30;

enum class FaultKind
{
  kFreeze,
  kStoreOutage,
  // Calls take effect, but their replies are lost.
  kRepliesLost,
  // Claims take effect seconds later, and their replies are lost.
  kClaimsLate,
};

struct InjectedFault
{
  FaultKind mKind = FaultKind::kFreeze;
  int mHost = 0;
  std::int64_t mFrom = 0;
  std::int64_t mUntil = 0;
};

struct Action
{
  int mHost = 0;
  std::uint64_t mFencing = 0;
  std::int64_t mFrom = 0;
  std::int64_t mUntil = 0;
};

// A model of the store with its leases and one claim.
struct ModelStore
{
  std::map<std::uint64_t, std::int64_t> mLeaseEnds;
  std::uint64_t mRevision = 0;
  HolderRecord mClaim;
  std::uint64_t mClaimRevision = 0;
  std::uint64_t mClaimLease = 0;
};

struct StoreReply
{
  int mHost = 0;
  std::int64_t mDeliverAt = 0;
  DutyEvent mEvent;
};

struct LateClaim
{
  std::int64_t mWriteAt = 0;
  WriteDutyClaim mClaim;
};

struct DutySimulation
{
  std::vector<InjectedFault> mFaults;
  std::vector<std::int64_t> mDriftPermille;
  ModelStore mStore;
  std::vector<DutyState> mHosts;
  std::vector<StoreReply> mReplies;
  std::vector<LateClaim> mLateClaims;
  std::vector<Action> mActions;
  std::uint64_t mRandomState = 1;
  std::int64_t mTime = 0;
  bool mDelaysActions = false;
};

bool
IsFaultActive(const DutySimulation& aSimulation, FaultKind aKind, int aHost)
{
  return std::ranges::any_of(aSimulation.mFaults, [&](const InjectedFault& aFault) {
    return aFault.mKind == aKind && (aFault.mHost == aHost || aKind == FaultKind::kStoreOutage) &&
           aSimulation.mTime >= aFault.mFrom && aSimulation.mTime < aFault.mUntil;
  });
}

Instant
ClockOf(const DutySimulation& aSimulation, int aHost)
{
  const std::int64_t lag =
    aSimulation.mTime * aSimulation.mDriftPermille[static_cast<std::size_t>(aHost)] / 1000;
  return Instant{} + Milliseconds{ aSimulation.mTime - lag };
}

void
ExpireLeases(DutySimulation& aSimulation)
{
  ModelStore& store = aSimulation.mStore;
  std::erase_if(store.mLeaseEnds,
                [&](const auto& aLease) { return aSimulation.mTime >= aLease.second; });
  if (store.mClaimRevision != 0 && !store.mLeaseEnds.contains(store.mClaimLease)) {
    store.mClaimRevision = 0;
    ++store.mRevision;
  }
}

DutyEvent
HandleCall(DutySimulation& aSimulation, const GrantLease& aCall)
{
  const std::uint64_t lease = ++aSimulation.mStore.mRevision;
  aSimulation.mStore.mLeaseEnds[lease] = aSimulation.mTime + kHostLeaseDuration.count();
  return LeaseCallSucceeded{ .mCallNumber = aCall.mCallNumber, .mLease = lease };
}

DutyEvent
HandleCall(DutySimulation& aSimulation, const RenewLease& aCall)
{
  const auto found = aSimulation.mStore.mLeaseEnds.find(aCall.mLease);
  if (found == aSimulation.mStore.mLeaseEnds.end()) {
    return LeaseLost{ .mLease = aCall.mLease };
  }
  found->second = aSimulation.mTime + kHostLeaseDuration.count();
  return LeaseCallSucceeded{ .mCallNumber = aCall.mCallNumber, .mLease = aCall.mLease };
}

DutyEvent
HandleCall(DutySimulation& aSimulation, const EndLease& aCall)
{
  aSimulation.mStore.mLeaseEnds.erase(aCall.mLease);
  return DutyTimerFired{};
}

DutyEvent
HandleCall(DutySimulation& aSimulation, const WriteDutyClaim& aCall)
{
  ModelStore& store = aSimulation.mStore;
  if (store.mClaimRevision == 0 && store.mLeaseEnds.contains(aCall.mLease)) {
    store.mClaim = aCall.mRecord;
    store.mClaimLease = aCall.mLease;
    store.mClaimRevision = ++store.mRevision;
  }
  const bool own = store.mClaimRevision != 0 && store.mClaim.mNonce == aCall.mRecord.mNonce;
  const DutyClaimResult failureResult =
    store.mClaimRevision == 0 ? DutyClaimResult::kUnknown : DutyClaimResult::kTaken;
  return DutyClaimCompleted{ .mService = kService,
                             .mCallNumber = aCall.mCallNumber,
                             .mResult = own ? DutyClaimResult::kWritten : failureResult,
                             .mRecord = store.mClaim,
                             .mRevision = store.mClaimRevision };
}

DutyEvent
HandleCall(DutySimulation& aSimulation, const ReadDutyClaim& aCall)
{
  const ModelStore& store = aSimulation.mStore;
  return DutyClaimCompleted{ .mService = kService,
                             .mCallNumber = aCall.mCallNumber,
                             .mResult = store.mClaimRevision == 0 ? DutyClaimResult::kFree
                                                                  : DutyClaimResult::kTaken,
                             .mRecord = store.mClaim,
                             .mRevision = store.mClaimRevision };
}

DutyEvent
FailureOf(const DutyEffect& aCall)
{
  if (const auto* grant = std::get_if<GrantLease>(&aCall)) {
    return LeaseCallFailed{ .mCallNumber = grant->mCallNumber };
  }
  if (const auto* renew = std::get_if<RenewLease>(&aCall)) {
    return LeaseCallFailed{ .mCallNumber = renew->mCallNumber };
  }
  if (const auto* write = std::get_if<WriteDutyClaim>(&aCall)) {
    return DutyClaimCompleted{ .mService = kService, .mCallNumber = write->mCallNumber };
  }
  if (const auto* read = std::get_if<ReadDutyClaim>(&aCall)) {
    return DutyClaimCompleted{ .mService = kService, .mCallNumber = read->mCallNumber };
  }
  return DutyTimerFired{};
}

void
ExecuteEffects(DutySimulation& aSimulation, int aHost, const DutyEffects& aEffects)
{
  constexpr std::uint64_t kMaxDelay = 1'400;
  for (const DutyEffect& call : aEffects) {
    const auto delay = static_cast<std::int64_t>(NextRandom(aSimulation.mRandomState) % kMaxDelay);
    DutyEvent reply = FailureOf(call);
    const auto* claim = std::get_if<WriteDutyClaim>(&call);
    if (claim != nullptr && IsFaultActive(aSimulation, FaultKind::kClaimsLate, aHost)) {
      constexpr std::uint64_t kMaxLateness = 6'000;
      const auto lateness =
        static_cast<std::int64_t>(NextRandom(aSimulation.mRandomState) % kMaxLateness);
      aSimulation.mLateClaims.push_back(
        { .mWriteAt = aSimulation.mTime + lateness, .mClaim = *claim });
    } else if (!IsFaultActive(aSimulation, FaultKind::kStoreOutage, aHost)) {
      DutyEvent handled = std::visit(
        [&aSimulation](const auto& aKind) { return HandleCall(aSimulation, aKind); }, call);
      if (!IsFaultActive(aSimulation, FaultKind::kRepliesLost, aHost)) {
        reply = std::move(handled);
      }
    }
    aSimulation.mReplies.push_back(
      { .mHost = aHost, .mDeliverAt = aSimulation.mTime + delay, .mEvent = std::move(reply) });
  }
}

void
ActIfAllowed(DutySimulation& aSimulation, int aHost)
{
  const DutyState& duties = aSimulation.mHosts[static_cast<std::size_t>(aHost)];
  if (!MayAct(duties, kService, ClockOf(aSimulation, aHost), kMaxOrderDuration)) {
    return;
  }
  // The thread may be suspended between the check and the action.
  const bool isDelayed =
    aSimulation.mDelaysActions && NextRandom(aSimulation.mRandomState) % 2 == 0;
  const std::int64_t from = aSimulation.mTime + (isDelayed ? kMaxOrderDuration.count() : 0);
  aSimulation.mActions.push_back({ .mHost = aHost,
                                   .mFencing = FencingNumber(duties, kService),
                                   .mFrom = from,
                                   .mUntil = from + kMaxOrderDuration.count() });
}

void
RunHost(DutySimulation& aSimulation, int aHost)
{
  if (IsFaultActive(aSimulation, FaultKind::kFreeze, aHost)) {
    return;
  }
  DutyState& duties = aSimulation.mHosts[static_cast<std::size_t>(aHost)];
  // A host that was frozen may act before it processes the replies that arrived in the
  // meantime.
  ActIfAllowed(aSimulation, aHost);
  const Instant now = ClockOf(aSimulation, aHost);
  std::vector<StoreReply> arrived;
  std::erase_if(aSimulation.mReplies, [&](const StoreReply& aReply) {
    const bool isDue = aReply.mHost == aHost && aSimulation.mTime >= aReply.mDeliverAt;
    if (isDue) {
      arrived.push_back(aReply);
    }
    return isDue;
  });
  for (const StoreReply& reply : arrived) {
    ExecuteEffects(aSimulation, aHost, Step(duties, reply.mEvent, now));
  }
  ExecuteEffects(aSimulation, aHost, Step(duties, DutyTimerFired{}, now));
}

// Runs the simulation to its end and returns its final state.
DutySimulation
Run(DutySimulation aSimulation)
{
  for (int host = 0; host < kHosts; ++host) {
    aSimulation.mHosts.push_back(MakeDutyState({ .mHost = HostId{ "h" + std::to_string(host) },
                                                 .mRandomSeed = aSimulation.mRandomState + 7 },
                                               Instant{}));
    const auto campaign = DutyCampaignStarted{ .mService = kService, .mRank = host };
    ExecuteEffects(aSimulation, host, Step(aSimulation.mHosts.back(), campaign, Instant{}));
  }
  for (; aSimulation.mTime < kRunMilliseconds; aSimulation.mTime += kTickMilliseconds) {
    ExpireLeases(aSimulation);
    std::erase_if(aSimulation.mLateClaims, [&aSimulation](const LateClaim& aClaim) {
      const bool isDue = aSimulation.mTime >= aClaim.mWriteAt;
      if (isDue) {
        HandleCall(aSimulation, aClaim.mClaim);
      }
      return isDue;
    });
    for (int host = 0; host < kHosts; ++host) {
      RunHost(aSimulation, host);
    }
  }
  return aSimulation;
}

// Returns, in order of the fencing numbers, the interval from the start of the first action to
// the end of the last action under each number.
std::vector<Action>
HolderIntervals(const std::vector<Action>& aActions)
{
  std::map<std::uint64_t, Action> byFencing;
  for (const Action& action : aActions) {
    Action& interval = byFencing.try_emplace(action.mFencing, action).first->second;
    interval.mFrom = std::min(interval.mFrom, action.mFrom);
    interval.mUntil = std::max(interval.mUntil, action.mUntil);
  }
  std::vector<Action> intervals;
  for (const auto& [fencing, interval] : byFencing) {
    intervals.push_back(interval);
  }
  return intervals;
}

rc::Gen<InjectedFault>
ArbitraryFault()
{
  return rc::gen::map(
    rc::gen::tuple(rc::gen::element(FaultKind::kFreeze,
                                    FaultKind::kStoreOutage,
                                    FaultKind::kRepliesLost,
                                    FaultKind::kClaimsLate),
                   rc::gen::inRange(0, kHosts),
                   rc::gen::inRange<std::int64_t>(0, kRunMilliseconds),
                   rc::gen::inRange<std::int64_t>(100, 15'000)),
    [](const auto& aParts) {
      const auto& [kind, host, from, length] = aParts;
      return InjectedFault{ .mKind = kind, .mHost = host, .mFrom = from, .mUntil = from + length };
    });
}

TEST_CASE("At most one host at a time acts for a service")
{
  SECTION("under any combination of frozen hosts, clock drift, lost replies and store outages")
  {
    std::size_t actions = 0;
    std::size_t holderChanges = 0;
    const bool holds = rc::check([&actions, &holderChanges] {
      DutySimulation start;
      start.mRandomState = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
      start.mDelaysActions = *rc::gen::arbitrary<bool>();
      start.mDriftPermille = *rc::gen::container<std::vector<std::int64_t>>(
        kHosts, rc::gen::inRange<std::int64_t>(0, kMaxDriftPermille));
      start.mFaults = *rc::gen::container<std::vector<InjectedFault>>(ArbitraryFault());
      const DutySimulation end = Run(start);
      const auto intervals = HolderIntervals(end.mActions);
      for (std::size_t i = 1; i < intervals.size(); ++i) {
        RC_ASSERT(intervals[i - 1].mUntil <= intervals[i].mFrom);
      }
      holderChanges += intervals.empty() ? 0 : intervals.size() - 1;
      actions += end.mActions.size();
    });
    CHECK(holds);
    CHECK(actions > 1000);
    CHECK(holderChanges > 10);
  }
  // Guards against a claim that its own host takes for another's and renews for ever, so that
  // nobody holds the duty (EXPOSURE).
  SECTION("and one acts again some time after claims were written late")
  {
    const bool holds = rc::check([] {
      constexpr std::int64_t kFaultsEndAt = 15'000;
      DutySimulation start;
      start.mRandomState = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
      start.mDriftPermille = { 0, 0, 0 };
      for (int host = 0; host < kHosts; ++host) {
        start.mFaults.push_back({ .mKind = FaultKind::kClaimsLate,
                                  .mHost = host,
                                  .mFrom = 0,
                                  .mUntil = *rc::gen::inRange<std::int64_t>(0, kFaultsEndAt) });
      }
      const DutySimulation end = Run(start);
      RC_ASSERT(!end.mActions.empty());
      RC_ASSERT(end.mActions.back().mUntil >= kRunMilliseconds);
    });
    CHECK(holds);
  }
  SECTION("and another host takes over the duty when its holder freezes permanently")
  {
    DutySimulation start;
    start.mDriftPermille = { 0, 0, 0 };
    start.mFaults = {
      { .mKind = FaultKind::kFreeze, .mHost = 0, .mFrom = 5'000, .mUntil = kRunMilliseconds }
    };
    const DutySimulation end = Run(start);
    REQUIRE_FALSE(end.mActions.empty());
    CHECK(end.mActions.front().mHost == 0);
    CHECK(end.mActions.back().mHost != 0);
  }
}

} // namespace
} // namespace trefoil
