#include "trefoil/http/client.h"

#include "trefoil/http/framing.h"
#include "trefoil/http/message_reader.h"
#include "trefoil/net/socket_wait.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace trefoil {

struct HttpStream::Connection
{
  Poco::Net::StreamSocket mSocket;
  MessageReader mReader;
  // Received bytes that the reader has not consumed yet.
  std::string mReceived;
  std::vector<const AtomicDeadline*> mEarlierDeadlines;
  // Whether the end of the connection was the end of the body.
  bool mEndedWithConnection = false;
};

namespace {

// Timeout for establishing a connection to a host on the same network.
constexpr Milliseconds kConnectTimeout{ 1000 };
// A socket interprets a timeout of zero as "no timeout".
constexpr Milliseconds kMinSocketTimeout{ 1 };
// How often a call checks whether an earlier deadline has been set.
constexpr Milliseconds kDeadlineCheckInterval{ 100 };
constexpr std::size_t kReadBufferBytes = std::size_t{ 16 } * 1024;
// What the kernel may hold of an answer that is not read yet; it doubles the number for its own
// needs. By itself it would let this grow to some MB for each connection.
constexpr int kReceiveBufferBytes = 128 * 1024;
constexpr std::size_t kMaxCopiedBytes = std::size_t{ 16 } * 1024;
constexpr std::size_t kMaxLineBytes = std::size_t{ 1 } * 1024 * 1024;

Poco::Timespan
TimeoutUntil(Instant aDeadline)
{
  const auto remaining = std::max(Remaining(aDeadline, Now()), kMinSocketTimeout);
  return Poco::Timespan{ std::chrono::duration_cast<std::chrono::microseconds>(remaining).count() };
}

absl::Status
StatusOf(const Poco::Exception& aError)
{
  const std::string text = aError.displayText();
  const bool timedOut = dynamic_cast<const Poco::TimeoutException*>(&aError) != nullptr;
  return timedOut ? absl::DeadlineExceededError(text) : absl::UnavailableError(text);
}

std::string_view
BodyOf(const HttpCall& aCall)
{
  return aCall.mBody.value_or(aCall.mRequest.mBody);
}

std::string
RenderHead(const HttpCall& aCall)
{
  HttpRequest request{ .mMethod = aCall.mRequest.mMethod,
                       .mTarget = aCall.mRequest.mTarget,
                       .mHeaders = aCall.mRequest.mHeaders };
  std::erase_if(request.mHeaders, [](const HttpHeader& aHeader) {
    return IsSameHeaderName(aHeader.mName, "Host") || IsHopByHop(aHeader.mName);
  });
  request.mHeaders.push_back({ .mName = "Host", .mValue = ToText(aCall.mServer) });
  request.mHeaders.push_back({ .mName = "Connection", .mValue = "close" });
  return RequestHead(request, BodyOf(aCall).size());
}

void
Send(Poco::Net::StreamSocket& aSocket, std::string_view aBytes, Instant aDeadline)
{
  while (!aBytes.empty()) {
    aSocket.setSendTimeout(TimeoutUntil(aDeadline));
    const int sent = aSocket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
    aBytes.remove_prefix(static_cast<std::size_t>(std::max(sent, 0)));
    if (!aBytes.empty() && HasPassed(aDeadline, Now())) {
      throw Poco::TimeoutException("the request was not sent in time");
    }
  }
}

// Sends the request. A short body goes into one packet with the head, a long one is not copied.
void
SendRequest(Poco::Net::StreamSocket& aSocket, const HttpCall& aCall)
{
  std::string head = RenderHead(aCall);
  std::string_view body = BodyOf(aCall);
  if (body.size() <= kMaxCopiedBytes) {
    head += body;
    body = {};
  }
  Send(aSocket, head, aCall.mDeadline);
  Send(aSocket, body, aCall.mDeadline);
}

// Returns an error if the answer can no longer be completed.
absl::Status
StatusOf(MessageReadState aState)
{
  switch (aState) {
    case MessageReadState::kHead:
    case MessageReadState::kBody:
    case MessageReadState::kComplete:
      return absl::OkStatus();
    case MessageReadState::kMalformed:
      return absl::DataLossError("the answer is malformed");
    case MessageReadState::kHeadTooLarge:
      return absl::ResourceExhaustedError("the answer's headers are too long");
    case MessageReadState::kBodyTooLarge:
      return absl::ResourceExhaustedError("the answer's body is too long");
    case MessageReadState::kFramingTooLarge:
      return absl::ResourceExhaustedError("the framing of the answer's body is too long");
  }
  return absl::InternalError("unknown state of a message");
}

// Returns the stated length of the body, or 0 if it has none.
std::size_t
StatedLength(const HttpHeaders& aHeaders)
{
  std::size_t length = 0;
  const std::string_view text = HeaderValue(aHeaders, "Content-Length");
  std::from_chars(text.data(), text.data() + text.size(), length);
  return length;
}

} // namespace

Poco::Net::StreamSocket
ConnectDirectly(const Endpoint& aServer, Instant aDeadline)
{
  const Poco::Net::SocketAddress address{ aServer.mAddress, aServer.mPort };
  Poco::Net::StreamSocket socket{ address.family() };
  socket.setReceiveBufferSize(kReceiveBufferBytes);
  ConnectBefore(socket, address, std::min(aDeadline, Now() + kConnectTimeout));
  socket.setNoDelay(true);
  return socket;
}

absl::Status
HttpStream::WaitUntilReadable(Connection& aConnection, Instant aDeadline)
{
  const auto& earlier = aConnection.mEarlierDeadlines;
  while (true) {
    Instant deadline = aDeadline;
    for (const AtomicDeadline* item : earlier) {
      deadline = std::min(deadline, item->Read());
    }
    if (HasPassed(deadline, Now())) {
      return absl::DeadlineExceededError("the answer did not arrive in time");
    }
    const Instant waitUntil =
      earlier.empty() ? deadline : std::min(deadline, Now() + kDeadlineCheckInterval);
    if (trefoil::WaitUntilReadable(aConnection.mSocket, waitUntil)) {
      return absl::OkStatus();
    }
  }
}

absl::Status
HttpStream::Receive(Connection& aConnection, Instant aDeadline)
{
  if (absl::Status readable = WaitUntilReadable(aConnection, aDeadline); !readable.ok()) {
    return readable;
  }
  std::array<char, kReadBufferBytes> buffer{};
  int count = 0;
  try {
    count = aConnection.mSocket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
  } catch (const Poco::Exception& error) {
    return StatusOf(error);
  }
  if (count <= 0) {
    aConnection.mEndedWithConnection = true;
    return aConnection.mReader.ConsumeEof() == MessageReadState::kComplete
             ? absl::OkStatus()
             : absl::UnavailableError("the connection ended inside the answer");
  }
  aConnection.mReceived.append(buffer.data(), static_cast<std::size_t>(count));
  return StatusOf(aConnection.mReader.Consume(aConnection.mReceived));
}

HttpResult
Call(const HttpCall& aCall)
{
  auto opened = HttpStream::Open(aCall);
  if (auto* failure = std::get_if<Failure>(&opened)) {
    return std::move(*failure);
  }
  return std::get<HttpStream>(opened).ReadAll(aCall);
}

HttpStream::HttpStream(std::unique_ptr<Connection> aConnection)
  : mConnection(std::move(aConnection))
{
}

HttpStream::HttpStream(HttpStream&&) noexcept = default;
HttpStream&
HttpStream::operator=(HttpStream&&) noexcept = default;
HttpStream::~HttpStream() = default;

int
HttpStream::Status() const
{
  return mConnection->mReader.Response().mStatus;
}

const HttpHeaders&
HttpStream::Headers() const
{
  return mConnection->mReader.Response().mHeaders;
}

HttpStream::OpenResult
HttpStream::Open(const HttpCall& aCall)
{
  std::unique_ptr<Connection> connection;
  try {
    connection = std::make_unique<Connection>(
      Connection{ .mSocket = aCall.mConnector ? aCall.mConnector(aCall.mDeadline)
                                              : ConnectDirectly(aCall.mServer, aCall.mDeadline),
                  .mReader = MessageReader::ForResponse({ .mMaxBodyBytes = aCall.mMaxBodyBytes },
                                                        aCall.mRequest.mMethod != "HEAD"),
                  .mEarlierDeadlines = aCall.mEarlierDeadlines });
  } catch (const Poco::Exception& error) {
    return Failure{ .mVerdict = Verdict::kNotRun, .mStatus = StatusOf(error) };
  }
  try {
    SendRequest(connection->mSocket, aCall);
  } catch (const Poco::Exception& error) {
    return Failure{ .mVerdict = Verdict::kMayHaveRun, .mStatus = StatusOf(error) };
  }
  while (!connection->mReader.IsHeadComplete()) {
    const absl::Status received = Receive(*connection, aCall.mDeadline);
    if (!received.ok()) {
      return Failure{ .mVerdict = Verdict::kMayHaveRun, .mStatus = received };
    }
  }
  return HttpStream{ std::move(connection) };
}

HttpResult
HttpStream::ReadAll(const HttpCall& aCall)
{
  MessageReader& reader = mConnection->mReader;
  std::size_t reserved = kReadBufferBytes;
  const auto reserve = [&](std::size_t aBytes) {
    if (!aCall.mReserveMemory || aBytes <= reserved) {
      return true;
    }
    const std::size_t more = aBytes - reserved;
    reserved = aBytes;
    return aCall.mReserveMemory(more);
  };
  bool hasMemory = reserve(StatedLength(reader.Response().mHeaders));
  while (reader.State() != MessageReadState::kComplete) {
    // Memory for a body without a stated length is reserved in steps that double.
    hasMemory = hasMemory && (reader.Body().size() < reserved || reserve(reserved * 2));
    if (!hasMemory) {
      return Failure{ .mVerdict = Verdict::kMayHaveRun,
                      .mStatus = absl::ResourceExhaustedError("no memory for the answer") };
    }
    const absl::Status received = Receive(*mConnection, aCall.mDeadline);
    if (!received.ok()) {
      return Failure{ .mVerdict = Verdict::kMayHaveRun, .mStatus = received };
    }
  }
  HttpResponse response = reader.Response();
  response.mBody = std::move(reader.Body());
  return response;
}

absl::StatusOr<std::string>
HttpStream::ReadLine(Instant aDeadline)
{
  MessageReader& reader = mConnection->mReader;
  std::size_t end = reader.Body().find('\n');
  while (end == std::string::npos && reader.State() != MessageReadState::kComplete) {
    const std::size_t searched = reader.Body().size();
    const absl::Status received = Receive(*mConnection, aDeadline);
    if (!received.ok()) {
      return received;
    }
    end = reader.Body().find('\n', searched);
    if (end == std::string::npos && reader.Body().size() > kMaxLineBytes) {
      return absl::ResourceExhaustedError("a line of the answer is too long");
    }
  }
  if (end == std::string::npos) {
    const bool isCutOff = mConnection->mEndedWithConnection && !reader.Body().empty();
    return isCutOff ? absl::UnavailableError("the connection ended inside a line")
                    : absl::OutOfRangeError("the body ended");
  }
  std::string line = reader.Body().substr(0, end);
  reader.Body().erase(0, end + 1);
  if (!line.empty() && line.back() == '\r') {
    line.pop_back();
  }
  return line;
}

} // namespace trefoil
