// HTTP calls with a deadline and a verdict.
//
//   HttpResult result = Call({ .mServer = endpoint, .mRequest = request, .mDeadline = aNow +
//   kStoreLimit }); if (const auto* failure = std::get_if<Failure>(&result)) { ...
//   failure->mVerdict ... }
//
// Each call opens a connection of its own. A kept connection that dies when it is used again would
// leave open whether the request arrived, and the library would send it a second time.
//
// Blocking. One object belongs to one thread; calls from several threads are independent.
#pragma once

#include "absl/status/statusor.h"
#include "trefoil/base/endpoint.h"
#include "trefoil/base/instant.h"
#include "trefoil/base/verdict.h"
#include "trefoil/http/message.h"

#include <cstddef>
#include <memory>
#include <string>
#include <variant>

namespace trefoil {

struct HttpCall
{
  Endpoint mServer;
  HttpRequest mRequest;
  Instant mDeadline;
  // A longer body is an error.
  std::size_t mMaxBodyBytes = std::size_t{ 64 } << 20;
};

using HttpResult = std::variant<HttpAnswer, Failure>;

// Sends a request and reads the whole answer. A failure is "not run" if no connection came up, else
// "may have run".
HttpResult
Call(const HttpCall& aCall);

// An answer that is read line by line while the server still writes it.
class HttpStream
{
public:
  using OpenResult = std::variant<HttpStream, Failure>;

  // Sends a request and reads the answer's head.
  static OpenResult Open(const HttpCall& aCall);

  HttpStream(HttpStream&&) noexcept;
  HttpStream& operator=(HttpStream&&) noexcept;
  ~HttpStream();

  int Status() const { return mHead.mStatus; }
  const HttpHeaders& Headers() const { return mHead.mHeaders; }

  // Returns the next line without its end. Returns DeadlineExceeded if none came in time,
  // OutOfRange at the end of the body, Unavailable if the connection broke.
  absl::StatusOr<std::string> ReadLine(Instant aDeadline);

  // Returns the whole answer. `aCall` is the call that the stream was opened with.
  HttpResult ReadAll(const HttpCall& aCall);

private:
  struct Connection;
  HttpStream(std::unique_ptr<Connection> aConnection, HttpAnswer aHead);

  std::unique_ptr<Connection> mConnection;
  HttpAnswer mHead;
};

} // namespace trefoil
