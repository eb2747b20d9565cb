// Serves HTTP with a free function.
//
//   absl::StatusOr<HttpServer> server = HttpServer::Start(
//     { .mListen = endpoint, .mHandler = [](HttpExchange& aExchange) { aExchange.Answer({ .mBody =
//     "ok" }); } });
//
// Each connection has a thread of its own, up to a stated number. The handler runs on many threads
// at once.
#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/instant.h"
#include "trefoil/http/message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace trefoil {

// One request and the way to answer it. Belongs to the thread that the handler runs on.
class HttpExchange
{
public:
  struct Connection;
  HttpExchange(HttpRequest aRequest, Connection& aConnection);

  const HttpRequest& Request() const { return mRequest; }

  // Sends a whole answer. Call it once, and not after BeginStream. A caller that is gone is
  // ignored.
  void Answer(const HttpAnswer& aAnswer);

  // Sends the head of an answer whose body follows in pieces.
  void BeginStream(const HttpAnswer& aHead);

  // Sends a piece of the body at once. Returns false once the caller is gone.
  bool Write(std::string_view aPiece);

  // Closes the connection without an end to the body, as a server that dies does.
  void Abort();

private:
  HttpRequest mRequest;
  Connection& mConnection;
};

using HttpHandler = std::function<void(HttpExchange& aExchange)>;

struct HttpServerOptions
{
  Endpoint mListen;
  HttpHandler mHandler;
  // Requests with a longer body are answered 413. check_head.h has the other limits.
  std::size_t mMaxBodyBytes = std::size_t{ 64 } << 20;
  // Further connections wait in the system's queue.
  std::int64_t mMaxConnections = 256;
  std::int64_t mIdleConnectionMilliseconds = 15'000;
};

// Listens until it is destroyed or stopped.
class HttpServer
{
public:
  // Returns Unavailable if the endpoint cannot be bound.
  static absl::StatusOr<HttpServer> Start(HttpServerOptions aOptions);

  HttpServer(HttpServer&&) noexcept;
  HttpServer& operator=(HttpServer&&) noexcept;
  ~HttpServer();

  // Stops taking connections without dropping one: those that came up are served, callers on kept
  // connections are told that these close, and requests in flight go on. Returns how many
  // connections were left at `aDeadline`.
  std::int64_t Drain(Instant aDeadline);

  std::uint16_t Port() const;

private:
  struct State;
  explicit HttpServer(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace trefoil
