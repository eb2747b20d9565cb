#include "trefoil/simulation/control_network.h"

#include "trefoil/wire/codec.h"

#include <algorithm>
#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr Milliseconds kTick{ 10 };
constexpr std::uint16_t kPeerPort = 7000;
constexpr unsigned kHundred = 100;
constexpr std::size_t kMaxSeeds = 4;
constexpr std::size_t kMaxWaiting = 200;
constexpr std::size_t kHostsInSubnet = 250;
// Bytes of a poll: an HTTP request and an answer as Poco and the stand-in engine send them.
constexpr std::uint64_t kPollRequestBytes = 90;
constexpr std::uint64_t kPollAnswerBytes = 230;

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
  , mHosts(aOptions.mZones * aOptions.mHostsOfZone)
  , mCutZones(aOptions.mZones)
  , mCutStores(aOptions.mZones)
{
  const std::size_t servers = aOptions.mZones * aOptions.mServersOfZone + aOptions.mFurtherServers;
  for (std::size_t i = 0; i < servers; ++i) {
    mServers.push_back({ .mServer = BackendServerId{ fmt::format("engine-{}", i) },
                         .mZone = std::min(i / aOptions.mServersOfZone, aOptions.mZones - 1) });
    mServerIndex[mServers.back().mServer] = i;
  }
  for (std::size_t host = 0; host < mHosts.size(); ++host) {
    mByEndpoint[EndpointOf(host)] = host;
    Start(host);
  }
}

void
ControlNetwork::Start(std::size_t aHost)
{
  SimulatedHost& host = mHosts[aHost];
  NodeControlOptions options{ .mHost = HostId{ fmt::format("host-{}", aHost) },
                              .mZone = AvailabilityZoneId{ fmt::format("zone-{}", ZoneOf(aHost)) },
                              .mPeerEndpoint = EndpointOf(aHost),
                              .mListen = EndpointOf(aHost),
                              .mIncarnation = ++host.mStarts,
                              .mRandomSeed = mRandom() };
  const std::size_t seeds = std::min(mHosts.size(), kMaxSeeds);
  for (std::size_t i = 0; i < seeds; ++i) {
    options.mSeeds.push_back(EndpointOf(i * mHosts.size() / seeds));
  }
  host.mState = MakeNodeControlState(options, mNow);
  host.mSnapshot = std::make_shared<const Snapshot>();
  host.mWaiting.clear();
  host.mWatchesStore = true;
  host.mWatchedRevision = 0;
  host.mCondition = HostCondition::kRunning;
  if (mCutStores[ZoneOf(aHost)]) {
    Feed(aHost, StoreUnreachable{});
  } else {
    Feed(aHost, DocumentsRead{});
  }
}

void
ControlNetwork::Run(Milliseconds aTime)
{
  RunUntil([] { return false; }, aTime);
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
    DeliverDue();
    WatchStores();
    FireTimers();
  }
  return true;
}

void
ControlNetwork::DeliverDue()
{
  while (!mUnderway.empty() && HasPassed(mUnderway.begin()->first, mNow)) {
    Underway underway = std::move(mUnderway.begin()->second);
    mUnderway.erase(mUnderway.begin());
    if (underway.mBytes.has_value()) {
      mHosts[underway.mTo].mCount.mReceivedBytes += underway.mBytes->size();
      if (mOnStep) {
        mOnStep(underway.mTo, true);
      }
      auto message = Decode(*underway.mBytes);
      if (mOnStep) {
        mOnStep(underway.mTo, false);
      }
      if (!message.ok()) {
        continue;
      }
      underway.mEvent = MessageReceived{ .mMessage = std::move(*message) };
    }
    Feed(underway.mTo, underway.mEvent);
  }
}

void
ControlNetwork::WatchStores()
{
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    SimulatedHost& host = mHosts[i];
    const bool asks = host.mWatchesStore && host.mCondition == HostCondition::kRunning;
    const bool newer = !mStored.empty() && mStored.back().mRevision > host.mWatchedRevision;
    if (!asks || !newer || mCutStores[ZoneOf(i)]) {
      continue;
    }
    host.mWatchedRevision = mStored.back().mRevision;
    Feed(i,
         DocumentsRead{
           .mListing = { .mRevision = host.mWatchedRevision, .mEntries = { mStored.back() } } });
  }
}

void
ControlNetwork::FireTimers()
{
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    const bool running = mHosts[i].mCondition == HostCondition::kRunning;
    if (running && HasPassed(NextTimer(mHosts[i].mState), mNow)) {
      Feed(i, TimerFired{});
    }
  }
}

void
ControlNetwork::Feed(std::size_t aHost, const ControlEvent& aEvent)
{
  SimulatedHost& host = mHosts[aHost];
  if (host.mCondition == HostCondition::kDown) {
    return;
  }
  if (host.mCondition == HostCondition::kFrozen) {
    if (host.mWaiting.size() < kMaxWaiting) {
      host.mWaiting.push_back(aEvent);
    }
    return;
  }
  if (mOnStep) {
    mOnStep(aHost, true);
  }
  const ControlEffects effects = Step(host.mState, aEvent, mNow);
  CarryOut(aHost, effects);
  if (mOnStep) {
    mOnStep(aHost, false);
  }
}

void
ControlNetwork::CarryOut(std::size_t aHost, const ControlEffects& aEffects)
{
  for (const ControlEffect& effect : aEffects) {
    std::visit([this, aHost](const auto& aKind) { CarryOut(aHost, aKind); }, effect);
  }
}

void
ControlNetwork::CarryOut(std::size_t aHost, const PublishSnapshot& aEffect)
{
  mHosts[aHost].mSnapshot = aEffect.mSnapshot;
  if (mOnPublished) {
    mOnPublished(aHost);
  }
}

void
ControlNetwork::CarryOut(std::size_t aHost, const SendMessage& aEffect)
{
  std::string bytes = Encode(aEffect.mMessage);
  mHosts[aHost].mCount.mSentBytes += bytes.size();
  ++mHosts[aHost].mCount.mSentDatagrams;
  const auto to = mByEndpoint.find(aEffect.mTo);
  if (to == mByEndpoint.end() || !CanReach(aHost, to->second) ||
      Percent() < mOptions.mLostPercent) {
    return;
  }
  if (Percent() < mOptions.mRepeatedPercent) {
    mUnderway.emplace(ArrivalTime(), Underway{ .mTo = to->second, .mBytes = bytes });
  }
  mUnderway.emplace(ArrivalTime(), Underway{ .mTo = to->second, .mBytes = std::move(bytes) });
}

void
ControlNetwork::CarryOut(std::size_t aHost, const FetchDocuments& aEffect)
{
  ++mHosts[aHost].mCount.mFetches;
  DocumentsFetched fetched{ .mHost = aEffect.mFetch.mHost,
                            .mOffered = absl::UnavailableError("cut off") };
  const std::size_t from = mByEndpoint.at(aEffect.mFetch.mPeer);
  if (CanReach(aHost, from) && mHosts[from].mCondition == HostCondition::kRunning) {
    const Snapshot& snapshot = *mHosts[from].mSnapshot;
    fetched.mOffered =
      OfferDocuments(*snapshot.mDocuments, aEffect.mFetch.mWanted, snapshot.mHasDocuments);
    const std::uint64_t asked = Encode(aEffect.mFetch.mWanted).size();
    const std::uint64_t answered = Encode(*fetched.mOffered).size();
    mHosts[aHost].mCount.mSentBytes += asked;
    mHosts[aHost].mCount.mReceivedBytes += answered;
    mHosts[from].mCount.mSentBytes += answered;
    mHosts[from].mCount.mReceivedBytes += asked;
  }
  mUnderway.emplace(ArrivalTime(), Underway{ .mTo = aHost, .mEvent = std::move(fetched) });
}

void
ControlNetwork::CarryOut(std::size_t aHost, const PollServer& aEffect)
{
  TrafficCount& count = mHosts[aHost].mCount;
  ++count.mPolls;
  count.mSentBytes += kPollRequestBytes;
  PollResult result{ .mServer = aEffect.mPoll.mServer };
  SimulatedServer& server = mServers[mServerIndex.at(aEffect.mPoll.mServer)];
  const bool cut =
    server.mZone != ZoneOf(aHost) && (mCutZones[server.mZone] || mCutZones[ZoneOf(aHost)]);
  if (server.mUp && !cut) {
    count.mReceivedBytes += kPollAnswerBytes;
    result.mAnswered = true;
    result.mReport =
      ServerReport{ .mServer = server.mServer,
                    .mIncarnation = server.mIncarnation,
                    .mSequence = ++server.mSequence,
                    .mState = server.mLeaving ? ServerState::kLeaving : ServerState::kUp,
                    .mRunning = static_cast<std::uint32_t>(Percent()),
                    .mVersion = VersionId{ "v1" } };
  }
  mUnderway.emplace(ArrivalTime(),
                    Underway{ .mTo = aHost, .mEvent = ServerPolled{ .mResult = result } });
}

void
ControlNetwork::CarryOut(std::size_t aHost, const WatchDocuments& aEffect)
{
  mHosts[aHost].mWatchesStore = aEffect.mWanted;
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
ControlNetwork::PutDocument(bool aGood)
{
  const std::uint64_t revision = mStored.size() + 1;
  mStored.push_back({ .mKey = "services/rules",
                      .mValue = aGood ? DocumentText() : "service = 1\n",
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
  const std::deque<ControlEvent> waiting = std::move(host.mWaiting);
  host.mWaiting.clear();
  for (const ControlEvent& event : waiting) {
    Feed(aHost, event);
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
  Start(aHost);
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
  return from == to || (!mCutZones[from] && !mCutZones[to]);
}

unsigned
ControlNetwork::Percent()
{
  return static_cast<unsigned>(mRandom() % kHundred);
}

Instant
ControlNetwork::ArrivalTime()
{
  return mNow + Milliseconds{ 1 + mRandom() % mOptions.mMaxDelayMilliseconds };
}

} // namespace trefoil
