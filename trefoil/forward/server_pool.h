// Kept connections to backend servers.
//
//   std::shared_ptr<ServerConnection> connection = pool.Take(server, ReuseRule::kAny);
//   ...
//   pool.Give(connection, keepsIdle);        // after a whole answer that leaves the connection
//   clean
//
// A connection belongs to one incarnation of a server. One that is not given back is closed by its
// owner. Runs on the thread of its event loop.
#pragma once

#include "trefoil/catalogue/server_registry.h"
#include "trefoil/reactor/byte_stream.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace trefoil {

enum class ReuseRule
{
  kAny,
  // Only a connection that was used so lately that the server has hardly closed it: the request
  // cannot be repeated if it has.
  kFresh,
};

inline constexpr NameTable<ReuseRule, 2> kReuseRuleNames{ {
  { ReuseRule::kAny, "any" },
  { ReuseRule::kFresh, "fresh" },
} };

struct ServerConnection
{
  BackendServerId mServer;
  std::int64_t mIncarnation = 0;
  std::shared_ptr<ByteStream> mStream;
  // Has carried an answer before.
  bool mReused = false;
  Instant mIdleSince;
  // No request is sent on it from here on.
  Instant mUseUntil;
};

class ServerPool
{
public:
  explicit ServerPool(EventLoop& aLoop);
  ~ServerPool();

  // Returns a kept connection, or a new one that connects. Callbacks are the caller's to set.
  std::shared_ptr<ServerConnection> Take(const RegisteredServer& aServer, ReuseRule aRule);
  void Give(const std::shared_ptr<ServerConnection>& aConnection,
            std::optional<Milliseconds> aKeepsIdle);
  // Closes the idle connections of servers that are not in the registry as this incarnation, and
  // those that are too old.
  void Sweep(const ServerRegistry& aServers, Instant aNow);
  std::size_t Idle() const { return mIdleCount; }

private:
  using Connections = std::vector<std::shared_ptr<ServerConnection>>;

  void Drop(const BackendServerId& aServer, const ByteStream* aStream);

  EventLoop& mLoop;
  std::map<BackendServerId, Connections> mIdle;
  std::size_t mIdleCount = 0;
};

} // namespace trefoil
