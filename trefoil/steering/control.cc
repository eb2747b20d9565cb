#include "trefoil/steering/control.h"

#include "trefoil/steering/control_state.h"
#include "trefoil/steering/internal/datagrams.h"
#include "trefoil/steering/internal/duties.h"
#include "trefoil/steering/internal/relaying.h"
#include "trefoil/steering/internal/store_news.h"
#include "trefoil/wire/codec.h"
#include "trefoil/wire/crash_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <array>
#include <thread>
#include <utility>

namespace trefoil {
namespace {

// The record of the quotas is written so often: what it lacks after a kill of all hosts is within
// the slack.
constexpr Milliseconds kQuotaRecordEvery{ 500 };
// The store's list of hosts is read so often.
constexpr Milliseconds kHostsEvery{ 5'000 };
// Hosts that do not follow the store ask so often: keys that were taken away, and a configuration,
// are known within it and the wait of a watch.
constexpr Milliseconds kRelayEvery{ 800 };
// Dispatches of other hosts that come within this are taken in at once.
constexpr Milliseconds kGatherHeard{ 10 };
// Crashes are repeated in the news for so long, since a message may be lost.
constexpr Milliseconds kRepeatCrashes{ 3'000 };
// Windows of usage in a message: the running one and those that may still be counted.
constexpr std::size_t kUsageWindowsSent = 3;
constexpr Milliseconds kCloudSilence{ 1'500 };
constexpr int kMostDatagram = 65'507;

TrafficNews
MakeNews(ControlState& aState)
{
  const Instant now = SuspendAwareNow();
  TrafficNews news{ .mHost = aState.mOptions.mHost,
                    .mIncarnation = aState.mIncarnation,
                    .mSequence = ++aState.mSequence,
                    .mEndpoint = aState.mOptions.mPeerEndpoint,
                    .mZone = aState.mOptions.mZone,
                    .mWallMs = UnixMilliseconds(WallNow()),
                    .mHoldsDuties = aState.mHoldsDuties,
                    .mLeaving = aState.mLeaving,
                    .mBroken = aState.mReport.mBroken };
  for (const auto& [account, used] : aState.mReport.mQuotaUsed) {
    news.mQuotas.push_back(
      { .mAccount = account, .mUsed = static_cast<std::uint64_t>(std::max(0.0, used.mTotal)) });
  }
  std::size_t windows = 0;
  for (auto window = aState.mReport.mUsage.rbegin();
       window != aState.mReport.mUsage.rend() && windows < kUsageWindowsSent;
       ++window, ++windows) {
    for (const auto& [account, requests] : window->second) {
      news.mUsage.push_back(
        { .mWindow = window->first, .mAccount = account, .mRequests = requests });
    }
  }
  while (!aState.mCrashes.empty() && now - aState.mCrashes.front().first > kRepeatCrashes) {
    aState.mCrashes.pop_front();
  }
  for (const auto& [seenAt, crash] : aState.mCrashes) {
    news.mCrashes.push_back(ToCrashReport(crash));
  }
  for (const auto& [service, tokens] : aState.mReport.mPromptTokens) {
    news.mServices.push_back(
      { .mService = service, .mPromptTokens = static_cast<std::uint64_t>(tokens) });
  }
  if (!aState.mMoves.mMoves.empty()) {
    for (const auto& [service, versions] : aState.mReport.mOutcomes) {
      for (const auto& [version, outcomes] : versions) {
        news.mVersions.push_back({ .mService = service,
                                   .mVersion = version,
                                   .mServed = outcomes.mServed,
                                   .mFailed = outcomes.mFailed,
                                   .mLatencyMs = outcomes.mLatencyMs });
      }
    }
  }
  return news;
}

void
SendNews(ControlState& aState)
{
  TrafficNews news = MakeNews(aState);
  const std::string whole = Encode(news);
  news.mUsage.clear();
  const std::string withoutUsage = Encode(news);
  // The usage of a holder is kept by all, since none tells it on.
  for (const auto& [to, wantsUsage] :
       Recipients(aState.mPeers, aState.mOptions.mZone, SuspendAwareNow())) {
    SendBytes(aState, to, wantsUsage || aState.mHoldsDuties ? whole : withoutUsage);
  }
}

void
TakeNewsOf(ControlState& aState, const TrafficNews& aNews)
{
  const bool unknown = IsUnknown(aState.mPeers, aNews);
  const PeerNews added = TakeNews(aState.mPeers, aNews, SuspendAwareNow());
  NoteClock(aState.mPeers, aNews, WallNow());
  if (aNews.mHoldsDuties && aNews.mHost != aState.mOptions.mHost) {
    OnHolderHeard(aState);
  }
  for (const auto& [account, used] : added.mQuotaUsed) {
    aState.mPeerNews.mQuotaUsed[account] += used;
  }
  aState.mPeerNews.mCrashes.insert(
    aState.mPeerNews.mCrashes.end(), added.mCrashes.begin(), added.mCrashes.end());
  if (unknown) {
    // A host that has just started learns of this one at once.
    SendNews(aState);
  }
}

// Tells the other hosts of requests with long prompts at once: what they know of a server's backlog
// would be too old by the next regular news.
void
SendDispatches(ControlState& aState, std::vector<DispatchNote> aDispatches)
{
  const std::string bytes =
    Encode(DispatchNews{ .mHost = aState.mOptions.mHost, .mDispatches = std::move(aDispatches) });
  for (const auto& [to, wantsUsage] :
       Recipients(aState.mPeers, aState.mOptions.mZone, SuspendAwareNow())) {
    SendBytes(aState, to, bytes);
  }
}

// Passes on what comes in a short time at once, so that the traffic thread wakes up less often.
void
TakeDispatches(ControlState& aState, const DispatchNews& aNews)
{
  if (aState.mHeardDispatches.empty()) {
    aState.mLoop.CallAt(SuspendAwareNow() + kGatherHeard, [&aState] {
      aState.mTraffic.TakeDispatches(std::exchange(aState.mHeardDispatches, {}));
    });
  }
  aState.mHeardDispatches.insert(
    aState.mHeardDispatches.end(), aNews.mDispatches.begin(), aNews.mDispatches.end());
}

void
TakeDatagram(ControlState& aState, std::string_view aBytes)
{
  const auto message = Decode(aBytes);
  if (!message.ok()) {
    aState.mLog.Write(LogWeight::kNotable,
                      LogEvent::kInputRejected,
                      "input=message bytes={} reason=\"{}\"",
                      aBytes.size(),
                      std::string{ message.status().message() });
    return;
  }
  if (const auto* news = std::get_if<TrafficNews>(&*message)) {
    TakeNewsOf(aState, *news);
  } else if (const auto* query = std::get_if<StoreQuery>(&*message)) {
    OnStoreQuery(aState, *query);
  } else if (const auto* reply = std::get_if<StoreReply>(&*message)) {
    OnStoreReply(aState, *reply);
  } else if (const auto* dispatches = std::get_if<DispatchNews>(&*message)) {
    TakeDispatches(aState, *dispatches);
  } else {
    aState.mLog.Write(LogWeight::kNotable,
                      LogEvent::kInputRejected,
                      "input=message bytes={} reason=\"not for a gateway\"",
                      aBytes.size());
  }
}

void
ReadPeers(ControlState& aState)
{
  std::array<char, kMostDatagram> buffer{};
  try {
    while (aState.mPeerSocket.poll(Poco::Timespan{ 0 }, Poco::Net::Socket::SELECT_READ)) {
      Poco::Net::SocketAddress sender;
      const int count =
        aState.mPeerSocket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
      if (count > 0) {
        TakeDatagram(aState, { buffer.data(), static_cast<std::size_t>(count) });
      }
    }
  } catch (const Poco::Exception& error) {
    aState.mLog.Write(LogWeight::kNotable,
                      LogEvent::kInputRejected,
                      "input=news reason=\"{}\"",
                      error.displayText());
  }
}

void
NoteTouch(ControlState& aState)
{
  const std::size_t inTouch = LivePeers(aState.mPeers, SuspendAwareNow()).size();
  if (inTouch != std::exchange(aState.mPeersInTouch, inTouch)) {
    aState.mLog.Write(LogWeight::kNotable,
                      LogEvent::kPeersChanged,
                      "in_touch={} hosts={} quota_share={:.2f}",
                      inTouch,
                      HostCount(aState.mPeers, SuspendAwareNow()),
                      QuotaShare(aState.mPeers, SuspendAwareNow()));
  }
}

void
OnReport(ControlState& aState, TrafficReport aReport)
{
  const Instant now = SuspendAwareNow();
  for (const CrashCount& crash : aReport.mCrashes) {
    aState.mCrashes.emplace_back(now, crash);
  }
  aState.mReport = std::move(aReport);
  aState.mPeerNews.mBroken = BrokenElsewhere(aState.mPeers, now);
  aState.mTraffic.Tell(std::exchange(aState.mPeerNews, {}));
  SendNews(aState);
  NoteTouch(aState);
  PublishView(aState);
  WorkOnDuties(aState);
  if (now - aState.mQuotaWrittenAt >= kQuotaRecordEvery) {
    aState.mQuotaWrittenAt = now;
    WriteQuotaRecord(aState);
  }
}

void
Tick(ControlState& aState)
{
  aState.mTraffic.Report([&aState](TrafficReport aReport) {
    aState.mLoop.Post(
      [&aState, report = std::move(aReport)]() mutable { OnReport(aState, std::move(report)); });
  });
  const Instant now = SuspendAwareNow();
  aState.mLoop.CallAt(now + NewsInterval(aState.mPeers, now), [&aState] { Tick(aState); });
}

void
RelayRegularly(ControlState& aState)
{
  RelayStore(aState);
  aState.mLoop.CallAt(SuspendAwareNow() + kRelayEvery, [&aState] { RelayRegularly(aState); });
}

void
RefreshHostsRegularly(ControlState& aState)
{
  RefreshHosts(aState);
  if (aState.mOptions.mUsageWindow > Milliseconds{ 0 }) {
    constexpr std::int64_t kWindowsKept = 8;
    DropUsageBefore(aState.mPeers,
                    UnixMilliseconds(WallNow()) / aState.mOptions.mUsageWindow.count() -
                      kWindowsKept);
  }
  aState.mLoop.CallAt(SuspendAwareNow() + kHostsEvery,
                      [&aState] { RefreshHostsRegularly(aState); });
}

} // namespace

ControlState::ControlState(ControlOptions aOptions, Traffic& aTraffic, EventLog& aLog)
  : mOptions(std::move(aOptions))
  , mTraffic(aTraffic)
  , mLog(aLog)
  , mStore(mLoop, mOptions.mStore, mOptions.mCodec.mStore)
  , mIncarnation(static_cast<std::uint64_t>(UnixMilliseconds(WallNow())))
  , mRandom(std::random_device{}())
{
  mPeers.mSelf = mOptions.mHost;
  if (mOptions.mCloud.has_value()) {
    mCloud.emplace(mLoop, *mOptions.mCloud, StreamOptions{ .mSilenceLimit = kCloudSilence });
  }
}

struct Control::Impl
{
  Impl(const ControlOptions& aOptions, Traffic& aTraffic, EventLog& aLog)
    : mState(aOptions, aTraffic, aLog)
  {
  }

  ControlState mState;
  std::thread mThread;
};

Control::Control(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

Control::~Control()
{
  Stop();
}

absl::StatusOr<std::unique_ptr<Control>>
Control::Start(const ControlOptions& aOptions, Traffic& aTraffic, EventLog& aLog)
{
  auto impl = std::make_unique<Impl>(aOptions, aTraffic, aLog);
  ControlState& state = impl->mState;
  try {
    const Endpoint& peers = aOptions.mPeerEndpoint;
    state.mPeerSocket.bind(Poco::Net::SocketAddress{ peers.mAddress, peers.mPort }, true);
    state.mPeerSocket.setBlocking(false);
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
  impl->mThread = std::thread{ [&state] {
    state.mLoop.Watch(
      state.mPeerSocket, kReadable, [&state](unsigned /*aReady*/) { ReadPeers(state); });
    state.mTraffic.TellDispatches([&state](std::vector<DispatchNote> aDispatches) {
      state.mLoop.Post([&state, dispatches = std::move(aDispatches)]() mutable {
        SendDispatches(state, std::move(dispatches));
      });
    });
    FollowStore(state);
    JoinDuties(state);
    RefreshHostsRegularly(state);
    RelayRegularly(state);
    Tick(state);
    state.mLoop.Run();
  } };
  return std::unique_ptr<Control>{ new Control{ std::move(impl) } };
}

void
Control::Leave()
{
  ControlState& state = mImpl->mState;
  state.mLoop.Post([&state] {
    state.mLeaving = true;
    LeaveDuties(state);
    SendNews(state);
  });
}

void
Control::TellLast(TrafficReport aReport)
{
  ControlState& state = mImpl->mState;
  state.mLoop.Post([&state, report = std::move(aReport)]() mutable {
    state.mReport = std::move(report);
    SendNews(state);
    state.mLoop.Stop();
  });
  mImpl->mThread.join();
}

void
Control::Stop()
{
  mImpl->mState.mLoop.Stop();
  if (mImpl->mThread.joinable()) {
    mImpl->mThread.join();
  }
}

} // namespace trefoil
