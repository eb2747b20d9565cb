#include "trefoil/reactor/byte_stream.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace trefoil {
namespace {

// Maximum number of bytes per read. Larger amounts are read over several iterations of the event
// loop, so that one connection does not delay the others.
constexpr int kReadBufferBytes = 16 * 1024;
// How long the peer may take to receive what was sent and to close the connection.
constexpr Milliseconds kLingerTime{ 1'000 };

// Makes the kernel end the connection if the peer does not respond for `aTimeout`: TCP_USER_TIMEOUT
// covers unacknowledged bytes and a closed window, TCP keep-alive probes cover an idle connection.
// Linux ends the probes too when TCP_USER_TIMEOUT has passed, whatever their count.
void
ConfigurePeerTimeout(Poco::Net::StreamSocket& aSocket, Milliseconds aTimeout)
{
  constexpr int kProbes = 2;
  const int seconds = std::max(1, static_cast<int>(aTimeout.count() / 1'000 / (kProbes + 1)));
  aSocket.setNoDelay(true);
  aSocket.setKeepAlive(true);
  aSocket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  aSocket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, seconds);
  aSocket.setOption(IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  aSocket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(aTimeout.count()));
}

// Assigning an empty string would keep the memory.
void
ReleaseMemory(std::string& aBytes)
{
  std::string{}.swap(aBytes);
}

} // namespace

void
ShrinkIfEmpty(std::string& aBytes)
{
  if (aBytes.empty() && aBytes.capacity() > kMaxIdleCapacity) {
    ReleaseMemory(aBytes);
  }
}

ByteStream::ByteStream(EventLoop& aLoop, const Poco::Net::StreamSocket& aSocket)
  : mLoop(aLoop)
  , mSocket(aSocket)
{
}

std::shared_ptr<ByteStream>
ByteStream::Connect(EventLoop& aLoop,
                    const Endpoint& aPeer,
                    StreamCallbacks aCallbacks,
                    StreamOptions aOptions)
{
  auto stream = std::make_shared<ByteStream>(aLoop, Poco::Net::StreamSocket{});
  stream->mCallbacks = std::move(aCallbacks);
  try {
    stream->mSocket.connectNB(Poco::Net::SocketAddress{ aPeer.mAddress, aPeer.mPort });
    ConfigurePeerTimeout(stream->mSocket, aOptions.mPeerTimeout);
    stream->Watch();
    stream->mTimer = aLoop.CallAt(SuspendAwareNow() + aOptions.mConnectTimeout,
                                  [stream] { stream->CloseAndNotify(StreamEnd::kConnectFailed); });
  } catch (const std::exception&) {
    stream->FailLater(StreamEnd::kConnectFailed);
  }
  return stream;
}

std::shared_ptr<ByteStream>
ByteStream::Adopt(EventLoop& aLoop, const Poco::Net::StreamSocket& aSocket, StreamOptions aOptions)
{
  auto stream = std::make_shared<ByteStream>(aLoop, aSocket);
  stream->mConnected = true;
  try {
    stream->mSocket.setBlocking(false);
    ConfigurePeerTimeout(stream->mSocket, aOptions.mPeerTimeout);
    stream->mCloseResets = aOptions.mCloseResets;
    stream->mKeepsHalfClosed = aOptions.mKeepsHalfClosed;
    if (stream->mCloseResets) {
      stream->SetReset(true);
    }
    stream->Watch();
  } catch (const std::exception&) {
    stream->FailLater(StreamEnd::kReset);
  }
  return stream;
}

void
ByteStream::Watch()
{
  mWatchingWritable = !mConnected || Unsent() > 0;
  mLoop.Watch(mSocket,
              (mReading ? kReadable : 0) | (mWatchingWritable ? kWritable : 0),
              [self = shared_from_this()](unsigned aReady) { self->OnReady(aReady); });
}

// Watches the socket for what is awaited now. A stream that cannot be watched ends: nothing else
// would ever report on it.
void
ByteStream::UpdateWatch()
{
  // The loop may hold the last reference.
  const auto keepAlive = shared_from_this();
  try {
    Watch();
  } catch (const std::exception&) {
    FailLater(StreamEnd::kReset);
  }
}

void
ByteStream::SetPeerTimeout(Milliseconds aTimeout)
{
  try {
    if (mOpen) {
      mSocket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(aTimeout.count()));
    }
  } catch (const Poco::Exception&) {
    // The connection has ended, which the event loop reports.
    return;
  }
}

void
ByteStream::SetReading(bool aReading)
{
  // After its end the connection would be readable all the time.
  if (mOpen && !mPeerClosed && aReading != std::exchange(mReading, aReading)) {
    UpdateWatch();
  }
}

// Sets whether the kernel resets the connection when the socket is closed.
void
ByteStream::SetReset(bool aResets)
{
  try {
    mSocket.setLinger(aResets, 0);
  } catch (const Poco::Exception&) {
    // The connection has ended already.
    return;
  }
}

void
ByteStream::Send(std::string_view aBytes)
{
  if (!mOpen || mCloseWhenSent) {
    return;
  }
  mUnsent.append(aBytes);
  if (mConnected) {
    Flush();
  }
}

void
ByteStream::SendString(std::string aBytes)
{
  if (!mOpen || mCloseWhenSent) {
    return;
  }
  if (!mUnsent.empty()) {
    Send(aBytes);
    return;
  }
  mUnsent = std::move(aBytes);
  if (mConnected) {
    Flush();
  }
}

std::size_t
ByteStream::UnacknowledgedBytes() const
{
  int bytes = 0;
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg): the interface of the system.
  if (!mOpen || ioctl(mSocket.impl()->sockfd(), TIOCOUTQ, &bytes) != 0) {
    return 0;
  }
  return static_cast<std::size_t>(bytes);
}

bool
ByteStream::HasUnreadBytes()
{
  return mOpen && IsReadable(mSocket);
}

void
ByteStream::Close()
{
  if (!mOpen) {
    return;
  }
  mOpen = false;
  mLoop.Cancel(mTimer);
  mLoop.Unwatch(mSocket);
  mCallbacks = {};
  try {
    mSocket.close();
  } catch (const Poco::Exception&) {
    // The descriptor is released in any case, and the callbacks have been removed.
    return;
  }
}

void
ByteStream::Abort()
{
  if (mOpen) {
    SetReset(true);
  }
  Close();
}

void
ByteStream::CloseAfterSending(std::size_t aMaxDiscarded)
{
  mMayDiscard = aMaxDiscarded;
  SetReading(true);
  ReleaseMemory(mReceived);
  if (!std::exchange(mCloseWhenSent, true) && mOpen && Unsent() == 0) {
    EndSending();
  }
}

void
ByteStream::EndSending()
{
  try {
    mSocket.shutdownSend();
    if (mCloseResets) {
      SetReset(false);
    }
    if (mPeerClosed) {
      Close();
      return;
    }
    mTimer =
      mLoop.CallAt(SuspendAwareNow() + kLingerTime, [self = shared_from_this()] { self->Close(); });
  } catch (const std::exception&) {
    // The connection has ended already, or nothing would end it.
    Close();
  }
}

void
ByteStream::OnReady(unsigned aReady)
{
  const auto keepAlive = shared_from_this();
  try {
    HandleEvents(aReady);
  } catch (const std::exception&) {
    // Whatever failed belongs to this connection, so it ends; the event loop reports the exception.
    CloseAndNotify(StreamEnd::kReset);
    throw;
  }
}

void
ByteStream::HandleEvents(unsigned aReady)
{
  if (!mConnected && (aReady & (kWritable | kFailed)) != 0) {
    mLoop.Cancel(mTimer);
    if (mSocket.impl()->socketError() != 0) {
      CloseAndNotify(StreamEnd::kConnectFailed);
      return;
    }
    mConnected = true;
    Flush();
    if (mOpen) {
      Watch();
    }
    if (const auto onConnected = mCallbacks.mOnConnected) {
      onConnected();
    }
  }
  if (mOpen && mConnected && !mReading && (aReady & kFailed) != 0) {
    CloseAndNotify(StreamEnd::kReset);
    return;
  }
  if (mOpen && mConnected && mReading && (aReady & (kReadable | kFailed)) != 0 && !Read()) {
    return;
  }
  if (mOpen && mConnected && (aReady & kWritable) != 0) {
    const bool hadUnsent = Unsent() > 0;
    Flush();
    const auto onSent = mCallbacks.mOnSent;
    if (hadUnsent && mOpen && Unsent() == 0 && onSent) {
      onSent();
    }
  }
}

// Reads once from the socket. Returns whether the stream is still open.
bool
ByteStream::Read()
{
  std::array<char, kReadBufferBytes> buffer{};
  int count = 0;
  try {
    count = mSocket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
  } catch (const Poco::Exception&) {
    CloseAndNotify(StreamEnd::kReset);
    return false;
  }
  if (count < 0) {
    return true;
  }
  if (count == 0) {
    return OnPeerClosed();
  }
  if (mCloseWhenSent) {
    mMayDiscard -= std::min(mMayDiscard, static_cast<std::size_t>(count));
    if (mMayDiscard == 0) {
      SetReading(false);
    }
    return mOpen;
  }
  mReceived.append(buffer.data(), static_cast<std::size_t>(count));
  if (mCallbacks.mOnBytes) {
    const auto callback = mCallbacks.mOnBytes;
    callback();
  }
  return mOpen;
}

// Returns whether the stream is still open.
bool
ByteStream::OnPeerClosed()
{
  if (!mKeepsHalfClosed || mCloseWhenSent) {
    CloseAndNotify(StreamEnd::kClosedByPeer);
    return false;
  }
  SetReading(false);
  mPeerClosed = true;
  if (const auto onPeerClosed = mCallbacks.mOnPeerClosed) {
    onPeerClosed();
  }
  return mOpen;
}

void
ByteStream::Flush()
{
  const std::size_t before = mUnsentOffset;
  try {
    while (Unsent() > 0) {
      const int count =
        mSocket.sendBytes(mUnsent.data() + mUnsentOffset, static_cast<int>(Unsent()));
      if (count <= 0) {
        break;
      }
      mUnsentOffset += static_cast<std::size_t>(count);
    }
  } catch (const Poco::Exception& error) {
    // Poco reports a full send buffer as an error, unlike an empty receive buffer.
    if (error.code() != EAGAIN && error.code() != EWOULDBLOCK) {
      mUnsent.clear();
      mUnsentOffset = 0;
      EndLater(StreamEnd::kReset);
      return;
    }
  }
  const bool hasSent = mUnsentOffset > before;
  DropSentBytes();
  if (mUnsent.empty() && mCloseWhenSent && hasSent) {
    EndSending();
  }
  if (mOpen && mUnsent.empty() == mWatchingWritable) {
    UpdateWatch();
  }
}

// Removes what was sent once it is half of the buffer, so that a large one is not moved with each
// write.
void
ByteStream::DropSentBytes()
{
  if (mUnsentOffset * 2 >= mUnsent.size()) {
    mUnsent.erase(0, std::exchange(mUnsentOffset, 0));
    ShrinkIfEmpty(mUnsent);
  }
}

// Ends the stream from the event loop, for callers that do not expect a callback during the call.
void
ByteStream::EndLater(StreamEnd aEnd)
{
  try {
    mLoop.Post([self = shared_from_this(), aEnd] { self->CloseAndNotify(aEnd); });
  } catch (const std::exception&) {
    Close();
    throw;
  }
}

// Ends a stream that cannot be watched.
void
ByteStream::FailLater(StreamEnd aEnd)
{
  mLoop.Unwatch(mSocket);
  EndLater(aEnd);
}

void
ByteStream::CloseAndNotify(StreamEnd aEnd)
{
  if (!mOpen) {
    return;
  }
  const auto callback = std::move(mCallbacks.mOnEnd);
  Close();
  if (callback) {
    callback(aEnd);
  }
}

} // namespace trefoil
