#include "trefoil/rollout/assessment.h"
#include "trefoil/rollout/comparison.h"
#include "trefoil/rollout/local_health.h"

#include <catch2/catch.hpp>
#include <random>

namespace trefoil {
namespace {

const VersionId kOldVersion{ "v1" };
const VersionId kNewVersion{ "v2" };
const ServiceId kService{ "rules" };
const Instant kStart{};

TEST_CASE("Counts of two versions are compared inside strata")
{
  SECTION("equal rates are no difference")
  {
    const auto result =
      CompareCounts({ { .mNewTotal = 100, .mNewBad = 2, .mOldTotal = 1000, .mOldBad = 20 } });
    CHECK(result.mPValue > 0.3);
    CHECK(result.mEffect == Approx(0).margin(1e-9));
  }
  SECTION("many more errors are one")
  {
    const auto result =
      CompareCounts({ { .mNewTotal = 100, .mNewBad = 30, .mOldTotal = 1000, .mOldBad = 10 } });
    CHECK(result.mPValue < 1e-6);
    CHECK(result.mEffect == Approx(0.29));
  }
  SECTION("a bad zone where the new version has more traffic is none")
  {
    const auto result =
      CompareCounts({ { .mNewTotal = 900, .mNewBad = 270, .mOldTotal = 100, .mOldBad = 30 },
                      { .mNewTotal = 100, .mNewBad = 1, .mOldTotal = 900, .mOldBad = 9 } });
    CHECK(result.mPValue > 0.3);
  }
  SECTION("three errors of few requests are too few to be sure")
  {
    const auto result =
      CompareCounts({ { .mNewTotal = 20, .mNewBad = 3, .mOldTotal = 1980, .mOldBad = 17 } });
    CHECK(result.mPValue > 1e-6);
    CHECK(result.mPValue < 0.01);
  }
}

TEST_CASE("Latencies of two versions are compared by ranks")
{
  std::mt19937_64 random{ 7 };
  std::lognormal_distribution<double> normal{ 5, 0.3 };
  LatencyHistogram fresh;
  LatencyHistogram slow;
  HistogramPair same{ .mNew = &fresh };
  HistogramPair slower{ .mNew = &slow };
  for (int i = 0; i < 2000; ++i) {
    Add(fresh, normal(random));
    Add(slow, normal(random) * 1.3);
    Add(same.mOld, normal(random));
  }
  slower.mOld = same.mOld;

  SECTION("the same distribution is no difference")
  {
    CHECK(CompareLatencies({ same }).mPValue > 0.001);
  }
  SECTION("thirty percent more is one")
  {
    CHECK(CompareLatencies({ slower }).mPValue < 1e-6);
    CHECK(CompareLatencies({ slower }).mEffect > 0.1);
  }
}

AttemptOutcome
OutcomeOf(const VersionId& aVersion, OutcomeKind aKind, std::uint64_t aDigest)
{
  return { .mService = kService,
           .mVersion = aVersion,
           .mZone = AvailabilityZoneId{ "zone-a" },
           .mServer = BackendServerId{ aVersion.Value() + "-1" },
           .mRoute = "completion",
           .mKind = aKind,
           .mRequestDigest = aDigest,
           .mFirstToken = 100,
           .mTokenGap = 20 };
}

// Feeds good outcomes of the old version.
LocalHealth
HealthyHost()
{
  LocalHealth health;
  for (std::uint64_t i = 0; i < 500; ++i) {
    Add(health, OutcomeOf(kOldVersion, OutcomeKind::kGood, i), kNewVersion, kStart);
  }
  return health;
}

// Returns how many outcomes of the new version passed before the fault was sure, `aMax` if it
// never was.
int
OutcomesToFault(LocalHealth& aHealth, AttemptOutcome aOutcome, int aMax)
{
  for (int i = 0; i < aMax; ++i) {
    aOutcome.mRequestDigest += 1;
    if (Add(aHealth, aOutcome, kNewVersion, kStart).has_value()) {
      return i + 1;
    }
  }
  return aMax;
}

TEST_CASE("A host notices a faulty version by itself")
{
  LocalHealth health = HealthyHost();
  AttemptOutcome outcome = OutcomeOf(kNewVersion, OutcomeKind::kError, 1'000'000);

  SECTION("within a few errors")
  {
    CHECK(OutcomesToFault(health, outcome, 100) <= 6);
  }
  SECTION("within some slow answers")
  {
    outcome.mKind = OutcomeKind::kGood;
    outcome.mFirstToken = 300;
    CHECK(OutcomesToFault(health, outcome, 100) <= 12);
  }
  SECTION("not by good ones")
  {
    outcome.mKind = OutcomeKind::kGood;
    CHECK(OutcomesToFault(health, outcome, 1000) == 1000);
  }
  SECTION("not by a request that its caller sends again and again")
  {
    for (int i = 0; i < 50; ++i) {
      CHECK_FALSE(Add(health, outcome, kNewVersion, kStart).has_value());
    }
  }
  SECTION("not by a server that is reclaimed under many requests")
  {
    outcome.mKind = OutcomeKind::kLost;
    CHECK(OutcomesToFault(health, outcome, 50) == 50);
    SECTION("but it is reported, once for all")
    {
      const HealthReport report = TakeReport(health, HostId{ "h1" }, kService);
      std::size_t lost = 0;
      for (const ReportLine& line : report.mLines) {
        lost += line.mLost.size();
      }
      CHECK(lost == 1);
    }
  }
  SECTION("not by errors that the old version has as well")
  {
    for (std::uint64_t i = 0; i < 200; ++i) {
      Add(health, OutcomeOf(kOldVersion, OutcomeKind::kError, 5'000 + i), kNewVersion, kStart);
    }
    CHECK(OutcomesToFault(health, outcome, 50) == 50);
  }
}

TEST_CASE("The evidence of all hosts tells a faulty version")
{
  Evidence evidence{ .mStart = kStart };
  HealthReport report{ .mHost = HostId{ "h1" }, .mSequence = 1 };
  const auto line = [](const VersionId& aVersion, std::uint32_t aRequests, std::uint32_t aErrors) {
    return ReportLine{ .mZone = AvailabilityZoneId{ "zone-a" },
                       .mRoute = "completion",
                       .mVersion = aVersion,
                       .mTally = { .mRequests = aRequests, .mErrors = aErrors } };
  };

  SECTION("by its errors")
  {
    report.mLines = { line(kOldVersion, 1000, 5), line(kNewVersion, 100, 20) };
    Add(evidence, report, kStart);
    const auto assessment = Assess(evidence, { .mVersion = kNewVersion });
    CHECK(assessment.mWorst.mFault == VersionFault::kErrors);
    CHECK(assessment.mNewRequests == 100);

    SECTION("and a report that comes twice counts once")
    {
      Add(evidence, report, kStart);
      CHECK(Assess(evidence, { .mVersion = kNewVersion }).mNewRequests == 100);
    }
  }
  SECTION("but a wave of reclaims in one zone is no fault")
  {
    report.mLines = { line(kOldVersion, 1000, 5), line(kNewVersion, 100, 0) };
    for (int i = 0; i < 3; ++i) {
      report.mLines.back().mLost.emplace_back("v2-" + std::to_string(i));
    }
    Add(evidence, report, kStart);
    const ServerCounts servers{ { AvailabilityZoneId{ "zone-a" },
                                  { { kOldVersion, 10 }, { kNewVersion, 3 } } } };
    const auto assessment = Assess(evidence, { .mVersion = kNewVersion, .mServers = servers });
    CHECK(assessment.mWorst.mFault == VersionFault::kNone);
  }
}

} // namespace
} // namespace trefoil
