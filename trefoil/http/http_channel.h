// Non-blocking HTTP client that sends requests one at a time over a persistent connection.
//
//   HttpChannel channel(loop, endpoint, { .mPeerTimeout = kStoreTimeout });
//   channel.Send(request, deadline, [](const HttpReply& aReply) { ... });
//
// Requests are queued and sent in order, each after the previous one has completed. After a failure
// the connection is closed and the next request opens a new one. Not thread-safe: all calls must be
// made on the thread of the event loop, and all callbacks run there.
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

enum class HttpReplyKind
{
  kAnswered,
  // No byte of the request can have reached the server.
  kNotSent,
  // No complete response was received. The request may have taken effect.
  kLost,
};

inline constexpr NameTable<HttpReplyKind, 3> kHttpReplyKindNames{ {
  { HttpReplyKind::kAnswered, "answered" },
  { HttpReplyKind::kNotSent, "not_sent" },
  { HttpReplyKind::kLost, "lost" },
} };

struct HttpReply
{
  HttpReplyKind mKind = HttpReplyKind::kLost;
  HttpResponse mResponse;
};

class HttpChannel
{
public:
  using Callback = std::function<void(const HttpReply&)>;

  HttpChannel(EventLoop& aLoop, Endpoint aServer, StreamOptions aOptions);
  ~HttpChannel();
  HttpChannel(const HttpChannel&) = delete;
  HttpChannel& operator=(const HttpChannel&) = delete;

  // Queues a request. The callback is called exactly once from the event loop, at `aDeadline` at
  // the latest, unless Reset is called first.
  void Send(const HttpRequest& aRequest, Instant aDeadline, Callback aCallback);
  // Drops all queued requests without calling their callbacks and closes the connection.
  void Reset();

private:
  struct PendingRequest
  {
    std::string mBytes;
    Callback mCallback;
    EventLoop::TimerId mTimer = 0;
    std::uint64_t mId = 0;
  };

  void StartNext();
  void OnBytes();
  void OnEnd(StreamEnd aEnd);
  void OnDeadline(std::uint64_t aId);
  void Finish(const HttpReply& aReply);

  EventLoop& mLoop;
  Endpoint mServer;
  StreamOptions mOptions;
  std::deque<PendingRequest> mPending;
  std::uint64_t mLastId = 0;
  bool mAwaitingResponse = false;
  std::shared_ptr<ByteStream> mStream;
  std::optional<MessageReader> mReader;
};

// Serializes a request. Adds the Host header for `aServer`, and Content-Length as RequestBytes does
// (framing.h).
std::string
RenderRequest(const HttpRequest& aRequest, const Endpoint& aServer);

} // namespace trefoil
