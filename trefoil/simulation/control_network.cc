#include "trefoil/simulation/control_network.h"

#include "trefoil/wire/codec.h"

#include <algorithm>
#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr Milliseconds kTick{ 10 };
constexpr std::uint16_t kPeerPort = 7000;
constexpr unsigned kHundredPercent = 100;
constexpr std::size_t kMaxSeeds = 4;
constexpr std::size_t kMaxQueuedEvents = 200;
constexpr std::size_t kHostsInSubnet = 250;
// Sizes of a poll: an HTTP request as Poco sends it and the reply of the stand-in engine.
constexpr std::uint64_t kPollRequestBytes = 90;
constexpr std::uint64_t kPollReplyBytes = 230;

Endpoint
EndpointOf(std::size_t aHost)
{
  return { .mAddress =
             fmt::format("10.0.{}.{}", aHost / kHostsInSubnet, 1 + aHost % kHostsInSubnet),
           .mPort = kPeerPort };
}

} // namespace

ControlNetwork::ControlNetwork(const ControlNetworkOptions& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mNow(Instant{} + Milliseconds{ 1'000'000 })
  , mHosts(aOptions.mZones * aOptions.mHostsPerZone)
  , mZonePartitioned(aOptions.mZones)
  , mStorePartitioned(aOptions.mZones)
{
  const std::size_t servers =
    aOptions.mZones * aOptions.mServersPerZone + aOptions.mLastZoneExtraServers;
  for (std::size_t i = 0; i < servers; ++i) {
    mServers.push_back({ .mServer = BackendServerId{ fmt::format("engine-{}", i) },
                         .mZone = std::min(i / aOptions.mServersPerZone, aOptions.mZones - 1) });
    mServerIndex[mServers.back().mServer] = i;
  }
  for (std::size_t host = 0; host < mHosts.size(); ++host) {
    mHostByEndpoint[EndpointOf(host)] = host;
    StartHost(host);
  }
}

void
ControlNetwork::StartHost(std::size_t aHost)
{
  SimulatedHost& host = mHosts[aHost];
  NodeControlOptions options{ .mHost = HostId{ fmt::format("host-{}", aHost) },
                              .mZone = AvailabilityZoneId{ fmt::format("zone-{}", ZoneOf(aHost)) },
                              .mPeerEndpoint = EndpointOf(aHost),
                              .mListen = EndpointOf(aHost),
                              .mIncarnation = ++host.mStartCount,
                              .mRandomSeed = mRandom() };
  const std::size_t seeds = std::min(mHosts.size(), kMaxSeeds);
  for (std::size_t i = 0; i < seeds; ++i) {
    options.mSeeds.push_back(EndpointOf(i * mHosts.size() / seeds));
  }
  host.mState = MakeNodeControlState(options, mNow);
  host.mSnapshot = std::make_shared<const Snapshot>();
  host.mQueuedEvents.clear();
  host.mWatchesStore = true;
  host.mWatchedRevision = 0;
  host.mCondition = HostCondition::kRunning;
  if (mStorePartitioned[ZoneOf(aHost)]) {
    DeliverEvent(aHost, StoreUnreachable{});
  } else {
    DeliverEvent(aHost, DocumentsRead{});
  }
}

void
ControlNetwork::Run(Milliseconds aDuration)
{
  RunUntil([] { return false; }, aDuration);
}

bool
ControlNetwork::RunUntil(const std::function<bool()>& aDone, Milliseconds aMax)
{
  const Instant end = mNow + aMax;
  while (!aDone()) {
    if (HasPassed(end, mNow)) {
      return false;
    }
    mNow += kTick;
    DeliverDueEvents();
    DeliverStoreUpdates();
    FireDueTimers();
  }
  return true;
}

void
ControlNetwork::DeliverDueEvents()
{
  while (!mInFlight.empty() && HasPassed(mInFlight.begin()->first, mNow)) {
    InFlightEvent inFlight = std::move(mInFlight.begin()->second);
    mInFlight.erase(mInFlight.begin());
    if (inFlight.mDatagram.has_value()) {
      mHosts[inFlight.mTo].mTraffic.mReceivedBytes += inFlight.mDatagram->size();
      if (mOnStep) {
        mOnStep(inFlight.mTo, true);
      }
      auto message = Decode(*inFlight.mDatagram);
      if (mOnStep) {
        mOnStep(inFlight.mTo, false);
      }
      if (!message.ok()) {
        continue;
      }
      inFlight.mEvent = MessageReceived{ .mMessage = std::move(*message) };
    }
    DeliverEvent(inFlight.mTo, inFlight.mEvent);
  }
}

void
ControlNetwork::DeliverStoreUpdates()
{
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    SimulatedHost& host = mHosts[i];
    const bool isWatching = host.mWatchesStore && host.mCondition == HostCondition::kRunning;
    const bool hasUpdate =
      !mStoreEntries.empty() && mStoreEntries.back().mRevision > host.mWatchedRevision;
    if (!isWatching || !hasUpdate || mStorePartitioned[ZoneOf(i)]) {
      continue;
    }
    host.mWatchedRevision = mStoreEntries.back().mRevision;
    DeliverEvent(i,
                 DocumentsRead{ .mListing = { .mRevision = host.mWatchedRevision,
                                              .mEntries = { mStoreEntries.back() } } });
  }
}

void
ControlNetwork::FireDueTimers()
{
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    const bool running = mHosts[i].mCondition == HostCondition::kRunning;
    if (running && HasPassed(NextTimer(mHosts[i].mState), mNow)) {
      DeliverEvent(i, TimerFired{});
    }
  }
}

void
ControlNetwork::DeliverEvent(std::size_t aHost, const ControlEvent& aEvent)
{
  SimulatedHost& host = mHosts[aHost];
  if (host.mCondition == HostCondition::kDown) {
    return;
  }
  if (host.mCondition == HostCondition::kFrozen) {
    if (host.mQueuedEvents.size() < kMaxQueuedEvents) {
      host.mQueuedEvents.push_back(aEvent);
    }
    return;
  }
  if (mOnStep) {
    mOnStep(aHost, true);
  }
  const ControlEffects effects = Step(host.mState, aEvent, mNow);
  Execute(aHost, effects);
  if (mOnStep) {
    mOnStep(aHost, false);
  }
}

void
ControlNetwork::Execute(std::size_t aHost, const ControlEffects& aEffects)
{
  for (const ControlEffect& effect : aEffects) {
    std::visit([this, aHost](const auto& aKind) { Execute(aHost, aKind); }, effect);
  }
}

void
ControlNetwork::Execute(std::size_t aHost, const PublishSnapshot& aEffect)
{
  mHosts[aHost].mSnapshot = aEffect.mSnapshot;
  if (mOnPublished) {
    mOnPublished(aHost);
  }
}

void
ControlNetwork::Execute(std::size_t aHost, const SendMessage& aEffect)
{
  std::string bytes = Encode(aEffect.mMessage);
  mHosts[aHost].mTraffic.mSentBytes += bytes.size();
  ++mHosts[aHost].mTraffic.mSentDatagrams;
  const auto to = mHostByEndpoint.find(aEffect.mTo);
  if (to == mHostByEndpoint.end() || !CanReach(aHost, to->second) ||
      RandomPercent() < mOptions.mLostPercent) {
    return;
  }
  if (RandomPercent() < mOptions.mDuplicatedPercent) {
    mInFlight.emplace(ArrivalTime(), InFlightEvent{ .mTo = to->second, .mDatagram = bytes });
  }
  mInFlight.emplace(ArrivalTime(),
                    InFlightEvent{ .mTo = to->second, .mDatagram = std::move(bytes) });
}

void
ControlNetwork::Execute(std::size_t aHost, const FetchDocuments& aEffect)
{
  ++mHosts[aHost].mTraffic.mFetches;
  DocumentsFetched fetched{ .mHost = aEffect.mFetch.mHost,
                            .mOffered = absl::UnavailableError("the peer is unreachable") };
  const std::size_t from = mHostByEndpoint.at(aEffect.mFetch.mPeer);
  if (CanReach(aHost, from) && mHosts[from].mCondition == HostCondition::kRunning) {
    const Snapshot& snapshot = *mHosts[from].mSnapshot;
    fetched.mOffered =
      OfferDocuments(*snapshot.mDocuments, aEffect.mFetch.mRequest, snapshot.mHasDocuments);
    const std::uint64_t requestBytes = Encode(aEffect.mFetch.mRequest).size();
    const std::uint64_t replyBytes = Encode(*fetched.mOffered).size();
    mHosts[aHost].mTraffic.mSentBytes += requestBytes;
    mHosts[aHost].mTraffic.mReceivedBytes += replyBytes;
    mHosts[from].mTraffic.mSentBytes += replyBytes;
    mHosts[from].mTraffic.mReceivedBytes += requestBytes;
  }
  mInFlight.emplace(ArrivalTime(), InFlightEvent{ .mTo = aHost, .mEvent = std::move(fetched) });
}

void
ControlNetwork::Execute(std::size_t aHost, const PollServer& aEffect)
{
  TrafficCounts& traffic = mHosts[aHost].mTraffic;
  ++traffic.mPolls;
  traffic.mSentBytes += kPollRequestBytes;
  PollResult result{ .mServer = aEffect.mPoll.mServer };
  SimulatedServer& server = mServers[mServerIndex.at(aEffect.mPoll.mServer)];
  const bool isCutOff = server.mZone != ZoneOf(aHost) &&
                        (mZonePartitioned[server.mZone] || mZonePartitioned[ZoneOf(aHost)]);
  if (server.mUp && !isCutOff) {
    traffic.mReceivedBytes += kPollReplyBytes;
    result.mAnswered = true;
    result.mReport =
      ServerReport{ .mServer = server.mServer,
                    .mIncarnation = server.mIncarnation,
                    .mSequence = ++server.mSequence,
                    .mState = server.mLeaving ? ServerState::kLeaving : ServerState::kUp,
                    .mRunning = static_cast<std::uint32_t>(RandomPercent()),
                    .mVersion = VersionId{ "v1" } };
  }
  mInFlight.emplace(ArrivalTime(),
                    InFlightEvent{ .mTo = aHost, .mEvent = ServerPolled{ .mResult = result } });
}

void
ControlNetwork::Execute(std::size_t aHost, const WatchDocuments& aEffect)
{
  mHosts[aHost].mWatchesStore = aEffect.mEnabled;
}

std::string
ControlNetwork::DocumentText() const
{
  std::string text = "service = \"rules\"\n[[version]]\nversion = \"v1\"\nshare_percent = 100\n";
  for (std::size_t i = 0; i < mServers.size(); ++i) {
    text += fmt::format("[[backend_server]]\nserver = \"{}\"\nendpoint = \"10.1.{}.{}:9000\"\n"
                        "availability_zone = \"zone-{}\"\nversion = \"v1\"\n",
                        mServers[i].mServer.Value(),
                        i / kHostsInSubnet,
                        1 + i % kHostsInSubnet,
                        mServers[i].mZone);
  }
  return text;
}

std::uint64_t
ControlNetwork::PutDocument(bool aValid)
{
  const std::uint64_t revision = mStoreEntries.size() + 1;
  mStoreEntries.push_back({ .mKey = "services/rules",
                            .mValue = aValid ? DocumentText() : "service = 1\n",
                            .mRevision = revision });
  return revision;
}

void
ControlNetwork::Freeze(std::size_t aHost)
{
  if (mHosts[aHost].mCondition == HostCondition::kRunning) {
    mHosts[aHost].mCondition = HostCondition::kFrozen;
  }
}

void
ControlNetwork::Thaw(std::size_t aHost)
{
  SimulatedHost& host = mHosts[aHost];
  if (host.mCondition != HostCondition::kFrozen) {
    return;
  }
  host.mCondition = HostCondition::kRunning;
  const std::deque<ControlEvent> waiting = std::move(host.mQueuedEvents);
  host.mQueuedEvents.clear();
  for (const ControlEvent& event : waiting) {
    DeliverEvent(aHost, event);
  }
}

void
ControlNetwork::Kill(std::size_t aHost)
{
  mHosts[aHost].mCondition = HostCondition::kDown;
}

void
ControlNetwork::Restart(std::size_t aHost)
{
  StartHost(aHost);
}

std::uint64_t
ControlNetwork::RevisionOn(std::size_t aHost)
{
  const auto& documents = mHosts[aHost].mState.mConfig.mDocuments.mByService;
  const auto found = documents.find(ServiceId{ "rules" });
  return found == documents.end() ? 0 : found->second.mRevision;
}

bool
ControlNetwork::CanReach(std::size_t aFrom, std::size_t aTo) const
{
  const std::size_t from = ZoneOf(aFrom);
  const std::size_t to = ZoneOf(aTo);
  return from == to || (!mZonePartitioned[from] && !mZonePartitioned[to]);
}

unsigned
ControlNetwork::RandomPercent()
{
  return static_cast<unsigned>(mRandom() % kHundredPercent);
}

Instant
ControlNetwork::ArrivalTime()
{
  return mNow + Milliseconds{ 1 + mRandom() % mOptions.mMaxDelayMilliseconds };
}

} // namespace trefoil
