#include "standin/fault_proxy.h"

#include "trefoil/base/instant.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <array>
#include <cstdio>
#include <fmt/format.h>
#include <utility>

namespace trefoil::standin {
namespace {

// A change of the fault and a stop take effect within this time.
const Poco::Timespan kPollInterval{ 0, 20'000 };
// Far longer than a round trip between availability zones, shorter than the callers' deadlines.
constexpr Milliseconds kDelay{ 250 };
constexpr std::size_t kBufferBytes = 16'384;

Poco::Net::SocketAddress
SocketAddressOf(const Endpoint& aEndpoint)
{
  return { aEndpoint.mAddress, aEndpoint.mPort };
}

Endpoint
LocalEndpoint(const Poco::Net::ServerSocket& aSocket)
{
  const Poco::Net::SocketAddress address = aSocket.address();
  return { .mAddress = address.host().toString(), .mPort = address.port() };
}

Poco::Net::ServerSocket
Listen(const Endpoint& aEndpoint)
{
  Poco::Net::ServerSocket listener;
  listener.bind(SocketAddressOf(aEndpoint), true);
  listener.listen();
  return listener;
}

// Resets the connections that wait to be accepted.
void
ResetWaitingConnections(Poco::Net::ServerSocket& aListener)
{
  while (aListener.poll(Poco::Timespan{ 0, 0 }, Poco::Net::Socket::SELECT_READ)) {
    aListener.acceptConnection().setLinger(true, 0);
  }
}

} // namespace

absl::StatusOr<std::unique_ptr<FaultProxy>>
FaultProxy::Start(const Endpoint& aListen, const Endpoint& aTarget)
{
  try {
    return std::unique_ptr<FaultProxy>{ new FaultProxy{ Listen(aListen), aTarget } };
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
}

FaultProxy::FaultProxy(const Poco::Net::ServerSocket& aListener, Endpoint aTarget)
  : mListener(aListener)
  , mListen(LocalEndpoint(aListener))
  , mTarget(std::move(aTarget))
  , mAcceptor([this] { Accept(); })
{
}

FaultProxy::~FaultProxy()
{
  mStopped = true;
  mAcceptor.join();
  std::vector<std::thread> forwarders;
  {
    const absl::MutexLock lock{ &mMutex };
    forwarders = std::move(mForwarders);
  }
  for (std::thread& thread : forwarders) {
    thread.join();
  }
}

void
FaultProxy::Accept()
{
  ConnectFault applied = ConnectFault::kNone;
  while (!mStopped) {
    try {
      const ConnectFault wanted = mConnectFault;
      if (wanted != applied) {
        ApplyConnectFault(wanted);
        applied = wanted;
      }
      if (applied == ConnectFault::kRefuse || applied == ConnectFault::kHang) {
        std::this_thread::sleep_for(std::chrono::microseconds{ kPollInterval.totalMicroseconds() });
      } else if (mListener.poll(kPollInterval, Poco::Net::Socket::SELECT_READ)) {
        Poco::Net::StreamSocket caller = mListener.acceptConnection();
        if (applied == ConnectFault::kReset) {
          caller.setLinger(true, 0);
        } else {
          OpenConnection(caller);
        }
      }
    } catch (const Poco::Exception& error) {
      fmt::print(stderr, "{}: {}\n", ToText(mListen), error.displayText());
      std::this_thread::sleep_for(kDelay);
    }
  }
}

void
FaultProxy::ApplyConnectFault(ConnectFault aFault)
{
  // A closed listener makes the kernel refuse connections. A listener whose queue is full makes it
  // drop the callers' attempts.
  mFiller.close();
  mListener.close();
  if (aFault == ConnectFault::kRefuse) {
    return;
  }
  mListener = Listen(mListen);
  if (aFault == ConnectFault::kHang) {
    // A queue of length 0 holds one connection.
    mListener.listen(0);
    ResetWaitingConnections(mListener);
    mFiller = Poco::Net::StreamSocket{};
    mFiller.connectNB(SocketAddressOf(mListen));
  }
}

void
FaultProxy::OpenConnection(const Poco::Net::StreamSocket& aCaller)
{
  auto connection = std::make_shared<Connection>();
  connection->mCaller = aCaller;
  try {
    connection->mTarget.connect(SocketAddressOf(mTarget));
  } catch (const Poco::Exception&) {
    // The target cannot be reached; returning closes the caller's connection.
    return;
  }
  const absl::MutexLock lock{ &mMutex };
  mForwarders.emplace_back([this, connection] { Forward(connection, true); });
  mForwarders.emplace_back([this, connection] { Forward(connection, false); });
}

void
FaultProxy::Forward(const std::shared_ptr<Connection>& aConnection, bool aToTarget)
{
  Poco::Net::StreamSocket from = aToTarget ? aConnection->mCaller : aConnection->mTarget;
  Poco::Net::StreamSocket to = aToTarget ? aConnection->mTarget : aConnection->mCaller;
  std::array<char, kBufferBytes> buffer{};
  try {
    while (!mStopped && !aConnection->mReset) {
      if (mFault == LinkFault::kReset) {
        // A linger time of 0 makes the close send a reset. The socket is closed only once both
        // threads have returned, because its descriptor must not be reused while the other thread
        // still uses it.
        from.setLinger(true, 0);
        aConnection->mReset = true;
        return;
      }
      if (!from.poll(kPollInterval, Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      const int byteCount = from.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      const LinkFault fault = mFault;
      const bool dropped = fault == LinkFault::kSilence ||
                           fault == (aToTarget ? LinkFault::kCutToTarget : LinkFault::kCutToCaller);
      if (dropped && byteCount > 0) {
        continue;
      }
      if (fault == LinkFault::kDelay) {
        std::this_thread::sleep_for(kDelay);
      }
      if (byteCount <= 0) {
        // Half-close: the other direction may still carry data.
        to.shutdownSend();
        return;
      }
      to.sendBytes(buffer.data(), byteCount);
    }
  } catch (const Poco::Exception&) {
    // One end broke off the connection, so the other end is reset too.
    aConnection->mReset = true;
  }
  if (aConnection->mReset) {
    from.setLinger(true, 0);
  }
}

} // namespace trefoil::standin
