#include "trefoil/http/client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <istream>

namespace trefoil {

using Poco::Net::HTTPClientSession;

struct HttpStream::Connection
{
  explicit Connection(const Poco::Net::StreamSocket& aSocket)
    : mSession(aSocket)
  {
    mSession.setKeepAlive(false);
  }

  HTTPClientSession mSession;
  Poco::Net::HTTPResponse mResponse;
  std::istream* mBody = nullptr;
};

namespace {

// Timeout for establishing a connection to a host on the same network.
constexpr Milliseconds kConnectTimeout{ 1000 };
// A socket interprets a timeout of zero as "no timeout".
constexpr Milliseconds kMinSocketTimeout{ 1 };
constexpr std::size_t kReadBufferBytes = std::size_t{ 16 } * 1024;

Poco::Timespan
TimeoutUntil(Instant aDeadline)
{
  const auto remaining = std::max(Remaining(aDeadline, Now()), kMinSocketTimeout);
  return Poco::Timespan{ std::chrono::duration_cast<std::chrono::microseconds>(remaining).count() };
}

Failure
MakeFailure(Verdict aVerdict, const Poco::Exception& aError)
{
  const std::string text = aError.displayText();
  const bool timedOut = dynamic_cast<const Poco::TimeoutException*>(&aError) != nullptr;
  return { .mVerdict = aVerdict,
           .mStatus = timedOut ? absl::DeadlineExceededError(text) : absl::UnavailableError(text) };
}

// Connects without sending a byte, so that the verdict of a failure is kNotRun.
Poco::Net::StreamSocket
Connect(const HttpCall& aCall)
{
  Poco::Net::StreamSocket socket;
  const auto timeout =
    std::min(TimeoutUntil(aCall.mDeadline),
             Poco::Timespan{ std::chrono::microseconds{ kConnectTimeout }.count() });
  socket.connect(Poco::Net::SocketAddress{ aCall.mServer.mAddress, aCall.mServer.mPort }, timeout);
  socket.setNoDelay(true);
  return socket;
}

void
Send(HTTPClientSession& aSession, const HttpCall& aCall)
{
  const HttpRequest& source = aCall.mRequest;
  Poco::Net::HTTPRequest request{ source.mMethod,
                                  source.mTarget,
                                  Poco::Net::HTTPMessage::HTTP_1_1 };
  for (const HttpHeader& header : source.mHeaders) {
    request.add(header.mName, header.mValue);
  }
  request.setHost(aCall.mServer.mAddress, aCall.mServer.mPort);
  request.setContentLength64(static_cast<Poco::Int64>(source.mBody.size()));
  std::ostream& body = aSession.sendRequest(request);
  body.write(source.mBody.data(), static_cast<std::streamsize>(source.mBody.size()));
  body.flush();
}

HttpResponse
ResponseHead(const Poco::Net::HTTPResponse& aResponse)
{
  HttpResponse head{ .mStatus = aResponse.getStatus() };
  for (const auto& [name, value] : aResponse) {
    head.mHeaders.push_back({ .mName = name, .mValue = value });
  }
  return head;
}

// Appends the body to `aContent` until it ends, the deadline passes or it exceeds the maximum size.
absl::Status
ReadBody(HTTPClientSession& aSession,
         std::istream& aBody,
         const HttpCall& aCall,
         std::string& aContent)
{
  std::array<char, kReadBufferBytes> buffer{};
  while (aBody.good()) {
    aSession.socket().setReceiveTimeout(TimeoutUntil(aCall.mDeadline));
    aBody.read(buffer.data(), 1);
    const std::streamsize extraBytes =
      aBody.good() ? aBody.readsome(buffer.data() + 1, buffer.size() - 1) : 0;
    aContent.append(
      buffer.data(),
      static_cast<std::size_t>(aBody.gcount() > 0 || extraBytes > 0 ? 1 + extraBytes : 0));
    if (aContent.size() > aCall.mMaxBodyBytes) {
      return absl::ResourceExhaustedError("the answer's body is too long");
    }
    if (HasPassed(aCall.mDeadline, Now())) {
      return absl::DeadlineExceededError("the answer did not end in time");
    }
  }
  if (aBody.bad()) {
    return absl::UnavailableError("the connection broke inside the answer");
  }
  return absl::OkStatus();
}

// Returns whether the whole body was received. A response without a Content-Length header and the
// response to a HEAD request count as complete.
bool
IsBodyComplete(const Poco::Net::HTTPResponse& aResponse,
               const HttpRequest& aRequest,
               std::size_t aBodyBytes)
{
  if (aRequest.mMethod == "HEAD" || !aResponse.hasContentLength()) {
    return true;
  }
  return static_cast<std::size_t>(aResponse.getContentLength64()) == aBodyBytes;
}

} // namespace

HttpResult
Call(const HttpCall& aCall)
{
  auto opened = HttpStream::Open(aCall);
  if (auto* failure = std::get_if<Failure>(&opened)) {
    return std::move(*failure);
  }
  return std::get<HttpStream>(opened).ReadAll(aCall);
}

HttpStream::HttpStream(std::unique_ptr<Connection> aConnection, HttpResponse aHead)
  : mConnection(std::move(aConnection))
  , mHead(std::move(aHead))
{
}

HttpStream::HttpStream(HttpStream&&) noexcept = default;
HttpStream&
HttpStream::operator=(HttpStream&&) noexcept = default;
HttpStream::~HttpStream() = default;

HttpStream::OpenResult
HttpStream::Open(const HttpCall& aCall)
{
  std::unique_ptr<Connection> connection;
  try {
    connection = std::make_unique<Connection>(Connect(aCall));
  } catch (const Poco::Exception& error) {
    return MakeFailure(Verdict::kNotRun, error);
  }
  try {
    HTTPClientSession& session = connection->mSession;
    session.socket().setSendTimeout(TimeoutUntil(aCall.mDeadline));
    session.socket().setReceiveTimeout(TimeoutUntil(aCall.mDeadline));
    Send(session, aCall);
    connection->mBody = &session.receiveResponse(connection->mResponse);
    HttpResponse head = ResponseHead(connection->mResponse);
    return HttpStream{ std::move(connection), std::move(head) };
  } catch (const Poco::Exception& error) {
    return MakeFailure(Verdict::kMayHaveRun, error);
  }
}

HttpResult
HttpStream::ReadAll(const HttpCall& aCall)
{
  HttpResponse response = mHead;
  try {
    const absl::Status read =
      ReadBody(mConnection->mSession, *mConnection->mBody, aCall, response.mBody);
    if (!read.ok()) {
      return Failure{ .mVerdict = Verdict::kMayHaveRun, .mStatus = read };
    }
  } catch (const Poco::Exception& error) {
    return MakeFailure(Verdict::kMayHaveRun, error);
  }
  if (!IsBodyComplete(mConnection->mResponse, aCall.mRequest, response.mBody.size())) {
    return Failure{ .mVerdict = Verdict::kMayHaveRun,
                    .mStatus = absl::UnavailableError("the answer's body was cut short") };
  }
  return response;
}

absl::StatusOr<std::string>
HttpStream::ReadLine(Instant aDeadline)
{
  if (HasPassed(aDeadline, Now())) {
    return absl::DeadlineExceededError("no line came in time");
  }
  try {
    mConnection->mSession.socket().setReceiveTimeout(TimeoutUntil(aDeadline));
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
  std::string line;
  std::getline(*mConnection->mBody, line);
  if (mConnection->mBody->bad()) {
    return HasPassed(aDeadline, Now()) ? absl::DeadlineExceededError("no line came in time")
                                       : absl::UnavailableError("the connection broke");
  }
  if (mConnection->mBody->eof()) {
    return absl::OutOfRangeError("the body ended");
  }
  if (!line.empty() && line.back() == '\r') {
    line.pop_back();
  }
  return line;
}

} // namespace trefoil
