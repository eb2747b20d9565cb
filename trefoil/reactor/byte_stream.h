// A non-blocking TCP connection driven by an event loop.
//
//   auto stream = ByteStream::Connect(loop, endpoint, { .mOnBytes = ..., .mOnEnd = ... });
//   stream->Send(bytes);                     // buffered until connected and writable
//   stream->Close();
//
// Not thread-safe: all calls must be made on the thread of the event loop, and all callbacks run
// there. No callback is called after mOnEnd or Close. An exception that leaves a callback ends the
// connection with StreamEnd::kReset. The event loop keeps the stream alive until
// it is closed.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/base/name_table.h"
#include "trefoil/reactor/event_loop.h"

#include <Poco/Net/StreamSocket.h>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace trefoil {

enum class StreamEnd
{
  // The peer shut down its sending side after its last byte.
  kClosedByPeer,
  // The connection was reset, or the peer did not respond for StreamOptions::mPeerTimeout.
  kReset,
  // The connection was refused or not established within StreamOptions::mConnectTimeout.
  kConnectFailed,
};

inline constexpr NameTable<StreamEnd, 3> kStreamEndNames{ {
  { StreamEnd::kClosedByPeer, "closed_by_peer" },
  { StreamEnd::kReset, "reset" },
  { StreamEnd::kConnectFailed, "connect_failed" },
} };

struct StreamCallbacks
{
  // Called after received bytes have been appended to Received().
  std::function<void()> mOnBytes;
  // Called once when a stream made by Connect is connected.
  std::function<void()> mOnConnected;
  // Called when the last buffered byte has been passed to the kernel, but not during Send.
  std::function<void()> mOnSent;
  // Called once when the peer has shut down its sending side, if StreamOptions::mKeepsHalfClosed is
  // set.
  std::function<void()> mOnPeerClosed;
  // Called once when the connection has ended, but not after Close.
  std::function<void(StreamEnd)> mOnEnd;
};

struct StreamOptions
{
  // The connection ends if sent bytes stay unacknowledged, the peer accepts none, or it answers no
  // TCP keep-alive probe for about this time. The keep-alive timers have a resolution of one
  // second.
  Milliseconds mPeerTimeout{ 3'000 };
  Milliseconds mConnectTimeout{ 1'000 };
  // Makes every end of the connection a reset for the peer, also that of a killed process, except
  // after CloseAfterSending. The peer can then tell a complete transfer from one that was cut off.
  bool mCloseResets = false;
  // Keeps the connection open for sending after the peer has shut down its sending side.
  bool mKeepsHalfClosed = false;
};

// The bytes that are read and discarded after CloseAfterSending, so that a peer that reads only
// after it has sent all gets the answer.
inline constexpr std::size_t kMaxDiscardedBytes = std::size_t{ 16 } * 1024 * 1024;

// The most memory that an empty buffer of a connection keeps.
inline constexpr std::size_t kMaxIdleCapacity = std::size_t{ 1 } * 1024;

// Releases the memory of an empty string beyond kMaxIdleCapacity. A connection lives longer than
// the large message that it once carried.
void
ShrinkIfEmpty(std::string& aBytes);

class ByteStream : public std::enable_shared_from_this<ByteStream>
{
public:
  // Starts to connect. A failure is reported by mOnEnd from the event loop, never during the call.
  static std::shared_ptr<ByteStream> Connect(EventLoop& aLoop,
                                             const Endpoint& aPeer,
                                             StreamCallbacks aCallbacks,
                                             StreamOptions aOptions);
  // Takes ownership of an accepted connection. The callbacks must be set by SetCallbacks.
  static std::shared_ptr<ByteStream> Adopt(EventLoop& aLoop,
                                           const Poco::Net::StreamSocket& aSocket,
                                           StreamOptions aOptions);

  // Internal: use Connect or Adopt, which also register the socket with the event loop.
  ByteStream(EventLoop& aLoop, const Poco::Net::StreamSocket& aSocket);

  // Replaces the callbacks. mOnBytes is not called for bytes that are already in Received().
  void SetCallbacks(StreamCallbacks aCallbacks) { mCallbacks = std::move(aCallbacks); }

  // Changes StreamOptions::mPeerTimeout of an open stream, but not how often probes are sent.
  void SetPeerTimeout(Milliseconds aTimeout);
  // Sends the bytes, buffering those that cannot be sent yet. Does nothing on a closed stream or
  // after CloseAfterSending.
  void Send(std::string_view aBytes);
  // Like Send, but takes over the string if nothing else is buffered.
  void SendString(std::string aBytes);
  // Closes the connection immediately and discards the unsent bytes. The kernel goes on sending
  // those that it holds, also when a path that is cut comes back later.
  void Close();
  // Resets the connection, so that bytes that the peer has not received yet do not arrive later.
  void Abort();
  // Ends the sending side after all buffered bytes have been sent, and closes the connection when
  // the peer has closed it, or one second later. Bytes that are received until then are discarded:
  // with unread bytes the kernel would reset the connection, and the peer could lose what was sent.
  // At most `aMaxDiscarded` bytes are read for that; the rest stays in the kernel.
  void CloseAfterSending(std::size_t aMaxDiscarded = kMaxDiscardedBytes);

  // The received bytes that the caller has not removed from this string.
  std::string& Received() { return mReceived; }
  // Stops or resumes reading. While reading is stopped, a reset is still reported, but the bytes
  // and the end of the peer stay in the kernel.
  void SetReading(bool aReading);
  // Returns whether the socket has bytes, or an end, that have not been read yet.
  bool HasUnreadBytes();
  // Returns whether the peer has shut down its sending side and the stream was kept open.
  bool IsPeerClosed() const { return mPeerClosed; }
  bool IsOpen() const { return mOpen; }
  bool IsConnected() const { return mConnected; }
  // Returns the number of buffered bytes that have not been passed to the kernel.
  std::size_t Unsent() const { return mUnsent.size() - mUnsentOffset; }
  // Returns the bytes of memory that the unsent bytes take.
  std::size_t UnsentCapacity() const { return mUnsent.empty() ? 0 : mUnsent.capacity(); }
  // Returns the number of bytes that the kernel holds because the peer has not acknowledged them.
  std::size_t UnacknowledgedBytes() const;

private:
  void Watch();
  void UpdateWatch();
  void FailLater(StreamEnd aEnd);
  void SetReset(bool aResets);
  void OnReady(unsigned aReady);
  void HandleEvents(unsigned aReady);
  bool Read();
  bool OnPeerClosed();
  void Flush();
  void DropSentBytes();
  void EndSending();
  void EndLater(StreamEnd aEnd);
  void CloseAndNotify(StreamEnd aEnd);

  EventLoop& mLoop;
  Poco::Net::StreamSocket mSocket;
  StreamCallbacks mCallbacks;
  std::string mReceived;
  // The bytes to send from mUnsentOffset on.
  std::string mUnsent;
  std::size_t mUnsentOffset = 0;
  // Bytes that may still be discarded after CloseAfterSending.
  std::size_t mMayDiscard = 0;
  bool mOpen = true;
  bool mConnected = false;
  bool mWatchingWritable = false;
  bool mReading = true;
  bool mCloseWhenSent = false;
  bool mCloseResets = false;
  bool mKeepsHalfClosed = false;
  bool mPeerClosed = false;
  // Ends a connection that is not established, or not closed by the peer, in time.
  EventLoop::TimerId mTimer = 0;
};

} // namespace trefoil
