#include "trefoil/steering/control_thread.h"

#include "trefoil/net/bind_error.h"
#include "trefoil/net/exclusive_bind.h"
#include "trefoil/steering/internal/duties.h"
#include "trefoil/steering/internal/peer_messages.h"
#include "trefoil/steering/internal/peer_update.h"
#include "trefoil/steering/internal/server_limit_messages.h"
#include "trefoil/steering/internal/server_rejection_messages.h"
#include "trefoil/steering/internal/store_relay_messages.h"
#include "trefoil/steering/internal/store_updates.h"
#include "trefoil/steering/steering_state.h"

#include <Poco/Net/SocketAddress.h>
#include <thread>
#include <utility>

namespace trefoil {
namespace {

// Interval between writes of the shared records. The quota used since the last write is lost if
// all hosts are killed; it is within the slack of the quotas.
constexpr Milliseconds kSharedRecordInterval{ 500 };
// Interval between reads of the store's list of entry hosts, and the time of the second read, when
// all hosts that started together have registered. With aggregation the list only names the hosts
// of each zone, whether they are up is known from their messages, so it is read less often.
constexpr Milliseconds kHostsRefreshInterval{ 5'000 };
constexpr Milliseconds kSecondHostsRefresh{ 2'500 };
constexpr Milliseconds kAggregatedHostsRefreshInterval{ 20'000 };
// Interval between the queries of a host that does not watch the store itself. A revoked key or
// a new configuration reaches such a host within this interval, or two of them in a fleet in which
// the watchers of the zones query others, if the message that relays the change is lost.
constexpr Milliseconds kRelayQueryInterval{ 400 };
constexpr Milliseconds kCloudSilenceLimit{ 1'500 };

// Logs the number of hosts in contact if it has changed.
void
LogPeersInTouch(SteeringState& aState)
{
  const auto hosts = static_cast<std::size_t>(aState.mView.mReachableHosts);
  if (hosts != std::exchange(aState.mPeersInTouch, hosts)) {
    aState.mLog.Write(LogSeverity::kNotable,
                      LogEvent::kPeersChanged,
                      "in_touch={} hosts={} quota_share={:.2f}",
                      hosts - 1,
                      aState.mView.mHosts,
                      aState.mView.mQuotaShare);
  }
}

void
OnTrafficReport(SteeringState& aState, TrafficReport aReport)
{
  const Instant now = SuspendAwareNow();
  aState.mReport = std::move(aReport);
  PublishPeerUpdate(aState);
  SendTrafficUpdate(aState);
  PublishView(aState);
  LogPeersInTouch(aState);
  RegisterHost(aState);
  RunDuties(aState);
  if (now - aState.mRecordsWrittenAt >= kSharedRecordInterval) {
    aState.mRecordsWrittenAt = now;
    WriteSharedRecords(aState);
  }
}

// Requests a report from the traffic thread now and after each update interval. Calls that are
// repeated schedule the next one first, so that an exception does not end the series.
void
CollectReportsRegularly(SteeringState& aState)
{
  const Instant now = SuspendAwareNow();
  aState.mLoop.CallAt(now + TrafficUpdateInterval(aState.mPeers, now),
                      [&aState] { CollectReportsRegularly(aState); });
  aState.mTraffic.Report([&aState](TrafficReport aReport) {
    aState.mLoop.Post([&aState, report = std::move(aReport)]() mutable {
      OnTrafficReport(aState, std::move(report));
    });
  });
}

void
UpdateStoreRelayRegularly(SteeringState& aState)
{
  aState.mLoop.CallAt(SuspendAwareNow() + kRelayQueryInterval,
                      [&aState] { UpdateStoreRelayRegularly(aState); });
  UpdateStoreRelay(aState);
}

// Returns the interval until the next read of the list of hosts.
Milliseconds
NextHostsRefreshInterval(SteeringState& aState)
{
  if (!std::exchange(aState.mHostsRefreshed, true)) {
    return kSecondHostsRefresh;
  }
  if (UsesAggregation(aState.mPeers)) {
    // Hosts that started together must not read together.
    return kAggregatedHostsRefreshInterval / 2 + Milliseconds{
      static_cast<std::int64_t>(aState.mRandom() % kAggregatedHostsRefreshInterval.count())
    };
  }
  return kHostsRefreshInterval;
}

void
RefreshHostsRegularly(SteeringState& aState)
{
  aState.mLoop.CallAt(SuspendAwareNow() + NextHostsRefreshInterval(aState),
                      [&aState] { RefreshHostsRegularly(aState); });
  RefreshHosts(aState);
  if (aState.mOptions.mUsageWindow > Milliseconds{ 0 }) {
    constexpr std::int64_t kWindowsKept = 8;
    const std::int64_t firstKept =
      UnixMilliseconds(WallNow()) / aState.mOptions.mUsageWindow.count() - kWindowsKept;
    DropUsageBefore(aState.mPeers, firstKept);
    DropAggregatedUsageBefore(aState.mAggregation, firstKept);
  }
}

} // namespace

SteeringState::SteeringState(ControlThreadOptions aOptions, TrafficThread& aTraffic, EventLog& aLog)
  : mOptions(std::move(aOptions))
  , mTraffic(aTraffic)
  , mLog(aLog)
  , mStore(mLoop, mOptions.mStore, mOptions.mCodec.mStore)
  , mIncarnation(static_cast<std::uint64_t>(UnixMilliseconds(WallNow())))
  , mRandom(std::random_device{}())
{
  mLoop.SetFailureHandler([this](std::string_view aReason) {
    mLog.Write(
      LogSeverity::kNotable, LogEvent::kInternalError, "thread=control reason=\"{}\"", aReason);
  });
  mEvacuation.mPrefix = mOptions.mCodec.mEvacuationPrefix;
  mEvacuation.mZones = mOptions.mZones;
  mPeers.mSelf = mOptions.mHost;
  mPeers.mZone = mOptions.mZone;
  mAggregation.mEpoch = mIncarnation;
  if (mOptions.mCloud.has_value()) {
    mCloud.emplace(mLoop, *mOptions.mCloud, StreamOptions{ .mPeerTimeout = kCloudSilenceLimit });
  }
}

struct ControlThread::Impl
{
  Impl(const ControlThreadOptions& aOptions, TrafficThread& aTraffic, EventLog& aLog)
    : mState(aOptions, aTraffic, aLog)
  {
  }

  SteeringState mState;
  std::thread mThread;
};

ControlThread::ControlThread(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

ControlThread::~ControlThread()
{
  Stop();
}

absl::StatusOr<Poco::Net::DatagramSocket>
BindPeerSocket(const Endpoint& aEndpoint)
{
  try {
    Poco::Net::DatagramSocket socket;
    BindExclusively(socket, aEndpoint);
    socket.setBlocking(false);
    return socket;
  } catch (const std::exception& error) {
    return BindError(error);
  }
}

absl::StatusOr<std::unique_ptr<ControlThread>>
ControlThread::Start(const ControlThreadOptions& aOptions,
                     const Poco::Net::DatagramSocket& aPeerSocket,
                     TrafficThread& aTraffic,
                     EventLog& aLog)
{
  try {
    auto impl = std::make_unique<Impl>(aOptions, aTraffic, aLog);
    SteeringState& state = impl->mState;
    state.mPeerSocket = aPeerSocket;
    state.mLoop.Watch(
      state.mPeerSocket, kReadable, [&state](unsigned /*aReady*/) { ReadPeerMessages(state); });
    impl->mThread = std::thread{ [&state] {
      state.mTraffic.SetDispatchCallback([&state](std::vector<DispatchReport> aDispatches) {
        state.mLoop.Post([&state, dispatches = std::move(aDispatches)]() mutable {
          SendDispatches(state, std::move(dispatches));
        });
      });
      state.mTraffic.SetCrashEvidenceCallback([&state](CrashEvidence aEvidence, bool aIsOwn) {
        state.mLoop.Post([&state, evidence = std::move(aEvidence), aIsOwn] {
          SendCrashEvidence(state, evidence, aIsOwn);
        });
      });
      state.mTraffic.SetLimitCallback([&state](std::vector<LimitReport> aReports) {
        state.mLoop.Post(
          [&state, reports = std::move(aReports)] { SendServerLimits(state, reports); });
      });
      state.mTraffic.SetRejectionCallback([&state](const RejectionReport& aReport) {
        state.mLoop.Post([&state, aReport] { SendServerRejections(state, { aReport }); });
      });
      for (const auto& begin : { WatchStore,
                                 CampaignForDuties,
                                 RefreshHostsRegularly,
                                 UpdateStoreRelayRegularly,
                                 CollectReportsRegularly }) {
        state.mLoop.RunGuarded([&] { begin(state); });
      }
      state.mLoop.Run();
    } };
    return std::unique_ptr<ControlThread>{ new ControlThread{ std::move(impl) } };
  } catch (const std::exception& error) {
    return BindError(error);
  }
}

void
ControlThread::Leave()
{
  SteeringState& state = mImpl->mState;
  state.mLoop.Post([&state] {
    state.mLeaving = true;
    ResignDuties(state);
    SendTrafficUpdate(state);
  });
}

void
ControlThread::SendLastReport(TrafficReport aReport)
{
  SteeringState& state = mImpl->mState;
  state.mLoop.Post([&state, report = std::move(aReport)]() mutable {
    state.mReport = std::move(report);
    state.mLoop.RunGuarded([&state] { SendTrafficUpdate(state); });
    state.mLoop.Stop();
  });
  mImpl->mThread.join();
}

void
ControlThread::Stop()
{
  mImpl->mState.mLoop.Stop();
  if (mImpl->mThread.joinable()) {
    mImpl->mThread.join();
  }
}

} // namespace trefoil
