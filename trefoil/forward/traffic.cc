#include "trefoil/forward/traffic.h"

#include "trefoil/forward/exchange.h"
#include "trefoil/http/status_code.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <thread>
#include <unordered_set>
#include <utility>

namespace trefoil {
namespace {

// Connections that wait to be accepted: a herd of clients that reconnect at once.
constexpr int kBacklog = 512;
// New connections are looked for again after this once the most are open.
constexpr Milliseconds kAcceptPause{ 20 };
// Idle connections to servers are looked through so often.
constexpr Milliseconds kSweepEvery{ 1'000 };
// The platform sends new connections until it has missed two readiness questions, one a second.
constexpr Milliseconds kBalancerNotices{ 3'000 };
constexpr Milliseconds kStopCheckEvery{ 50 };
// Usage windows kept: more than the time in which a report is due.
constexpr std::size_t kMaxUsageWindows = 8;

Poco::Net::ServerSocket
OpenListener(const Endpoint& aEndpoint)
{
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress{ aEndpoint.mAddress, aEndpoint.mPort }, true);
  socket.listen(kBacklog);
  socket.setBlocking(false);
  return socket;
}

} // namespace

TrafficState::TrafficState(TrafficOptions aOptions, EventLog& aLog, Metrics& aMetrics)
  : mOptions(std::move(aOptions))
  , mLog(aLog)
  , mMetrics(aMetrics)
  , mPool(mLoop)
  , mRetries(MakeServiceRetryBudget(mOptions.mRetries))
  , mRandom(std::random_device{}())
{
}

struct Traffic::Impl
{
  using AnswerRequest = std::function<HttpAnswer(const HttpRequest&)>;

  Impl(const TrafficOptions& aOptions, EventLog& aLog, Metrics& aMetrics)
    : mState(aOptions, aLog, aMetrics)
  {
  }

  void Bind();
  void Listen(const std::shared_ptr<Poco::Net::ServerSocket>& aListener,
              const std::shared_ptr<const SessionCallbacks>& aCallbacks);
  // Returns whether the listener may be asked again at once.
  bool Accept(Poco::Net::ServerSocket& aListener,
              const std::shared_ptr<const SessionCallbacks>& aCallbacks);
  std::shared_ptr<SessionCallbacks> BaseCallbacks();
  std::shared_ptr<const SessionCallbacks> FrontCallbacks();
  // Sessions whose requests are answered at once.
  std::shared_ptr<const SessionCallbacks> PlainCallbacks(AnswerRequest aAnswer);
  void TakeView(std::shared_ptr<const TrafficView> aView);
  // Shows in the metrics what the host believes.
  void ShowView(Instant aNow) const;
  void TakeNews(const PeerUpdate& aUpdate);
  void TakeDispatches(const std::vector<DispatchReport>& aDispatches);
  TrafficReport MakeReport();
  void Sweep();
  void StopListening();
  void CheckStop(Instant aBegan, Instant aDeadline);

  TrafficState mState;
  std::vector<Poco::Net::ServerSocket> mListeners;
  std::unordered_set<std::shared_ptr<ClientSession>> mSessions;
  std::unordered_map<const ClientSession*, std::shared_ptr<Exchange>> mExchanges;
  std::thread mThread;
  int mCutOff = 0;
};

std::shared_ptr<SessionCallbacks>
Traffic::Impl::BaseCallbacks()
{
  auto callbacks = std::make_shared<SessionCallbacks>();
  callbacks->mOnClosed = [this](const std::shared_ptr<ClientSession>& aSession) {
    mSessions.erase(aSession);
    const auto found = mExchanges.find(aSession.get());
    if (found != mExchanges.end()) {
      const auto exchange = found->second;
      exchange->OnClientGone();
      mExchanges.erase(aSession.get());
    }
  };
  callbacks->mOnMalformed = [this](int aStatus, std::string_view aReason) {
    mState.mLog.Write(LogWeight::kNotable,
                      LogEvent::kRequestMalformed,
                      "status={} reason=\"{}\"",
                      aStatus,
                      aReason);
  };
  callbacks->mLimits = [this] {
    return mState.mView && mState.mView->mCatalogue ? mState.mView->mCatalogue->mCatalogue.mLimits
                                                    : ClientLimits{};
  };
  callbacks->mStopping = [this] { return mState.mStopping; };
  return callbacks;
}

std::shared_ptr<const SessionCallbacks>
Traffic::Impl::FrontCallbacks()
{
  auto callbacks = BaseCallbacks();
  callbacks->mOnRequest = [this](const std::shared_ptr<ClientSession>& aSession,
                                 HttpRequest aRequest) {
    const auto exchange =
      Exchange::Begin(mState, aSession, std::move(aRequest), [this](const ClientSession* aEnded) {
        mExchanges.erase(aEnded);
      });
    if (!exchange->IsOver()) {
      mExchanges[aSession.get()] = exchange;
    }
  };
  return callbacks;
}

std::shared_ptr<const SessionCallbacks>
Traffic::Impl::PlainCallbacks(AnswerRequest aAnswer)
{
  auto callbacks = BaseCallbacks();
  callbacks->mOnRequest = [answer = std::move(aAnswer)](
                            const std::shared_ptr<ClientSession>& aSession,
                            const HttpRequest& aRequest) { aSession->SendWhole(answer(aRequest)); };
  return callbacks;
}

void
Traffic::Impl::Bind()
{
  const TrafficOptions& options = mState.mOptions;
  const auto add = [this](const Endpoint& aEndpoint,
                          const std::shared_ptr<const SessionCallbacks>& aCallbacks) {
    auto listener = std::make_shared<Poco::Net::ServerSocket>(OpenListener(aEndpoint));
    mListeners.push_back(*listener);
    Listen(listener, aCallbacks);
  };
  add(options.mListen, FrontCallbacks());
  add(options.mReadiness, PlainCallbacks([this](const HttpRequest& /*aRequest*/) {
        const bool ready = !mState.mStopping && mState.mView && mState.mView->mCatalogue;
        return HttpAnswer{ .mStatus = ready ? kOk : kUnavailable };
      }));
  if (options.mMetrics.has_value()) {
    add(*options.mMetrics, PlainCallbacks([this](const HttpRequest& /*aRequest*/) {
      return HttpAnswer{ .mHeaders = { { "Content-Type", "text/plain; version=0.0.4" } },
                         .mBody = mState.mMetrics.Render() };
    }));
  }
}

void
Traffic::Impl::Listen(const std::shared_ptr<Poco::Net::ServerSocket>& aListener,
                      const std::shared_ptr<const SessionCallbacks>& aCallbacks)
{
  mState.mLoop.Watch(*aListener, kReadable, [this, aListener, aCallbacks](unsigned /*aReady*/) {
    if (Accept(*aListener, aCallbacks)) {
      return;
    }
    // Not watched meanwhile, so that connections that wait do not keep the thread awake.
    mState.mLoop.Unwatch(*aListener);
    mState.mLoop.CallAt(SuspendAwareNow() + kAcceptPause, [this, aListener, aCallbacks] {
      if (!mListeners.empty()) {
        Listen(aListener, aCallbacks);
      }
    });
  });
}

bool
Traffic::Impl::Accept(Poco::Net::ServerSocket& aListener,
                      const std::shared_ptr<const SessionCallbacks>& aCallbacks)
{
  // While too many connections are open, new ones wait in the listener's queue.
  while (mSessions.size() + mState.mPool.Idle() < mState.mOptions.mMaxConnections &&
         aListener.poll(Poco::Timespan{ 0 }, Poco::Net::Socket::SELECT_READ)) {
    try {
      const Poco::Net::StreamSocket socket = aListener.acceptConnection();
      mSessions.insert(ClientSession::Start(mState.mLoop, socket, aCallbacks));
    } catch (const Poco::Exception& error) {
      mState.mLog.Write(LogWeight::kNotable,
                        LogEvent::kInputRejected,
                        "input=connection reason=\"{}\"",
                        error.displayText());
      return false;
    }
  }
  return mSessions.size() + mState.mPool.Idle() < mState.mOptions.mMaxConnections;
}

void
Traffic::Impl::TakeView(std::shared_ptr<const TrafficView> aView)
{
  const bool sameServers = mState.mView && mState.mView->mServers == aView->mServers;
  mState.mView = std::move(aView);
  if (sameServers || !mState.mView->mServers) {
    return;
  }
  mState.mServers.clear();
  for (const auto& [id, server] : mState.mView->mServers->mServers) {
    mState.mServers[server.mService].push_back(&server);
  }
  std::erase_if(mState.mStandings, [this](const auto& aItem) {
    return aItem.second.mInFlight == 0 && !mState.mView->mServers->mServers.contains(aItem.first);
  });
}

void
Traffic::Impl::TakeNews(const PeerUpdate& aUpdate)
{
  const Instant now = SuspendAwareNow();
  for (const auto& [account, level] : aUpdate.mQuotaLevels) {
    SetQuotaLevel(mState.mQuotas, account, level, now);
  }
  for (const auto& [account, used] : aUpdate.mQuotaUsed) {
    AddPeerUsage(mState.mQuotas, account, used);
  }
  for (const CrashCount& crash : aUpdate.mCrashes) {
    Merge(mState.mCrashes, crash, now);
  }
  for (const BackendServerId& server : aUpdate.mBroken) {
    mState.mStandings.try_emplace(server);
  }
  for (auto& [server, standing] : mState.mStandings) {
    standing.mReportedBroken = aUpdate.mBroken.contains(server);
  }
}

void
Traffic::Impl::TakeDispatches(const std::vector<DispatchReport>& aDispatches)
{
  const Instant now = SuspendAwareNow();
  if (!mState.mView || !mState.mView->mServers) {
    return;
  }
  for (const DispatchReport& note : aDispatches) {
    const auto server = mState.mView->mServers->mServers.find(note.mServer);
    if (server == mState.mView->mServers->mServers.end()) {
      // Its entry may come a moment later.
      continue;
    }
    const double rate = TokensPerSecond(mState.mReadRates[server->second.mService]);
    AddToBacklog(mState.mStandings[note.mServer].mBacklog, note.mTokens, rate, now);
    if (!note.mCacheKey.empty()) {
      NoteRead(mState.mCacheHints, note.mCacheKey, note.mServer, now);
    }
  }
}

void
Traffic::Impl::ShowView(Instant aNow) const
{
  if (!mState.mView) {
    return;
  }
  const TrafficView& view = *mState.mView;
  Metrics& metrics = mState.mMetrics;
  metrics.Set(Gauge::kConfigurationAge,
              std::chrono::duration<double>(aNow - view.mProvenAt).count());
  metrics.Set(Gauge::kConfigurationVersion,
              view.mCatalogue ? static_cast<double>(view.mCatalogue->mCatalogue.mVersion) : 0);
  metrics.Set(Gauge::kHosts, view.mHosts);
  metrics.Set(Gauge::kHostsInTouch, view.mHostsInTouch);
  if (view.mServers) {
    metrics.Set(
      Gauge::kServersReady,
      static_cast<double>(std::ranges::count_if(view.mServers->mServers, [](const auto& aServer) {
        return aServer.second.mPhase == ServerPhase::kReady;
      })));
  }
}

TrafficReport
Traffic::Impl::MakeReport()
{
  const Instant now = SuspendAwareNow();
  ShowView(now);
  EndQuotaRound(mState.mQuotas);
  TrafficReport report{ .mUsage = mState.mUsage,
                        .mCrashes = std::exchange(mState.mCrashNews, {}),
                        .mPromptTokens = mState.mPromptTokens,
                        .mOutcomes = mState.mOutcomes };
  for (const auto& [account, use] : mState.mQuotas.mAccounts) {
    report.mQuotaUsed[account] = { .mTotal = use.mOwnTotal, .mLevel = use.mBucket.mTokens };
  }
  for (const auto& [server, standing] : mState.mStandings) {
    if (IsBroken(standing, now)) {
      report.mBroken.push_back(server);
    }
  }
  while (mState.mUsage.size() > kMaxUsageWindows) {
    mState.mUsage.erase(mState.mUsage.begin());
  }
  return report;
}

void
Traffic::Impl::Sweep()
{
  const Instant now = SuspendAwareNow();
  if (mState.mView && mState.mView->mServers) {
    mState.mPool.Sweep(*mState.mView->mServers, now);
  }
  Expire(mState.mCrashes, now);
  mState.mLoop.CallAt(now + kSweepEvery, [this] { Sweep(); });
}

// A request that came now might not end in time; clients that are refused a connection go to
// another host.
void
Traffic::Impl::StopListening()
{
  for (Poco::Net::ServerSocket& listener : mListeners) {
    mState.mLoop.Unwatch(listener);
    listener.close();
  }
  mListeners.clear();
}

void
Traffic::Impl::CheckStop(Instant aBegan, Instant aDeadline)
{
  const Instant now = SuspendAwareNow();
  const bool noticed = now - aBegan >= kBalancerNotices;
  if (noticed) {
    StopListening();
    const auto sessions = mSessions;
    for (const auto& session : sessions) {
      session->CloseIfIdle();
    }
  }
  if ((noticed && mExchanges.empty()) || HasPassed(aDeadline, now)) {
    mCutOff = static_cast<int>(mExchanges.size());
    mState.mLoop.Stop();
    return;
  }
  mState.mLoop.CallAt(now + kStopCheckEvery,
                      [this, aBegan, aDeadline] { CheckStop(aBegan, aDeadline); });
}

Traffic::Traffic(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

Traffic::~Traffic()
{
  mImpl->mState.mLoop.Stop();
  if (mImpl->mThread.joinable()) {
    mImpl->mThread.join();
  }
}

absl::StatusOr<std::unique_ptr<Traffic>>
Traffic::Start(const TrafficOptions& aOptions, EventLog& aLog, Metrics& aMetrics)
{
  auto impl = std::make_unique<Impl>(aOptions, aLog, aMetrics);
  try {
    impl->Bind();
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
  Impl* state = impl.get();
  state->mThread = std::thread{ [state] {
    state->Sweep();
    state->mState.mLoop.Run();
  } };
  return std::unique_ptr<Traffic>{ new Traffic{ std::move(impl) } };
}

void
Traffic::Publish(std::shared_ptr<const TrafficView> aView)
{
  mImpl->mState.mLoop.Post(
    [state = mImpl.get(), view = std::move(aView)]() mutable { state->TakeView(std::move(view)); });
}

void
Traffic::Tell(PeerUpdate aUpdate)
{
  mImpl->mState.mLoop.Post(
    [state = mImpl.get(), news = std::move(aUpdate)] { state->TakeNews(news); });
}

void
Traffic::TellDispatches(std::function<void(std::vector<DispatchReport>)> aCallback)
{
  mImpl->mState.mLoop.Post([state = mImpl.get(), callback = std::move(aCallback)]() mutable {
    state->mState.mOnDispatches = std::move(callback);
  });
}

void
Traffic::TakeDispatches(std::vector<DispatchReport> aDispatches)
{
  mImpl->mState.mLoop.Post([state = mImpl.get(), dispatches = std::move(aDispatches)] {
    state->TakeDispatches(dispatches);
  });
}

void
Traffic::Report(std::function<void(TrafficReport)> aCallback)
{
  mImpl->mState.mLoop.Post(
    [state = mImpl.get(), callback = std::move(aCallback)] { callback(state->MakeReport()); });
}

int
Traffic::Stop(Instant aDeadline)
{
  mImpl->mState.mLoop.Post([state = mImpl.get(), aDeadline] {
    state->mState.mStopping = true;
    state->CheckStop(SuspendAwareNow(), aDeadline);
  });
  mImpl->mThread.join();
  return mImpl->mCutOff;
}

TrafficReport
Traffic::LastReport()
{
  return mImpl->MakeReport();
}

} // namespace trefoil
