// The properties that carry the package, under lost, late and repeated messages, freezes of hosts,
// changes of holder in the middle of a write and outages of the store.
#include "trefoil/duty/retry_budget.h"
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

enum class Disturbance
{
  kFreeze,
  kStoreOutage,
  kAnswersLost,
  kVersionFails,
  kHostStops,
};

struct Trouble
{
  Disturbance mKind = Disturbance::kFreeze;
  std::size_t mHost = 0;
  std::int64_t mFrom = 0;
  std::int64_t mUntil = 0;
};

struct Host
{
  ServiceShares mShares;
  std::uint64_t mSequence = 0;
  // The newest permit that it took in, and the newest that it was told to stop.
  std::uint64_t mNewestPermit = 0;
  std::uint64_t mNewestStop = 0;
};

// A permit on its way, or in the socket of a host that is frozen.
struct PermitOnTheWay
{
  std::size_t mHost = 0;
  std::int64_t mAt = 0;
  Instant mAskedAt;
  MovePermit mPermit;
};

struct WriteOnTheWay
{
  std::size_t mHolder = 0;
  std::int64_t mAt = 0;
  WriteMoveRecord mWrite;
};

struct World
{
  std::vector<Trouble> mTroubles;
  std::uint64_t mRandom = 1;
  std::int64_t mTime = 0;
  std::shared_ptr<ServiceDocument> mDocument = std::make_shared<ServiceDocument>();
  std::vector<MoveDuty> mHolders;
  std::vector<Host> mHosts{ kHosts };
  MoveRecord mStored;
  std::uint64_t mRevision = 0;
  std::vector<PermitOnTheWay> mPermits;
  std::vector<WriteOnTheWay> mWrites;
  bool mRoseWithoutPermit = false;
  bool mWithdrawnRose = false;
  bool mEverMoved = false;
  bool mSharedAfterEnd = false;
};

Instant
ClockOf(const World& aWorld)
{
  return Instant{} + Milliseconds{ aWorld.mTime };
}

WallTime
WallOf(const World& aWorld)
{
  return FromUnixMilliseconds(aWorld.mTime);
}

bool
IsTroubled(const World& aWorld, Disturbance aKind, std::size_t aHost)
{
  return std::ranges::any_of(aWorld.mTroubles, [&](const Trouble& aTrouble) {
    return aTrouble.mKind == aKind && aTrouble.mHost == aHost && aWorld.mTime >= aTrouble.mFrom &&
           aWorld.mTime < aTrouble.mUntil;
  });
}

bool
IsStoreOut(const World& aWorld)
{
  return IsTroubled(aWorld, Disturbance::kStoreOutage, 0);
}

std::int64_t
Delay(World& aWorld, std::uint64_t aMax)
{
  return static_cast<std::int64_t>(NextRandom(aWorld.mRandom) % aMax);
}

std::size_t
HolderNow(const World& aWorld)
{
  return static_cast<std::size_t>(aWorld.mTime / 45'000) % kHolders;
}

void
ApplyWrites(World& aWorld)
{
  std::erase_if(aWorld.mWrites, [&aWorld](const WriteOnTheWay& aWrite) {
    if (aWrite.mAt > aWorld.mTime) {
      return false;
    }
    const bool taken = !IsStoreOut(aWorld) && aWrite.mWrite.mExpected == aWorld.mRevision;
    if (taken) {
      aWorld.mStored = aWrite.mWrite.mRecord;
      ++aWorld.mRevision;
    }
    MoveEvent answer = MoveRecordUnknown{};
    if (taken && !IsTroubled(aWorld, Disturbance::kAnswersLost, 0)) {
      answer = MoveRecordWritten{ .mRecord = aWorld.mStored, .mRevision = aWorld.mRevision };
    }
    Step(aWorld.mHolders[aWrite.mHolder], answer, ClockOf(aWorld));
    return true;
  });
}

void
RunHolder(World& aWorld, std::size_t aHolder)
{
  MoveDuty& duty = aWorld.mHolders[aHolder];
  const auto effects = Step(duty,
                            MoveTick{ .mDocument = aWorld.mDocument,
                                      .mDocumentRevision = 1,
                                      .mServers = {},
                                      .mWallNow = WallOf(aWorld) },
                            ClockOf(aWorld));
  for (const MoveEffect& effect : effects) {
    if (const auto* write = std::get_if<WriteMoveRecord>(&effect)) {
      // A write may arrive long after its sender has given it up.
      const std::int64_t delay = Delay(aWorld, 8) == 0 ? Delay(aWorld, 60'000) : 0;
      aWorld.mWrites.push_back(
        { .mHolder = aHolder, .mAt = aWorld.mTime + delay, .mWrite = *write });
    } else if (IsStoreOut(aWorld)) {
      Step(duty, MoveRecordUnknown{}, ClockOf(aWorld));
    } else {
      Step(duty,
           MoveRecordRead{ .mRecord = aWorld.mStored, .mRevision = aWorld.mRevision },
           ClockOf(aWorld));
    }
  }
}

ReportLine
LineOf(const World& aWorld, const VersionId& aVersion, int aPermille)
{
  const bool fails = aVersion == kNewVersion && IsTroubled(aWorld, Disturbance::kVersionFails, 0);
  const auto requests =
    static_cast<std::uint32_t>(kRequestsPerTick * aPermille / kWholePermille) + 1;
  return { .mZone = kZone,
           .mRoute = "completion",
           .mVersion = aVersion,
           .mTally = { .mRequests = requests, .mErrors = fails ? requests : 0 } };
}

// A host reports to the holder, who answers with a permit.
void
Report(World& aWorld, std::size_t aHost)
{
  Host& host = aWorld.mHosts[aHost];
  MoveDuty& duty = aWorld.mHolders[HolderNow(aWorld)];
  HealthReport report{ .mHost = HostId{ std::to_string(aHost) }, .mSequence = ++host.mSequence };
  for (const VersionShare& share : SharesOf(host.mShares)) {
    report.mLines.push_back(LineOf(aWorld, share.mVersion, share.mPermille));
  }
  Step(duty, ReportArrived{ .mReport = report }, ClockOf(aWorld));
  if (host.mShares.mStoppedNumber != 0) {
    Step(duty, StopArrived{ .mNumber = host.mShares.mStoppedNumber }, ClockOf(aWorld));
  }
  const MovePermit permit = PermitOf(duty, WallOf(aWorld));
  for (int copy = 0; copy < 2; ++copy) {
    const std::int64_t delay = Delay(aWorld, 4) == 0 ? Delay(aWorld, 30'000) : 0;
    if (Delay(aWorld, 5) != 0) {
      aWorld.mPermits.push_back({ .mHost = aHost,
                                  .mAt = aWorld.mTime + delay,
                                  .mAskedAt = ClockOf(aWorld),
                                  .mPermit = permit });
    }
  }
}

// Notes whether a step of a host broke a property.
void
Watch(World& aWorld, int aBefore, const Host& aHost, const PermitOnTheWay* aPermit)
{
  const int after = aHost.mShares.mPermille;
  if (after <= aBefore) {
    return;
  }
  const bool live = aPermit != nullptr && ClockOf(aWorld) < aPermit->mAskedAt + kPermitTime;
  aWorld.mRoseWithoutPermit = aWorld.mRoseWithoutPermit || !live;
  const std::uint64_t number = aPermit == nullptr ? 0 : aPermit->mPermit.mNumber;
  const bool takenBack = number < aHost.mNewestPermit || number <= aHost.mNewestStop;
  aWorld.mWithdrawnRose = aWorld.mWithdrawnRose || takenBack;
}

// A host stops the version and tells the others.
void
TellStop(World& aWorld, std::uint64_t aNumber)
{
  for (Host& host : aWorld.mHosts) {
    if (StopVersion(host.mShares, kNewVersion, aNumber)) {
      host.mNewestStop = aNumber;
    }
  }
}

void
RunHost(World& aWorld, std::size_t aHost)
{
  if (IsTroubled(aWorld, Disturbance::kFreeze, aHost)) {
    return;
  }
  Host& host = aWorld.mHosts[aHost];
  std::erase_if(aWorld.mPermits, [&](const PermitOnTheWay& aPermit) {
    if (aPermit.mHost != aHost || aPermit.mAt > aWorld.mTime) {
      return false;
    }
    const int before = host.mShares.mPermille;
    ApplyPermit(host.mShares, aPermit.mPermit, aPermit.mAskedAt, ClockOf(aWorld));
    Watch(aWorld, before, host, &aPermit);
    if (ClockOf(aWorld) < aPermit.mAskedAt + kPermitTime) {
      host.mNewestPermit = std::max(host.mNewestPermit, aPermit.mPermit.mNumber);
    }
    return true;
  });
  const int before = host.mShares.mPermille;
  ExpireMove(host.mShares, ClockOf(aWorld));
  if (IsTroubled(aWorld, Disturbance::kHostStops, aHost)) {
    TellStop(aWorld, host.mShares.mNumber);
  }
  Watch(aWorld, before, host, nullptr);
  Report(aWorld, aHost);
  const bool over = aWorld.mTime > kMoveMilliseconds + kTickMilliseconds;
  aWorld.mSharedAfterEnd = aWorld.mSharedAfterEnd || (over && host.mShares.mPermille > 0);
  aWorld.mEverMoved = aWorld.mEverMoved || host.mShares.mPermille > 0;
}

World
Run(World aWorld)
{
  aWorld.mDocument->mService = kService;
  aWorld.mDocument->mVersions = {
    { .mVersion = kOldVersion, .mSharePercent = 0 },
    { .mVersion = kNewVersion,
      .mSharePercent = 100,
      .mMoveBy = FromUnixMilliseconds(kMoveMilliseconds) },
  };
  aWorld.mStored.mSettled = { { .mVersion = kOldVersion, .mPermille = kWholePermille } };
  aWorld.mRevision = 1;
  aWorld.mHolders.resize(kHolders, MakeMoveDuty(kService, ClockOf(aWorld)));
  for (; aWorld.mTime < kRunMilliseconds; aWorld.mTime += kTickMilliseconds) {
    ApplyWrites(aWorld);
    // A former holder that froze may go on as if it still held the duty.
    for (std::size_t holder = 0; holder < kHolders; ++holder) {
      if (holder == HolderNow(aWorld) || Delay(aWorld, 10) == 0) {
        RunHolder(aWorld, holder);
      }
    }
    for (std::size_t host = 0; host < kHosts; ++host) {
      RunHost(aWorld, host);
    }
  }
  return aWorld;
}

rc::Gen<Trouble>
Troubles()
{
  return rc::gen::map(
    rc::gen::tuple(rc::gen::element(Disturbance::kFreeze,
                                    Disturbance::kStoreOutage,
                                    Disturbance::kAnswersLost,
                                    Disturbance::kVersionFails,
                                    Disturbance::kHostStops),
                   rc::gen::inRange<std::size_t>(0, kHosts),
                   rc::gen::inRange<std::int64_t>(0, kRunMilliseconds),
                   rc::gen::inRange<std::int64_t>(500, 40'000)),
    [](const auto& aParts) {
      const auto& [kind, host, from, length] = aParts;
      return Trouble{ .mKind = kind, .mHost = host, .mFrom = from, .mUntil = from + length };
    });
}

TEST_CASE("A move keeps its promises")
{
  SECTION("a good version is moved in time")
  {
    const World end = Run({});
    CHECK(end.mStored.mPhase == MovePhase::kDone);
    CHECK(end.mStored.mSettled.front().mVersion == kNewVersion);
  }
  SECTION("a version that fails is withdrawn with reason and figures")
  {
    World start;
    start.mTroubles = {
      { .mKind = Disturbance::kVersionFails, .mFrom = 60'000, .mUntil = kRunMilliseconds }
    };
    const World end = Run(start);
    CHECK(end.mStored.mPhase == MovePhase::kWithdrawn);
    CHECK(end.mStored.mReason == MoveReason::kErrors);
    CHECK(end.mStored.mFigures.mNewErrors > 0);
    SECTION("and the document does not bring it back")
    {
      CHECK_FALSE(PlanMove(end.mStored, *end.mDocument, 2, WallOf(end)).has_value());
      SECTION("until it names it anew")
      {
        end.mDocument->mVersions.back().mMoveBy = FromUnixMilliseconds(900'000);
        const auto again = PlanMove(end.mStored, *end.mDocument, 3, WallOf(end));
        REQUIRE(again.has_value());
        CHECK(again->mPhase == MovePhase::kMoving);
      }
    }
  }
  SECTION("whatever is lost, late, frozen or out")
  {
    int moved = 0;
    const bool holds = rc::check([&moved] {
      World start;
      start.mRandom = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
      start.mTroubles = *rc::gen::container<std::vector<Trouble>>(Troubles());
      const World end = Run(start);
      RC_ASSERT(!end.mRoseWithoutPermit);
      RC_ASSERT(!end.mWithdrawnRose);
      RC_ASSERT(!end.mSharedAfterEnd);
      // The record says so too, once the store is back.
      const bool reachable = std::ranges::none_of(
        end.mTroubles, [](const Trouble& aTrouble) { return aTrouble.mUntil > kMoveMilliseconds; });
      RC_ASSERT(!reachable || end.mStored.mPhase != MovePhase::kMoving);
      moved += end.mEverMoved ? 1 : 0;
    });
    CHECK(holds);
    CHECK(moved > 50);
  }
}

TEST_CASE("A record of a move is read back as it was written")
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
