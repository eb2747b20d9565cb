#include "trefoil/forward/traffic_thread.h"

#include "trefoil/forward/exchange.h"
#include "trefoil/forward/server_connector.h"
#include "trefoil/forward/traffic_report.h"
#include "trefoil/forward/traffic_updates.h"
#include "trefoil/forward/warm_up_limits.h"
#include "trefoil/http/status_code.h"
#include "trefoil/http_server/client_connections.h"
#include "trefoil/net/bind_error.h"

#include <Poco/Exception.h>
#include <thread>
#include <unordered_map>
#include <utility>

namespace trefoil {
namespace {

// Interval of closing idle server connections and removing expired crash records.
constexpr Milliseconds kSweepInterval{ 1'000 };
// The platform sends new connections until two readiness checks have failed. It checks once per
// second.
constexpr Milliseconds kBalancerDrainDelay{ 3'000 };
constexpr Milliseconds kStopCheckInterval{ 50 };
// How long before its end a host ends the requests that are left, so that their answers are sent.
constexpr Milliseconds kFinalAnswerTime{ 300 };

void
LogRejectedConnection(EventLog& aLog, const std::exception& aError)
{
  const auto* libraryError = dynamic_cast<const Poco::Exception*>(&aError);
  aLog.Write(LogSeverity::kNotable,
             LogEvent::kInputRejected,
             "input=connection reason=\"{}\"",
             libraryError == nullptr ? aError.what() : libraryError->displayText());
}

} // namespace

struct TrafficThread::Impl
{
  using RequestHandler = std::function<HttpResponse(const HttpRequest&)>;

  Impl(const TrafficOptions& aOptions, EventLog& aLog, Metrics& aMetrics)
    : mState(aOptions, aLog, aMetrics)
    , mCarrier(
        mState.mLoop,
        { .mDecide = [this](const RelayOpen& aOpen) { return Decide(aOpen); },
          .mMayBegin = [this](const RelayOpen& aOpen) { return MayCarryRequest(mState, aOpen); },
          .mOnAnswered = [this](const RelayOpen& aOpen,
                                RelayStatus aStatus) { RecordRelayAnswer(mState, aOpen, aStatus); },
          .mServerOptions = ServerStreamOptions() })
    , mConnections(mState.mLoop, mState.mMemory, ConnectionsOptions())
  {
    mState.mRelief = &mConnections.Relief();
    mState.mMakeRoomForServerConnection = [this] {
      return mConnections.MakeRoomForServerConnection();
    };
  }

  void Bind();
  ClientConnectionsOptions ConnectionsOptions();
  ConnectionUse UseBesideClients() const;
  std::size_t OpenConnections() const;
  RelayDecision Decide(const RelayOpen& aOpen);
  void CountMemory();
  ListenerHandlers ClientHandlers();
  // Handlers for requests that are answered directly by `aHandler`.
  static ListenerHandlers ImmediateHandlers(RequestHandler aHandler);
  void OnClientClosed(const std::shared_ptr<ClientSession>& aSession);
  void Sweep();
  void EndUnfinishedRequests();
  void EndWhatIsDue(Instant aNow, bool aBalancerDrained);
  void CheckStop(Instant aStoppedAt, Instant aDeadline);

  TrafficState mState;
  RelayCarrier mCarrier;
  ClientConnections mConnections;
  std::unordered_map<const ClientSession*, std::shared_ptr<Exchange>> mExchanges;
  std::thread mThread;
  int mAbortedRequests = 0;
};

ClientConnectionsOptions
TrafficThread::Impl::ConnectionsOptions()
{
  return { .mLimits = { .mMax = mState.mOptions.mMaxConnections },
           .mOtherUse = [this] { return UseBesideClients(); },
           .mCloseSpare = [this] { return mState.mConnectionPool.CloseOneIdle(); },
           .mClientLimits =
             [this] {
               return mState.mView && mState.mView->mCatalogue
                        ? mState.mView->mCatalogue->mCatalogue.mLimits
                        : ClientLimits{};
             },
           .mNoRoomHeaders =
             [this](const HttpRequest& aRequest) {
               return mState.mOptions.mCodec.mOwnHeaders(
                 mState.mOptions.mCodec.mReadRequest(aRequest).mRequestId, kRetryAfterFull);
             },
           .mStopping = [this] { return mState.mStopping; },
           .mOnMalformed =
             [this](int aStatus, std::string_view aReason) {
               mState.mLog.Write(LogSeverity::kNotable,
                                 LogEvent::kRequestMalformed,
                                 "status={} reason=\"{}\"",
                                 aStatus,
                                 aReason);
             },
           .mOnEnded =
             [this](MemoryRefusal aReason) {
               mState.mMetrics.IncrementLabelled(LabelledCounter::kMemoryRefusals,
                                                 NameOf(kMemoryRefusalNames, aReason));
             },
           .mOnExhausted =
             [this](std::size_t aClients) {
               mState.mLog.Write(LogSeverity::kNotable,
                                 LogEvent::kMemoryExhausted,
                                 "ended={} {}",
                                 aClients,
                                 DescribeMemory(mState.mMemory));
             },
           .mOnAcceptFailed =
             [this](const std::exception& aError) { LogRejectedConnection(mState.mLog, aError); } };
}

ConnectionUse
TrafficThread::Impl::UseBesideClients() const
{
  constexpr std::size_t kSocketsPerRelay = 2;
  return { .mRequests = mExchanges.size(),
           .mServers = mState.mConnectionPool.OpenCount(),
           .mOthers = kSocketsPerRelay * mCarrier.Carried() };
}

std::size_t
TrafficThread::Impl::OpenConnections() const
{
  return NeededConnections({}, mConnections.Use());
}

void
TrafficThread::Impl::OnClientClosed(const std::shared_ptr<ClientSession>& aSession)
{
  const auto found = mExchanges.find(aSession.get());
  if (found != mExchanges.end()) {
    const auto exchange = found->second;
    exchange->OnClientGone();
    mExchanges.erase(aSession.get());
  }
}

ListenerHandlers
TrafficThread::Impl::ClientHandlers()
{
  return { .mOnRequest =
             [this](const std::shared_ptr<ClientSession>& aSession, HttpRequest aRequest) {
               const auto exchange = Exchange::Begin(
                 mState, aSession, std::move(aRequest), [this](const ClientSession* aEnded) {
                   mExchanges.erase(aEnded);
                 });
               if (!exchange->IsOver()) {
                 mExchanges[aSession.get()] = exchange;
               }
             },
           .mOnClosed =
             [this](const std::shared_ptr<ClientSession>& aSession) { OnClientClosed(aSession); } };
}

ListenerHandlers
TrafficThread::Impl::ImmediateHandlers(RequestHandler aHandler)
{
  return { .mOnRequest =
             [handler = std::move(aHandler)](const std::shared_ptr<ClientSession>& aSession,
                                             const HttpRequest& aRequest) {
               aSession->SendAnswer(handler(aRequest));
             },
           .mUsesServers = false };
}

void
TrafficThread::Impl::Bind()
{
  const TrafficOptions& options = mState.mOptions;
  mConnections.AddListener(options.mListen, ClientHandlers());
  mConnections.AddListener(
    options.mReadiness, ImmediateHandlers([this](const HttpRequest& /*aRequest*/) {
      const bool ready = !mState.mStopping && mState.mView && mState.mView->mCatalogue;
      return HttpResponse{ .mStatus = ready ? kOk : kServiceUnavailable };
    }));
  if (options.mMetrics.has_value()) {
    mConnections.AddListener(
      *options.mMetrics, ImmediateHandlers([this](const HttpRequest& /*aRequest*/) {
        return HttpResponse{ .mHeaders = { { "Content-Type", "text/plain; version=0.0.4" } },
                             .mBody = mState.mMetrics.Render() };
      }));
  }
  if (options.mRelay.has_value()) {
    mConnections.AddListener(
      *options.mRelay, [this](const Poco::Net::StreamSocket& aSocket) { mCarrier.Carry(aSocket); });
  }
  mConnections.StartListening();
}

RelayDecision
TrafficThread::Impl::Decide(const RelayOpen& aOpen)
{
  CountMemory();
  return DecideRelay(mState,
                     aOpen,
                     { .mCarried = mCarrier.Carried(),
                       .mOpenConnections = OpenConnections(),
                       .mBufferedBytes = mCarrier.BufferedBytes(),
                       .mStopping = mState.mStopping });
}

// Counts what is held for other hosts.
void
TrafficThread::Impl::CountMemory()
{
  MemoryBudget& memory = mState.mMemory;
  ChangeHeld(memory,
             MemoryKind::kCarried,
             HeldBytes(memory, MemoryKind::kCarried),
             mCarrier.BufferedBytes());
}

void
TrafficThread::Impl::Sweep()
{
  const Instant now = SuspendAwareNow();
  mState.mLoop.CallAt(now + kSweepInterval, [this] { Sweep(); });
  if (mState.mView && mState.mView->mServers) {
    mState.mConnectionPool.Sweep(*mState.mView->mServers, now);
  }
  SweepPaths(mState, now);
  LogEndedWarmUps(mState, now);
  ExpireCrashes(mState.mCrashes, now);
  mConnections.Sweep();
  CountMemory();
  UpdateMemoryGauges(mState.mMetrics, mState.mMemory);
}

// Ends the requests that are left with an answer that is true of them.
void
TrafficThread::Impl::EndUnfinishedRequests()
{
  mAbortedRequests += static_cast<int>(mExchanges.size());
  const auto exchanges = mExchanges;
  for (const auto& [session, exchange] : exchanges) {
    mState.mLoop.RunGuarded([&ended = *exchange] { ended.OnHostStops(); });
  }
}

// Ends what must have ended at this time of the stop.
void
TrafficThread::Impl::EndWhatIsDue(Instant aNow, bool aBalancerDrained)
{
  if (aBalancerDrained) {
    // A request accepted later might not end before the deadline, while a client whose connection
    // is refused can go to another host.
    mConnections.StopListening();
    mConnections.CloseIdle(aNow);
  }
  if (HasPassed(mState.mStopsAt, aNow)) {
    EndUnfinishedRequests();
    mCarrier.CloseAll();
  }
  mConnections.DropClosed();
}

void
TrafficThread::Impl::CheckStop(Instant aStoppedAt, Instant aDeadline)
{
  const Instant now = SuspendAwareNow();
  const bool balancerDrained = now - aStoppedAt >= kBalancerDrainDelay;
  mState.mLoop.RunGuarded([&] { EndWhatIsDue(now, balancerDrained); });
  // Sessions that are left have a request, or a client that is about to send its first one.
  const bool isIdle = mConnections.OpenCount() == 0 && mExchanges.empty() &&
                      mConnections.ClosingCount() == 0 && mCarrier.Carried() == 0;
  if ((balancerDrained && isIdle) || HasPassed(aDeadline, now)) {
    mState.mLoop.Stop();
    return;
  }
  mState.mLoop.CallAt(now + kStopCheckInterval,
                      [this, aStoppedAt, aDeadline] { CheckStop(aStoppedAt, aDeadline); });
}

TrafficThread::TrafficThread(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

TrafficThread::~TrafficThread()
{
  mImpl->mState.mLoop.Stop();
  if (mImpl->mThread.joinable()) {
    mImpl->mThread.join();
  }
}

absl::StatusOr<std::unique_ptr<TrafficThread>>
TrafficThread::Start(const TrafficOptions& aOptions, EventLog& aLog, Metrics& aMetrics)
{
  try {
    auto impl = std::make_unique<Impl>(aOptions, aLog, aMetrics);
    impl->Bind();
    Impl* state = impl.get();
    state->mThread = std::thread{ [state] {
      state->mState.mLoop.RunGuarded([state] { state->Sweep(); });
      state->mState.mLoop.Run();
    } };
    return std::unique_ptr<TrafficThread>{ new TrafficThread{ std::move(impl) } };
  } catch (const std::exception& error) {
    return BindError(error);
  }
}

void
TrafficThread::Publish(std::shared_ptr<const TrafficView> aView)
{
  mImpl->mState.mLoop.Post([state = mImpl.get(), view = std::move(aView)]() mutable {
    ApplyView(state->mState, std::move(view));
  });
}

void
TrafficThread::PublishPeerUpdate(PeerUpdate aUpdate)
{
  mImpl->mState.mLoop.Post([state = mImpl.get(), update = std::move(aUpdate)] {
    trefoil::ApplyPeerUpdate(state->mState, update);
  });
}

void
TrafficThread::SetDispatchCallback(std::function<void(std::vector<DispatchReport>)> aCallback)
{
  mImpl->mState.mLoop.Post([state = mImpl.get(), callback = std::move(aCallback)]() mutable {
    state->mState.mOnDispatchReports = std::move(callback);
  });
}

void
TrafficThread::ApplyDispatches(std::vector<DispatchReport> aDispatches)
{
  mImpl->mState.mLoop.Post([state = mImpl.get(), dispatches = std::move(aDispatches)] {
    trefoil::ApplyDispatches(state->mState, dispatches);
  });
}

void
TrafficThread::SetCrashEvidenceCallback(std::function<void(CrashEvidence, bool)> aCallback)
{
  mImpl->mState.mLoop.Post([state = mImpl.get(), callback = std::move(aCallback)]() mutable {
    state->mState.mOnCrashEvidence = std::move(callback);
  });
}

void
TrafficThread::ApplyCrashEvidence(CrashEvidence aEvidence)
{
  mImpl->mState.mLoop.Post([state = mImpl.get(), evidence = std::move(aEvidence)] {
    CrashTracker& crashes = state->mState.mCrashes;
    if (MergeEvidence(crashes, evidence, SuspendAwareNow())) {
      ReportCrashEvidence(state->mState, std::exchange(crashes.mKnowsBetter, false));
    }
  });
}

void
TrafficThread::SetLimitCallback(std::function<void(std::vector<LimitReport>)> aCallback)
{
  mImpl->mState.mLoop.Post([state = mImpl.get(), callback = std::move(aCallback)]() mutable {
    state->mState.mOnLimitReports = std::move(callback);
  });
}

void
TrafficThread::ApplyLimits(std::vector<LimitReport> aLimits)
{
  mImpl->mState.mLoop.Post([state = mImpl.get(), limits = std::move(aLimits)] {
    trefoil::ApplyLimits(state->mState, limits);
  });
}

void
TrafficThread::SetRejectionCallback(std::function<void(const RejectionReport&)> aCallback)
{
  mImpl->mState.mLoop.Post([state = mImpl.get(), callback = std::move(aCallback)]() mutable {
    state->mState.mOnRejection = std::move(callback);
  });
}

void
TrafficThread::ApplyRejections(std::vector<RejectionReport> aReports)
{
  mImpl->mState.mLoop.Post([state = mImpl.get(), reports = std::move(aReports)] {
    trefoil::ApplyRejections(state->mState, reports);
  });
}

void
TrafficThread::ApplyServerEvents(std::map<BackendServerId, EventTotals> aEvents)
{
  mImpl->mState.mLoop.Post([state = mImpl.get(), events = std::move(aEvents)] {
    trefoil::ApplyServerEvents(state->mState, events);
  });
}

void
TrafficThread::Report(std::function<void(TrafficReport)> aCallback)
{
  mImpl->mState.mLoop.Post([state = mImpl.get(), callback = std::move(aCallback)] {
    callback(MakeReport(state->mState));
  });
}

int
TrafficThread::Stop(Instant aDeadline)
{
  mImpl->mState.mLoop.Post([state = mImpl.get(), aDeadline] {
    state->mState.mStopping = true;
    state->mState.mStopsAt = aDeadline - kFinalAnswerTime;
    state->CheckStop(SuspendAwareNow(), aDeadline);
  });
  mImpl->mThread.join();
  return mImpl->mAbortedRequests;
}

TrafficReport
TrafficThread::FinalReport()
{
  return MakeReport(mImpl->mState);
}

} // namespace trefoil
