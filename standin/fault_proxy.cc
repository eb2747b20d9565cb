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

// Changes of the fault are noticed within this.
const Poco::Timespan kTick{ 0, 20'000 };
// Longer than a round trip between zones by far, shorter than the callers' deadlines.
constexpr Milliseconds kDelay{ 250 };
constexpr std::size_t kPieceBytes = 16'384;

} // namespace

absl::StatusOr<std::unique_ptr<FaultProxy>>
FaultProxy::Start(const Endpoint& aListen, const Endpoint& aTarget)
{
  try {
    Poco::Net::ServerSocket listener;
    listener.bind(Poco::Net::SocketAddress{ aListen.mAddress, aListen.mPort }, true);
    listener.listen();
    return std::unique_ptr<FaultProxy>{ new FaultProxy{ listener, aTarget } };
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
}

FaultProxy::FaultProxy(const Poco::Net::ServerSocket& aListener, Endpoint aTarget)
  : mListener(aListener)
  , mTarget(std::move(aTarget))
  , mAcceptor([this] { Accept(); })
{
}

FaultProxy::~FaultProxy()
{
  mStopped = true;
  mAcceptor.join();
  std::vector<std::thread> passing;
  {
    const absl::MutexLock lock{ &mMutex };
    passing = std::move(mPassing);
  }
  for (std::thread& thread : passing) {
    thread.join();
  }
}

Endpoint
FaultProxy::Where() const
{
  const Poco::Net::SocketAddress address = mListener.address();
  return { .mAddress = address.host().toString(), .mPort = address.port() };
}

void
FaultProxy::Accept()
{
  while (!mStopped) {
    try {
      if (mListener.poll(kTick, Poco::Net::Socket::SELECT_READ)) {
        Open(mListener.acceptConnection());
      }
    } catch (const Poco::Exception& error) {
      fmt::print(stderr, "{}: {}\n", ToText(Where()), error.displayText());
    }
  }
}

void
FaultProxy::Open(const Poco::Net::StreamSocket& aCaller)
{
  auto link = std::make_shared<Link>();
  link->mCaller = aCaller;
  try {
    link->mTarget.connect(Poco::Net::SocketAddress{ mTarget.mAddress, mTarget.mPort });
  } catch (const Poco::Exception&) {
    // The caller's connection ends, as nobody listens.
    return;
  }
  const absl::MutexLock lock{ &mMutex };
  mPassing.emplace_back([this, link] { Pass(link, true); });
  mPassing.emplace_back([this, link] { Pass(link, false); });
}

void
FaultProxy::Pass(const std::shared_ptr<Link>& aLink, bool aToTarget)
{
  Poco::Net::StreamSocket from = aToTarget ? aLink->mCaller : aLink->mTarget;
  Poco::Net::StreamSocket to = aToTarget ? aLink->mTarget : aLink->mCaller;
  std::array<char, kPieceBytes> piece{};
  try {
    while (!mStopped && !aLink->mEnded) {
      if (mFault == LinkFault::kReset) {
        // Closed without lingering once both directions have ended: a descriptor that the other
        // thread still uses must not be given out again.
        from.setLinger(true, 0);
        aLink->mEnded = true;
        return;
      }
      if (!from.poll(kTick, Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      const int count = from.receiveBytes(piece.data(), static_cast<int>(piece.size()));
      const LinkFault fault = mFault;
      const bool lost = fault == LinkFault::kSilence ||
                        fault == (aToTarget ? LinkFault::kCutToTarget : LinkFault::kCutToCaller);
      if (lost && count > 0) {
        continue;
      }
      if (fault == LinkFault::kDelay) {
        std::this_thread::sleep_for(kDelay);
      }
      if (count <= 0) {
        // The other direction may go on.
        to.shutdownSend();
        return;
      }
      to.sendBytes(piece.data(), count);
    }
  } catch (const Poco::Exception&) {
    // One end has broken off, so the other one does too.
    aLink->mEnded = true;
  }
  if (aLink->mEnded) {
    from.setLinger(true, 0);
  }
}

} // namespace trefoil::standin
