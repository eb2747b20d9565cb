// Blocking HTTP server that passes each request to a handler function.
//
//   HttpHandler handler = [](HttpExchange& aExchange) {
//     aExchange.Respond({ .mBody = "ok" });
//   };
//   auto server = HttpServer::Start({ .mListen = endpoint, .mHandler = handler });
//
// Each connection is served by its own thread, up to mMaxConnections threads. The handler is called
// concurrently and must be thread-safe.
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

// A request and the means to respond to it. Must be used only on the thread that runs the handler.
class HttpExchange
{
public:
  struct Connection;
  HttpExchange(HttpRequest aRequest, Connection& aConnection);

  const HttpRequest& Request() const { return mRequest; }

  // Sends a whole response. Must be called at most once, and not together with BeginStream. Does
  // nothing if the client has closed the connection.
  void Respond(const HttpResponse& aResponse);

  // Sends the head of a response whose body is sent in chunks by Write.
  void BeginStream(const HttpResponse& aHead);

  // Sends a chunk of the body without buffering it. Returns false if the connection is broken or
  // BeginStream failed.
  bool Write(std::string_view aBytes);

  // Closes the connection immediately, even in the middle of a response, as if the server had
  // crashed.
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
  // Requests with a longer body are answered with status 413. check_head.h has the other limits.
  std::size_t mMaxBodyBytes = std::size_t{ 64 } << 20;
  // Further connections wait in the listen queue of the kernel.
  std::int64_t mMaxConnections = 256;
  // Idle connections are closed after this time. It also is the receive timeout within a request.
  std::int64_t mIdleConnectionMilliseconds = 15'000;
};

// Accepts connections until it is drained or destroyed.
class HttpServer
{
public:
  // Binds the endpoint and starts to accept connections. Port 0 selects a free port. Returns
  // Unavailable if the endpoint cannot be bound.
  static absl::StatusOr<HttpServer> Start(HttpServerOptions aOptions);

  HttpServer(HttpServer&&) noexcept;
  HttpServer& operator=(HttpServer&&) noexcept;
  ~HttpServer();

  // Stops accepting connections without dropping any that is already established. Requests in
  // flight complete, their responses close the connection, and idle connections are closed.
  // Returns the number of connections that are still open at `aDeadline`.
  std::int64_t Drain(Instant aDeadline);

  std::uint16_t Port() const;

private:
  struct State;
  explicit HttpServer(std::unique_ptr<State> aState);
  std::unique_ptr<State> mState;
};

} // namespace trefoil
