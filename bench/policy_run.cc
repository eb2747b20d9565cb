#include "bench/policy_run.h"

#include "trefoil/admission/admission.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_set>

namespace trefoil::bench {
namespace {

constexpr std::size_t kHosts = 9;
constexpr std::size_t kZones = 4;
constexpr double kCrossZoneDelayMs = 3;
constexpr double kOnDemandPrice = 2.5;
// One on-demand engine per this many engines; the others are reclaimable.
constexpr std::size_t kEnginesPerOnDemandEngine = 4;
constexpr double kReclaimsPerHour = 1;
constexpr double kReplacementDelayMs = 60'000;
constexpr double kFailureDetectionMs = 500;
constexpr double kLoadReportPeriodMs = 500;
constexpr double kAdmissionTickPeriodMs = 500;
constexpr double kCacheEventLoss = 0.2;
constexpr double kGossipLoss = 0.2;
constexpr double kMsPerHour = 60 * kMsPerMinute;
constexpr std::size_t kTokenGapBuckets = 400;

// An action at a simulated time. Events at the same time run in the order of scheduling.
struct ScheduledEvent
{
  double mTimeMs = 0;
  std::uint64_t mEventNumber = 0;
  std::function<void()> mAction;

  bool operator<(const ScheduledEvent& aOther) const
  {
    return std::tie(aOther.mTimeMs, aOther.mEventNumber) < std::tie(mTimeMs, mEventNumber);
  }
};

struct SimulatedHost
{
  RoutingState mRouting;
  AdmissionState mAdmission;
};

struct Simulation
{
  RunOptions mOptions;
  std::vector<SimulatedRequest> mLoad;
  std::mt19937_64 mRandom;
  double mNowMs = 0;
  std::uint64_t mEventNumber = 0;
  std::priority_queue<ScheduledEvent> mEventQueue;
  std::vector<SimulatedEngine> mEngines;
  std::vector<RoutableServer> mServers;
  std::vector<SimulatedHost> mHosts;
  std::unordered_set<std::uint64_t> mDispatchedDocuments;
  std::vector<double> mFirstTokenMs;
  std::vector<bool> mHadFirstToken;
  std::vector<double> mTokenGapHistogram = std::vector<double>(kTokenGapBuckets);
  std::vector<double> mBusyMsByMinute = std::vector<double>(kLoadMinutes * 3);
  std::vector<double> mBusyCostByMinute = mBusyMsByMinute;
  RunResult mResult;

  Instant Clock() const
  {
    return Instant{} + std::chrono::duration_cast<Instant::duration>(
                         std::chrono::duration<double, std::milli>(1'000'000 + mNowMs));
  }
  void Schedule(double aTimeMs, std::function<void()> aAction)
  {
    mEventQueue.push(
      { .mTimeMs = aTimeMs, .mEventNumber = ++mEventNumber, .mAction = std::move(aAction) });
  }
  double Uniform(double aFrom, double aTo)
  {
    return std::uniform_real_distribution{ aFrom, aTo }(mRandom);
  }
  bool LoadHasEnded() const { return mNowMs >= kLoadMinutes * kMsPerMinute; }
};

PrefixDigests
PrefixDigestsOf(std::uint64_t aDocument, std::int64_t aTokens)
{
  PrefixDigests digests;
  for (std::int64_t blocks = 1; blocks * kPrefixBlockTokens <= aTokens; ++blocks) {
    if (IsDigestBoundary(blocks)) {
      const std::uint64_t digest =
        (aDocument * 1'000'003 + static_cast<std::uint64_t>(blocks)) * 0x9e3779b97f4a7c15U;
      digests.push_back({ .mDigest = digest, .mTokens = blocks * kPrefixBlockTokens });
    }
  }
  return digests;
}

void
DispatchRequest(Simulation& aSim, std::size_t aHost, const SimulatedRequest& aRequest);

void
StartIteration(Simulation& aSim, std::size_t aEngine);

// Publishes a change of an engine's cache to all entry hosts after a delay. A share of
// `kCacheEventLoss` of the changes is lost.
void
PublishCache(Simulation& aSim, std::size_t aEngine, const CachedDocument& aDocument, bool aStored)
{
  const bool lost = aSim.Uniform(0, 1) < kCacheEventLoss;
  if (lost || aSim.mOptions.mAblation == Ablation::kCacheEvents) {
    return;
  }
  aSim.Schedule(aSim.mNowMs + aSim.Uniform(500, 2000), [&aSim, aEngine, aDocument, aStored] {
    const PrefixDigests digests = PrefixDigestsOf(aDocument.mDocument, aDocument.mTokens);
    const auto slot = static_cast<ServerSlot>(aEngine);
    for (SimulatedHost& host : aSim.mHosts) {
      if (aStored) {
        AddPrefixHolder(host.mRouting.mPrefixes, digests, { .mSlot = slot }, aSim.Clock());
      } else {
        RemovePrefixHolder(host.mRouting.mPrefixes, digests, slot);
      }
    }
  });
}

void
ApplyAdmissionEffects(Simulation& aSim, std::size_t aHost, const AdmissionEffects& aEffects)
{
  for (const AdmissionEffect& effect : aEffects) {
    if (const auto* admit = std::get_if<AdmitRequest>(&effect)) {
      DispatchRequest(aSim, aHost, aSim.mLoad[admit->mTicket]);
    } else {
      ++aSim.mResult.mRefused;
    }
  }
}

void
RecordFirstToken(Simulation& aSim, const EngineJob& aJob)
{
  const SimulatedRequest& request = *aJob.mRequest;
  if (!request.mIsLong && !aSim.mHadFirstToken[request.mId]) {
    aSim.mFirstTokenMs.push_back(aSim.mNowMs - request.mArrivalMs);
  }
  aSim.mHadFirstToken[request.mId] = true;
}

// Applies the result of an iteration when it completes, and starts the next one.
void
FinishIteration(Simulation& aSim, std::size_t aEngine, const EngineIteration& aIteration)
{
  SimulatedEngine& engine = aSim.mEngines[aEngine];
  engine.mBusy = false;
  const auto bucket =
    std::min(kTokenGapBuckets - 1, static_cast<std::size_t>(aIteration.mDurationMs));
  aSim.mTokenGapHistogram[bucket] += static_cast<double>(aIteration.mStreams);
  for (const EngineJob& job : aIteration.mFirstTokenJobs) {
    RecordFirstToken(aSim, job);
  }
  for (const CachedDocument& document : aIteration.mCacheInserted) {
    PublishCache(aSim, aEngine, document, true);
  }
  for (const CachedDocument& document : aIteration.mCacheEvicted) {
    PublishCache(aSim, aEngine, document, false);
  }
  for (const EngineJob& job : aIteration.mCompleted) {
    SimulatedHost& host = aSim.mHosts[job.mHost];
    RecordOwnEnd(host.mRouting.mServers[aEngine].mLoad, aSim.Clock());
    aSim.mResult.mLate += aSim.mNowMs > job.mRequest->mDeadlineMs ? 1 : 0;
    ApplyAdmissionEffects(
      aSim,
      job.mHost,
      Step(host.mAdmission, RequestEnded{ .mTicket = job.mRequest->mId }, aSim.Clock()));
  }
  StartIteration(aSim, aEngine);
}

void
StartIteration(Simulation& aSim, std::size_t aEngine)
{
  SimulatedEngine& engine = aSim.mEngines[aEngine];
  if (engine.mBusy || !engine.mUp) {
    return;
  }
  EngineIteration iteration = RunIteration(engine);
  if (iteration.mDurationMs <= 0) {
    return;
  }
  engine.mBusy = true;
  const auto minute =
    std::min(aSim.mBusyMsByMinute.size() - 1, static_cast<std::size_t>(aSim.mNowMs / kMsPerMinute));
  aSim.mBusyMsByMinute[minute] += iteration.mDurationMs;
  aSim.mBusyCostByMinute[minute] += iteration.mDurationMs * engine.mPrice;
  const std::uint64_t incarnation = engine.mIncarnation;
  const double end = aSim.mNowMs + iteration.mDurationMs;
  aSim.Schedule(end, [&aSim, aEngine, incarnation, iteration = std::move(iteration)] {
    if (aSim.mEngines[aEngine].mIncarnation == incarnation) {
      FinishIteration(aSim, aEngine, iteration);
    }
  });
}

// Counts the document's tokens as recomputed if this engine has not cached them although a request
// for the document has reached an engine before.
void
CountRecomputed(Simulation& aSim, const SimulatedEngine& aEngine, const SimulatedRequest& aRequest)
{
  const bool cached =
    std::ranges::find(aEngine.mCache, aRequest.mDocument, &CachedDocument::mDocument) !=
    aEngine.mCache.end();
  const bool seen = !aSim.mDispatchedDocuments.insert(aRequest.mDocument).second;
  if (seen && !cached) {
    aSim.mResult.mRecomputedMillions += static_cast<double>(aRequest.mDocumentTokens) / 1e6;
  }
}

void
DispatchRequest(Simulation& aSim, std::size_t aHost, const SimulatedRequest& aRequest)
{
  SimulatedHost& host = aSim.mHosts[aHost];
  const PrefixDigests digests = PrefixDigestsOf(aRequest.mDocument, aRequest.mDocumentTokens);
  const RoutingRequest request{ .mPrefixDigests = &digests,
                                .mPromptTokens = aRequest.mPromptTokens,
                                .mExpectedTokens = aRequest.mOutputTokens };
  const auto chosen =
    ChooseServer(host.mRouting, aSim.mOptions.mPolicy, request, aSim.mRandom(), aSim.Clock());
  if (!chosen.has_value() || !aSim.mEngines[*chosen].mUp) {
    // No server is available or the engine was reclaimed. Retries after the hosts detected that.
    aSim.Schedule(aSim.mNowMs + kFailureDetectionMs,
                  [&aSim, aHost, &aRequest] { DispatchRequest(aSim, aHost, aRequest); });
    return;
  }
  if (aSim.mOptions.mAblation != Ablation::kOwnPlacements) {
    RecordPlacement(host.mRouting, *chosen, request, aSim.Clock());
  }
  RecordOwnStart(host.mRouting.mServers[*chosen].mLoad, aSim.Clock());
  const double delayMs = aSim.mEngines[*chosen].mZone == aHost % kZones ? 0 : kCrossZoneDelayMs;
  aSim.Schedule(aSim.mNowMs + delayMs, [&aSim, aHost, &aRequest, engine = std::size_t{ *chosen }] {
    CountRecomputed(aSim, aSim.mEngines[engine], aRequest);
    Enqueue(aSim.mEngines[engine],
            { .mRequest = &aRequest,
              .mHost = aHost,
              .mRemainingPromptTokens = aRequest.mPromptTokens,
              .mRemainingOutputTokens = aRequest.mOutputTokens });
    StartIteration(aSim, engine);
  });
}

void
SetAvailable(Simulation& aSim, std::size_t aEngine, bool aAvailable)
{
  aSim.mServers[aEngine].mAvailable = aAvailable;
  for (SimulatedHost& host : aSim.mHosts) {
    host.mRouting.mServers[aEngine].mSpec.mAvailable = aAvailable;
  }
}

void
ReclaimEngine(Simulation& aSim, std::size_t aEngine)
{
  SimulatedEngine& engine = aSim.mEngines[aEngine];
  engine.mUp = false;
  engine.mBusy = false;
  aSim.Schedule(aSim.mNowMs + kFailureDetectionMs,
                [&aSim, aEngine] { SetAvailable(aSim, aEngine, false); });
  for (const EngineJob& job : Reclaim(engine)) {
    RecordOwnEnd(aSim.mHosts[job.mHost].mRouting.mServers[aEngine].mLoad, aSim.Clock());
    DispatchRequest(aSim, job.mHost, *job.mRequest);
  }
  aSim.Schedule(aSim.mNowMs + kReplacementDelayMs, [&aSim, aEngine] {
    aSim.mEngines[aEngine].mUp = true;
    SetAvailable(aSim, aEngine, true);
  });
}

void
ScheduleReclaims(Simulation& aSim)
{
  for (std::size_t engine = 0; engine < aSim.mEngines.size(); ++engine) {
    std::exponential_distribution next{ aSim.mServers[engine].mReclaimsPerHour / kMsPerHour };
    for (double at = 0; aSim.mServers[engine].mReclaimsPerHour > 0;) {
      at += kReplacementDelayMs + next(aSim.mRandom);
      if (at >= kLoadMinutes * kMsPerMinute) {
        break;
      }
      aSim.Schedule(at, [&aSim, engine] { ReclaimEngine(aSim, engine); });
    }
  }
}

// Reports an engine's load to all entry hosts, with a delay, and schedules the next report.
void
ReportLoad(Simulation& aSim, std::size_t aEngine)
{
  if (aSim.mOptions.mAblation == Ablation::kLoadReports) {
    return;
  }
  const SimulatedEngine& engine = aSim.mEngines[aEngine];
  const LoadReport report{ .mRunning = static_cast<std::int64_t>(engine.mRunning.size() +
                                                                 engine.mWaiting.size()),
                           .mQueuedTokens = QueuedTokens(engine) };
  const Instant measuredAt = aSim.Clock();
  aSim.Schedule(aSim.mNowMs + aSim.Uniform(200, 800), [&aSim, aEngine, report, measuredAt] {
    for (SimulatedHost& host : aSim.mHosts) {
      ApplyReport(host.mRouting.mServers[aEngine].mLoad, report, measuredAt);
    }
  });
  if (!aSim.LoadHasEnded()) {
    aSim.Schedule(aSim.mNowMs + kLoadReportPeriodMs,
                  [&aSim, aEngine] { ReportLoad(aSim, aEngine); });
  }
}

HostId
HostIdOf(std::size_t aHost)
{
  return HostId{ "host-" + std::to_string(aHost) };
}

// Ticks an entry host's admission and sends its demand to all hosts. A share of `kGossipLoss` of
// the messages is lost.
void
TickHost(Simulation& aSim, std::size_t aHost, std::uint64_t aSequence)
{
  AdmissionState& state = aSim.mHosts[aHost].mAdmission;
  ApplyAdmissionEffects(aSim, aHost, Step(state, AdmissionTimerExpired{}, aSim.Clock()));
  const DemandReceived demand{ { .mHost = HostIdOf(aHost),
                                 .mSequence = aSequence,
                                 .mUndeferredPerMinute = OwnDemand(state.mPeak, aSim.Clock()) } };
  for (SimulatedHost& other : aSim.mHosts) {
    if (aSim.Uniform(0, 1) >= kGossipLoss) {
      Step(other.mAdmission, demand, aSim.Clock());
    }
  }
  const bool hasQueuedRequests = !state.mQueue.mPlaces.empty();
  if (!aSim.LoadHasEnded() || hasQueuedRequests) {
    aSim.Schedule(aSim.mNowMs + kAdmissionTickPeriodMs,
                  [&aSim, aHost, aSequence] { TickHost(aSim, aHost, aSequence + 1); });
  }
}

void
SubmitRequest(Simulation& aSim, const SimulatedRequest& aRequest)
{
  const std::size_t host = aSim.mRandom() % kHosts;
  const double timeoutMs = aRequest.mDeadlineMs - aSim.mNowMs;
  ApplyAdmissionEffects(
    aSim,
    host,
    Step(aSim.mHosts[host].mAdmission,
         RequestArrived{ .mTicket = aRequest.mId,
                         .mAccount = ClientAccountId{ std::to_string(aRequest.mAccount) },
                         .mPriority = aRequest.mIsLong ? Priority::kDeferrable : Priority::kUrgent,
                         .mDeadline =
                           aSim.Clock() + Milliseconds{ static_cast<std::int64_t>(timeoutMs) },
                         .mWork = ExpectedWork(aRequest) },
         aSim.Clock()));
}

void
MakeEngines(Simulation& aSim)
{
  for (std::size_t i = 0; i < aSim.mOptions.mEngines; ++i) {
    const bool onDemand = i % kEnginesPerOnDemandEngine == 0;
    aSim.mEngines.push_back({ .mPrice = onDemand ? kOnDemandPrice : 1,
                              .mZone = (i / kEnginesPerOnDemandEngine) % kZones });
    aSim.mServers.push_back({ .mServer = BackendServerId{ std::to_string(i) },
                              .mVersion = VersionId{ "v1" },
                              .mPrice = aSim.mEngines.back().mPrice,
                              .mReclaimsPerHour = onDemand ? 0 : kReclaimsPerHour });
  }
}

void
MakeHosts(Simulation& aSim)
{
  double totalWork = 0;
  for (const SimulatedRequest& request : aSim.mLoad) {
    totalWork += ExpectedWork(request);
  }
  HostView hostView;
  for (std::size_t i = 0; i < kHosts; ++i) {
    hostView.mAlive.insert(HostIdOf(i));
  }
  for (std::size_t i = 0; i < kHosts; ++i) {
    std::vector<RoutableServer> servers = aSim.mServers;
    for (std::size_t engine = 0; engine < servers.size(); ++engine) {
      servers[engine].mSameZone = aSim.mEngines[engine].mZone == i % kZones;
      servers[engine].mRoundTripMs = servers[engine].mSameZone ? 0 : kCrossZoneDelayMs;
    }
    SimulatedHost host{
      .mRouting = MakeRoutingState(
        { .mWeights = aSim.mOptions.mWeights, .mMaxPrefixDigests = std::size_t{ 1 } << 14 }),
      .mAdmission = MakeAdmissionState(
        { .mSelf = HostIdOf(i),
          .mHostsAtStart = kHosts,
          .mSlots = static_cast<std::int64_t>(aSim.mOptions.mEngines * kMaxStreams),
          .mPeakWorkPerMinute = aSim.mOptions.mPeakBudget * totalWork / kLoadMinutes },
        aSim.Clock())
    };
    SetServers(host.mRouting, servers);
    Step(host.mAdmission, HostViewChanged{ hostView }, aSim.Clock());
    aSim.mHosts.push_back(std::move(host));
  }
}

double
Quantile(std::vector<double>& aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto position =
    static_cast<std::ptrdiff_t>(aQuantile * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + position, aValues.end());
  return aValues[static_cast<std::size_t>(position)];
}

// Returns the upper bound in milliseconds of the token gaps at a quantile, from a histogram with
// buckets of 1 ms.
double
TokenGapQuantile(const std::vector<double>& aHistogram, double aQuantile)
{
  double total = 0;
  for (const double count : aHistogram) {
    total += count;
  }
  double sum = 0;
  for (std::size_t ms = 0; ms < aHistogram.size(); ++ms) {
    sum += aHistogram[ms];
    if (sum >= aQuantile * total) {
      return static_cast<double>(ms + 1);
    }
  }
  return static_cast<double>(aHistogram.size());
}

RunResult
Summarise(Simulation& aSim)
{
  RunResult result = aSim.mResult;
  result.mFirstTokenP50Ms = Quantile(aSim.mFirstTokenMs, 0.5);
  result.mFirstTokenP95Ms = Quantile(aSim.mFirstTokenMs, 0.95);
  result.mTokenGapP95Ms = TokenGapQuantile(aSim.mTokenGapHistogram, 0.95);
  result.mPeakEngines = *std::ranges::max_element(aSim.mBusyMsByMinute) / kMsPerMinute;
  result.mPeakCost = *std::ranges::max_element(aSim.mBusyCostByMinute) / kMsPerMinute;
  for (const double cost : aSim.mBusyCostByMinute) {
    result.mTotalCost += cost / kMsPerMinute;
  }
  return result;
}

} // namespace

RunResult
RunPolicy(const RunOptions& aOptions)
{
  Simulation sim{ .mOptions = aOptions,
                  .mLoad = MakeLoad(aOptions.mLoad, aOptions.mSeed),
                  .mRandom = std::mt19937_64{ aOptions.mSeed * 7919 } };
  sim.mHadFirstToken.resize(sim.mLoad.size());
  MakeEngines(sim);
  MakeHosts(sim);
  ScheduleReclaims(sim);
  for (const SimulatedRequest& request : sim.mLoad) {
    sim.Schedule(request.mArrivalMs, [&sim, &request] { SubmitRequest(sim, request); });
  }
  for (std::size_t engine = 0; engine < sim.mEngines.size(); ++engine) {
    sim.Schedule(sim.Uniform(0, kLoadReportPeriodMs), [&sim, engine] { ReportLoad(sim, engine); });
  }
  for (std::size_t host = 0; host < kHosts; ++host) {
    sim.Schedule(sim.Uniform(0, kAdmissionTickPeriodMs), [&sim, host] { TickHost(sim, host, 1); });
  }
  while (!sim.mEventQueue.empty()) {
    const ScheduledEvent next = sim.mEventQueue.top();
    sim.mEventQueue.pop();
    sim.mNowMs = next.mTimeMs;
    next.mAction();
  }
  return Summarise(sim);
}

} // namespace trefoil::bench
