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

TEST_CASE("Counts of two versions are compared within strata")
{
  SECTION("equal rates are not a difference")
  {
    const auto result = CompareCounts(
      { { .mNewTotal = 100, .mNewFailures = 2, .mOldTotal = 1000, .mOldFailures = 20 } });
    CHECK(result.mPValue > 0.3);
    CHECK(result.mEffect == Approx(0).margin(1e-9));
  }
  SECTION("a much higher rate is a difference")
  {
    const auto result = CompareCounts(
      { { .mNewTotal = 100, .mNewFailures = 30, .mOldTotal = 1000, .mOldFailures = 10 } });
    CHECK(result.mPValue < 1e-6);
    CHECK(result.mEffect == Approx(0.29));
  }
  SECTION("a faulty zone where the new version has more traffic is not a difference")
  {
    const auto result = CompareCounts(
      { { .mNewTotal = 900, .mNewFailures = 270, .mOldTotal = 100, .mOldFailures = 30 },
        { .mNewTotal = 100, .mNewFailures = 1, .mOldTotal = 900, .mOldFailures = 9 } });
    CHECK(result.mPValue > 0.3);
  }
  SECTION("three errors in twenty requests are suspect but not conclusive")
  {
    const auto result = CompareCounts(
      { { .mNewTotal = 20, .mNewFailures = 3, .mOldTotal = 1980, .mOldFailures = 17 } });
    CHECK(result.mPValue > 1e-6);
    CHECK(result.mPValue < 0.01);
  }
}

TEST_CASE("Latencies of two versions are compared by ranks")
{
  std::mt19937_64 random{ 7 };
  std::lognormal_distribution<double> latencies{ 5, 0.3 };
  LatencyHistogram usual;
  LatencyHistogram slow;
  HistogramPair same{ .mNew = &usual };
  HistogramPair slower{ .mNew = &slow };
  for (int i = 0; i < 2000; ++i) {
    RecordLatency(usual, latencies(random));
    RecordLatency(slow, latencies(random) * 1.3);
    RecordLatency(same.mOld, latencies(random));
  }
  slower.mOld = same.mOld;

  SECTION("the same distribution is not a difference")
  {
    CHECK(CompareLatencies({ same }).mPValue > 0.001);
  }
  SECTION("thirty percent higher latency is a difference")
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

// Records good outcomes of the old version.
LocalHealth
HealthyHost()
{
  LocalHealth health;
  for (std::uint64_t i = 0; i < 500; ++i) {
    RecordOutcome(health, OutcomeOf(kOldVersion, OutcomeKind::kGood, i), kNewVersion, kStart);
  }
  return health;
}

// Returns the number of outcomes of the new version until the fault was detected, `aMax` if it
// was not.
int
OutcomesToFault(LocalHealth& aHealth, AttemptOutcome aOutcome, int aMax)
{
  for (int i = 0; i < aMax; ++i) {
    aOutcome.mRequestDigest += 1;
    if (RecordOutcome(aHealth, aOutcome, kNewVersion, kStart).has_value()) {
      return i + 1;
    }
  }
  return aMax;
}

TEST_CASE("A host detects a faulty version by itself")
{
  LocalHealth health = HealthyHost();
  AttemptOutcome outcome = OutcomeOf(kNewVersion, OutcomeKind::kError, 1'000'000);

  SECTION("after at most 6 errors")
  {
    CHECK(OutcomesToFault(health, outcome, 100) <= 6);
  }
  SECTION("after at most 12 slow responses")
  {
    outcome.mKind = OutcomeKind::kGood;
    outcome.mFirstToken = 300;
    CHECK(OutcomesToFault(health, outcome, 100) <= 12);
  }
  SECTION("not from successful requests")
  {
    outcome.mKind = OutcomeKind::kGood;
    CHECK(OutcomesToFault(health, outcome, 1000) == 1000);
  }
  SECTION("not from a failing request that its caller keeps repeating")
  {
    for (int i = 0; i < 50; ++i) {
      CHECK_FALSE(RecordOutcome(health, outcome, kNewVersion, kStart).has_value());
    }
  }
  SECTION("not from a reclaimed server that loses many requests")
  {
    outcome.mKind = OutcomeKind::kLost;
    CHECK(OutcomesToFault(health, outcome, 50) == 50);
    SECTION("but the server is reported, and only once")
    {
      const VersionHealthReport report = TakeReport(health, HostId{ "h1" }, kService);
      std::size_t lost = 0;
      for (const ReportLine& line : report.mLines) {
        lost += line.mLostServers.size();
      }
      CHECK(lost == 1);
    }
  }
  SECTION("not from errors that the old version has as well")
  {
    for (std::uint64_t i = 0; i < 200; ++i) {
      RecordOutcome(
        health, OutcomeOf(kOldVersion, OutcomeKind::kError, 5'000 + i), kNewVersion, kStart);
    }
    CHECK(OutcomesToFault(health, outcome, 50) == 50);
  }
}

TEST_CASE("The evidence of all hosts identifies a faulty version")
{
  Evidence evidence{ .mStart = kStart };
  VersionHealthReport report{ .mHost = HostId{ "h1" }, .mSequence = 1 };
  const auto line = [](const VersionId& aVersion, std::uint32_t aRequests, std::uint32_t aErrors) {
    return ReportLine{ .mZone = AvailabilityZoneId{ "zone-a" },
                       .mRoute = "completion",
                       .mVersion = aVersion,
                       .mRequestStats = { .mRequests = aRequests, .mErrors = aErrors } };
  };

  SECTION("by its error rate")
  {
    report.mLines = { line(kOldVersion, 1000, 5), line(kNewVersion, 100, 20) };
    ApplyHealthReport(evidence, report, kStart);
    const auto assessment = Assess(evidence, { .mVersion = kNewVersion });
    CHECK(assessment.mConfirmed.mFault == VersionFault::kErrors);
    CHECK(assessment.mNewRequests == 100);

    SECTION("and a duplicate report is counted once")
    {
      ApplyHealthReport(evidence, report, kStart);
      CHECK(Assess(evidence, { .mVersion = kNewVersion }).mNewRequests == 100);
    }
  }
  SECTION("but a wave of reclaims in one zone is not a fault")
  {
    report.mLines = { line(kOldVersion, 1000, 5), line(kNewVersion, 100, 0) };
    for (int i = 0; i < 3; ++i) {
      report.mLines.back().mLostServers.emplace_back("v2-" + std::to_string(i));
    }
    ApplyHealthReport(evidence, report, kStart);
    const ServerCounts servers{ { AvailabilityZoneId{ "zone-a" },
                                  { { kOldVersion, 10 }, { kNewVersion, 3 } } } };
    const auto assessment = Assess(evidence, { .mVersion = kNewVersion, .mServers = servers });
    CHECK(assessment.mConfirmed.mFault == VersionFault::kNone);
  }
}

} // namespace
} // namespace trefoil
