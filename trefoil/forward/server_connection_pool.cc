#include "trefoil/forward/server_connection_pool.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// Assumed for servers that do not state how long they keep idle connections open.
constexpr Milliseconds kDefaultKeepAliveTimeout{ 5'000 };
// A connection is not reused during the last part of the keep-alive timeout, since the request
// has to reach the server before the timeout ends.
constexpr Milliseconds kKeepAliveMargin{ 1'000 };
// Servers may close idle connections before the stated timeout, but were never observed to close
// them within this time.
constexpr Milliseconds kMaxRecentIdleTime{ 1'000 };
// TCP retransmits a lost packet after 0.2, 0.6, 1.4 and 3 s. Includes the last of these, which
// reaches a server that was silent for up to 3 s.
constexpr Milliseconds kAcquiredPeerTimeout{ 5'000 };
// Allows two retransmissions.
constexpr Milliseconds kIdlePeerTimeout{ 800 };

} // namespace

void
Discard(const ServerConnection& aConnection)
{
  aConnection.mStream->SetPeerTimeout(kIdlePeerTimeout);
  aConnection.mStream->Close();
}

StreamOptions
ServerStreamOptions()
{
  return { .mPeerTimeout = kAcquiredPeerTimeout, .mConnectTimeout = kDirectConnectTimeout };
}

ServerConnectionPool::ServerConnectionPool(EventLoop& aLoop)
  : mLoop(aLoop)
{
}

ServerConnectionPool::~ServerConnectionPool()
{
  for (auto& [server, connections] : mIdleConnections) {
    for (const auto& connection : connections) {
      connection->mStream->Close();
    }
  }
}

std::shared_ptr<ServerConnection>
ServerConnectionPool::AcquireIdle(const RegisteredServer& aServer,
                                  ReusePolicy aPolicy,
                                  const Filter& aIsUsable)
{
  const Instant now = SuspendAwareNow();
  Connections& idle = mIdleConnections[aServer.mId];
  // The server is least likely to have closed the most recently used connection.
  for (std::size_t i = idle.size(); i > 0; --i) {
    const auto position = idle.begin() + static_cast<std::ptrdiff_t>(i - 1);
    auto connection = *position;
    if (!aIsUsable(*connection)) {
      continue;
    }
    const bool usable = connection->mIncarnation == aServer.mIncarnation &&
                        !HasPassed(connection->mReuseDeadline, now) &&
                        connection->mStream->IsOpen();
    if (usable && aPolicy == ReusePolicy::kRecentlyUsed &&
        now - connection->mIdleSince > kMaxRecentIdleTime) {
      break;
    }
    idle.erase(position);
    --mIdleCount;
    if (usable) {
      connection->mStream->SetCallbacks({});
      connection->mStream->SetPeerTimeout(kAcquiredPeerTimeout);
      connection->mReused = true;
      return connection;
    }
    connection->mStream->Close();
  }
  return nullptr;
}

bool
ServerConnectionPool::HasDirectIdle(const RegisteredServer& aServer, Instant aNow) const
{
  const auto idle = mIdleConnections.find(aServer.mId);
  return idle != mIdleConnections.end() &&
         std::ranges::any_of(idle->second, [&](const auto& aItem) {
           return aItem->mVia.Empty() && aItem->mIncarnation == aServer.mIncarnation &&
                  !HasPassed(aItem->mReuseDeadline, aNow);
         });
}

std::shared_ptr<ServerConnection>
ServerConnectionPool::MakeConnection(const RegisteredServer& aServer) const
{
  auto connection = std::make_shared<ServerConnection>();
  connection->mServer = aServer.mId;
  connection->mIncarnation = aServer.mIncarnation;
  connection->mCountToken = mCountToken;
  return connection;
}

// The stream is made last: the loop would keep it if something threw after it.
std::shared_ptr<ServerConnection>
ServerConnectionPool::Connect(const RegisteredServer& aServer)
{
  auto connection = MakeConnection(aServer);
  connection->mStream = ByteStream::Connect(mLoop, aServer.mEndpoint, {}, ServerStreamOptions());
  return connection;
}

std::shared_ptr<ServerConnection>
ServerConnectionPool::ConnectToCarrier(const RegisteredServer& aServer, const Carrier& aCarrier)
{
  auto connection = MakeConnection(aServer);
  connection->mVia = aCarrier.mHost;
  connection->mStream = ByteStream::Connect(mLoop, aCarrier.mEndpoint, {}, ServerStreamOptions());
  return connection;
}

void
ServerConnectionPool::CloseUnusable(const Filter& aIsUsable)
{
  for (auto& [server, idle] : mIdleConnections) {
    mIdleCount -= std::erase_if(idle, [&aIsUsable](const auto& aItem) {
      if (aIsUsable(*aItem)) {
        return false;
      }
      aItem->mStream->Close();
      return true;
    });
  }
}

bool
ServerConnectionPool::CloseOneIdle()
{
  for (auto& [server, idle] : mIdleConnections) {
    if (!idle.empty()) {
      // The one that has been idle for longest.
      const auto connection = idle.front();
      CloseIdleConnection(server, connection->mStream.get());
      return true;
    }
  }
  return false;
}

void
ServerConnectionPool::Release(const std::shared_ptr<ServerConnection>& aConnection,
                              std::optional<Milliseconds> aKeepAliveTimeout)
{
  const Milliseconds reusableFor =
    aKeepAliveTimeout.value_or(kDefaultKeepAliveTimeout) - kKeepAliveMargin;
  if (!aConnection->mStream->IsOpen() || reusableFor <= Milliseconds{ 0 }) {
    aConnection->mStream->Close();
    return;
  }
  const Instant now = SuspendAwareNow();
  aConnection->mIdleSince = now;
  aConnection->mReuseDeadline = now + reusableFor;
  aConnection->mStream->SetPeerTimeout(kIdlePeerTimeout);
  // Bytes that arrive on an idle connection belong to no request, so the connection is closed.
  const auto closeConnection =
    [this, server = aConnection->mServer, stream = aConnection->mStream.get()] {
      CloseIdleConnection(server, stream);
    };
  aConnection->mStream->SetCallbacks(
    { .mOnBytes = closeConnection,
      .mOnEnd = [closeConnection](StreamEnd /*aEnd*/) { closeConnection(); } });
  mIdleConnections[aConnection->mServer].push_back(aConnection);
  ++mIdleCount;
}

void
ServerConnectionPool::CloseIdleConnection(const BackendServerId& aServer, const ByteStream* aStream)
{
  Connections& idle = mIdleConnections[aServer];
  const auto found = std::ranges::find_if(
    idle, [aStream](const auto& aItem) { return aItem->mStream.get() == aStream; });
  if (found != idle.end()) {
    const auto connection = *found;
    idle.erase(found);
    --mIdleCount;
    connection->mStream->Close();
  }
}

void
ServerConnectionPool::Sweep(const ServerRegistry& aServers, Instant aNow)
{
  for (auto entry = mIdleConnections.begin(); entry != mIdleConnections.end();) {
    const auto server = aServers.mServers.find(entry->first);
    Connections& idle = entry->second;
    const auto stale = std::partition(idle.begin(), idle.end(), [&](const auto& aItem) {
      return server != aServers.mServers.end() &&
             server->second.mIncarnation == aItem->mIncarnation &&
             !HasPassed(aItem->mReuseDeadline, aNow);
    });
    for (auto connection = stale; connection != idle.end(); ++connection) {
      (*connection)->mStream->Close();
      --mIdleCount;
    }
    idle.erase(stale, idle.end());
    entry = idle.empty() ? mIdleConnections.erase(entry) : std::next(entry);
  }
}

} // namespace trefoil
