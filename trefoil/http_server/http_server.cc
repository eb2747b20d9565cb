#include "trefoil/http_server/http_server.h"

#include "trefoil/http/check_request_head.h"
#include "trefoil/http/status_code.h"
#include "trefoil/http_server/client_connections.h"
#include "trefoil/http_server/internal/exchange_connection.h"
#include "trefoil/net/bind_error.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include <Poco/Exception.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>
#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace trefoil {
namespace {

constexpr int kThreadStackBytes = 256 * 1024;
constexpr int kThreadIdleSeconds = 60;
// Extra pool threads: a thread that has just finished a request is not available to the pool
// immediately.
constexpr std::int64_t kExtraThreads = 16;
// The limits of check_request_head.h, and what separates the parts of a head.
constexpr std::size_t kMaxHeadBytes = kMaxTargetBytes + kMaxHeaderBytes + std::size_t{ 1 } * 1024;
constexpr std::size_t kMaxHeaders = 100;
constexpr std::size_t kMaxOneHeaderBytes = std::size_t{ 8 } * 1024;
// What a handler uses beside its request: its thread, and the state and connection of a call.
constexpr std::size_t kHandlerBytes = std::size_t{ 32 } * 1024;
// A handler copies the request, or parts of it, to send it to a server.
constexpr std::size_t kRequestCopies = 2;
constexpr std::size_t kDefaultMachineBytes = std::size_t{ 4'000 } * 1000 * 1000;
constexpr Milliseconds kSweepInterval{ 1'000 };
// How often a server that drains closes the connections that have become idle.
constexpr Milliseconds kDrainCheckInterval{ 20 };
// How long a connection that has not sent its first request stays open after draining starts.
constexpr Milliseconds kFirstRequestGrace{ 1'000 };
// The time for a request, and the rate at which its body must arrive beside that.
constexpr Milliseconds kRequestTime{ 60'000 };
constexpr std::size_t kMinBytesPerMs = 100;

using ExchangePointer = std::shared_ptr<HttpExchange::Connection>;

// Calls a handler on a thread of the pool, then deletes itself.
class HandlerTask : public Poco::Runnable
{
public:
  HandlerTask(const HttpHandler& aHandler,
              HttpRequest aRequest,
              ExchangePointer aConnection,
              std::function<void()> aOnDone)
    : mHandler(aHandler)
    , mExchange(std::move(aRequest), aConnection)
    , mConnection(std::move(aConnection))
    , mOnDone(std::move(aOnDone))
  {
  }

  void run() override
  {
    std::unique_ptr<HandlerTask> self{ this };
    try {
      mHandler(mExchange);
      Finish();
    } catch (const std::exception&) {
      // The end of a stream would make it look complete.
      if (mConnection->mProgress == AnswerProgress::kNone) {
        mExchange.Respond({ .mStatus = kInternalServerError,
                            .mHeaders = { { "Connection", "close" } },
                            .mBody = "the server failed; the request may have run\n" });
      } else {
        mExchange.Abort();
      }
    }
    const auto onDone = std::move(mOnDone);
    // Frees the request first.
    self.reset();
    onDone();
  }

private:
  void Finish()
  {
    switch (mConnection->mProgress) {
      case AnswerProgress::kNone:
        mExchange.Abort();
        return;
      case AnswerProgress::kStreaming:
        mConnection->mLoop.Post(
          [connection = mConnection] { connection->mSession->FinishAnswer(); });
        return;
      case AnswerProgress::kComplete:
      case AnswerProgress::kAborted:
        return;
    }
  }

  const HttpHandler& mHandler;
  HttpExchange mExchange;
  ExchangePointer mConnection;
  std::function<void()> mOnDone;
};

// Returns the memory that a request takes until its handler ends.
std::size_t
MemoryOfRequest(const HttpRequest& aRequest)
{
  return kHandlerBytes + kRequestCopies * HeldBytes(aRequest);
}

HttpResponse
DefaultRefusal()
{
  return { .mStatus = kServiceUnavailable,
           .mHeaders = { { "Retry-After", "1" } },
           .mBody = "there is no room for the request now\n" };
}

} // namespace

struct HttpServer::State
{
  explicit State(HttpServerOptions aOptions)
    : mOptions(std::move(aOptions))
    , mMemory{ .mLimits = mOptions.mMemoryLimits.value_or(LimitsOfMachine(kDefaultMachineBytes)) }
    , mConnections(mLoop, mMemory, ConnectionsOptions())
    , mWorkers(2,
               static_cast<int>(mOptions.mMaxConnections + kExtraThreads),
               kThreadIdleSeconds,
               kThreadStackBytes)
  {
  }
  ~State();
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  ClientConnectionsOptions ConnectionsOptions();
  HttpResponse Refusal() const;
  void Log(std::string_view aText) const;
  void Bind();
  void OnRequest(const std::shared_ptr<ClientSession>& aSession, HttpRequest aRequest);
  void StartHandlers();
  void OnHandlerDone(const ExchangePointer& aConnection);
  void OnClosed(const std::shared_ptr<ClientSession>& aSession);
  void OnSent(const std::shared_ptr<ClientSession>& aSession);
  void Reserve(const ExchangePointer& aConnection, std::size_t aBytes);
  bool TryReserve(HttpExchange::Connection& aConnection, std::size_t aBytes);
  void GrantReservations();
  void Release(HttpExchange::Connection& aConnection);
  void Sweep();
  void BeginDrain();
  void ContinueDrain();
  void CountOpen();

  struct Reservation
  {
    ExchangePointer mConnection;
    std::size_t mBytes = 0;
  };

  const HttpServerOptions mOptions;
  EventLoop mLoop;
  MemoryBudget mMemory;
  ClientConnections mConnections;
  std::uint16_t mPort = 0;
  // The requests whose clients are connected.
  std::unordered_map<const ClientSession*, ExchangePointer> mExchanges;
  // All requests whose handlers have not ended.
  std::unordered_set<ExchangePointer> mRunning;
  // Handlers that wait for a thread.
  std::deque<std::unique_ptr<HandlerTask>> mWaiting;
  // Answers that wait for memory.
  std::deque<Reservation> mReservations;
  bool mIsDraining = false;
  Poco::ThreadPool mWorkers;
  std::thread mThread;
  absl::Mutex mMutex;
  // Connections, and whether the listener is closed.
  std::int64_t mOpen ABSL_GUARDED_BY(mMutex) = 0;
  bool mHasStopped ABSL_GUARDED_BY(mMutex) = false;
};

HttpServer::State::~State()
{
  if (mThread.joinable()) {
    mLoop.Post([this] {
      mIsDraining = true;
      mWaiting.clear();
      mConnections.CloseAll();
      for (const ExchangePointer& connection : mRunning) {
        connection->OnServerStopped();
      }
      mLoop.Stop();
    });
    mThread.join();
  }
  mWorkers.joinAll();
}

ClientConnectionsOptions
HttpServer::State::ConnectionsOptions()
{
  const Milliseconds idle{ mOptions.mIdleConnectionMilliseconds };
  const ClientLimits limits{ .mMaxHeadBytes = kMaxHeadBytes,
                             .mMaxBodyBytes = mOptions.mMaxBodyBytes,
                             .mHeadTimeout =
                               kRequestTime + Milliseconds{ static_cast<std::int64_t>(
                                                mOptions.mMaxBodyBytes / kMinBytesPerMs) },
                             .mIdleTimeout = idle };
  return {
    .mLimits = { .mMax = static_cast<std::size_t>(mOptions.mMaxConnections),
                 .mPerRequest = static_cast<std::size_t>(mOptions.mConnectionsPerRequest) },
    .mSession = { .mAckTimeout = idle,
                  .mStallTimeout = idle,
                  .mMaxHeaders = kMaxHeaders,
                  .mMaxHeaderBytes = kMaxOneHeaderBytes,
                  .mServesHalfClosed = true,
                  .mStatesKeepAlive = true },
    .mOtherUse = [this] { return ConnectionUse{ .mRequests = mRunning.size() }; },
    .mClientLimits = [limits] { return limits; },
    .mNoRoomHeaders =
      [this](const HttpRequest& /*aRequest*/) {
        HttpHeaders headers = Refusal().mHeaders;
        SetHeader(headers, "Content-Type", "text/plain");
        return headers;
      },
    .mStopping = [this] { return mIsDraining; },
    .mOnEnded =
      [this](MemoryRefusal aReason) {
        if (mOptions.mMetrics != nullptr) {
          mOptions.mMetrics->IncrementLabelled(LabelledCounter::kMemoryRefusals,
                                               NameOf(kMemoryRefusalNames, aReason));
        }
      },
    .mOnExhausted =
      [this](std::size_t aClients) {
        Log(fmt::format(
          "the memory for clients is exhausted, ended={} {}", aClients, DescribeMemory(mMemory)));
      },
    .mOnAcceptFailed =
      [this](const std::exception& aError) {
        const auto* libraryError = dynamic_cast<const Poco::Exception*>(&aError);
        Log(fmt::format("a connection cannot be accepted: {}",
                        libraryError == nullptr ? aError.what() : libraryError->displayText()));
      }
  };
}

HttpResponse
HttpServer::State::Refusal() const
{
  return mOptions.mMakeRefusal ? mOptions.mMakeRefusal() : DefaultRefusal();
}

void
HttpServer::State::Log(std::string_view aText) const
{
  if (mOptions.mLog) {
    mOptions.mLog(aText);
  }
}

void
HttpServer::State::Bind()
{
  mPort = mConnections.AddListener(
    mOptions.mListen,
    { .mOnRequest = [this](const std::shared_ptr<ClientSession>& aSession,
                           HttpRequest aRequest) { OnRequest(aSession, std::move(aRequest)); },
      .mOnClosed = [this](const std::shared_ptr<ClientSession>& aSession) { OnClosed(aSession); },
      .mOnSent = [this](const std::shared_ptr<ClientSession>& aSession) { OnSent(aSession); },
      .mUsesServers = mOptions.mConnectionsPerRequest > 0 });
  mConnections.StartListening();
}

void
HttpServer::State::OnRequest(const std::shared_ptr<ClientSession>& aSession, HttpRequest aRequest)
{
  const std::size_t bytes = MemoryOfRequest(aRequest);
  if (!mConnections.MakeRoomForServerConnection() ||
      !MakeRoomForRequest(mConnections.Relief(), bytes)) {
    if (mOptions.mMetrics != nullptr) {
      mOptions.mMetrics->IncrementLabelled(LabelledCounter::kMemoryRefusals,
                                           NameOf(kMemoryRefusalNames, MemoryRefusal::kNoRoom));
    }
    aSession->SendAnswer(Refusal());
    return;
  }
  const auto connection = std::make_shared<HttpExchange::Connection>(
    mLoop,
    aSession,
    [this](const ExchangePointer& aConnection, std::size_t aBytes) {
      Reserve(aConnection, aBytes);
    },
    [this](HttpExchange::Connection& aConnection) { Release(aConnection); });
  connection->mRequestBytes = bytes;
  mWaiting.push_back(std::make_unique<HandlerTask>(
    mOptions.mHandler, std::move(aRequest), connection, [this, connection] {
      mLoop.Post([this, connection] { OnHandlerDone(connection); });
    }));
  mExchanges[aSession.get()] = connection;
  mRunning.insert(connection);
  ChangeHeld(mMemory, MemoryKind::kRequests, 0, bytes);
  StartHandlers();
}

// Starts the handlers that wait while there are threads for them.
void
HttpServer::State::StartHandlers()
{
  while (!mWaiting.empty()) {
    try {
      mWorkers.start(*mWaiting.front());
    } catch (const std::exception&) {
      // No thread is available before another handler ends.
      return;
    }
    // The task deletes itself.
    static_cast<void>(mWaiting.front().release());
    mWaiting.pop_front();
  }
}

void
HttpServer::State::OnHandlerDone(const ExchangePointer& aConnection)
{
  mRunning.erase(aConnection);
  ChangeHeld(mMemory, MemoryKind::kRequests, aConnection->mRequestBytes, 0);
  const auto found = mExchanges.find(aConnection->mSession.get());
  if (found != mExchanges.end() && found->second == aConnection) {
    mExchanges.erase(found);
  }
  Release(*aConnection);
  StartHandlers();
  GrantReservations();
}

void
HttpServer::State::OnClosed(const std::shared_ptr<ClientSession>& aSession)
{
  const auto found = mExchanges.find(aSession.get());
  if (found != mExchanges.end()) {
    found->second->OnEnded();
    mExchanges.erase(found);
  }
  GrantReservations();
}

void
HttpServer::State::OnSent(const std::shared_ptr<ClientSession>& aSession)
{
  const auto found = mExchanges.find(aSession.get());
  if (found != mExchanges.end()) {
    found->second->OnBuffered(aSession->Unsent());
  }
  GrantReservations();
}

// Reserves memory for an answer at once, or when there is room for it. Refuses what never fits.
void
HttpServer::State::Reserve(const ExchangePointer& aConnection, std::size_t aBytes)
{
  if (aBytes > mMemory.mLimits.mLarge) {
    aConnection->OnReserved(false);
    return;
  }
  mReservations.push_back({ .mConnection = aConnection, .mBytes = aBytes });
  GrantReservations();
}

bool
HttpServer::State::TryReserve(HttpExchange::Connection& aConnection, std::size_t aBytes)
{
  const std::size_t held = TotalHeldBytes(mMemory);
  if (held + aBytes > mMemory.mLimits.mLarge) {
    return false;
  }
  ChangeHeld(mMemory,
             MemoryKind::kServerAnswers,
             aConnection.mReservedBytes,
             aConnection.mReservedBytes + aBytes);
  aConnection.mReservedBytes += aBytes;
  aConnection.OnReserved(true);
  return true;
}

void
HttpServer::State::GrantReservations()
{
  while (!mReservations.empty()) {
    const Reservation& first = mReservations.front();
    if (mRunning.contains(first.mConnection) && !TryReserve(*first.mConnection, first.mBytes)) {
      return;
    }
    mReservations.pop_front();
  }
}

void
HttpServer::State::Release(HttpExchange::Connection& aConnection)
{
  ChangeHeld(mMemory, MemoryKind::kServerAnswers, std::exchange(aConnection.mReservedBytes, 0), 0);
}

void
HttpServer::State::Sweep()
{
  mLoop.CallAt(SuspendAwareNow() + kSweepInterval, [this] { Sweep(); });
  mConnections.Sweep();
  if (!mReservations.empty()) {
    // Clients that leave answers unread give way to answers that wait for memory.
    const std::size_t needed = mReservations.front().mBytes;
    RelieveMemory(mConnections.Relief(), needed + mMemory.mLimits.mTotal - mMemory.mLimits.mLarge);
  }
  GrantReservations();
  if (mOptions.mMetrics != nullptr) {
    UpdateMemoryGauges(*mOptions.mMetrics, mMemory);
  }
}

void
HttpServer::State::BeginDrain()
{
  if (std::exchange(mIsDraining, true)) {
    return;
  }
  mConnections.StopListening();
  mConnections.AwaitFirstRequestsUntil(SuspendAwareNow() + kFirstRequestGrace);
  ContinueDrain();
}

void
HttpServer::State::ContinueDrain()
{
  mLoop.RunGuarded([this] {
    mConnections.CloseIdle(SuspendAwareNow());
    mConnections.DropClosed();
  });
  CountOpen();
  mLoop.CallAt(SuspendAwareNow() + kDrainCheckInterval, [this] { ContinueDrain(); });
}

void
HttpServer::State::CountOpen()
{
  const absl::MutexLock lock{ &mMutex };
  mOpen = static_cast<std::int64_t>(mConnections.OpenCount() + mConnections.ClosingCount());
  mHasStopped = true;
}

HttpServer::HttpServer(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

HttpServer::HttpServer(HttpServer&&) noexcept = default;
HttpServer&
HttpServer::operator=(HttpServer&&) noexcept = default;
HttpServer::~HttpServer() = default;

absl::StatusOr<HttpServer>
HttpServer::Start(HttpServerOptions aOptions)
{
  try {
    auto state = std::make_unique<State>(std::move(aOptions));
    state->Bind();
    State* raw = state.get();
    raw->mThread = std::thread{ [raw] {
      raw->mLoop.RunGuarded([raw] { raw->Sweep(); });
      raw->mLoop.Run();
    } };
    return HttpServer{ std::move(state) };
  } catch (const std::exception& error) {
    return BindError(error);
  }
}

std::int64_t
HttpServer::Drain(Instant aDeadline)
{
  State& state = *mState;
  state.mLoop.Post([&state] { state.BeginDrain(); });
  const auto isEmpty = [&state]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(state.mMutex) {
    return state.mHasStopped && state.mOpen == 0;
  };
  const absl::MutexLock lock{ &state.mMutex };
  state.mMutex.AwaitWithTimeout(absl::Condition(&isEmpty),
                                absl::FromChrono(Remaining(aDeadline, Now())));
  return state.mOpen;
}

std::uint16_t
HttpServer::Port() const
{
  return mState->mPort;
}

} // namespace trefoil
