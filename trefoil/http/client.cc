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

// The time that a connection to a host on the same network may take to come up.
constexpr Milliseconds kConnectLimit{ 1000 };
// A socket takes a time limit of zero as "none".
constexpr Milliseconds kShortestLimit{ 1 };
constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;

Poco::Timespan
LimitUntil(Instant aDeadline)
{
  const auto left = std::max(Remaining(aDeadline, Now()), kShortestLimit);
  return Poco::Timespan{ std::chrono::duration_cast<std::chrono::microseconds>(left).count() };
}

Failure
FailureOf(Verdict aVerdict, const Poco::Exception& aError)
{
  const std::string text = aError.displayText();
  const bool timedOut = dynamic_cast<const Poco::TimeoutException*>(&aError) != nullptr;
  return { .mVerdict = aVerdict,
           .mStatus = timedOut ? absl::DeadlineExceededError(text) : absl::UnavailableError(text) };
}

// Connects without sending a byte, so that a failure up to here is "not run".
Poco::Net::StreamSocket
Connect(const HttpCall& aCall)
{
  Poco::Net::StreamSocket socket;
  const auto limit = std::min(LimitUntil(aCall.mDeadline),
                              Poco::Timespan{ std::chrono::microseconds{ kConnectLimit }.count() });
  socket.connect(Poco::Net::SocketAddress{ aCall.mServer.mAddress, aCall.mServer.mPort }, limit);
  socket.setNoDelay(true);
  return socket;
}

void
Send(HTTPClientSession& aSession, const HttpCall& aCall)
{
  const HttpRequest& plain = aCall.mRequest;
  Poco::Net::HTTPRequest request{ plain.mMethod, plain.mTarget, Poco::Net::HTTPMessage::HTTP_1_1 };
  for (const HttpHeader& header : plain.mHeaders) {
    request.add(header.mName, header.mValue);
  }
  request.setHost(aCall.mServer.mAddress, aCall.mServer.mPort);
  request.setContentLength64(static_cast<Poco::Int64>(plain.mBody.size()));
  std::ostream& body = aSession.sendRequest(request);
  body.write(plain.mBody.data(), static_cast<std::streamsize>(plain.mBody.size()));
  body.flush();
}

HttpAnswer
HeadOf(const Poco::Net::HTTPResponse& aResponse)
{
  HttpAnswer head{ .mStatus = aResponse.getStatus() };
  for (const auto& [name, value] : aResponse) {
    head.mHeaders.push_back({ .mName = name, .mValue = value });
  }
  return head;
}

// Reads what the server sends until the body ends, the deadline passes or the body grows too long.
absl::Status
ReadBody(HTTPClientSession& aSession,
         std::istream& aBody,
         const HttpCall& aCall,
         std::string& aText)
{
  std::array<char, kReadBytes> buffer{};
  while (aBody.good()) {
    aSession.socket().setReceiveTimeout(LimitUntil(aCall.mDeadline));
    aBody.read(buffer.data(), 1);
    const std::streamsize more =
      aBody.good() ? aBody.readsome(buffer.data() + 1, buffer.size() - 1) : 0;
    aText.append(buffer.data(),
                 static_cast<std::size_t>(aBody.gcount() > 0 || more > 0 ? 1 + more : 0));
    if (aText.size() > aCall.mMaxBodyBytes) {
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

// Returns whether a body of a stated length came whole.
bool
IsWhole(const Poco::Net::HTTPResponse& aResponse, const HttpRequest& aRequest, std::size_t aBytes)
{
  if (aRequest.mMethod == "HEAD" || !aResponse.hasContentLength()) {
    return true;
  }
  return static_cast<std::size_t>(aResponse.getContentLength64()) == aBytes;
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

HttpStream::HttpStream(std::unique_ptr<Connection> aConnection, HttpAnswer aHead)
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
    return FailureOf(Verdict::kNotRun, error);
  }
  try {
    HTTPClientSession& session = connection->mSession;
    session.socket().setSendTimeout(LimitUntil(aCall.mDeadline));
    session.socket().setReceiveTimeout(LimitUntil(aCall.mDeadline));
    Send(session, aCall);
    connection->mBody = &session.receiveResponse(connection->mResponse);
    HttpAnswer head = HeadOf(connection->mResponse);
    return HttpStream{ std::move(connection), std::move(head) };
  } catch (const Poco::Exception& error) {
    return FailureOf(Verdict::kMayHaveRun, error);
  }
}

HttpResult
HttpStream::ReadAll(const HttpCall& aCall)
{
  HttpAnswer answer = mHead;
  try {
    const absl::Status read =
      ReadBody(mConnection->mSession, *mConnection->mBody, aCall, answer.mBody);
    if (!read.ok()) {
      return Failure{ .mVerdict = Verdict::kMayHaveRun, .mStatus = read };
    }
  } catch (const Poco::Exception& error) {
    return FailureOf(Verdict::kMayHaveRun, error);
  }
  if (!IsWhole(mConnection->mResponse, aCall.mRequest, answer.mBody.size())) {
    return Failure{ .mVerdict = Verdict::kMayHaveRun,
                    .mStatus = absl::UnavailableError("the answer's body was cut short") };
  }
  return answer;
}

absl::StatusOr<std::string>
HttpStream::ReadLine(Instant aDeadline)
{
  if (HasPassed(aDeadline, Now())) {
    return absl::DeadlineExceededError("no line came in time");
  }
  try {
    mConnection->mSession.socket().setReceiveTimeout(LimitUntil(aDeadline));
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
