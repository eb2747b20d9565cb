#include "trefoil/http/server.h"

#include "trefoil/http/check_head.h"
#include "trefoil/http/status_code.h"
#include "trefoil/net/listener.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <array>
#include <optional>
#include <ostream>

namespace trefoil {

struct HttpExchange::Connection
{
  Poco::Net::HTTPServerRequestImpl& mRequest;
  Poco::Net::HTTPServerResponse& mResponse;
  std::ostream* mBody = nullptr;
};

namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerParams;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using Poco::Net::HTTPServerSession;

constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;
// How long what a refused caller still sends is taken in.
constexpr Milliseconds kLingerLimit{ 500 };

// Reads a request's body. Returns nothing if it is longer than allowed.
std::optional<std::string>
ReadBody(HTTPServerRequest& aRequest, std::size_t aMaxBytes)
{
  if (aRequest.hasContentLength() &&
      static_cast<std::size_t>(aRequest.getContentLength64()) > aMaxBytes) {
    return std::nullopt;
  }
  std::string body;
  if (!aRequest.hasContentLength() && !aRequest.getChunkedTransferEncoding()) {
    // RFC 9112, 6.3: a request without either has no body.
    return body;
  }
  std::array<char, kReadBytes> buffer{};
  std::istream& stream = aRequest.stream();
  while (stream.good()) {
    stream.read(buffer.data(), buffer.size());
    body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
    if (body.size() > aMaxBytes) {
      return std::nullopt;
    }
  }
  return body;
}

HttpRequest
HeadOf(const HTTPServerRequest& aRequest)
{
  HttpRequest plain{ .mMethod = aRequest.getMethod(), .mTarget = aRequest.getURI() };
  for (const auto& [name, value] : aRequest) {
    plain.mHeaders.push_back({ .mName = name, .mValue = value });
  }
  return plain;
}

void
SetHead(HTTPServerResponse& aResponse, const HttpAnswer& aHead)
{
  const auto status = static_cast<HTTPResponse::HTTPStatus>(aHead.mStatus);
  aResponse.setStatusAndReason(status, HTTPResponse::getReasonForStatus(status));
  for (const HttpHeader& header : aHead.mHeaders) {
    aResponse.add(header.mName, header.mValue);
  }
}

// Answers a request that is not served, and takes in what the caller still sends for a while:
// closing a connection with unread bytes would take the answer away from the caller.
void
Reject(HTTPServerSession& aSession, HTTPServerResponse& aResponse, const HttpAnswer& aAnswer)
{
  try {
    aResponse.setKeepAlive(false);
    aSession.setKeepAlive(false);
    SetHead(aResponse, aAnswer);
    aResponse.setContentType("text/plain");
    aResponse.setContentLength64(static_cast<Poco::Int64>(aAnswer.mBody.size()));
    std::ostream& body = aResponse.send();
    body.write(aAnswer.mBody.data(), static_cast<std::streamsize>(aAnswer.mBody.size()));
    body.flush();
    Poco::Net::StreamSocket& socket = aSession.socket();
    socket.shutdownSend();
    const Instant until = Now() + kLingerLimit;
    std::array<char, kReadBytes> buffer{};
    while (!HasPassed(until, Now())) {
      socket.setReceiveTimeout(Poco::Timespan{ std::chrono::microseconds{ kLingerLimit }.count() });
      if (socket.receiveBytes(buffer.data(), buffer.size()) <= 0) {
        return;
      }
    }
  } catch (const Poco::Exception&) {
    // The caller is gone.
    return;
  }
}

bool
IsKnownVersion(const std::string& aVersion)
{
  return aVersion == Poco::Net::HTTPMessage::HTTP_1_1 ||
         aVersion == Poco::Net::HTTPMessage::HTTP_1_0;
}

// Opens what the library keeps to itself: whether a further request has been read already.
class Session : public HTTPServerSession
{
public:
  using HTTPServerSession::buffered;
  using HTTPServerSession::HTTPServerSession;
};

// One connection of a caller: its requests one after the other.
class Conversation
{
public:
  Conversation(const HttpServerOptions& aOptions, trefoil::Connection& aConnection)
    : mOptions(aOptions)
    , mConnection(aConnection)
    , mParams(ParamsOf(aOptions))
    , mSession(aConnection.Socket(), mParams)
  {
  }

  void Run()
  {
    bool open = true;
    while (open && AwaitRequest()) {
      open = ServeOne();
    }
  }

private:
  static HTTPServerParams::Ptr ParamsOf(const HttpServerOptions& aOptions)
  {
    HTTPServerParams::Ptr params = new HTTPServerParams;
    params->setKeepAlive(true);
    params->setTimeout(Poco::Timespan{ aOptions.mIdleConnectionMilliseconds * 1000 });
    return params;
  }

  bool AwaitRequest()
  {
    return mSession.buffered() > 0 ||
           mConnection.AwaitRequest(Now() + Milliseconds{ mOptions.mIdleConnectionMilliseconds });
  }

  // Serves one request. Returns whether another may follow.
  bool ServeOne()
  {
    Poco::Net::HTTPServerResponseImpl response{ mSession };
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    try {
      Poco::Net::HTTPServerRequestImpl request{ response, mSession, mParams };
      if (!IsKnownVersion(request.getVersion())) {
        Reject(mSession, response, { .mStatus = kBadRequest, .mBody = "use HTTP/1.1\n" });
        return false;
      }
      response.setVersion(request.getVersion());
      response.setKeepAlive(request.getKeepAlive() && !mConnection.IsDraining());
      return Handle(request, response);
    } catch (const Poco::Net::NoMessageException&) {
      return false;
    } catch (const Poco::Net::NetException& error) {
      Reject(mSession, response, { .mStatus = kBadRequest, .mBody = ReasonOf(error) });
    } catch (const Poco::TimeoutException&) {
      Reject(mSession, response, { .mStatus = kRequestTimeout, .mBody = "no request in time\n" });
    } catch (const Poco::IOException&) {
      return false;
    } catch (const std::exception&) {
      Reject(mSession, response, { .mStatus = kBadRequest, .mBody = "the request is malformed\n" });
    }
    return false;
  }

  static std::string ReasonOf(const Poco::Exception& aError)
  {
    return "the request is malformed: " + aError.displayText() + "\n";
  }

  bool Handle(Poco::Net::HTTPServerRequestImpl& aRequest,
              Poco::Net::HTTPServerResponseImpl& aResponse)
  {
    HttpExchange::Connection connection{ .mRequest = aRequest, .mResponse = aResponse };
    HttpRequest plain = HeadOf(aRequest);
    if (const auto refusal = CheckHead(plain)) {
      Reject(mSession, aResponse, *refusal);
      return false;
    }
    if (aRequest.getExpectContinue()) {
      aResponse.sendContinue();
    }
    std::optional<std::string> body = ReadBody(aRequest, mOptions.mMaxBodyBytes);
    if (!body.has_value()) {
      Reject(mSession,
             aResponse,
             { .mStatus = kPayloadTooLarge, .mBody = "the request's body is too long\n" });
      return false;
    }
    if (aRequest.hasContentLength() &&
        body->size() != static_cast<std::size_t>(aRequest.getContentLength64())) {
      Reject(mSession,
             aResponse,
             { .mStatus = kBadRequest, .mBody = "the request's body is cut short\n" });
      return false;
    }
    plain.mBody = std::move(*body);
    HttpExchange exchange{ std::move(plain), connection };
    mOptions.mHandler(exchange);
    return aResponse.getKeepAlive() && !mConnection.IsDraining();
  }

  const HttpServerOptions& mOptions;
  trefoil::Connection& mConnection;
  HTTPServerParams::Ptr mParams;
  Session mSession;
};

} // namespace

HttpExchange::HttpExchange(HttpRequest aRequest, Connection& aConnection)
  : mRequest(std::move(aRequest))
  , mConnection(aConnection)
{
}

void
HttpExchange::Answer(const HttpAnswer& aAnswer)
{
  try {
    SetHead(mConnection.mResponse, aAnswer);
    mConnection.mResponse.setContentLength64(static_cast<Poco::Int64>(aAnswer.mBody.size()));
    std::ostream& body = mConnection.mResponse.send();
    body.write(aAnswer.mBody.data(), static_cast<std::streamsize>(aAnswer.mBody.size()));
    body.flush();
  } catch (const Poco::Exception&) {
    // The caller closed the connection: there is nobody to tell.
    return;
  }
}

void
HttpExchange::BeginStream(const HttpAnswer& aHead)
{
  try {
    SetHead(mConnection.mResponse, aHead);
    mConnection.mResponse.setChunkedTransferEncoding(true);
    mConnection.mBody = &mConnection.mResponse.send();
    mConnection.mBody->flush();
  } catch (const Poco::Exception&) {
    mConnection.mBody = nullptr;
  }
}

bool
HttpExchange::Write(std::string_view aPiece)
{
  if (mConnection.mBody == nullptr) {
    return false;
  }
  mConnection.mBody->write(aPiece.data(), static_cast<std::streamsize>(aPiece.size()));
  mConnection.mBody->flush();
  return mConnection.mBody->good();
}

void
HttpExchange::Abort()
{
  mConnection.mResponse.setKeepAlive(false);
  try {
    mConnection.mRequest.session().socket().shutdown();
  } catch (const Poco::Exception&) {
    // The connection is closed already.
    return;
  }
}

struct HttpServer::State
{
  HttpServerOptions mOptions;
  std::optional<Listener> mListener;
};

HttpServer::HttpServer(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

HttpServer::HttpServer(HttpServer&&) noexcept = default;
HttpServer&
HttpServer::operator=(HttpServer&&) noexcept = default;
HttpServer::~HttpServer() = default;

absl::StatusOr<HttpServer>
HttpServer::Start(HttpServerOptions aOptions)
{
  auto state = std::make_unique<State>();
  state->mOptions = std::move(aOptions);
  const HttpServerOptions& options = state->mOptions;
  auto listener = Listener::Start({ .mListen = options.mListen,
                                    .mServe =
                                      [&options](trefoil::Connection& aConnection) {
                                        try {
                                          Conversation{ options, aConnection }.Run();
                                        } catch (const std::exception&) {
                                          // The connection is broken: there is nobody to tell.
                                          return;
                                        }
                                      },
                                    .mMaxConnections = options.mMaxConnections });
  if (!listener.ok()) {
    return listener.status();
  }
  state->mListener = std::move(*listener);
  return HttpServer{ std::move(state) };
}

std::int64_t
HttpServer::Drain(Instant aDeadline)
{
  return mState->mListener->Drain(aDeadline);
}

std::uint16_t
HttpServer::Port() const
{
  return mState->mListener->Port();
}

} // namespace trefoil
