// Properties of a move under lost, late and repeated messages, frozen hosts, changes of the
// holder during a write and outages of the store.
#include "trefoil/duty/store_retry_budget.h"
#include "trefoil/rollout/move_duty.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace trefoil {
namespace {

const ServiceId kService{ "rules" };
const VersionId kOldVersion{ "v1" };
const VersionId kNewVersion{ "v2" };
const AvailabilityZoneId kZone{ "zone-a" };
constexpr std::size_t kHosts = 3;
constexpr std::size_t kHolders = 2;
constexpr std::int64_t kTickMilliseconds = 500;
constexpr std::int64_t kMoveMilliseconds = 200'000;
constexpr std::int64_t kRunMilliseconds = 260'000;
constexpr std::uint32_t kRequestsPerTick = 100;

enum class FaultKind
{
  kFreeze,
  kStoreOutage,
  kRepliesLost,
  kVersionFails,
  kHostStops,
};

struct InjectedFault
{
  FaultKind mKind = FaultKind::kFreeze;
  std::size_t mHost = 0;
  std::int64_t mFrom = 0;
  std::int64_t mUntil = 0;
};

struct Host
{
  ServiceShares mShares;
  std::uint64_t mSequence = 0;
  // The number of the newest permit that the host applied, and of the newest stop that it
  // received.
  std::uint64_t mNewestPermit = 0;
  std::uint64_t mNewestStop = 0;
};

// A permit in transit, or in the socket buffer of a frozen host.
struct PermitInFlight
{
  std::size_t mHost = 0;
  std::int64_t mDeliverAt = 0;
  Instant mRequestedAt;
  MovePermit mPermit;
};

struct WriteInFlight
{
  std::size_t mHolder = 0;
  std::int64_t mDeliverAt = 0;
  WriteMoveRecord mWrite;
};

struct MoveSimulation
{
  std::vector<InjectedFault> mFaults;
  std::uint64_t mRandomState = 1;
  std::int64_t mTime = 0;
  std::shared_ptr<ServiceDocument> mDocument = std::make_shared<ServiceDocument>();
  std::vector<MoveDuty> mHolders;
  std::vector<Host> mHosts{ kHosts };
  MoveRecord mStored;
  std::uint64_t mRevision = 0;
  std::vector<PermitInFlight> mPermits;
  std::vector<WriteInFlight> mWrites;
  bool mRoseWithoutPermit = false;
  bool mRoseUnderSupersededPermit = false;
  bool mEverMoved = false;
  bool mSentAfterEnd = false;
};

Instant
ClockOf(const MoveSimulation& aSimulation)
{
  return Instant{} + Milliseconds{ aSimulation.mTime };
}

WallTime
WallClockOf(const MoveSimulation& aSimulation)
{
  return FromUnixMilliseconds(aSimulation.mTime);
}

bool
IsFaultActive(const MoveSimulation& aSimulation, FaultKind aKind, std::size_t aHost)
{
  return std::ranges::any_of(aSimulation.mFaults, [&](const InjectedFault& aFault) {
    return aFault.mKind == aKind && aFault.mHost == aHost && aSimulation.mTime >= aFault.mFrom &&
           aSimulation.mTime < aFault.mUntil;
  });
}

bool
IsStoreUnavailable(const MoveSimulation& aSimulation)
{
  return IsFaultActive(aSimulation, FaultKind::kStoreOutage, 0);
}

std::int64_t
RandomBelow(MoveSimulation& aSimulation, std::uint64_t aMax)
{
  return static_cast<std::int64_t>(NextRandom(aSimulation.mRandomState) % aMax);
}

std::size_t
CurrentHolder(const MoveSimulation& aSimulation)
{
  return static_cast<std::size_t>(aSimulation.mTime / 45'000) % kHolders;
}

void
ApplyWrites(MoveSimulation& aSimulation)
{
  std::erase_if(aSimulation.mWrites, [&aSimulation](const WriteInFlight& aWrite) {
    if (aWrite.mDeliverAt > aSimulation.mTime) {
      return false;
    }
    const bool isApplied =
      !IsStoreUnavailable(aSimulation) && aWrite.mWrite.mExpected == aSimulation.mRevision;
    if (isApplied) {
      aSimulation.mStored = aWrite.mWrite.mRecord;
      ++aSimulation.mRevision;
    }
    MoveEvent reply = MoveRecordInvalidated{};
    if (isApplied && !IsFaultActive(aSimulation, FaultKind::kRepliesLost, 0)) {
      reply =
        MoveRecordWritten{ .mRecord = aSimulation.mStored, .mRevision = aSimulation.mRevision };
    }
    Step(aSimulation.mHolders[aWrite.mHolder], reply, ClockOf(aSimulation));
    return true;
  });
}

void
RunHolder(MoveSimulation& aSimulation, std::size_t aHolder)
{
  MoveDuty& duty = aSimulation.mHolders[aHolder];
  const auto effects = Step(duty,
                            MoveTick{ .mDocument = aSimulation.mDocument,
                                      .mDocumentRevision = 1,
                                      .mServers = {},
                                      .mWallNow = WallClockOf(aSimulation) },
                            ClockOf(aSimulation));
  for (const MoveEffect& effect : effects) {
    if (const auto* write = std::get_if<WriteMoveRecord>(&effect)) {
      // A write may arrive long after its sender's call has timed out.
      const std::int64_t delay =
        RandomBelow(aSimulation, 8) == 0 ? RandomBelow(aSimulation, 60'000) : 0;
      aSimulation.mWrites.push_back(
        { .mHolder = aHolder, .mDeliverAt = aSimulation.mTime + delay, .mWrite = *write });
    } else if (IsStoreUnavailable(aSimulation)) {
      Step(duty, MoveRecordInvalidated{}, ClockOf(aSimulation));
    } else {
      Step(duty,
           MoveRecordRead{ .mRecord = aSimulation.mStored, .mRevision = aSimulation.mRevision },
           ClockOf(aSimulation));
    }
  }
}

ReportLine
LineOf(const MoveSimulation& aSimulation, const VersionId& aVersion, int aPermille)
{
  const bool fails =
    aVersion == kNewVersion && IsFaultActive(aSimulation, FaultKind::kVersionFails, 0);
  const auto requests =
    static_cast<std::uint32_t>(kRequestsPerTick * aPermille / kWholePermille) + 1;
  return { .mZone = kZone,
           .mRoute = "completion",
           .mVersion = aVersion,
           .mRequestStats = { .mRequests = requests, .mErrors = fails ? requests : 0 } };
}

// Sends a host's report to the holder, which replies with a permit.
void
SendReport(MoveSimulation& aSimulation, std::size_t aHost)
{
  Host& host = aSimulation.mHosts[aHost];
  MoveDuty& duty = aSimulation.mHolders[CurrentHolder(aSimulation)];
  VersionHealthReport report{ .mHost = HostId{ std::to_string(aHost) },
                              .mSequence = ++host.mSequence };
  for (const VersionShare& share : TrafficShares(host.mShares)) {
    report.mLines.push_back(LineOf(aSimulation, share.mVersion, share.mPermille));
  }
  Step(duty, VersionHealthReportReceived{ .mReport = report }, ClockOf(aSimulation));
  if (host.mShares.mStoppedNumber != 0) {
    Step(duty, VersionStopReceived{ .mNumber = host.mShares.mStoppedNumber }, ClockOf(aSimulation));
  }
  const MovePermit permit = MakePermit(duty, WallClockOf(aSimulation));
  for (int copy = 0; copy < 2; ++copy) {
    const std::int64_t delay =
      RandomBelow(aSimulation, 4) == 0 ? RandomBelow(aSimulation, 30'000) : 0;
    if (RandomBelow(aSimulation, 5) != 0) {
      aSimulation.mPermits.push_back({ .mHost = aHost,
                                       .mDeliverAt = aSimulation.mTime + delay,
                                       .mRequestedAt = ClockOf(aSimulation),
                                       .mPermit = permit });
    }
  }
}

// Records whether a share rose without a valid permit or under a superseded one.
void
CheckShareRise(MoveSimulation& aSimulation,
               int aBefore,
               const Host& aHost,
               const PermitInFlight* aPermit)
{
  const int after = aHost.mShares.mPermille;
  if (after <= aBefore) {
    return;
  }
  const bool isPermitValid =
    aPermit != nullptr && ClockOf(aSimulation) < aPermit->mRequestedAt + kPermitDuration;
  aSimulation.mRoseWithoutPermit = aSimulation.mRoseWithoutPermit || !isPermitValid;
  const std::uint64_t number = aPermit == nullptr ? 0 : aPermit->mPermit.mNumber;
  const bool isSuperseded = number < aHost.mNewestPermit || number <= aHost.mNewestStop;
  aSimulation.mRoseUnderSupersededPermit = aSimulation.mRoseUnderSupersededPermit || isSuperseded;
}

// Stops the version on all hosts, as if one host broadcast the stop.
void
BroadcastStop(MoveSimulation& aSimulation, std::uint64_t aNumber)
{
  for (Host& host : aSimulation.mHosts) {
    if (StopVersion(host.mShares, kNewVersion, aNumber)) {
      host.mNewestStop = aNumber;
    }
  }
}

void
RunHost(MoveSimulation& aSimulation, std::size_t aHost)
{
  if (IsFaultActive(aSimulation, FaultKind::kFreeze, aHost)) {
    return;
  }
  Host& host = aSimulation.mHosts[aHost];
  std::erase_if(aSimulation.mPermits, [&](const PermitInFlight& aPermit) {
    if (aPermit.mHost != aHost || aPermit.mDeliverAt > aSimulation.mTime) {
      return false;
    }
    const int before = host.mShares.mPermille;
    ApplyPermit(host.mShares, aPermit.mPermit, aPermit.mRequestedAt, ClockOf(aSimulation));
    CheckShareRise(aSimulation, before, host, &aPermit);
    if (ClockOf(aSimulation) < aPermit.mRequestedAt + kPermitDuration) {
      host.mNewestPermit = std::max(host.mNewestPermit, aPermit.mPermit.mNumber);
    }
    return true;
  });
  const int before = host.mShares.mPermille;
  ExpireMove(host.mShares, ClockOf(aSimulation));
  if (IsFaultActive(aSimulation, FaultKind::kHostStops, aHost)) {
    BroadcastStop(aSimulation, host.mShares.mNumber);
  }
  CheckShareRise(aSimulation, before, host, nullptr);
  SendReport(aSimulation, aHost);
  const bool isMoveOver = aSimulation.mTime > kMoveMilliseconds + kTickMilliseconds;
  aSimulation.mSentAfterEnd =
    aSimulation.mSentAfterEnd || (isMoveOver && host.mShares.mPermille > 0);
  aSimulation.mEverMoved = aSimulation.mEverMoved || host.mShares.mPermille > 0;
}

MoveSimulation
Run(MoveSimulation aSimulation)
{
  aSimulation.mDocument->mService = kService;
  aSimulation.mDocument->mVersions = {
    { .mVersion = kOldVersion, .mSharePercent = 0 },
    { .mVersion = kNewVersion,
      .mSharePercent = 100,
      .mMoveBy = FromUnixMilliseconds(kMoveMilliseconds) },
  };
  aSimulation.mStored.mSettled = { { .mVersion = kOldVersion, .mPermille = kWholePermille } };
  aSimulation.mRevision = 1;
  aSimulation.mHolders.resize(kHolders, MakeMoveDuty(kService, ClockOf(aSimulation)));
  for (; aSimulation.mTime < kRunMilliseconds; aSimulation.mTime += kTickMilliseconds) {
    ApplyWrites(aSimulation);
    // A former holder that was frozen may continue as if it still held the duty.
    for (std::size_t holder = 0; holder < kHolders; ++holder) {
      if (holder == CurrentHolder(aSimulation) || RandomBelow(aSimulation, 10) == 0) {
        RunHolder(aSimulation, holder);
      }
    }
    for (std::size_t host = 0; host < kHosts; ++host) {
      RunHost(aSimulation, host);
    }
  }
  return aSimulation;
}

rc::Gen<InjectedFault>
ArbitraryFault()
{
  return rc::gen::map(
    rc::gen::tuple(rc::gen::element(FaultKind::kFreeze,
                                    FaultKind::kStoreOutage,
                                    FaultKind::kRepliesLost,
                                    FaultKind::kVersionFails,
                                    FaultKind::kHostStops),
                   rc::gen::inRange<std::size_t>(0, kHosts),
                   rc::gen::inRange<std::int64_t>(0, kRunMilliseconds),
                   rc::gen::inRange<std::int64_t>(500, 40'000)),
    [](const auto& aParts) {
      const auto& [kind, host, from, length] = aParts;
      return InjectedFault{ .mKind = kind, .mHost = host, .mFrom = from, .mUntil = from + length };
    });
}

TEST_CASE("A version move meets its guarantees")
{
  SECTION("a good version is moved before the end time")
  {
    const MoveSimulation end = Run({});
    CHECK(end.mStored.mPhase == MovePhase::kDone);
    CHECK(end.mStored.mSettled.front().mVersion == kNewVersion);
  }
  SECTION("a failing version is withdrawn, and the record has the reason and the statistics")
  {
    MoveSimulation start;
    start.mFaults = {
      { .mKind = FaultKind::kVersionFails, .mFrom = 60'000, .mUntil = kRunMilliseconds }
    };
    const MoveSimulation end = Run(start);
    CHECK(end.mStored.mPhase == MovePhase::kWithdrawn);
    CHECK(end.mStored.mReason == MoveReason::kErrors);
    CHECK(end.mStored.mStatistics.mNewErrors > 0);
    SECTION("and an unchanged entry in the document does not start the move again")
    {
      CHECK_FALSE(ApplyDocument(end.mStored, *end.mDocument, 2, WallClockOf(end)).has_value());
      SECTION("but a changed entry does")
      {
        end.mDocument->mVersions.back().mMoveBy = FromUnixMilliseconds(900'000);
        const auto again = ApplyDocument(end.mStored, *end.mDocument, 3, WallClockOf(end));
        REQUIRE(again.has_value());
        CHECK(again->mPhase == MovePhase::kMoving);
      }
    }
  }
  SECTION("under any combination of lost and late messages, frozen hosts and store outages")
  {
    int moved = 0;
    const bool holds = rc::check([&moved] {
      MoveSimulation start;
      start.mRandomState = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
      start.mFaults = *rc::gen::container<std::vector<InjectedFault>>(ArbitraryFault());
      const MoveSimulation end = Run(start);
      RC_ASSERT(!end.mRoseWithoutPermit);
      RC_ASSERT(!end.mRoseUnderSupersededPermit);
      RC_ASSERT(!end.mSentAfterEnd);
      // The stored record must also show that the move has ended, unless a fault lasted past
      // its end.
      const bool allFaultsEnded = std::ranges::none_of(
        end.mFaults, [](const InjectedFault& aFault) { return aFault.mUntil > kMoveMilliseconds; });
      RC_ASSERT(!allFaultsEnded || end.mStored.mPhase != MovePhase::kMoving);
      moved += end.mEverMoved ? 1 : 0;
    });
    CHECK(holds);
    CHECK(moved > 50);
  }
}

TEST_CASE("A move record survives a round trip through its stored form")
{
  MoveRecord record{ .mPhase = MovePhase::kWithdrawn,
                     .mVersion = kNewVersion,
                     .mSpecDigest = ~std::uint64_t{ 0 },
                     .mSharePermille = 10,
                     .mEndsAt = FromUnixMilliseconds(kMoveMilliseconds),
                     .mReason = MoveReason::kErrors,
                     .mSettled = { { .mVersion = kOldVersion, .mPermille = 1000 } },
                     .mWithdrawn = { { .mVersion = kNewVersion, .mSpecDigest = 9 } },
                     .mEnded = {
                       { .mVersion = kOldVersion, .mEndedAt = FromUnixMilliseconds(7) } } };
  const auto parsed = ParseMoveRecord(RenderMoveRecord(record));
  REQUIRE(parsed.ok());
  CHECK(parsed->mPhase == record.mPhase);
  CHECK(parsed->mSpecDigest == record.mSpecDigest);
  CHECK(parsed->mEndsAt == record.mEndsAt);
  CHECK(parsed->mReason == record.mReason);
  CHECK(parsed->mSettled == record.mSettled);
  CHECK(parsed->mWithdrawn.front().mSpecDigest == 9);
  CHECK(parsed->mEnded.front().mEndedAt == FromUnixMilliseconds(7));
  CHECK_FALSE(ParseMoveRecord("{}").ok());
}

} // namespace
} // namespace trefoil
