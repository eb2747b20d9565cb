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
constexpr double kOtherZoneMs = 3;
constexpr double kOnDemandPrice = 2.5;
// One engine in so many is on demand.
constexpr std::size_t kOnDemandEvery = 4;
constexpr double kReclaimsPerHour = 1;
constexpr double kReplacedAfterMs = 60'000;
constexpr double kNoticedAfterMs = 500;
constexpr double kReportEveryMs = 500;
constexpr double kTickEveryMs = 500;
constexpr double kCacheEventLoss = 0.2;
constexpr double kGossipLoss = 0.2;
constexpr double kMsPerHour = 60 * kMsPerMinute;
constexpr std::size_t kMaxGapMs = 400;

// Something that happens at a time.
struct Happening
{
  double mAtMs = 0;
  std::uint64_t mOrder = 0;
  std::function<void()> mWhat;

  bool operator<(const Happening& aOther) const
  {
    return std::tie(aOther.mAtMs, aOther.mOrder) < std::tie(mAtMs, mOrder);
  }
};

struct EntryHostModel
{
  RoutingState mRouting;
  AdmissionState mAdmission;
};

struct Simulation
{
  RunOptions mOptions;
  std::vector<ModelRequest> mLoad;
  std::mt19937_64 mRandom;
  double mNowMs = 0;
  std::uint64_t mOrder = 0;
  std::priority_queue<Happening> mAgenda;
  std::vector<ModelEngine> mEngines;
  std::vector<RoutableServer> mServers;
  std::vector<EntryHostModel> mHosts;
  std::unordered_set<std::uint64_t> mProcessed;
  std::vector<double> mFirstTokens;
  std::vector<bool> mSeenFirstToken;
  std::vector<double> mGaps = std::vector<double>(kMaxGapMs);
  std::vector<double> mBusyMs = std::vector<double>(kLoadMinutes * 3);
  std::vector<double> mBusyCost = mBusyMs;
  RunResult mResult;

  Instant Clock() const
  {
    return Instant{} + std::chrono::duration_cast<Instant::duration>(
                         std::chrono::duration<double, std::milli>(1'000'000 + mNowMs));
  }
  void At(double aMs, std::function<void()> aWhat)
  {
    mAgenda.push({ .mAtMs = aMs, .mOrder = ++mOrder, .mWhat = std::move(aWhat) });
  }
  double Uniform(double aFrom, double aTo)
  {
    return std::uniform_real_distribution{ aFrom, aTo }(mRandom);
  }
  bool LoadIsOver() const { return mNowMs >= kLoadMinutes * kMsPerMinute; }
};

PrefixDigests
MarksOf(std::uint64_t aDocument, std::int64_t aTokens)
{
  PrefixDigests marks;
  for (std::int64_t blocks = 1; blocks * kPrefixBlockTokens <= aTokens; ++blocks) {
    if (IsDigestBoundary(blocks)) {
      const std::uint64_t digest =
        (aDocument * 1'000'003 + static_cast<std::uint64_t>(blocks)) * 0x9e3779b97f4a7c15U;
      marks.push_back({ .mDigest = digest, .mTokens = blocks * kPrefixBlockTokens });
    }
  }
  return marks;
}

void
SendTo(Simulation& aSim, std::size_t aHost, const ModelRequest& aRequest);

void
RunEngine(Simulation& aSim, std::size_t aEngine);

// Tells all entry hosts of a change of an engine's cache, late and with gaps.
void
PublishCache(Simulation& aSim, std::size_t aEngine, const CachedDocument& aDocument, bool aStored)
{
  const bool lost = aSim.Uniform(0, 1) < kCacheEventLoss;
  if (lost || aSim.mOptions.mWithout == Ablation::kCacheEvents) {
    return;
  }
  aSim.At(aSim.mNowMs + aSim.Uniform(500, 2000), [&aSim, aEngine, aDocument, aStored] {
    const PrefixDigests marks = MarksOf(aDocument.mDocument, aDocument.mTokens);
    const auto slot = static_cast<ServerSlot>(aEngine);
    for (EntryHostModel& host : aSim.mHosts) {
      if (aStored) {
        AddPrefixHolder(host.mRouting.mPrefixes, marks, { .mSlot = slot }, aSim.Clock());
      } else {
        RemovePrefixHolder(host.mRouting.mPrefixes, marks, slot);
      }
    }
  });
}

void
Answer(Simulation& aSim, std::size_t aHost, const AdmissionEffects& aEffects)
{
  for (const AdmissionEffect& effect : aEffects) {
    if (const auto* admit = std::get_if<AdmitRequest>(&effect)) {
      SendTo(aSim, aHost, aSim.mLoad[admit->mTicket]);
    } else {
      ++aSim.mResult.mRefused;
    }
  }
}

void
CountFirstToken(Simulation& aSim, const ModelWork& aWork)
{
  const ModelRequest& request = *aWork.mRequest;
  if (!request.mLong && !aSim.mSeenFirstToken[request.mId]) {
    aSim.mFirstTokens.push_back(aSim.mNowMs - request.mArrivalMs);
  }
  aSim.mSeenFirstToken[request.mId] = true;
}

// Applies what an iteration did, at its end.
void
EndTurn(Simulation& aSim, std::size_t aEngine, const EngineTurn& aTurn)
{
  ModelEngine& engine = aSim.mEngines[aEngine];
  engine.mBusy = false;
  const auto gap = std::min(kMaxGapMs - 1, static_cast<std::size_t>(aTurn.mMs));
  aSim.mGaps[gap] += static_cast<double>(aTurn.mStreams);
  for (const ModelWork& work : aTurn.mFirstTokens) {
    CountFirstToken(aSim, work);
  }
  for (const CachedDocument& document : aTurn.mStored) {
    PublishCache(aSim, aEngine, document, true);
  }
  for (const CachedDocument& document : aTurn.mDropped) {
    PublishCache(aSim, aEngine, document, false);
  }
  for (const ModelWork& work : aTurn.mEnded) {
    EntryHostModel& host = aSim.mHosts[work.mHost];
    RecordOwnEnd(host.mRouting.mServers[aEngine].mLoad, aSim.Clock());
    aSim.mResult.mLate += aSim.mNowMs > work.mRequest->mDeadlineMs ? 1 : 0;
    Answer(aSim,
           work.mHost,
           Step(host.mAdmission, RequestEnded{ .mTicket = work.mRequest->mId }, aSim.Clock()));
  }
  RunEngine(aSim, aEngine);
}

void
RunEngine(Simulation& aSim, std::size_t aEngine)
{
  ModelEngine& engine = aSim.mEngines[aEngine];
  if (engine.mBusy || !engine.mUp) {
    return;
  }
  EngineTurn turn = RunTurn(engine);
  if (turn.mMs <= 0) {
    return;
  }
  engine.mBusy = true;
  const auto minute =
    std::min(aSim.mBusyMs.size() - 1, static_cast<std::size_t>(aSim.mNowMs / kMsPerMinute));
  aSim.mBusyMs[minute] += turn.mMs;
  aSim.mBusyCost[minute] += turn.mMs * engine.mPrice;
  const std::uint64_t incarnation = engine.mIncarnation;
  const double end = aSim.mNowMs + turn.mMs;
  aSim.At(end, [&aSim, aEngine, incarnation, turn = std::move(turn)] {
    if (aSim.mEngines[aEngine].mIncarnation == incarnation) {
      EndTurn(aSim, aEngine, turn);
    }
  });
}

// Counts the document's tokens that must be processed though an engine had processed them before.
void
CountRecomputed(Simulation& aSim, const ModelEngine& aEngine, const ModelRequest& aRequest)
{
  const bool cached =
    std::ranges::find(aEngine.mCache, aRequest.mDocument, &CachedDocument::mDocument) !=
    aEngine.mCache.end();
  const bool seen = !aSim.mProcessed.insert(aRequest.mDocument).second;
  if (seen && !cached) {
    aSim.mResult.mRecomputedMillions += static_cast<double>(aRequest.mDocumentTokens) / 1e6;
  }
}

void
SendTo(Simulation& aSim, std::size_t aHost, const ModelRequest& aRequest)
{
  EntryHostModel& host = aSim.mHosts[aHost];
  const PrefixDigests marks = MarksOf(aRequest.mDocument, aRequest.mDocumentTokens);
  const RoutingRequest request{ .mPrefixDigests = &marks,
                                .mPromptTokens = aRequest.mPromptTokens,
                                .mExpectedTokens = aRequest.mOutputTokens };
  const auto slot =
    ChooseServer(host.mRouting, aSim.mOptions.mPolicy, request, aSim.mRandom(), aSim.Clock());
  if (!slot.has_value() || !aSim.mEngines[*slot].mUp) {
    // The engine is gone: try again once that has been noticed.
    aSim.At(aSim.mNowMs + kNoticedAfterMs,
            [&aSim, aHost, &aRequest] { SendTo(aSim, aHost, aRequest); });
    return;
  }
  if (aSim.mOptions.mWithout != Ablation::kOwnPlacements) {
    RecordPlacement(host.mRouting, *slot, request, aSim.Clock());
  }
  RecordOwnStart(host.mRouting.mServers[*slot].mLoad, aSim.Clock());
  const double distance = aSim.mEngines[*slot].mZone == aHost % kZones ? 0 : kOtherZoneMs;
  aSim.At(aSim.mNowMs + distance, [&aSim, aHost, &aRequest, engine = std::size_t{ *slot }] {
    CountRecomputed(aSim, aSim.mEngines[engine], aRequest);
    Enqueue(aSim.mEngines[engine],
            { .mRequest = &aRequest,
              .mHost = aHost,
              .mPromptLeft = aRequest.mPromptTokens,
              .mTokensLeft = aRequest.mOutputTokens });
    RunEngine(aSim, engine);
  });
}

void
SetAvailable(Simulation& aSim, std::size_t aEngine, bool aAvailable)
{
  aSim.mServers[aEngine].mAvailable = aAvailable;
  for (EntryHostModel& host : aSim.mHosts) {
    host.mRouting.mServers[aEngine].mSpec.mAvailable = aAvailable;
  }
}

void
ReclaimEngine(Simulation& aSim, std::size_t aEngine)
{
  ModelEngine& engine = aSim.mEngines[aEngine];
  engine.mUp = false;
  engine.mBusy = false;
  aSim.At(aSim.mNowMs + kNoticedAfterMs, [&aSim, aEngine] { SetAvailable(aSim, aEngine, false); });
  for (const ModelWork& work : Reclaim(engine)) {
    RecordOwnEnd(aSim.mHosts[work.mHost].mRouting.mServers[aEngine].mLoad, aSim.Clock());
    SendTo(aSim, work.mHost, *work.mRequest);
  }
  aSim.At(aSim.mNowMs + kReplacedAfterMs, [&aSim, aEngine] {
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
      at += kReplacedAfterMs + next(aSim.mRandom);
      if (at >= kLoadMinutes * kMsPerMinute) {
        break;
      }
      aSim.At(at, [&aSim, engine] { ReclaimEngine(aSim, engine); });
    }
  }
}

// Reports an engine's load to all entry hosts, with a lag, again and again.
void
ReportLoad(Simulation& aSim, std::size_t aEngine)
{
  if (aSim.mOptions.mWithout == Ablation::kLoadReports) {
    return;
  }
  const ModelEngine& engine = aSim.mEngines[aEngine];
  const LoadReport report{ .mRunning = static_cast<std::int64_t>(engine.mRunning.size() +
                                                                 engine.mWaiting.size()),
                           .mQueuedTokens = QueuedTokens(engine) };
  const Instant measuredAt = aSim.Clock();
  aSim.At(aSim.mNowMs + aSim.Uniform(200, 800), [&aSim, aEngine, report, measuredAt] {
    for (EntryHostModel& host : aSim.mHosts) {
      ApplyReport(host.mRouting.mServers[aEngine].mLoad, report, measuredAt);
    }
  });
  if (!aSim.LoadIsOver()) {
    aSim.At(aSim.mNowMs + kReportEveryMs, [&aSim, aEngine] { ReportLoad(aSim, aEngine); });
  }
}

HostId
HostNumber(std::size_t aHost)
{
  return HostId{ "host-" + std::to_string(aHost) };
}

// Ticks an entry host's admission and tells the others of its demand, with losses.
void
TickHost(Simulation& aSim, std::size_t aHost, std::uint64_t aSequence)
{
  AdmissionState& state = aSim.mHosts[aHost].mAdmission;
  Answer(aSim, aHost, Step(state, AdmissionTimerExpired{}, aSim.Clock()));
  const DemandReceived heard{ { .mHost = HostNumber(aHost),
                                .mSequence = aSequence,
                                .mUndeferredPerMinute = OwnDemand(state.mPeak, aSim.Clock()) } };
  for (EntryHostModel& other : aSim.mHosts) {
    if (aSim.Uniform(0, 1) >= kGossipLoss) {
      Step(other.mAdmission, heard, aSim.Clock());
    }
  }
  const bool waits = !state.mQueue.mPlaces.empty();
  if (!aSim.LoadIsOver() || waits) {
    aSim.At(aSim.mNowMs + kTickEveryMs,
            [&aSim, aHost, aSequence] { TickHost(aSim, aHost, aSequence + 1); });
  }
}

void
Arrive(Simulation& aSim, const ModelRequest& aRequest)
{
  const std::size_t host = aSim.mRandom() % kHosts;
  const double untilDeadline = aRequest.mDeadlineMs - aSim.mNowMs;
  Answer(
    aSim,
    host,
    Step(aSim.mHosts[host].mAdmission,
         RequestArrived{ .mTicket = aRequest.mId,
                         .mAccount = ClientAccountId{ std::to_string(aRequest.mAccount) },
                         .mPriority = aRequest.mLong ? Priority::kDeferrable : Priority::kUrgent,
                         .mDeadline =
                           aSim.Clock() + Milliseconds{ static_cast<std::int64_t>(untilDeadline) },
                         .mWork = ExpectedWork(aRequest) },
         aSim.Clock()));
}

void
MakeEngines(Simulation& aSim)
{
  for (std::size_t i = 0; i < aSim.mOptions.mEngines; ++i) {
    const bool onDemand = i % kOnDemandEvery == 0;
    aSim.mEngines.push_back(
      { .mPrice = onDemand ? kOnDemandPrice : 1, .mZone = (i / kOnDemandEvery) % kZones });
    aSim.mServers.push_back({ .mServer = BackendServerId{ std::to_string(i) },
                              .mVersion = VersionId{ "v1" },
                              .mPrice = aSim.mEngines.back().mPrice,
                              .mReclaimsPerHour = onDemand ? 0 : kReclaimsPerHour });
  }
}

void
MakeHosts(Simulation& aSim)
{
  double work = 0;
  for (const ModelRequest& request : aSim.mLoad) {
    work += ExpectedWork(request);
  }
  HostView all;
  for (std::size_t i = 0; i < kHosts; ++i) {
    all.mAlive.insert(HostNumber(i));
  }
  for (std::size_t i = 0; i < kHosts; ++i) {
    std::vector<RoutableServer> servers = aSim.mServers;
    for (std::size_t engine = 0; engine < servers.size(); ++engine) {
      servers[engine].mSameZone = aSim.mEngines[engine].mZone == i % kZones;
      servers[engine].mRoundTripMs = servers[engine].mSameZone ? 0 : kOtherZoneMs;
    }
    EntryHostModel host{
      .mRouting = MakeRoutingState(
        { .mWeights = aSim.mOptions.mWeights, .mMaxPrefixDigests = std::size_t{ 1 } << 14 }),
      .mAdmission = MakeAdmissionState(
        { .mSelf = HostNumber(i),
          .mHostsAtStart = kHosts,
          .mSlots = static_cast<std::int64_t>(aSim.mOptions.mEngines * kMaxStreams),
          .mPeakWorkPerMinute = aSim.mOptions.mPeakBudget * work / kLoadMinutes },
        aSim.Clock())
    };
    SetServers(host.mRouting, servers);
    Step(host.mAdmission, HostViewChanged{ all }, aSim.Clock());
    aSim.mHosts.push_back(std::move(host));
  }
}

double
Percentile(std::vector<double>& aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto place = static_cast<std::ptrdiff_t>(aPart * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + place, aValues.end());
  return aValues[static_cast<std::size_t>(place)];
}

// Returns the gap between tokens that the part `aPart` of all tokens does not exceed.
double
GapPercentile(const std::vector<double>& aGaps, double aPart)
{
  double total = 0;
  for (const double count : aGaps) {
    total += count;
  }
  double sum = 0;
  for (std::size_t ms = 0; ms < aGaps.size(); ++ms) {
    sum += aGaps[ms];
    if (sum >= aPart * total) {
      return static_cast<double>(ms + 1);
    }
  }
  return static_cast<double>(aGaps.size());
}

RunResult
Summarise(Simulation& aSim)
{
  RunResult result = aSim.mResult;
  result.mFirstTokenP50Ms = Percentile(aSim.mFirstTokens, 0.5);
  result.mFirstTokenP95Ms = Percentile(aSim.mFirstTokens, 0.95);
  result.mBetweenTokensP95Ms = GapPercentile(aSim.mGaps, 0.95);
  result.mPeakEngines = *std::ranges::max_element(aSim.mBusyMs) / kMsPerMinute;
  result.mPeakCost = *std::ranges::max_element(aSim.mBusyCost) / kMsPerMinute;
  for (const double cost : aSim.mBusyCost) {
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
  sim.mSeenFirstToken.resize(sim.mLoad.size());
  MakeEngines(sim);
  MakeHosts(sim);
  ScheduleReclaims(sim);
  for (const ModelRequest& request : sim.mLoad) {
    sim.At(request.mArrivalMs, [&sim, &request] { Arrive(sim, request); });
  }
  for (std::size_t engine = 0; engine < sim.mEngines.size(); ++engine) {
    sim.At(sim.Uniform(0, kReportEveryMs), [&sim, engine] { ReportLoad(sim, engine); });
  }
  for (std::size_t host = 0; host < kHosts; ++host) {
    sim.At(sim.Uniform(0, kTickEveryMs), [&sim, host] { TickHost(sim, host, 1); });
  }
  while (!sim.mAgenda.empty()) {
    const Happening next = sim.mAgenda.top();
    sim.mAgenda.pop();
    sim.mNowMs = next.mAtMs;
    next.mWhat();
  }
  return Summarise(sim);
}

} // namespace trefoil::bench
