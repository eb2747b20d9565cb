// The connections of clients to a daemon: accepts them, keeps their sessions, and keeps what they
// hold within the limits on memory and connections.
//
//   ClientConnections connections{ loop, budget, options };
//   connections.AddListener(endpoint, { .mOnRequest = ... });
//   connections.StartListening();
//
// At the limit of connections, sessions that wait for a request give way to new connections, which
// wait in the queue of the kernel meanwhile. All functions must be called on the thread of the
// event loop, or before it runs.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/http_server/client_session.h"
#include "trefoil/http_server/connection_use.h"
#include "trefoil/http_server/memory_relief.h"

#include <Poco/Net/ServerSocket.h>
#include <cstdint>
#include <exception>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace trefoil {

struct ClientConnectionsOptions
{
  ConnectionLimits mLimits;
  SessionOptions mSession;
  // Returns what is in use beside the connections of clients; their counts in it are ignored.
  std::function<ConnectionUse()> mOtherUse;
  // Closes a connection that is not a client's and can be spared. Returns false if there is none.
  // May be empty.
  std::function<bool()> mCloseSpare;
  std::function<ClientLimits()> mClientLimits;
  // Returns the headers of a refusal of a request that there is no room for.
  std::function<HttpHeaders(const HttpRequest&)> mNoRoomHeaders;
  // Returns whether the host is shutting down. It then accepts all connections that wait.
  std::function<bool()> mStopping;
  // Called when a request was malformed, too large or late, and when clients are ended
  // (MemoryRelief). May be empty.
  std::function<void(int aStatus, std::string_view aReason)> mOnMalformed;
  std::function<void(MemoryRefusal)> mOnEnded;
  std::function<void(std::size_t aClients)> mOnExhausted;
  // Called when a connection could not be accepted, once a second at most. May be empty.
  std::function<void(const std::exception&)> mOnAcceptFailed;
};

// What is done with the connections of one listener.
struct ListenerHandlers
{
  // Called with each complete request (SessionCallbacks::mOnRequest).
  std::function<void(const std::shared_ptr<ClientSession>&, HttpRequest)> mOnRequest;
  // Called when a client has gone, and when all that was buffered for it was sent. May be empty.
  std::function<void(const std::shared_ptr<ClientSession>&)> mOnClosed;
  std::function<void(const std::shared_ptr<ClientSession>&)> mOnSent;
  // Whether requests take connections to servers.
  bool mUsesServers = true;
};

class ClientConnections
{
public:
  using SocketHandler = std::function<void(const Poco::Net::StreamSocket&)>;

  ClientConnections(EventLoop& aLoop, MemoryBudget& aMemory, ClientConnectionsOptions aOptions);
  ~ClientConnections();
  ClientConnections(const ClientConnections&) = delete;
  ClientConnections& operator=(const ClientConnections&) = delete;

  // Binds an endpoint for clients, or for connections that `aOnAccepted` takes over. Returns the
  // port. Throws Poco::Exception if the endpoint cannot be bound.
  std::uint16_t AddListener(const Endpoint& aEndpoint, const ListenerHandlers& aHandlers);
  std::uint16_t AddListener(const Endpoint& aEndpoint, SocketHandler aOnAccepted);
  // Begins to accept connections on all endpoints. No endpoint takes connections before all are
  // bound: those would be reset if another endpoint cannot be bound.
  void StartListening();
  // Accepts the connections that wait, and closes the endpoints.
  void StopListening();

  // Returns whether a connection to a server is left for a request that
  // ClientConnectionsOptions::mOtherUse does not count yet, after connections that can be spared
  // have been closed.
  bool MakeRoomForServerConnection();
  // Closes the sessions that have no request (ClientSession::CloseIfIdle).
  void CloseIdle(Instant aNow);
  // Gives clients that have not sent their first request time until `aDeadline` at least.
  void AwaitFirstRequestsUntil(Instant aDeadline);
  // Closes all endpoints and sessions at once.
  void CloseAll();
  // Updates what the kernel holds for clients, and forgets closed sessions. To be called once a
  // second.
  void Sweep();
  void DropClosed();

  MemoryRelief& Relief() { return mRelief; }
  ConnectionUse Use() const;
  // Returns the number of sessions that are open, and of those that only send their last answer.
  std::size_t OpenCount() const { return mSessions.size(); }
  std::size_t ClosingCount() const { return mClosing.size(); }

private:
  struct Listener
  {
    Poco::Net::ServerSocket mSocket;
    SocketHandler mOnAccepted;
  };

  std::uint16_t Bind(const Endpoint& aEndpoint, SocketHandler aOnAccepted);
  void Watch(std::size_t aListener);
  bool Accept(Poco::Net::ServerSocket& aListener, const SocketHandler& aOnAccepted);
  bool HasConnectionsLeft();
  void ReportAcceptFailure(const std::exception& aError);
  std::shared_ptr<const SessionCallbacks> MakeCallbacks(const ListenerHandlers& aHandlers);
  void OnClosed(const std::shared_ptr<ClientSession>& aSession, const ListenerHandlers& aHandlers);

  EventLoop& mLoop;
  const ClientConnectionsOptions mOptions;
  MemoryRelief mRelief;
  std::vector<Listener> mListeners;
  std::unordered_set<std::shared_ptr<ClientSession>> mSessions;
  // Sessions that have ended, but whose clients have not received the last answer yet.
  std::unordered_set<std::shared_ptr<ClientSession>> mClosing;
  // Sessions that have not sent their first request, which will take a connection to a server.
  std::unordered_set<const ClientSession*> mNew;
  // When a failure to accept is reported again.
  Instant mNextFailureReport;
};

} // namespace trefoil
