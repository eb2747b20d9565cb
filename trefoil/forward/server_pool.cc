#include "trefoil/forward/server_pool.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// A server that does not say how long it keeps idle connections is taken to keep them so long.
constexpr Milliseconds kDefaultIdle{ 5'000 };
// A connection is not used for the last part of the stated time: the request must arrive before it.
constexpr Milliseconds kIdleMargin{ 1'000 };
// Servers may drop idle connections sooner than they say; within this they were never seen to.
constexpr Milliseconds kFreshIdle{ 1'000 };
// Round trips between zones are under 10 ms. A lost first packet would be sent again after a
// second; another server is tried before that, since nothing was sent.
constexpr Milliseconds kConnectLimit{ 250 };
// Above two retransmissions of a lost packet, which TCP sends after 200 and 400 ms.
constexpr Milliseconds kServerSilence{ 800 };

} // namespace

ServerPool::ServerPool(EventLoop& aLoop)
  : mLoop(aLoop)
{
}

ServerPool::~ServerPool()
{
  for (auto& [server, connections] : mIdle) {
    for (const auto& connection : connections) {
      connection->mStream->Close();
    }
  }
}

std::shared_ptr<ServerConnection>
ServerPool::Take(const RegisteredServer& aServer, ReuseRule aRule)
{
  const Instant now = SuspendAwareNow();
  Connections& idle = mIdle[aServer.mId];
  while (!idle.empty()) {
    // The one used last is the least likely to be closed by the server.
    auto connection = idle.back();
    const bool fits = connection->mIncarnation == aServer.mIncarnation &&
                      !HasPassed(connection->mUseUntil, now) && connection->mStream->IsOpen();
    if (fits && aRule == ReuseRule::kFresh && now - connection->mIdleSince > kFreshIdle) {
      break;
    }
    idle.pop_back();
    --mIdleCount;
    if (fits) {
      connection->mStream->SetCallbacks({});
      connection->mReused = true;
      return connection;
    }
    connection->mStream->Close();
  }
  auto connection = std::make_shared<ServerConnection>();
  connection->mServer = aServer.mId;
  connection->mIncarnation = aServer.mIncarnation;
  connection->mStream =
    ByteStream::Connect(mLoop,
                        aServer.mEndpoint,
                        {},
                        { .mSilenceLimit = kServerSilence, .mConnectLimit = kConnectLimit });
  return connection;
}

void
ServerPool::Give(const std::shared_ptr<ServerConnection>& aConnection,
                 std::optional<Milliseconds> aKeepsIdle)
{
  const Milliseconds keeps = aKeepsIdle.value_or(kDefaultIdle) - kIdleMargin;
  if (!aConnection->mStream->IsOpen() || keeps <= Milliseconds{ 0 }) {
    aConnection->mStream->Close();
    return;
  }
  const Instant now = SuspendAwareNow();
  aConnection->mIdleSince = now;
  aConnection->mUseUntil = now + keeps;
  // Bytes that come while nothing was asked belong to no request.
  const auto drop = [this, server = aConnection->mServer, stream = aConnection->mStream.get()] {
    Drop(server, stream);
  };
  aConnection->mStream->SetCallbacks(
    { .mOnBytes = drop, .mOnEnd = [drop](StreamEnd /*aEnd*/) { drop(); } });
  mIdle[aConnection->mServer].push_back(aConnection);
  ++mIdleCount;
}

void
ServerPool::Drop(const BackendServerId& aServer, const ByteStream* aStream)
{
  Connections& idle = mIdle[aServer];
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
ServerPool::Sweep(const ServerRegistry& aServers, Instant aNow)
{
  for (auto entry = mIdle.begin(); entry != mIdle.end();) {
    const auto server = aServers.mServers.find(entry->first);
    Connections& idle = entry->second;
    const auto dropped = std::partition(idle.begin(), idle.end(), [&](const auto& aItem) {
      return server != aServers.mServers.end() &&
             server->second.mIncarnation == aItem->mIncarnation &&
             !HasPassed(aItem->mUseUntil, aNow);
    });
    for (auto connection = dropped; connection != idle.end(); ++connection) {
      (*connection)->mStream->Close();
      --mIdleCount;
    }
    idle.erase(dropped, idle.end());
    entry = idle.empty() ? mIdle.erase(entry) : std::next(entry);
  }
}

} // namespace trefoil
