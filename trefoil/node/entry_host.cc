#include "trefoil/node/entry_host.h"

#include "trefoil/base/digest.h"
#include "trefoil/node/internal/admission_request.h"
#include "trefoil/node/internal/peer_requests.h"
#include "trefoil/node/internal/peer_streams.h"
#include "trefoil/node/internal/request_life.h"
#include "trefoil/platform/store_client.h"
#include "trefoil/wire/codec.h"

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include <spdlog/spdlog.h>

namespace trefoil {
namespace {

// How long a call to the store may take.
constexpr Milliseconds kStoreLimit{ 2000 };
// How long a watch waits for a change.
constexpr Milliseconds kWatchWait{ 1000 };
// The longest pause after the first failed call to the store in a row, and after many. The pauses
// are random, so that hosts do not come back together.
constexpr Milliseconds kFirstStorePause{ 250 };
constexpr Milliseconds kMaxStorePause{ 4'000 };
constexpr unsigned kMaxDoublings = 4;
// How often the threads that wait on a socket look whether the host stops.
constexpr Milliseconds kReceiveWait{ 200 };
// How often a stop looks whether the requests in flight have ended.
constexpr Milliseconds kDrainCheck{ 20 };
// How long the balancer may take to notice that the host is not ready.
constexpr Milliseconds kBalancerNotice{ 300 };
constexpr std::string_view kDocumentPrefix = "services/";
// Hosts whose callers follow streams of this host hold a connection while they wait for news.
constexpr std::int64_t kMaxPeerConnections = 256;
// The end of the stop notice that is kept for handing streams over.
constexpr Milliseconds kLongestHandOverReserve{ 3000 };

Milliseconds
HandOverReserve(std::int64_t aNoticeMilliseconds)
{
  return std::min(Milliseconds{ aNoticeMilliseconds / 2 }, kLongestHandOverReserve);
}

// Returns when the store may be asked again after so many failures in a row.
Instant
PauseEnd(unsigned aFailures)
{
  const auto most =
    std::min(kMaxStorePause, kFirstStorePause * (1U << std::min(aFailures, kMaxDoublings)));
  const auto part = Digest64(RandomHex()) % static_cast<std::uint64_t>(most.count());
  return Now() + kFirstStorePause / 2 + Milliseconds{ part };
}

} // namespace

EntryHost::EntryHost(const HostSettings& aSettings, UdpSocket aSocket)
  : mSettings(aSettings)
  , mSocket(std::move(aSocket))
  , mStoreWorker({ .mStore = { .mEndpoint = mSettings.mStore }, .mQueue = &mQueue })
  , mPeerWorker({ .mQueue = &mQueue })
  , mDesk(mQueue)
  , mAdmission({ .mHost = mSettings.mHost,
                 .mIncarnation = static_cast<std::uint64_t>(UnixMilliseconds(WallNow())),
                 .mHostsAtStart = mSettings.mSeeds.size() + 1 })
  , mLife(std::make_unique<RequestLife>(mSettings.mHost,
                                        [this](const Message& aMessage) { TellHosts(aMessage); }))
  , mTraffic{ .mHost = mSettings.mHost,
              .mZone = mSettings.mZone,
              .mSnapshots = &mSnapshots,
              .mRouting = &mRouting,
              .mAdmission = &mAdmission,
              .mActive = &mActive,
              .mMetrics = &mMetrics,
              .mLife = mLife.get(),
              .mDesk = &mDesk,
              .mClusterSecret = mSettings.mClusterSecret,
              .mOutcomes = &mOutcomes }
{
}

absl::StatusOr<std::unique_ptr<EntryHost>>
EntryHost::Start(const HostSettings& aSettings)
{
  auto socket = UdpSocket::Bind(aSettings.mPeerListen);
  if (!socket.ok()) {
    return socket.status();
  }
  std::unique_ptr<EntryHost> host{ new EntryHost{ aSettings, std::move(*socket) } };
  EntryHost* raw = host.get();
  auto server = HttpServer::Start(
    { .mListen = aSettings.mListen,
      .mHandler = [raw](HttpExchange& aExchange) { Serve(raw->mTraffic, aExchange); },
      .mMaxBodyBytes = static_cast<std::size_t>(aSettings.mMaxBodyBytes),
      .mMaxConnections = aSettings.mMaxConnections,
      .mIdleConnectionMilliseconds = aSettings.mIdleConnectionMilliseconds });
  if (!server.ok()) {
    return server.status();
  }
  host->mServer = std::move(*server);
  auto peerServer = PeerServer::Start({ .mListen = aSettings.mPeerListen,
                                        .mHandler =
                                          [raw](const Message& aRequest) {
                                            auto answer = AnswerStreams(raw->mTraffic, aRequest);
                                            return answer.has_value()
                                                     ? answer
                                                     : AnswerPeer(raw->mSnapshots, aRequest);
                                          },
                                        .mMaxConnections = kMaxPeerConnections });
  if (!peerServer.ok()) {
    return peerServer.status();
  }
  host->mPeerServer = std::move(*peerServer);
  host->mControlThread = std::thread{ [raw] { raw->RunControl(); } };
  host->mStoreThread = std::thread{ [raw] { raw->RunStoreWatch(); } };
  host->mPeerThread = std::thread{ [raw] { raw->RunPeerReceive(); } };
  return host;
}

EntryHost::~EntryHost()
{
  mStopping = true;
  for (const auto& record : mLife->mStreams.Running()) {
    record->Fail({ .mVerdict = Verdict::kMayHaveRun,
                   .mStatus = absl::UnavailableError("the entry host stopped") });
  }
  mServer.reset();
  mPeerServer.reset();
  mQueue.Close();
  mWatchGate.Close();
  for (std::thread* thread : { &mControlThread, &mStoreThread, &mPeerThread }) {
    if (thread->joinable()) {
      thread->join();
    }
  }
  // Waits for the streams of other hosts, which use the other members.
  mLife.reset();
}

std::int64_t
EntryHost::Stop()
{
  const Instant end = Now() + Milliseconds{ mSettings.mStopNoticeMilliseconds };
  mQueue.Push(StopAnnounced{});
  absl::SleepFor(absl::FromChrono(std::min(kBalancerNotice, Remaining(end, Now()))));
  const Instant handOverAt = end - HandOverReserve(mSettings.mStopNoticeMilliseconds);
  HandOverStreams(mTraffic, handOverAt, end);
  if (mServer->Drain(handOverAt) > 0 || mActive.load() > 0) {
    HandOverStreams(mTraffic, Now(), end);
  }
  mServer->Drain(end);
  while (mActive.load() > 0 && !HasPassed(end, Now())) {
    absl::SleepFor(absl::FromChrono(kDrainCheck));
  }
  return mActive.load();
}

void
EntryHost::TellHosts(const Message& aMessage)
{
  const std::string bytes = Encode(aMessage);
  for (const auto& [host, member] : mSnapshots.Read()->mMembers.mByHost) {
    mSocket.Send(member.mHeartbeat.mPeerEndpoint, bytes).IgnoreError();
  }
}

void
EntryHost::RunControl()
{
  ControlState state =
    MakeControlState({ .mHost = mSettings.mHost,
                       .mZone = mSettings.mZone,
                       .mPeerEndpoint = mSettings.mPeerListen,
                       .mListen = mSettings.mListen,
                       .mSeeds = mSettings.mSeeds,
                       .mIncarnation = static_cast<std::uint64_t>(UnixMilliseconds(WallNow())),
                       .mStartedAt = WallNow(),
                       .mRandomSeed = Digest64(RandomHex()) },
                     Now());
  while (!mQueue.Closed()) {
    const auto event = mQueue.Pop(NextTimer(state));
    if (event.has_value()) {
      CarryOut(Step(state, *event, Now()));
    }
    if (HasPassed(NextTimer(state), Now())) {
      mOutcomes.Flush();
      CarryOut(Step(state, TimerFired{}, Now()));
      TickAdmission(state);
    }
  }
}

void
EntryHost::TickAdmission(ControlState& aState)
{
  const Instant now = Now();
  AdmissionDemands demands =
    mAdmission.Tick(ViewOfHosts(*mSnapshots.Read(), mSettings.mZone, now), now);
  if (!demands.mDemands.empty()) {
    CarryOut(Step(aState, DemandsSampled{ .mDemands = std::move(demands) }, now));
  }
}

void
EntryHost::CarryOut(const ControlEffects& aEffects)
{
  for (const ControlEffect& effect : aEffects) {
    std::visit([this](const auto& aKind) { CarryOut(aKind); }, effect);
  }
}

void
EntryHost::CarryOut(const PublishSnapshot& aEffect)
{
  mSnapshots.Publish(aEffect.mSnapshot);
}

void
EntryHost::CarryOut(const SendMessage& aEffect)
{
  // A datagram that cannot be sent is lost like any other: the sender repeats what must arrive.
  mSocket.Send(aEffect.mTo, Encode(aEffect.mMessage)).IgnoreError();
}

void
EntryHost::CarryOut(const StoreReadWanted& aEffect)
{
  mStoreWorker.Submit(aEffect);
}

void
EntryHost::CarryOut(const StoreWriteWanted& aEffect)
{
  mStoreWorker.Submit(aEffect);
}

void
EntryHost::CarryOut(const LeaseCallWanted& aEffect)
{
  mStoreWorker.Submit(aEffect);
}

void
EntryHost::CarryOut(const FetchDocuments& aEffect)
{
  mPeerWorker.Submit(aEffect);
}

void
EntryHost::CarryOut(const PollServer& aEffect)
{
  mPeerWorker.Submit(aEffect);
}

void
EntryHost::CarryOut(const WatchDocuments& aEffect)
{
  mWatchGate.SetWanted(aEffect.mWanted);
}

void
EntryHost::CarryOut(const AnswerClaim& aEffect)
{
  mDesk.Answer(aEffect.mWaiter, aEffect);
}

void
EntryHost::CarryOut(const TicketMinted& aEffect)
{
  mDesk.Answer(aEffect.mWaiter, aEffect);
}

void
EntryHost::CarryOut(const TicketDecided& aEffect)
{
  mDesk.Answer(aEffect.mWaiter, aEffect);
}

void
EntryHost::RunStoreWatch()
{
  const StoreClient store{ .mEndpoint = mSettings.mStore };
  std::optional<std::uint64_t> revision;
  unsigned failures = 0;
  while (mWatchGate.Wait()) {
    const auto listing = revision.has_value()
                           ? Watch(store, kDocumentPrefix, *revision, Now() + kWatchWait)
                           : List(store, kDocumentPrefix, Now() + kStoreLimit);
    if (!listing.ok()) {
      spdlog::warn("the store does not answer: {}", listing.status().ToString());
      mMetrics.Add(Counter::kStoreFailures, 1);
      mQueue.Push(StoreUnreachable{});
      mWatchGate.Pause(PauseEnd(++failures));
      continue;
    }
    failures = 0;
    revision = std::max(revision.value_or(0), listing->mRevision);
    mQueue.Push(DocumentsRead{ .mListing = *listing });
  }
}

void
EntryHost::RunPeerReceive()
{
  while (!mStopping.load()) {
    const auto bytes = mSocket.Receive(Now() + kReceiveWait);
    if (!bytes.ok()) {
      continue;
    }
    auto message = Decode(*bytes);
    if (!message.ok() || mLife->mCrashes.Take(*message)) {
      continue;
    }
    if (const auto* demands = std::get_if<AdmissionDemands>(&*message)) {
      mAdmission.Hear(*demands, Now());
    } else {
      mQueue.Push(MessageArrived{ .mMessage = std::move(*message) });
    }
  }
}

} // namespace trefoil
