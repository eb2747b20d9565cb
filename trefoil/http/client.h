// Blocking HTTP client whose calls have a deadline. A failed call returns a verdict on whether the
// request may have run.
//
//   HttpCall call{ .mServer = endpoint, .mRequest = request, .mDeadline = deadline };
//   HttpResult result = Call(call);
//   if (const auto* failure = std::get_if<Failure>(&result)) {
//     ... failure->mVerdict ...
//   }
//
// Each call opens a new connection. If a kept-alive connection broke on reuse, it would be unknown
// whether the request arrived.
//
// Call is thread-safe. An HttpStream must be used by one thread at a time.
#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "trefoil/base/atomic_deadline.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/verdict.h"
#include "trefoil/http/message.h"

#include <Poco/Net/StreamSocket.h>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace trefoil {

// Returns a connected socket, or throws a Poco::Exception if no connection is established before
// the time. Sends no byte of a request. Called on the thread of the call.
using Connector = std::function<Poco::Net::StreamSocket(Instant aDeadline)>;

struct HttpCall
{
  Endpoint mServer;
  // Establishes the connection instead of a direct connect to mServer; empty for the latter.
  Connector mConnector;
  HttpRequest mRequest;
  // A body that is sent in place of that of mRequest and not copied. It outlives the call.
  std::optional<std::string_view> mBody;
  Instant mDeadline;
  // Deadlines that may be set during the call, and count if they are earlier. None is null.
  std::vector<const AtomicDeadline*> mEarlierDeadlines;
  // A response with a longer body is an error.
  std::size_t mMaxBodyBytes = std::size_t{ 64 } << 20;
  // Waits until there is memory for `aBytes` more of the response's body. The call fails if it
  // returns false. May be empty. Not called for streams that are read line by line.
  std::function<bool(std::size_t aBytes)> mReserveMemory;
};

using HttpResult = std::variant<HttpResponse, Failure>;

// Connects directly to `aServer`. Throws a Poco::Exception if the connection is not established
// before `aDeadline`, or within a second.
Poco::Net::StreamSocket
ConnectDirectly(const Endpoint& aServer, Instant aDeadline);

// Sends a request and reads the whole response. The verdict of a failure is kNotRun if no
// connection was established, else kMayHaveRun.
HttpResult
Call(const HttpCall& aCall);

// A response that is read line by line while the server is still sending it.
class HttpStream
{
public:
  using OpenResult = std::variant<HttpStream, Failure>;

  // Sends a request and reads the head of the response. The verdict of a failure is the same as
  // for Call.
  static OpenResult Open(const HttpCall& aCall);

  HttpStream(HttpStream&&) noexcept;
  HttpStream& operator=(HttpStream&&) noexcept;
  ~HttpStream();

  int Status() const;
  const HttpHeaders& Headers() const;

  // Returns the next line without its line terminator. Returns DeadlineExceeded if no line was
  // received before `aDeadline`, OutOfRange at the end of the body, Unavailable if the
  // connection broke, or ended within a line of a body whose end it is, DataLoss if the
  // response is malformed, and ResourceExhausted if a part of it or the line is too long.
  absl::StatusOr<std::string> ReadLine(Instant aDeadline);

  // Reads the rest of the body and returns the whole response. `aCall` must be the call that the
  // stream was opened with.
  HttpResult ReadAll(const HttpCall& aCall);

private:
  struct Connection;
  explicit HttpStream(std::unique_ptr<Connection> aConnection);

  // Waits until bytes or the end of the connection can be read. Returns DeadlineExceeded if they
  // do not come in time.
  static absl::Status WaitUntilReadable(Connection& aConnection, Instant aDeadline);
  // Receives the next bytes of a response that is incomplete. Returns an error if it can no longer
  // be completed.
  static absl::Status Receive(Connection& aConnection, Instant aDeadline);

  std::unique_ptr<Connection> mConnection;
};

} // namespace trefoil
