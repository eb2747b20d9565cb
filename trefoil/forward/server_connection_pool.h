// A pool of open connections to backend servers.
//
//   std::shared_ptr<ServerConnection> connection =
//     pool.AcquireIdle(server, ReusePolicy::kAny, isUsable);
//   if (!connection) {
//     connection = pool.Connect(server);
//   }
//   ...
//   pool.Release(connection, timeout);       // after a complete answer
//   Discard(*connection);                    // otherwise
//
// A connection belongs to one incarnation of a server. All functions must be called on the thread
// of the event loop.
//
// While a connection is acquired, its server may be silent for some seconds, since a sound server
// can answer after that. Callers that do not want to wait discard the connection.
#pragma once

#include "trefoil/catalogue/server_registry.h"
#include "trefoil/dispatch/server_path.h"
#include "trefoil/reactor/byte_stream.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace trefoil {

// Which idle connections of a server may be reused.
enum class ReusePolicy
{
  kAny,
  // Reuses only a connection that became idle within the last second, which the server has hardly
  // closed yet. For requests that must not be repeated: if the server closes the connection while
  // the request is being sent, the request may have run.
  kRecentlyUsed,
};

inline constexpr NameTable<ReusePolicy, 2> kReusePolicyNames{ {
  { ReusePolicy::kAny, "any" },
  { ReusePolicy::kRecentlyUsed, "fresh" },
} };

struct ServerConnection
{
  BackendServerId mServer;
  std::int64_t mIncarnation = 0;
  // The host that carries the connection; empty if it is direct.
  HostId mVia;
  std::shared_ptr<ByteStream> mStream;
  // Whether the connection has already carried an answer.
  bool mReused = false;
  Instant mIdleSince;
  // No new request is sent on the connection after this time.
  Instant mReuseDeadline;
  // Shared with the pool, which counts its connections by it.
  std::shared_ptr<const bool> mCountToken;
};

// Closes an acquired connection. The kernel soon gives up sending what the server does not
// acknowledge, so that a server behind a broken path does not get the request late.
void
Discard(const ServerConnection& aConnection);

// Options of acquired connections to backend servers.
StreamOptions
ServerStreamOptions();

class ServerConnectionPool
{
public:
  explicit ServerConnectionPool(EventLoop& aLoop);
  ~ServerConnectionPool();

  using Filter = std::function<bool(const ServerConnection&)>;

  // Returns an idle connection that `aIsUsable` accepts, or null. The caller must set the callbacks
  // of its stream.
  std::shared_ptr<ServerConnection> AcquireIdle(const RegisteredServer& aServer,
                                                ReusePolicy aPolicy,
                                                const Filter& aIsUsable);
  // Returns whether a direct connection is idle that may still be open.
  bool HasDirectIdle(const RegisteredServer& aServer, Instant aNow) const;
  // Returns a new connection whose stream is still connecting, without callbacks: to the server, or
  // to the carrier, which has to be asked for the server.
  std::shared_ptr<ServerConnection> Connect(const RegisteredServer& aServer);
  std::shared_ptr<ServerConnection> ConnectToCarrier(const RegisteredServer& aServer,
                                                     const Carrier& aCarrier);
  // Returns a connection to the pool. `aKeepAliveTimeout` is how long the server keeps idle
  // connections open; std::nullopt stands for the default. Closes the connection if the timeout
  // is too short for reuse.
  void Release(const std::shared_ptr<ServerConnection>& aConnection,
               std::optional<Milliseconds> aKeepAliveTimeout);
  // Closes the idle connections whose server incarnation is not in the registry, and those past
  // their reuse deadline.
  void Sweep(const ServerRegistry& aServers, Instant aNow);
  // Closes the idle connections that `aIsUsable` does not accept.
  void CloseUnusable(const Filter& aIsUsable);
  // Closes an idle connection. Returns false if there is none.
  bool CloseOneIdle();
  // Returns the number of idle connections.
  std::size_t IdleCount() const { return mIdleCount; }
  // Returns the number of connections, idle or in use.
  std::size_t OpenCount() const { return static_cast<std::size_t>(mCountToken.use_count() - 1); }

private:
  using Connections = std::vector<std::shared_ptr<ServerConnection>>;

  std::shared_ptr<ServerConnection> MakeConnection(const RegisteredServer& aServer) const;
  void CloseIdleConnection(const BackendServerId& aServer, const ByteStream* aStream);

  EventLoop& mLoop;
  std::map<BackendServerId, Connections> mIdleConnections;
  std::size_t mIdleCount = 0;
  std::shared_ptr<const bool> mCountToken = std::make_shared<const bool>(true);
};

} // namespace trefoil
