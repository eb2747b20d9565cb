// Sends HTTP requests one at a time over a kept connection, from an event loop.
//
//   HttpChannel channel(loop, endpoint, { .mSilenceLimit = kSilenceLimit });
//   channel.Send(request, deadline, [](const HttpReply& aReply) { ... });
//
// Requests wait their turn. After a failure the connection is closed and the next request opens a
// new one. All calls are made on the loop's thread.
#pragma once

#include "trefoil/base/endpoint.h"
#include "trefoil/base/name_table.h"
#include "trefoil/http/message.h"
#include "trefoil/http/message_reader.h"
#include "trefoil/reactor/byte_stream.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace trefoil {

enum class ReplyKind
{
  kAnswered,
  // No byte of the request can have reached the peer.
  kNotSent,
  // The request may have taken effect.
  kLost,
};

inline constexpr NameTable<ReplyKind, 3> kReplyKindNames{ {
  { ReplyKind::kAnswered, "answered" },
  { ReplyKind::kNotSent, "not_sent" },
  { ReplyKind::kLost, "lost" },
} };

struct HttpReply
{
  ReplyKind mKind = ReplyKind::kLost;
  HttpAnswer mAnswer;
};

class HttpChannel
{
public:
  using Callback = std::function<void(const HttpReply&)>;

  HttpChannel(EventLoop& aLoop, Endpoint aTo, StreamOptions aOptions);
  ~HttpChannel();
  HttpChannel(const HttpChannel&) = delete;
  HttpChannel& operator=(const HttpChannel&) = delete;

  // Sends a request. The callback comes once, from the loop, at `aDeadline` at the latest.
  void Send(const HttpRequest& aRequest, Instant aDeadline, Callback aCallback);
  // Drops all requests without their callbacks and closes the connection.
  void Reset();

private:
  struct Call
  {
    std::string mBytes;
    Callback mCallback;
    EventLoop::TimerId mTimer = 0;
    std::uint64_t mNumber = 0;
  };

  void StartNext();
  void OnBytes();
  void OnEnd(StreamEnd aEnd);
  void OnDeadline(std::uint64_t aNumber);
  void Finish(const HttpReply& aReply);

  EventLoop& mLoop;
  Endpoint mTo;
  StreamOptions mOptions;
  std::deque<Call> mCalls;
  std::uint64_t mLastNumber = 0;
  bool mSent = false;
  std::shared_ptr<ByteStream> mStream;
  std::optional<MessageReader> mReader;
};

// Returns the bytes of a request. `Host` is set from the endpoint, and Content-Length from the
// body.
std::string
RenderRequest(const HttpRequest& aRequest, const Endpoint& aTo);

} // namespace trefoil
