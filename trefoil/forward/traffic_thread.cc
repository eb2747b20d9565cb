#include "trefoil/forward/traffic_thread.h"

#include "trefoil/forward/exchange.h"
#include "trefoil/forward/memory_relief.h"
#include "trefoil/forward/server_connector.h"
#include "trefoil/forward/traffic_report.h"
#include "trefoil/forward/traffic_updates.h"
#include "trefoil/forward/warm_up_limits.h"
#include "trefoil/http/status_code.h"
#include "trefoil/net/bind_error.h"
#include "trefoil/net/exclusive_bind.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <thread>
#include <unordered_set>
#include <utility>

namespace trefoil {
namespace {

// Connections that wait to be accepted. Allows for many clients that reconnect simultaneously.
constexpr int kListenBacklog = 512;
// The least that is discarded of what a client still sends after its last answer.
constexpr std::size_t kMinDiscardedBytes = std::size_t{ 256 } * 1024;
// Delay before accepting connections again after the connection limit was reached or accepting
// failed.
constexpr Milliseconds kAcceptRetryDelay{ 20 };
// Interval of closing idle server connections and removing expired crash records.
constexpr Milliseconds kSweepInterval{ 1'000 };
// The platform sends new connections until two readiness checks have failed. It checks once per
// second.
constexpr Milliseconds kBalancerDrainDelay{ 3'000 };
constexpr Milliseconds kStopCheckInterval{ 50 };
// How long before its end a host ends the requests that are left, so that their answers are sent.
constexpr Milliseconds kFinalAnswerTime{ 300 };

// What the kernel may hold for a connection in each direction; it doubles the number for its own
// needs. The same as its initial size, so that requests of 64 kB arrive in one round trip.
constexpr int kSocketBufferBytes = 64 * 1024;

Poco::Net::ServerSocket
BindListener(const Endpoint& aEndpoint)
{
  Poco::Net::ServerSocket socket;
  BindExclusively(socket, aEndpoint);
  socket.setBlocking(false);
  // Accepted connections inherit these. Without them the kernel lets the buffers of each connection
  // grow to some MB, whether the process has memory or not.
  socket.setReceiveBufferSize(kSocketBufferBytes);
  socket.setSendBufferSize(kSocketBufferBytes);
  return socket;
}

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
  using SocketHandler = std::function<void(const Poco::Net::StreamSocket&)>;

  Impl(const TrafficOptions& aOptions, EventLog& aLog, Metrics& aMetrics)
    : mState(aOptions, aLog, aMetrics)
    , mCarrier(
        mState.mLoop,
        { .mDecide = [this](const RelayOpen& aOpen) { return Decide(aOpen); },
          .mMayBegin = [this](const RelayOpen& aOpen) { return MayCarryRequest(mState, aOpen); },
          .mOnAnswered = [this](const RelayOpen& aOpen,
                                RelayStatus aStatus) { RecordRelayAnswer(mState, aOpen, aStatus); },
          .mServerOptions = ServerStreamOptions() })
  {
    mState.mRelieveMemory = [this](std::size_t aNeeded) {
      RelieveMemory(mState, mRelief, aNeeded);
    };
  }

  void Bind();
  // Binds an endpoint, whose connections `aOnAccepted` takes over.
  void AddListener(const Endpoint& aEndpoint, const SocketHandler& aOnAccepted);
  void Listen(const std::shared_ptr<Poco::Net::ServerSocket>& aListener,
              const SocketHandler& aOnAccepted);
  // Accepts the waiting connections, up to the connection limit. Returns false if accepting must be
  // suspended.
  bool Accept(Poco::Net::ServerSocket& aListener, const SocketHandler& aOnAccepted);
  void AcceptOne(Poco::Net::ServerSocket& aListener, const SocketHandler& aOnAccepted);
  std::size_t OpenConnections() const;
  bool HasConnectionsLeft();
  SocketHandler SessionStarter(std::shared_ptr<const SessionCallbacks> aCallbacks);
  RelayDecision Decide(const RelayOpen& aOpen);
  void CountMemory();
  std::shared_ptr<SessionCallbacks> BaseCallbacks();
  std::shared_ptr<const SessionCallbacks> ClientCallbacks();
  // Callbacks for sessions whose requests are answered directly by `aHandler`.
  std::shared_ptr<const SessionCallbacks> ImmediateCallbacks(RequestHandler aHandler);
  void Sweep();
  void StopListening();
  void EndUnfinishedRequests();
  void DropClosedSessions();
  void EndWhatIsDue(Instant aNow, bool aBalancerDrained);
  void CheckStop(Instant aStoppedAt, Instant aDeadline);

  TrafficState mState;
  struct Listener
  {
    Poco::Net::ServerSocket mSocket;
    SocketHandler mOnAccepted;
  };

  RelayCarrier mCarrier;
  std::vector<Listener> mListeners;
  std::unordered_set<std::shared_ptr<ClientSession>> mSessions;
  // Sessions that have ended, but whose clients have not received the last answer yet.
  std::unordered_set<std::shared_ptr<ClientSession>> mClosingSessions;
  std::unordered_map<const ClientSession*, std::shared_ptr<Exchange>> mExchanges;
  MemoryRelief mRelief;
  std::thread mThread;
  int mAbortedRequests = 0;
};

std::shared_ptr<SessionCallbacks>
TrafficThread::Impl::BaseCallbacks()
{
  auto callbacks = std::make_shared<SessionCallbacks>();
  callbacks->mOnClosed = [this](const std::shared_ptr<ClientSession>& aSession) {
    mSessions.erase(aSession);
    if (aSession->IsOpen()) {
      mClosingSessions.insert(aSession);
    }
    const auto found = mExchanges.find(aSession.get());
    if (found != mExchanges.end()) {
      const auto exchange = found->second;
      exchange->OnClientGone();
      mExchanges.erase(aSession.get());
    }
  };
  callbacks->mOnMemory = [this](const std::shared_ptr<ClientSession>& aSession,
                                const ClientMemory& aMemory,
                                MemoryReport aReport) {
    OnSessionMemory(mState, mRelief, aSession, aMemory, aReport);
  };
  callbacks->mNoRoomHeaders = [this](const HttpRequest& aRequest) {
    return mState.mOptions.mCodec.mOwnHeaders(
      mState.mOptions.mCodec.mReadRequest(aRequest).mRequestId, kRetryAfterFull);
  };
  callbacks->mMaxDiscarded = [this] {
    // One client gets its answer whatever it still sends; a crowd shares these bytes.
    return std::max(kMinDiscardedBytes, kMaxDiscardedBytes / (mClosingSessions.size() + 1));
  };
  callbacks->mOnMalformed = [this](int aStatus, std::string_view aReason) {
    mState.mLog.Write(LogSeverity::kNotable,
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
TrafficThread::Impl::ClientCallbacks()
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
TrafficThread::Impl::ImmediateCallbacks(RequestHandler aHandler)
{
  auto callbacks = BaseCallbacks();
  callbacks->mOnRequest = [handler =
                             std::move(aHandler)](const std::shared_ptr<ClientSession>& aSession,
                                                  const HttpRequest& aRequest) {
    aSession->SendAnswer(handler(aRequest));
  };
  return callbacks;
}

void
TrafficThread::Impl::Bind()
{
  const TrafficOptions& options = mState.mOptions;
  const auto add = [this](const Endpoint& aEndpoint,
                          std::shared_ptr<const SessionCallbacks> aCallbacks) {
    AddListener(aEndpoint, SessionStarter(std::move(aCallbacks)));
  };
  add(options.mListen, ClientCallbacks());
  add(options.mReadiness, ImmediateCallbacks([this](const HttpRequest& /*aRequest*/) {
        const bool ready = !mState.mStopping && mState.mView && mState.mView->mCatalogue;
        return HttpResponse{ .mStatus = ready ? kOk : kServiceUnavailable };
      }));
  if (options.mMetrics.has_value()) {
    add(*options.mMetrics, ImmediateCallbacks([this](const HttpRequest& /*aRequest*/) {
      return HttpResponse{ .mHeaders = { { "Content-Type", "text/plain; version=0.0.4" } },
                           .mBody = mState.mMetrics.Render() };
    }));
  }
  if (options.mRelay.has_value()) {
    AddListener(*options.mRelay,
                [this](const Poco::Net::StreamSocket& aSocket) { mCarrier.Carry(aSocket); });
  }
  // No endpoint takes connections before all are bound: those would be reset if another endpoint
  // cannot be bound.
  for (Listener& listener : mListeners) {
    listener.mSocket.listen(kListenBacklog);
    Listen(std::make_shared<Poco::Net::ServerSocket>(listener.mSocket), listener.mOnAccepted);
  }
}

void
TrafficThread::Impl::AddListener(const Endpoint& aEndpoint, const SocketHandler& aOnAccepted)
{
  mListeners.push_back({ .mSocket = BindListener(aEndpoint), .mOnAccepted = aOnAccepted });
}

TrafficThread::Impl::SocketHandler
TrafficThread::Impl::SessionStarter(std::shared_ptr<const SessionCallbacks> aCallbacks)
{
  return [this, callbacks = std::move(aCallbacks)](const Poco::Net::StreamSocket& aSocket) {
    mSessions.insert(ClientSession::Start(mState.mLoop, aSocket, callbacks));
  };
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
TrafficThread::Impl::Listen(const std::shared_ptr<Poco::Net::ServerSocket>& aListener,
                            const SocketHandler& aOnAccepted)
{
  mState.mLoop.Watch(*aListener, kReadable, [this, aListener, aOnAccepted](unsigned /*aReady*/) {
    if (Accept(*aListener, aOnAccepted)) {
      return;
    }
    // Otherwise waiting connections would wake the thread continuously.
    mState.mLoop.Pause(*aListener, SuspendAwareNow() + kAcceptRetryDelay);
  });
}

std::size_t
TrafficThread::Impl::OpenConnections() const
{
  constexpr std::size_t kSocketsPerRelay = 2;
  return mSessions.size() + mClosingSessions.size() + mState.mConnectionPool.OpenCount() +
         kSocketsPerRelay * mCarrier.Carried();
}

bool
TrafficThread::Impl::HasConnectionsLeft()
{
  if (OpenConnections() >= mState.mOptions.mMaxConnections) {
    DropClosedSessions();
  }
  return OpenConnections() < mState.mOptions.mMaxConnections;
}

void
TrafficThread::Impl::AcceptOne(Poco::Net::ServerSocket& aListener, const SocketHandler& aOnAccepted)
{
  Poco::Net::StreamSocket socket = aListener.acceptConnection();
  try {
    aOnAccepted(socket);
  } catch (const std::exception&) {
    // Ends the connection also for a stream that has taken it over.
    socket.shutdown();
    throw;
  }
}

bool
TrafficThread::Impl::Accept(Poco::Net::ServerSocket& aListener, const SocketHandler& aOnAccepted)
{
  // At the connection limit, sessions that wait give way to new connections, which wait in the
  // listener's queue meanwhile. A host that stops takes them all, since closing the listener would
  // reset them.
  if (!HasConnectionsLeft() && IsReadable(aListener)) {
    EndWaitingSessions(mState, mSessions);
  }
  while ((HasConnectionsLeft() || mState.mStopping) && IsReadable(aListener)) {
    try {
      AcceptOne(aListener, aOnAccepted);
    } catch (const std::exception& error) {
      mState.mLoop.RunGuarded([&] { LogRejectedConnection(mState.mLog, error); });
      return false;
    }
  }
  return HasConnectionsLeft();
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
  DropClosedSessions();
  for (const auto* sessions : { &mSessions, &mClosingSessions }) {
    for (const auto& session : *sessions) {
      session->ReportUnacknowledged();
    }
  }
  CountMemory();
  UpdateMemoryGauges(mState);
}

// Closes the listeners after accepting the connections that wait there. A request accepted later
// might not end before the deadline, while a client whose connection is refused can go to another
// host.
void
TrafficThread::Impl::StopListening()
{
  for (Listener& listener : mListeners) {
    Accept(listener.mSocket, listener.mOnAccepted);
    mState.mLoop.Unwatch(listener.mSocket);
    listener.mSocket.close();
  }
  mListeners.clear();
}

void
TrafficThread::Impl::DropClosedSessions()
{
  std::erase_if(mClosingSessions, [](const auto& aSession) {
    if (aSession->IsOpen()) {
      return false;
    }
    // Nothing is held for it any more.
    aSession->ReportUnacknowledged();
    return true;
  });
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
    StopListening();
    const auto sessions = mSessions;
    for (const auto& session : sessions) {
      session->CloseIfIdle(aNow);
    }
  }
  if (HasPassed(mState.mStopsAt, aNow)) {
    EndUnfinishedRequests();
    mCarrier.CloseAll();
  }
  DropClosedSessions();
}

void
TrafficThread::Impl::CheckStop(Instant aStoppedAt, Instant aDeadline)
{
  const Instant now = SuspendAwareNow();
  const bool balancerDrained = now - aStoppedAt >= kBalancerDrainDelay;
  mState.mLoop.RunGuarded([&] { EndWhatIsDue(now, balancerDrained); });
  // Sessions that are left have a request, or a client that is about to send its first one.
  const bool isIdle =
    mSessions.empty() && mExchanges.empty() && mClosingSessions.empty() && mCarrier.Carried() == 0;
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
