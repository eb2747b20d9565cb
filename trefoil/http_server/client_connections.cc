#include "trefoil/http_server/client_connections.h"

#include "trefoil/net/exclusive_bind.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// Connections that wait to be accepted. Allows for many clients that reconnect simultaneously.
constexpr std::size_t kMinListenBacklog = 64;
constexpr std::size_t kMaxListenBacklog = 512;
// The least that is discarded of what a client still sends after its last answer.
constexpr std::size_t kMinDiscardedBytes = std::size_t{ 256 } * 1024;
// Delay before accepting connections again after the connection limit was reached or accepting
// failed.
constexpr Milliseconds kAcceptRetryDelay{ 20 };
constexpr Milliseconds kFailureReportInterval{ 1'000 };
// What the kernel may hold for a connection in each direction; it doubles the number for its own
// needs. The same as its initial size.
constexpr std::size_t kSocketBufferBytes = std::size_t{ 64 } * 1024;
// What it may hold of a request before the connection is accepted, since a crowd fills the queue of
// the listener with these. No less than what a sender with the usual initial window sends in its
// first round trip.
constexpr std::size_t kQueuedBufferBytes = std::size_t{ 16 } * 1024;
// The least that it may hold of a request of each client in a crowd.
constexpr std::size_t kMinSocketBufferBytes = std::size_t{ 8 } * 1024;

Poco::Net::ServerSocket
BindListener(const Endpoint& aEndpoint)
{
  Poco::Net::ServerSocket socket;
  BindExclusively(socket, aEndpoint);
  socket.setBlocking(false);
  // Accepted connections inherit these. Without them the kernel lets the buffers of each connection
  // grow to some MB, whether the process has memory or not.
  socket.setReceiveBufferSize(static_cast<int>(kQueuedBufferBytes));
  socket.setSendBufferSize(static_cast<int>(kSocketBufferBytes));
  return socket;
}

void
SetReceiveBuffer(Poco::Net::StreamSocket aSocket, std::size_t aBytes)
{
  try {
    aSocket.setReceiveBufferSize(static_cast<int>(aBytes));
  } catch (const Poco::Exception&) {
    // The connection has ended, which its session finds out.
    return;
  }
}

// Returns what the kernel may hold of the requests of the last of `aClients`. The buffers of all
// clients together stay near `aKernelBytes`: they shrink with the number of clients, and those of
// the first ones are not taken back.
std::size_t
ReceiveBufferOf(std::size_t aClients, std::size_t aKernelBytes)
{
  constexpr std::size_t kParts = 4;
  return std::clamp(aKernelBytes / kParts / aClients, kMinSocketBufferBytes, kSocketBufferBytes);
}

} // namespace

ClientConnections::ClientConnections(EventLoop& aLoop,
                                     MemoryBudget& aMemory,
                                     ClientConnectionsOptions aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mRelief{ .mLoop = aLoop,
             .mMemory = aMemory,
             .mOnEnded = mOptions.mOnEnded,
             .mOnExhausted = mOptions.mOnExhausted }
{
}

ClientConnections::~ClientConnections() = default;

std::uint16_t
ClientConnections::AddListener(const Endpoint& aEndpoint, const ListenerHandlers& aHandlers)
{
  const bool usesServers = aHandlers.mUsesServers;
  return Bind(aEndpoint,
              [this, usesServers, callbacks = MakeCallbacks(aHandlers)](
                const Poco::Net::StreamSocket& aSocket) {
                SetReceiveBuffer(
                  aSocket, ReceiveBufferOf(mSessions.size() + 1, mRelief.mMemory.mLimits.mKernel));
                const auto session = ClientSession::Start(mLoop, aSocket, callbacks);
                mSessions.insert(session);
                ChangeHeld(mRelief.mMemory, MemoryKind::kConnections, 0, kConnectionBytes);
                if (usesServers) {
                  mNew.insert(session.get());
                }
              });
}

std::uint16_t
ClientConnections::AddListener(const Endpoint& aEndpoint, SocketHandler aOnAccepted)
{
  return Bind(aEndpoint,
              [onAccepted = std::move(aOnAccepted)](const Poco::Net::StreamSocket& aSocket) {
                SetReceiveBuffer(aSocket, kSocketBufferBytes);
                onAccepted(aSocket);
              });
}

std::uint16_t
ClientConnections::Bind(const Endpoint& aEndpoint, SocketHandler aOnAccepted)
{
  mListeners.push_back(
    { .mSocket = BindListener(aEndpoint), .mOnAccepted = std::move(aOnAccepted) });
  return mListeners.back().mSocket.address().port();
}

std::shared_ptr<const SessionCallbacks>
ClientConnections::MakeCallbacks(const ListenerHandlers& aHandlers)
{
  auto callbacks = std::make_shared<SessionCallbacks>();
  callbacks->mOptions = mOptions.mSession;
  callbacks->mOnRequest = [this, onRequest = aHandlers.mOnRequest](
                            const std::shared_ptr<ClientSession>& aSession, HttpRequest aRequest) {
    mNew.erase(aSession.get());
    onRequest(aSession, std::move(aRequest));
  };
  callbacks->mOnSent = aHandlers.mOnSent;
  callbacks->mOnClosed = [this, aHandlers](const std::shared_ptr<ClientSession>& aSession) {
    OnClosed(aSession, aHandlers);
  };
  callbacks->mOnMemory = [this](const std::shared_ptr<ClientSession>& aSession,
                                const ClientMemory& aMemory,
                                MemoryReport aReport) {
    OnSessionMemory(mRelief, aSession, aMemory, aReport);
  };
  callbacks->mNoRoomHeaders = mOptions.mNoRoomHeaders;
  callbacks->mMaxDiscarded = [this] {
    // One client gets its answer whatever it still sends; a crowd shares these bytes.
    return std::max(kMinDiscardedBytes, kMaxDiscardedBytes / (mClosing.size() + 1));
  };
  callbacks->mOnMalformed = [this](int aStatus, std::string_view aReason) {
    if (mOptions.mOnMalformed) {
      mOptions.mOnMalformed(aStatus, aReason);
    }
  };
  callbacks->mLimits = mOptions.mClientLimits;
  callbacks->mStopping = mOptions.mStopping;
  return callbacks;
}

void
ClientConnections::OnClosed(const std::shared_ptr<ClientSession>& aSession,
                            const ListenerHandlers& aHandlers)
{
  mNew.erase(aSession.get());
  if (mSessions.erase(aSession) > 0) {
    if (aSession->IsOpen()) {
      mClosing.insert(aSession);
    } else {
      ChangeHeld(mRelief.mMemory, MemoryKind::kConnections, kConnectionBytes, 0);
    }
  }
  if (aHandlers.mOnClosed) {
    aHandlers.mOnClosed(aSession);
  }
}

void
ClientConnections::StartListening()
{
  const std::size_t backlog = std::clamp(
    mRelief.mMemory.mLimits.mKernel / kSocketBufferBytes, kMinListenBacklog, kMaxListenBacklog);
  for (std::size_t i = 0; i < mListeners.size(); ++i) {
    mListeners[i].mSocket.listen(static_cast<int>(backlog));
    Watch(i);
  }
}

void
ClientConnections::Watch(std::size_t aListener)
{
  mLoop.Watch(mListeners[aListener].mSocket, kReadable, [this, aListener](unsigned /*aReady*/) {
    Listener& listener = mListeners[aListener];
    if (!Accept(listener.mSocket, listener.mOnAccepted)) {
      // Otherwise waiting connections would wake the thread continuously.
      mLoop.Pause(listener.mSocket, SuspendAwareNow() + kAcceptRetryDelay);
    }
  });
}

// Accepts the connections that wait, up to the limit. Returns false if accepting must be suspended.
bool
ClientConnections::Accept(Poco::Net::ServerSocket& aListener, const SocketHandler& aOnAccepted)
{
  // A host that stops takes all, since closing the listener would reset them.
  const bool isStopping = mOptions.mStopping();
  if (!isStopping && !HasConnectionsLeft() && IsReadable(aListener)) {
    EndWaitingSessions(mRelief, mSessions);
  }
  while ((isStopping || HasConnectionsLeft()) && IsReadable(aListener)) {
    try {
      Poco::Net::StreamSocket socket = aListener.acceptConnection();
      try {
        aOnAccepted(socket);
      } catch (const std::exception&) {
        // Ends the connection also for a stream that has taken it over.
        socket.shutdown();
        throw;
      }
    } catch (const std::exception& error) {
      ReportAcceptFailure(error);
      return false;
    }
  }
  return HasConnectionsLeft();
}

void
ClientConnections::ReportAcceptFailure(const std::exception& aError)
{
  const Instant now = SuspendAwareNow();
  if (mOptions.mOnAcceptFailed && HasPassed(mNextFailureReport, now)) {
    mNextFailureReport = now + kFailureReportInterval;
    mLoop.RunGuarded([&] { mOptions.mOnAcceptFailed(aError); });
  }
}

bool
ClientConnections::HasConnectionsLeft()
{
  if (MayAccept(mOptions.mLimits, Use())) {
    return true;
  }
  DropClosed();
  while (!MayAccept(mOptions.mLimits, Use())) {
    if (!mOptions.mCloseSpare || !mOptions.mCloseSpare()) {
      return false;
    }
  }
  return true;
}

bool
ClientConnections::MakeRoomForServerConnection()
{
  // A host that stops has accepted all connections, and their requests must not be lost.
  if (mOptions.mStopping() || MayBeginRequest(mOptions.mLimits, Use())) {
    return true;
  }
  DropClosed();
  while (!MayBeginRequest(mOptions.mLimits, Use())) {
    const bool hasClosed = (mOptions.mCloseSpare && mOptions.mCloseSpare()) ||
                           EndWaitingSessions(mRelief, mSessions) > 0;
    if (!hasClosed) {
      return false;
    }
  }
  return true;
}

ConnectionUse
ClientConnections::Use() const
{
  ConnectionUse use = mOptions.mOtherUse();
  use.mClients = mSessions.size() + mClosing.size();
  use.mNewClients = mNew.size();
  return use;
}

void
ClientConnections::StopListening()
{
  for (Listener& listener : mListeners) {
    Accept(listener.mSocket, listener.mOnAccepted);
    mLoop.Unwatch(listener.mSocket);
    listener.mSocket.close();
  }
  mListeners.clear();
}

void
ClientConnections::CloseIdle(Instant aNow)
{
  const auto sessions = mSessions;
  for (const auto& session : sessions) {
    session->CloseIfIdle(aNow);
  }
}

void
ClientConnections::AwaitFirstRequestsUntil(Instant aDeadline)
{
  for (const auto& session : mSessions) {
    session->AwaitFirstRequestUntil(aDeadline);
  }
}

void
ClientConnections::CloseAll()
{
  for (Listener& listener : mListeners) {
    mLoop.Unwatch(listener.mSocket);
    listener.mSocket.close();
  }
  mListeners.clear();
  for (const auto* sessions : { &mSessions, &mClosing }) {
    const auto closed = *sessions;
    for (const auto& session : closed) {
      mLoop.RunGuarded([&] { session->Abort(); });
    }
  }
  DropClosed();
}

void
ClientConnections::Sweep()
{
  DropClosed();
  for (const auto* sessions : { &mSessions, &mClosing }) {
    for (const auto& session : *sessions) {
      session->ReportUnacknowledged();
    }
  }
}

void
ClientConnections::DropClosed()
{
  std::erase_if(mClosing, [this](const auto& aSession) {
    if (aSession->IsOpen()) {
      return false;
    }
    // Nothing is held for it any more.
    aSession->ReportUnacknowledged();
    ChangeHeld(mRelief.mMemory, MemoryKind::kConnections, kConnectionBytes, 0);
    return true;
  });
}

} // namespace trefoil
