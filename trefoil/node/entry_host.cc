#include "trefoil/node/entry_host.h"

#include "trefoil/base/digest.h"
#include "trefoil/frontend/verdict_response.h"
#include "trefoil/memory/memory_budget.h"
#include "trefoil/net/bind_error.h"
#include "trefoil/node/internal/admission_request.h"
#include "trefoil/node/internal/caller.h"
#include "trefoil/node/internal/guarded_step.h"
#include "trefoil/node/internal/peer_requests.h"
#include "trefoil/node/internal/peer_streams.h"
#include "trefoil/node/internal/shared_request_state.h"
#include "trefoil/startup/allocator.h"
#include "trefoil/startup/descriptors.h"
#include "trefoil/store_client/store_client.h"
#include "trefoil/wire/codec.h"

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include <spdlog/spdlog.h>

namespace trefoil {
namespace {

// The timeout of a list call to the store.
constexpr Milliseconds kStoreTimeout{ 2000 };
// How long one watch call waits for a change.
constexpr Milliseconds kWatchTimeout{ 1000 };
// The backoff after consecutive failed calls to the store: its unit, the maximum of its random
// part, and the number of failures after which that no longer doubles. The delays are random so
// that hosts do not retry at the same time.
constexpr Milliseconds kInitialStoreBackoff{ 250 };
constexpr Milliseconds kMaxStoreBackoff{ 4'000 };
constexpr unsigned kMaxBackoffDoublings = 4;
// How often the thread that receives datagrams checks whether the host is stopping.
constexpr Milliseconds kReceiveTimeout{ 200 };
// How often a shutdown checks whether the requests in flight have completed.
constexpr Milliseconds kDrainCheckInterval{ 20 };
// How long before its end a host ends the calls that are left, so that their answers are sent.
constexpr Milliseconds kFinalAnswerTime{ 500 };
// How long the load balancer may take to detect that the host is not ready.
constexpr Milliseconds kBalancerReactionTime{ 300 };
constexpr std::string_view kDocumentPrefix = "services/";
// Another host whose callers read a stream of this host holds a connection while it waits for
// updates.
constexpr std::size_t kMaxPeerConnections = 256;
// Sockets of connections that are carried for other hosts, two for each.
constexpr std::size_t kMaxRelayConnections = 512;
// Descriptors that are kept for files, listeners, the log and calls to the store.
constexpr std::size_t kReservedDescriptors = 60;
// A request takes its client's connection and one to a server.
constexpr std::size_t kConnectionsOfRequest = 2;
// The parts of the other descriptors that connections of other hosts, and those that are carried
// for them, may take.
constexpr std::size_t kPeerParts = 8;
constexpr std::size_t kRelayParts = 8;
// The part of the memory budget that requests of other hosts may take.
constexpr std::size_t kPeerMemoryParts = 4;
// The most time at the end of the stop notice that is reserved for handing streams over.
constexpr Milliseconds kMaxHandOverReserve{ 3000 };

// The connections that the process may have open.
struct ConnectionShares
{
  std::size_t mClients = 0;
  std::size_t mPeers = 0;
  std::size_t mRelays = 0;
};

ConnectionShares
SharesOfConnections(const HostSettings& aSettings)
{
  const std::size_t left =
    DescriptorsLeft({ .mMax = DescriptorLimit(), .mReserved = kReservedDescriptors });
  ConnectionShares shares{ .mPeers = std::min(kMaxPeerConnections, left / kPeerParts + 1),
                           .mRelays = std::min(kMaxRelayConnections, left / kRelayParts + 1) };
  shares.mClients =
    std::min(static_cast<std::size_t>(aSettings.mMaxConnections),
             DescriptorsLeft({ .mMax = left, .mReserved = shares.mPeers + shares.mRelays }));
  return shares;
}

MemoryLimits
MemoryLimitsOf(const HostSettings& aSettings)
{
  return LimitsOfMachine(MachineMemory(aSettings.mMemoryBytes));
}

Milliseconds
HandOverReserve(std::int64_t aNoticeMilliseconds)
{
  return std::min(Milliseconds{ aNoticeMilliseconds / 2 }, kMaxHandOverReserve);
}

// Returns when the store may be called again after `aFailures` consecutive failures. The delay has
// a fixed part of half of kInitialStoreBackoff and a random part, whose bound doubles with each
// failure up to kMaxStoreBackoff.
Instant
NextStoreCallAt(unsigned aFailures)
{
  const auto maxDelay = std::min(
    kMaxStoreBackoff, kInitialStoreBackoff * (1U << std::min(aFailures, kMaxBackoffDoublings)));
  const auto randomDelay = Digest64(RandomHex()) % static_cast<std::uint64_t>(maxDelay.count());
  return Now() + kInitialStoreBackoff / 2 + Milliseconds{ randomDelay };
}

} // namespace

EntryHost::EntryHost(const HostSettings& aSettings, UdpSocket aSocket)
  : mSettings(aSettings)
  , mSocket(std::move(aSocket))
  , mPeerInbox({ .mSocket = &mSocket,
                 .mApply = [this](std::string_view aBytes) { ApplyPeerMessage(aBytes); } })
  , mStoreWorker({ .mStore = { .mEndpoint = mSettings.mStore }, .mQueue = &mQueue })
  , mPeerWorker({ .mQueue = &mQueue })
  , mRequestBroker(mQueue)
  , mAdmissionController(
      { .mHost = mSettings.mHost,
        .mIncarnation = static_cast<std::uint64_t>(UnixMilliseconds(WallNow())),
        .mHostsAtStart = mSettings.mSeeds.size() + 1,
        .mMaxRequests = SharesOfConnections(mSettings).mClients / kConnectionsOfRequest })
  , mRequestState(std::make_unique<SharedRequestState>(
      mSettings.mHost,
      [this](const Message& aMessage) { BroadcastMessage(aMessage); },
      [this] { mPeerInbox.ApplyArrived(); }))
  , mConnector({ .mHost = mSettings.mHost, .mZone = mSettings.mZone, .mSnapshots = &mSnapshots })
  , mRelayThread({ .mConnector = &mConnector,
                   .mSnapshots = &mSnapshots,
                   .mMaxConnections = SharesOfConnections(mSettings).mRelays })
  , mTraffic{ .mHost = mSettings.mHost,
              .mZone = mSettings.mZone,
              .mSnapshots = &mSnapshots,
              .mRouting = &mRouting,
              .mAdmissionController = &mAdmissionController,
              .mActiveRequests = &mActiveRequests,
              .mMetrics = &mMetrics,
              .mRequestState = mRequestState.get(),
              .mRequestBroker = &mRequestBroker,
              .mClusterSecret = mSettings.mClusterSecret,
              .mConnector = &mConnector,
              .mOutcomes = &mOutcomes }
{
}

absl::StatusOr<std::unique_ptr<EntryHost>>
EntryHost::Start(const HostSettings& aSettings)
{
  try {
    auto socket = UdpSocket::Bind(aSettings.mPeerListen);
    if (!socket.ok()) {
      return socket.status();
    }
    std::unique_ptr<EntryHost> host{ new EntryHost{ aSettings, std::move(*socket) } };
    EntryHost* hostPointer = host.get();
    auto peerServer = PeerServer::Start(
      { .mListen = aSettings.mPeerListen,
        .mHandler =
          [hostPointer](const Message& aRequest) {
            auto answer = AnswerStreamMessage(hostPointer->mTraffic, aRequest);
            return answer.has_value() ? answer
                                      : AnswerPeerRequest(hostPointer->mSnapshots, aRequest);
          },
        .mOnRelay =
          [hostPointer](const Poco::Net::StreamSocket& aSocket, const RelayOpen& aOpen) {
            hostPointer->mRelayThread.Carry(aSocket, aOpen);
          },
        .mMaxConnections = static_cast<std::int64_t>(SharesOfConnections(aSettings).mPeers),
        .mMaxReceivedBytes = MemoryLimitsOf(aSettings).mTotal / kPeerMemoryParts });
    if (!peerServer.ok()) {
      return peerServer.status();
    }
    host->mPeerServer = std::move(*peerServer);
    // The server for callers comes last: connections that it has taken are reset if another
    // endpoint cannot be bound.
    auto server = HttpServer::Start(
      { .mListen = aSettings.mListen,
        .mHandler = [hostPointer](
                      HttpExchange& aExchange) { ServeRequest(hostPointer->mTraffic, aExchange); },
        .mMaxBodyBytes = static_cast<std::size_t>(aSettings.mMaxBodyBytes),
        .mMaxConnections = static_cast<std::int64_t>(SharesOfConnections(aSettings).mClients),
        .mConnectionsPerRequest = 1,
        .mIdleConnectionMilliseconds = aSettings.mIdleConnectionMilliseconds,
        .mMemoryLimits = MemoryLimitsOf(aSettings),
        .mMakeRefusal =
          [] {
            return RenderFailure(
              NewRequestId(),
              { .mVerdict = Verdict::kNotRun,
                .mStatus = absl::UnavailableError("there is no room for the request now") });
          },
        .mMetrics = &hostPointer->mMetrics,
        .mLog = [](std::string_view aText) { spdlog::warn("{}", aText); } });
    if (!server.ok()) {
      return server.status();
    }
    host->mServer = std::move(*server);
    host->mControlThread = std::thread{ [hostPointer] { hostPointer->RunControl(); } };
    host->mStoreThread = std::thread{ [hostPointer] { hostPointer->RunStoreWatcher(); } };
    host->mPeerThread = std::thread{ [hostPointer] { hostPointer->RunPeerReceiver(); } };
    return host;
  } catch (const std::exception& error) {
    return BindError(error);
  }
}

EntryHost::~EntryHost()
{
  mStopping = true;
  for (const auto& stream : mRequestState->mStreams.Running()) {
    stream->Fail({ .mVerdict = Verdict::kMayHaveRun,
                   .mStatus = absl::UnavailableError("the entry host stopped") });
  }
  mServer.reset();
  mPeerServer.reset();
  mQueue.Close();
  mStoreWatchSwitch.Close();
  for (std::thread* thread : { &mControlThread, &mStoreThread, &mPeerThread }) {
    if (thread->joinable()) {
      thread->join();
    }
  }
  // The destructor waits for the threads that continue streams of other hosts, since they use the
  // other members.
  mRequestState.reset();
}

std::int64_t
EntryHost::Stop()
{
  const Instant end = Now() + Milliseconds{ mSettings.mStopNoticeMilliseconds };
  mQueue.Push(StopRequested{});
  mRequestState->mStopsAt.Set(end - kFinalAnswerTime);
  mRelayThread.Decline();
  absl::SleepFor(absl::FromChrono(std::min(kBalancerReactionTime, Remaining(end, Now()))));
  const Instant handOverAt = end - HandOverReserve(mSettings.mStopNoticeMilliseconds);
  HandOverStreams(mTraffic, handOverAt, end);
  if (mServer->Drain(handOverAt) > 0 || mActiveRequests.load() > 0) {
    HandOverStreams(mTraffic, Now(), end);
  }
  mServer->Drain(end);
  while (mActiveRequests.load() > 0 && !HasPassed(end, Now())) {
    absl::SleepFor(absl::FromChrono(kDrainCheckInterval));
  }
  return mActiveRequests.load();
}

void
EntryHost::BroadcastMessage(const Message& aMessage)
{
  const std::string bytes = Encode(aMessage);
  const auto snapshot = mSnapshots.Read();
  for (const auto& [host, member] : snapshot->mMembers.mByHost) {
    mSocket.Send(member.mHeartbeat.mPeerEndpoint, bytes).IgnoreError();
  }
}

void
EntryHost::RunControl()
{
  NodeControlState state =
    MakeNodeControlState({ .mHost = mSettings.mHost,
                           .mZone = mSettings.mZone,
                           .mPeerEndpoint = mSettings.mPeerListen,
                           .mListen = mSettings.mListen,
                           .mSeeds = mSettings.mSeeds,
                           .mIncarnation = static_cast<std::uint64_t>(UnixMilliseconds(WallNow())),
                           .mStartedAt = WallNow(),
                           .mRandomSeed = Digest64(RandomHex()) },
                         Now());
  while (!mQueue.Closed()) {
    RunGuardedStep("control", [&] { ProcessNextEvent(state); });
  }
}

void
EntryHost::ProcessNextEvent(NodeControlState& aState)
{
  const auto event = mQueue.Pop(NextTimer(aState));
  if (event.has_value()) {
    Execute(Step(aState, *event, Now()));
  }
  if (HasPassed(NextTimer(aState), Now())) {
    mOutcomes.Flush();
    Execute(Step(aState, TimerFired{}, Now()));
    RunAdmissionTimer(aState);
  }
}

void
EntryHost::RunAdmissionTimer(NodeControlState& aState)
{
  const Instant now = Now();
  AdmissionDemands demands = mAdmissionController.UpdateHostView(
    MakeHostView(*mSnapshots.Read(), mSettings.mZone, now), now);
  if (!demands.mDemands.empty()) {
    Execute(Step(aState, DemandsSampled{ .mDemands = std::move(demands) }, now));
  }
}

void
EntryHost::Execute(const ControlEffects& aEffects)
{
  for (const ControlEffect& effect : aEffects) {
    std::visit([this](const auto& aAlternative) { Execute(aAlternative); }, effect);
  }
}

void
EntryHost::Execute(const PublishSnapshot& aEffect)
{
  mSnapshots.Publish(aEffect.mSnapshot);
}

void
EntryHost::Execute(const SendMessage& aEffect)
{
  // A datagram that cannot be sent is treated like one that the network dropped: senders repeat
  // the messages that must arrive.
  mSocket.Send(aEffect.mTo, Encode(aEffect.mMessage)).IgnoreError();
}

void
EntryHost::Execute(const ReadStoreEntry& aEffect)
{
  mStoreWorker.Submit(aEffect);
}

void
EntryHost::Execute(const WriteStoreEntry& aEffect)
{
  mStoreWorker.Submit(aEffect);
}

void
EntryHost::Execute(const SendLeaseCall& aEffect)
{
  mStoreWorker.Submit(aEffect);
}

void
EntryHost::Execute(const FetchDocuments& aEffect)
{
  mPeerWorker.Submit(aEffect);
}

void
EntryHost::Execute(const PollServer& aEffect)
{
  mPeerWorker.Submit(aEffect);
}

void
EntryHost::Execute(const WatchDocuments& aEffect)
{
  mStoreWatchSwitch.SetEnabled(aEffect.mEnabled);
}

void
EntryHost::Execute(const AnswerClaim& aEffect)
{
  mRequestBroker.DeliverReply(aEffect.mWaiter, aEffect);
}

void
EntryHost::Execute(const AnswerTicketRequest& aEffect)
{
  mRequestBroker.DeliverReply(aEffect.mWaiter, aEffect);
}

void
EntryHost::Execute(const AnswerTicketUse& aEffect)
{
  mRequestBroker.DeliverReply(aEffect.mWaiter, aEffect);
}

void
EntryHost::RunStoreWatcher()
{
  StoreWatch watch;
  while (mStoreWatchSwitch.AwaitEnabled()) {
    RunGuardedStep("store", [&] { ContinueStoreWatch(watch); });
  }
}

void
EntryHost::ContinueStoreWatch(StoreWatch& aWatch)
{
  const StoreClient store{ .mEndpoint = mSettings.mStore };
  const auto listing = aWatch.mRevision.has_value()
                         ? Watch(store, kDocumentPrefix, *aWatch.mRevision, Now() + kWatchTimeout)
                         : List(store, kDocumentPrefix, Now() + kStoreTimeout);
  if (!listing.ok()) {
    spdlog::warn("the store does not answer: {}", listing.status().ToString());
    mMetrics.Add(Counter::kStoreFailures, 1);
    mQueue.Push(StoreUnreachable{});
    mStoreWatchSwitch.SleepUntil(NextStoreCallAt(++aWatch.mFailures));
    return;
  }
  aWatch.mFailures = 0;
  aWatch.mRevision = std::max(aWatch.mRevision.value_or(0), listing->mRevision);
  mQueue.Push(DocumentsRead{ .mListing = *listing });
}

void
EntryHost::RepeatEvidence()
{
  const auto snapshot = mSnapshots.Read();
  const auto& members = snapshot->mMembers.mByHost;
  const bool isFirst = members.empty() || mSettings.mHost <= members.begin()->first;
  mRequestState->mCrashes.RepeatEvidence(isFirst);
}

void
EntryHost::RunPeerReceiver()
{
  Instant repeatAt;
  while (!mStopping.load()) {
    RunGuardedStep("peer", [&] { ReceivePeerMessages(repeatAt); });
  }
}

void
EntryHost::ReceivePeerMessages(Instant& aRepeatAt)
{
  mPeerInbox.Wait(Now() + kReceiveTimeout);
  if (HasPassed(aRepeatAt, Now())) {
    aRepeatAt = Now() + kReceiveTimeout;
    RepeatEvidence();
  }
}

void
EntryHost::ApplyPeerMessage(std::string_view aBytes)
{
  auto message = Decode(aBytes);
  // Also called by the streams that the destructor of mRequestState waits for.
  if (!message.ok() || mTraffic.mRequestState->mCrashes.ApplyPeerMessage(*message)) {
    return;
  }
  if (const auto* demands = std::get_if<AdmissionDemands>(&*message)) {
    mAdmissionController.ApplyPeerDemands(*demands, Now());
  } else {
    mQueue.Push(MessageReceived{ .mMessage = std::move(*message) });
  }
}

} // namespace trefoil
