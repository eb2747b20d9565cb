// The property that carries the package: two hosts never act for a service at the same time, also
// where the backend servers ignore fencing numbers.
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
// Clocks run slower than the store's by so much in a thousand.
constexpr std::int64_t kMaxDrift = 30;

enum class Disturbance
{
  kFreeze,
  kStoreOutage,
  // Calls take effect and their answers are lost.
  kAnswersLost,
};

struct Trouble
{
  Disturbance mKind = Disturbance::kFreeze;
  int mHost = 0;
  std::int64_t mFrom = 0;
  std::int64_t mUntil = 0;
};

struct Act
{
  int mHost = 0;
  std::uint64_t mFencing = 0;
  std::int64_t mFrom = 0;
  std::int64_t mUntil = 0;
};

// The store's side: leases and one claim.
struct ModelStore
{
  std::map<std::uint64_t, std::int64_t> mLeaseEnds;
  std::uint64_t mRevision = 0;
  HolderRecord mClaim;
  std::uint64_t mClaimRevision = 0;
  std::uint64_t mClaimLease = 0;
};

struct Answer
{
  int mHost = 0;
  std::int64_t mAt = 0;
  DutyEvent mEvent;
};

struct World
{
  std::vector<Trouble> mTroubles;
  std::vector<std::int64_t> mDrift;
  ModelStore mStore;
  std::vector<DutyState> mHosts;
  std::vector<Answer> mAnswers;
  std::vector<Act> mActs;
  std::uint64_t mRandom = 1;
  std::int64_t mTime = 0;
  bool mSlowActs = false;
};

bool
IsTroubled(const World& aWorld, Disturbance aKind, int aHost)
{
  return std::ranges::any_of(aWorld.mTroubles, [&](const Trouble& aTrouble) {
    return aTrouble.mKind == aKind &&
           (aTrouble.mHost == aHost || aKind == Disturbance::kStoreOutage) &&
           aWorld.mTime >= aTrouble.mFrom && aWorld.mTime < aTrouble.mUntil;
  });
}

Instant
ClockOf(const World& aWorld, int aHost)
{
  const std::int64_t slow = aWorld.mTime * aWorld.mDrift[static_cast<std::size_t>(aHost)] / 1000;
  return Instant{} + Milliseconds{ aWorld.mTime - slow };
}

void
ExpireLeases(World& aWorld)
{
  ModelStore& store = aWorld.mStore;
  std::erase_if(store.mLeaseEnds,
                [&](const auto& aLease) { return aWorld.mTime >= aLease.second; });
  if (store.mClaimRevision != 0 && !store.mLeaseEnds.contains(store.mClaimLease)) {
    store.mClaimRevision = 0;
    ++store.mRevision;
  }
}

DutyEvent
Serve(World& aWorld, const GrantLease& aCall)
{
  const std::uint64_t lease = ++aWorld.mStore.mRevision;
  aWorld.mStore.mLeaseEnds[lease] = aWorld.mTime + kLeaseTime.count();
  return LeaseAnswered{ .mCallNumber = aCall.mCallNumber, .mLease = lease };
}

DutyEvent
Serve(World& aWorld, const RenewLease& aCall)
{
  const auto found = aWorld.mStore.mLeaseEnds.find(aCall.mLease);
  if (found == aWorld.mStore.mLeaseEnds.end()) {
    return LeaseLost{ .mLease = aCall.mLease };
  }
  found->second = aWorld.mTime + kLeaseTime.count();
  return LeaseAnswered{ .mCallNumber = aCall.mCallNumber, .mLease = aCall.mLease };
}

DutyEvent
Serve(World& aWorld, const EndLease& aCall)
{
  aWorld.mStore.mLeaseEnds.erase(aCall.mLease);
  return DutyTimer{};
}

DutyEvent
Serve(World& aWorld, const WriteClaim& aCall)
{
  ModelStore& store = aWorld.mStore;
  if (store.mClaimRevision == 0 && store.mLeaseEnds.contains(aCall.mLease)) {
    store.mClaim = aCall.mRecord;
    store.mClaimLease = aCall.mLease;
    store.mClaimRevision = ++store.mRevision;
  }
  const bool own = store.mClaimRevision != 0 && store.mClaim.mNonce == aCall.mRecord.mNonce;
  const ClaimResult other = store.mClaimRevision == 0 ? ClaimResult::kUnknown : ClaimResult::kTaken;
  return ClaimAnswered{ .mService = kService,
                        .mCallNumber = aCall.mCallNumber,
                        .mResult = own ? ClaimResult::kWritten : other,
                        .mRecord = store.mClaim,
                        .mRevision = store.mClaimRevision };
}

DutyEvent
Serve(World& aWorld, const ReadClaim& aCall)
{
  const ModelStore& store = aWorld.mStore;
  return ClaimAnswered{ .mService = kService,
                        .mCallNumber = aCall.mCallNumber,
                        .mResult =
                          store.mClaimRevision == 0 ? ClaimResult::kFree : ClaimResult::kTaken,
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
  if (const auto* write = std::get_if<WriteClaim>(&aCall)) {
    return ClaimAnswered{ .mService = kService, .mCallNumber = write->mCallNumber };
  }
  if (const auto* read = std::get_if<ReadClaim>(&aCall)) {
    return ClaimAnswered{ .mService = kService, .mCallNumber = read->mCallNumber };
  }
  return DutyTimer{};
}

void
CarryOut(World& aWorld, int aHost, const DutyEffects& aEffects)
{
  constexpr std::uint64_t kMaxDelay = 1'400;
  for (const DutyEffect& call : aEffects) {
    const auto delay = static_cast<std::int64_t>(NextRandom(aWorld.mRandom) % kMaxDelay);
    DutyEvent answer = FailureOf(call);
    if (!IsTroubled(aWorld, Disturbance::kStoreOutage, aHost)) {
      DutyEvent served =
        std::visit([&aWorld](const auto& aKind) { return Serve(aWorld, aKind); }, call);
      if (!IsTroubled(aWorld, Disturbance::kAnswersLost, aHost)) {
        answer = std::move(served);
      }
    }
    aWorld.mAnswers.push_back(
      { .mHost = aHost, .mAt = aWorld.mTime + delay, .mEvent = std::move(answer) });
  }
}

void
TryToAct(World& aWorld, int aHost)
{
  const DutyState& duties = aWorld.mHosts[static_cast<std::size_t>(aHost)];
  if (!MayAct(duties, kService, ClockOf(aWorld, aHost), kLongestOrder)) {
    return;
  }
  // The thread may stand still between the check and the act.
  const bool slow = aWorld.mSlowActs && NextRandom(aWorld.mRandom) % 2 == 0;
  const std::int64_t from = aWorld.mTime + (slow ? kLongestOrder.count() : 0);
  aWorld.mActs.push_back({ .mHost = aHost,
                           .mFencing = FencingOf(duties, kService),
                           .mFrom = from,
                           .mUntil = from + kLongestOrder.count() });
}

void
RunHost(World& aWorld, int aHost)
{
  if (IsTroubled(aWorld, Disturbance::kFreeze, aHost)) {
    return;
  }
  DutyState& duties = aWorld.mHosts[static_cast<std::size_t>(aHost)];
  // A host that thaws acts before it has read what arrived in the meantime.
  TryToAct(aWorld, aHost);
  const Instant now = ClockOf(aWorld, aHost);
  std::vector<Answer> arrived;
  std::erase_if(aWorld.mAnswers, [&](const Answer& aAnswer) {
    const bool due = aAnswer.mHost == aHost && aWorld.mTime >= aAnswer.mAt;
    if (due) {
      arrived.push_back(aAnswer);
    }
    return due;
  });
  for (const Answer& answer : arrived) {
    CarryOut(aWorld, aHost, Step(duties, answer.mEvent, now));
  }
  CarryOut(aWorld, aHost, Step(duties, DutyTimer{}, now));
}

// Runs the world to its end and returns it.
World
Run(World aWorld)
{
  for (int host = 0; host < kHosts; ++host) {
    aWorld.mHosts.push_back(MakeDutyState(
      { .mHost = HostId{ "h" + std::to_string(host) }, .mRandomSeed = aWorld.mRandom + 7 },
      Instant{}));
    const auto wanted = DutyWanted{ .mService = kService, .mRank = host };
    CarryOut(aWorld, host, Step(aWorld.mHosts.back(), wanted, Instant{}));
  }
  for (; aWorld.mTime < kRunMilliseconds; aWorld.mTime += kTickMilliseconds) {
    ExpireLeases(aWorld);
    for (int host = 0; host < kHosts; ++host) {
      RunHost(aWorld, host);
    }
  }
  return aWorld;
}

// Returns for each fencing number, in their order, the time from its first act's begin to its last
// act's end.
std::vector<Act>
TermsOf(const std::vector<Act>& aActs)
{
  std::map<std::uint64_t, Act> byFencing;
  for (const Act& act : aActs) {
    Act& term = byFencing.try_emplace(act.mFencing, act).first->second;
    term.mFrom = std::min(term.mFrom, act.mFrom);
    term.mUntil = std::max(term.mUntil, act.mUntil);
  }
  std::vector<Act> terms;
  for (const auto& [fencing, term] : byFencing) {
    terms.push_back(term);
  }
  return terms;
}

rc::Gen<Trouble>
Troubles()
{
  return rc::gen::map(
    rc::gen::tuple(
      rc::gen::element(Disturbance::kFreeze, Disturbance::kStoreOutage, Disturbance::kAnswersLost),
      rc::gen::inRange(0, kHosts),
      rc::gen::inRange<std::int64_t>(0, kRunMilliseconds),
      rc::gen::inRange<std::int64_t>(100, 15'000)),
    [](const auto& aParts) {
      const auto& [kind, host, from, length] = aParts;
      return Trouble{ .mKind = kind, .mHost = host, .mFrom = from, .mUntil = from + length };
    });
}

TEST_CASE("One host at a time acts for a service")
{
  SECTION("whatever freezes, lapses, is lost or is out")
  {
    std::size_t acts = 0;
    std::size_t changes = 0;
    const bool holds = rc::check([&acts, &changes] {
      World start;
      start.mRandom = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
      start.mSlowActs = *rc::gen::arbitrary<bool>();
      start.mDrift = *rc::gen::container<std::vector<std::int64_t>>(
        kHosts, rc::gen::inRange<std::int64_t>(0, kMaxDrift));
      start.mTroubles = *rc::gen::container<std::vector<Trouble>>(Troubles());
      const World end = Run(start);
      const auto terms = TermsOf(end.mActs);
      for (std::size_t i = 1; i < terms.size(); ++i) {
        RC_ASSERT(terms[i - 1].mUntil <= terms[i].mFrom);
      }
      changes += terms.empty() ? 0 : terms.size() - 1;
      acts += end.mActs.size();
    });
    CHECK(holds);
    CHECK(acts > 1000);
    CHECK(changes > 10);
  }
  SECTION("and the duty is taken over when its holder freezes for good")
  {
    World start;
    start.mDrift = { 0, 0, 0 };
    start.mTroubles = {
      { .mKind = Disturbance::kFreeze, .mHost = 0, .mFrom = 5'000, .mUntil = kRunMilliseconds }
    };
    const World end = Run(start);
    REQUIRE_FALSE(end.mActs.empty());
    CHECK(end.mActs.front().mHost == 0);
    CHECK(end.mActs.back().mHost != 0);
  }
}

} // namespace
} // namespace trefoil
