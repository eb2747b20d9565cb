#include "trefoil/reactor/byte_stream.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace trefoil {
namespace {

// One read takes so much; a larger answer takes several turns of the loop.
constexpr int kReadBytes = 16 * 1024;

// Applies the limits on silence: on bytes in flight, and by probes on a connection that only waits.
void
SetSilenceLimit(Poco::Net::StreamSocket& aSocket, Milliseconds aLimit)
{
  constexpr int kProbes = 2;
  const int seconds = std::max(1, static_cast<int>(aLimit.count() / 1'000 / (kProbes + 1)));
  aSocket.setNoDelay(true);
  aSocket.setKeepAlive(true);
  aSocket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  aSocket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, seconds);
  aSocket.setOption(IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  aSocket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(aLimit.count()));
}

} // namespace

ByteStream::ByteStream(EventLoop& aLoop, const Poco::Net::StreamSocket& aSocket)
  : mLoop(aLoop)
  , mSocket(aSocket)
{
}

std::shared_ptr<ByteStream>
ByteStream::Connect(EventLoop& aLoop,
                    const Endpoint& aTo,
                    StreamCallbacks aCallbacks,
                    StreamOptions aOptions)
{
  auto stream = std::make_shared<ByteStream>(aLoop, Poco::Net::StreamSocket{});
  stream->mCallbacks = std::move(aCallbacks);
  try {
    stream->mSocket.connectNB(Poco::Net::SocketAddress{ aTo.mAddress, aTo.mPort });
    SetSilenceLimit(stream->mSocket, aOptions.mSilenceLimit);
    stream->Watch();
  } catch (const Poco::Exception&) {
    // Reported from the loop, so that the caller has its pointer before the callback comes.
    aLoop.Post([stream] { stream->End(StreamEnd::kConnectFailed); });
    return stream;
  }
  stream->mConnectTimer = aLoop.CallAt(SuspendAwareNow() + aOptions.mConnectLimit,
                                       [stream] { stream->End(StreamEnd::kConnectFailed); });
  return stream;
}

std::shared_ptr<ByteStream>
ByteStream::Adopt(EventLoop& aLoop, const Poco::Net::StreamSocket& aSocket, StreamOptions aOptions)
{
  auto stream = std::make_shared<ByteStream>(aLoop, aSocket);
  stream->mConnected = true;
  try {
    stream->mSocket.setBlocking(false);
    SetSilenceLimit(stream->mSocket, aOptions.mSilenceLimit);
    stream->Watch();
  } catch (const Poco::Exception&) {
    aLoop.Post([stream] { stream->End(StreamEnd::kReset); });
  }
  return stream;
}

void
ByteStream::Watch()
{
  mWatchesWrite = !mConnected || !mUnsent.empty();
  mLoop.Watch(mSocket,
              kReadable | (mWatchesWrite ? kWritable : 0),
              [self = shared_from_this()](unsigned aReady) { self->OnReady(aReady); });
}

void
ByteStream::Send(std::string_view aBytes)
{
  if (!mOpen) {
    return;
  }
  mUnsent.append(aBytes);
  if (mConnected) {
    Flush();
  }
}

void
ByteStream::Close()
{
  if (!mOpen) {
    return;
  }
  mOpen = false;
  mLoop.Cancel(mConnectTimer);
  mLoop.Unwatch(mSocket);
  mCallbacks = {};
  try {
    mSocket.close();
  } catch (const Poco::Exception&) {
    // The descriptor is released in any case; there is nobody left to tell.
    return;
  }
}

void
ByteStream::CloseAfterSending()
{
  mCloseWhenSent = true;
  if (mUnsent.empty()) {
    Close();
  }
}

void
ByteStream::OnReady(unsigned aReady)
{
  const auto keep = shared_from_this();
  if (!mConnected && (aReady & (kWritable | kFailed)) != 0) {
    mLoop.Cancel(mConnectTimer);
    if (mSocket.impl()->socketError() != 0) {
      End(StreamEnd::kConnectFailed);
      return;
    }
    mConnected = true;
    Flush();
    if (mOpen) {
      Watch();
    }
  }
  if (mOpen && mConnected && (aReady & (kReadable | kFailed)) != 0 && !Read()) {
    return;
  }
  if (mOpen && mConnected && (aReady & kWritable) != 0) {
    Flush();
  }
}

// Returns whether the stream is still open.
bool
ByteStream::Read()
{
  std::array<char, kReadBytes> buffer{};
  int count = 0;
  try {
    count = mSocket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
  } catch (const Poco::Exception&) {
    End(StreamEnd::kReset);
    return false;
  }
  if (count < 0) {
    return true;
  }
  if (count == 0) {
    End(StreamEnd::kClosedByPeer);
    return false;
  }
  mReceived.append(buffer.data(), static_cast<std::size_t>(count));
  if (mCallbacks.mOnBytes) {
    const auto callback = mCallbacks.mOnBytes;
    callback();
  }
  return mOpen;
}

void
ByteStream::Flush()
{
  std::size_t sent = 0;
  try {
    while (sent < mUnsent.size()) {
      const int count =
        mSocket.sendBytes(mUnsent.data() + sent, static_cast<int>(mUnsent.size() - sent));
      if (count <= 0) {
        break;
      }
      sent += static_cast<std::size_t>(count);
    }
  } catch (const Poco::Exception&) {
    // Reported from the loop: the caller of Send is not prepared for a callback.
    mUnsent.clear();
    mLoop.Post([self = shared_from_this()] { self->End(StreamEnd::kReset); });
    return;
  }
  mUnsent.erase(0, sent);
  if (mUnsent.empty() && mCloseWhenSent) {
    Close();
    return;
  }
  if (mUnsent.empty() == mWatchesWrite) {
    Watch();
  }
}

void
ByteStream::End(StreamEnd aEnd)
{
  if (!mOpen) {
    return;
  }
  const auto callback = mCallbacks.mOnEnd;
  Close();
  if (callback) {
    callback(aEnd);
  }
}

} // namespace trefoil
