// A TCP connection without blocking, driven by an event loop.
//
//   auto stream = ByteStream::Connect(loop, endpoint, { .mOnBytes = ..., .mOnEnd = ... });
//   stream->Send(bytes);                     // buffered until connected and writable
//   stream->Close();
//
// All calls are made on the loop's thread. After mOnEnd or Close no callback comes any more.
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
  // The peer closed its side after its last byte.
  kClosedByPeer,
  // The connection was reset, or nothing came back for too long.
  kReset,
  kConnectFailed,
};

inline constexpr NameTable<StreamEnd, 3> kStreamEndNames{ {
  { StreamEnd::kClosedByPeer, "closed_by_peer" },
  { StreamEnd::kReset, "reset" },
  { StreamEnd::kConnectFailed, "connect_failed" },
} };

struct StreamCallbacks
{
  // Bytes have arrived and were appended to Received().
  std::function<void()> mOnBytes;
  std::function<void(StreamEnd)> mOnEnd;
};

struct StreamOptions
{
  // Unacknowledged bytes, or a peer that answers no keep-alive probe, end the connection after
  // this.
  Milliseconds mSilenceLimit{ 3'000 };
  Milliseconds mConnectLimit{ 1'000 };
};

class ByteStream : public std::enable_shared_from_this<ByteStream>
{
public:
  // Starts to connect.
  static std::shared_ptr<ByteStream> Connect(EventLoop& aLoop,
                                             const Endpoint& aTo,
                                             StreamCallbacks aCallbacks,
                                             StreamOptions aOptions);
  // Takes over an accepted connection.
  static std::shared_ptr<ByteStream> Adopt(EventLoop& aLoop,
                                           const Poco::Net::StreamSocket& aSocket,
                                           StreamOptions aOptions);

  ByteStream(EventLoop& aLoop, const Poco::Net::StreamSocket& aSocket);

  // Replaces the callbacks. Bytes that wait in Received() are not reported again.
  void SetCallbacks(StreamCallbacks aCallbacks) { mCallbacks = std::move(aCallbacks); }

  void Send(std::string_view aBytes);
  // Closes at once; what is not sent yet is lost.
  void Close();
  // Closes once all bytes are sent.
  void CloseAfterSending();

  // The bytes received and not yet taken by the owner.
  std::string& Received() { return mReceived; }
  bool IsOpen() const { return mOpen; }
  bool IsConnected() const { return mConnected; }
  std::size_t Unsent() const { return mUnsent.size(); }

private:
  void Watch();
  void OnReady(unsigned aReady);
  bool Read();
  void Flush();
  void End(StreamEnd aEnd);

  EventLoop& mLoop;
  Poco::Net::StreamSocket mSocket;
  StreamCallbacks mCallbacks;
  std::string mReceived;
  std::string mUnsent;
  bool mOpen = true;
  bool mConnected = false;
  bool mWatchesWrite = false;
  bool mCloseWhenSent = false;
  EventLoop::TimerId mConnectTimer = 0;
};

} // namespace trefoil
