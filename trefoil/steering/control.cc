#include "trefoil/steering/control.h"

#include "trefoil/steering/control_state.h"
#include "trefoil/steering/internal/duties.h"
#include "trefoil/steering/internal/peer_talk.h"
#include "trefoil/steering/internal/relaying.h"
#include "trefoil/steering/internal/store_news.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
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
constexpr Milliseconds kCloudSilence{ 1'500 };

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
  aState.mPeerUpdate.mBroken = BrokenElsewhere(aState.mPeers, now);
  aState.mTraffic.Tell(std::exchange(aState.mPeerUpdate, {}));
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
