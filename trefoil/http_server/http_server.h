// HTTP server that passes each request to a handler function, which may block.
//
//   HttpHandler handler = [](HttpExchange& aExchange) {
//     aExchange.Respond({ .mBody = "ok" });
//   };
//   auto server = HttpServer::Start({ .mListen = endpoint, .mHandler = handler });
//
// One thread serves all connections. Handlers run on threads of their own, one for each request in
// hand, so the handler is called concurrently and must be thread-safe. A connection takes no thread
// before its request is complete.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/instant.h"
#include "trefoil/http/message.h"
#include "trefoil/memory/memory_budget.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace trefoil {

class Metrics;

// A request and the means to respond to it. Must be used only on the thread that runs the handler.
class HttpExchange
{
public:
  struct Connection;
  HttpExchange(HttpRequest aRequest, std::shared_ptr<Connection> aConnection);

  const HttpRequest& Request() const { return mRequest; }

  // Sends a whole response. Must be called at most once, and not together with BeginStream. Does
  // nothing if the client has closed the connection. Headers that concern a connection are left
  // out; `Connection: close` closes the client's one afterwards.
  void Respond(HttpResponse aResponse);

  // Sends the head of a response whose body is sent in chunks by Write.
  void BeginStream(HttpResponse aHead);

  // Sends a chunk of the body. Blocks while the client takes bytes more slowly than they are
  // written. Returns false if the connection has ended or BeginStream was not called.
  bool Write(std::string_view aBytes);

  // Closes the connection immediately, even in the middle of a response, as if the server had
  // crashed.
  void Abort();

  // Waits until the memory budget of the server has room for `aBytes` more of the answer that is
  // being prepared, and counts them until the handler ends, whether the client is still connected
  // or not. Returns false if there is none until `aDeadline`, a value of Now.
  bool ReserveMemory(std::size_t aBytes, Instant aDeadline);

private:
  HttpRequest mRequest;
  std::shared_ptr<Connection> mConnection;
};

using HttpHandler = std::function<void(HttpExchange& aExchange)>;

struct HttpServerOptions
{
  Endpoint mListen;
  HttpHandler mHandler;
  // Requests with a longer body are answered with status 413, those with more than 100 headers, or
  // with one over 8 KiB, with 400. check_request_head.h has the other limits.
  std::size_t mMaxBodyBytes = std::size_t{ 64 } << 20;
  // Connections of clients and those that their requests take. Further clients wait in the listen
  // queue of the kernel.
  std::int64_t mMaxConnections = 256;
  // The connections to servers that the handler opens for a request.
  std::int64_t mConnectionsPerRequest = 0;
  // Idle connections are closed after this time, and those of clients that take no bytes.
  std::int64_t mIdleConnectionMilliseconds = 15'000;
  // Limits on what is held for clients. Without them, those of a machine with 4 GB.
  std::optional<MemoryLimits> mMemoryLimits;
  // Returns the answer to a request that there is no room for and that has not run; without it,
  // 503.
  std::function<HttpResponse()> mMakeRefusal;
  // Receives the gauges of the memory budget and counts refusals. May be null; outlives the server.
  Metrics* mMetrics = nullptr;
  // Called on the thread of the connections with texts for the log. May be empty.
  std::function<void(std::string_view aText)> mLog;
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
