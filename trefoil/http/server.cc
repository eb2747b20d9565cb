#include "trefoil/http/server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <array>
#include <optional>
#include <ostream>

namespace trefoil {

struct HttpExchange::Connection
{
  Poco::Net::HTTPServerRequest& mRequest;
  Poco::Net::HTTPServerResponse& mResponse;
  std::ostream* mBody = nullptr;
};

namespace {

using Poco::Net::HTTPRequestHandler;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int kThreadStackBytes = 192 * 1024;
constexpr int kThreadIdleSeconds = 60;
constexpr int kMostWaitingConnections = 1024;
constexpr int kListenBacklog = 1024;
constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;
constexpr int kPayloadTooLarge = 413;

// Reads a request's body. Returns nothing if it is longer than allowed.
std::optional<std::string>
ReadBody(HTTPServerRequest& aRequest, std::size_t aMostBytes)
{
  if (aRequest.hasContentLength() &&
      static_cast<std::size_t>(aRequest.getContentLength64()) > aMostBytes) {
    return std::nullopt;
  }
  std::string body;
  std::array<char, kReadBytes> buffer{};
  std::istream& stream = aRequest.stream();
  while (stream.good()) {
    stream.read(buffer.data(), buffer.size());
    body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
    if (body.size() > aMostBytes) {
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

// Returns whether a body of a stated length came whole. A client that dies while it sends leaves a
// shorter one, which must not be taken for what it meant.
bool
IsWhole(const HTTPServerRequest& aRequest, const std::string& aBody)
{
  return !aRequest.hasContentLength() ||
         static_cast<std::size_t>(aRequest.getContentLength64()) == aBody.size();
}

class FunctionHandler : public HTTPRequestHandler
{
public:
  explicit FunctionHandler(const HttpServerOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  void handleRequest(HTTPServerRequest& aRequest, HTTPServerResponse& aResponse) override
  {
    HttpExchange::Connection connection{ .mRequest = aRequest, .mResponse = aResponse };
    HttpRequest plain = HeadOf(aRequest);
    std::optional<std::string> body = ReadBody(aRequest, mOptions.mMostBodyBytes);
    const bool tooLong = !body.has_value();
    if (!tooLong) {
      plain.mBody = std::move(*body);
    }
    HttpExchange exchange{ std::move(plain), connection };
    if (tooLong) {
      aResponse.setKeepAlive(false);
      exchange.Answer({ .mStatus = kPayloadTooLarge, .mBody = "the request's body is too long\n" });
      return;
    }
    if (!IsWhole(aRequest, exchange.Request().mBody)) {
      exchange.Abort();
      return;
    }
    mOptions.mHandler(exchange);
  }

private:
  const HttpServerOptions& mOptions;
};

class FunctionHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  explicit FunctionHandlerFactory(HttpServerOptions aOptions)
    : mOptions(std::move(aOptions))
  {
  }

  HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override
  {
    return new FunctionHandler{ mOptions };
  }

private:
  const HttpServerOptions mOptions;
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
  auto& request = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(mConnection.mRequest);
  try {
    request.session().socket().shutdown();
  } catch (const Poco::Exception&) {
    // The connection is closed already.
    return;
  }
}

struct HttpServer::State
{
  Poco::ThreadPool mThreads;
  Poco::Net::ServerSocket mSocket;
  Poco::Net::HTTPServer mServer;

  State(HttpServerOptions aOptions,
        const Poco::Net::ServerSocket& aSocket,
        const Poco::Net::HTTPServerParams::Ptr& aParams)
    : mThreads(2,
               static_cast<int>(aOptions.mMostConnections),
               kThreadIdleSeconds,
               kThreadStackBytes)
    , mSocket(aSocket)
    , mServer(new FunctionHandlerFactory{ std::move(aOptions) }, mThreads, mSocket, aParams)
  {
  }
};

HttpServer::HttpServer(std::unique_ptr<State> aState)
  : mState(std::move(aState))
{
}

HttpServer::HttpServer(HttpServer&&) noexcept = default;
HttpServer&
HttpServer::operator=(HttpServer&&) noexcept = default;

HttpServer::~HttpServer()
{
  if (mState != nullptr) {
    mState->mServer.stopAll(true);
    mState->mThreads.joinAll();
  }
}

absl::StatusOr<HttpServer>
HttpServer::Start(HttpServerOptions aOptions)
{
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(static_cast<int>(aOptions.mMostConnections));
  params->setMaxQueued(kMostWaitingConnections);
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(Poco::Timespan{ aOptions.mIdleConnectionMilliseconds * 1000 });
  params->setTimeout(Poco::Timespan{ aOptions.mIdleConnectionMilliseconds * 1000 });
  try {
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress{ aOptions.mListen.mAddress, aOptions.mListen.mPort },
                true);
    socket.listen(kListenBacklog);
    auto state = std::make_unique<State>(std::move(aOptions), socket, params);
    state->mServer.start();
    return HttpServer{ std::move(state) };
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
}

void
HttpServer::StopListening()
{
  mState->mServer.stop();
}

std::uint16_t
HttpServer::Port() const
{
  return mState->mServer.port();
}

} // namespace trefoil
