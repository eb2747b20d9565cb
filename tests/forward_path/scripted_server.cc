#include "tests/forward_path/scripted_server.h"

#include "trefoil/http/message_reader.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <array>
#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr int kWaitMicroseconds = 20'000;

} // namespace

ScriptedServer::ScriptedServer(Script aScript)
  : mScript(std::move(aScript))
  , mListener(Poco::Net::SocketAddress{ "127.0.0.1", 0 })
  , mAcceptor([this] { Accept(); })
{
}

ScriptedServer::~ScriptedServer()
{
  mStopped.store(true);
  mAcceptor.join();
  std::vector<std::thread> connections;
  {
    const absl::MutexLock lock{ &mMutex };
    connections.swap(mConnections);
  }
  for (std::thread& connection : connections) {
    connection.join();
  }
}

Endpoint
ScriptedServer::Where() const
{
  return { .mAddress = "127.0.0.1", .mPort = mListener.address().port() };
}

std::vector<HttpRequest>
ScriptedServer::Seen() const
{
  const absl::MutexLock lock{ &mMutex };
  return mSeen;
}

void
ScriptedServer::Accept()
{
  while (!mStopped.load()) {
    if (mListener.poll(Poco::Timespan{ kWaitMicroseconds }, Poco::Net::Socket::SELECT_READ)) {
      const Poco::Net::StreamSocket socket = mListener.acceptConnection();
      const absl::MutexLock lock{ &mMutex };
      mConnections.emplace_back([this, socket] { Serve(socket); });
    }
  }
}

void
ScriptedServer::Serve(Poco::Net::StreamSocket aSocket)
{
  std::string received;
  bool hanging = false;
  MessageReader reader = MessageReader::ForRequest({});
  try {
    while (!mStopped.load()) {
      if (!aSocket.poll(Poco::Timespan{ kWaitMicroseconds }, Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      std::array<char, 4096> buffer{};
      const int count = aSocket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      if (count <= 0) {
        mAbandoned += hanging ? 1 : 0;
        return;
      }
      received.append(buffer.data(), static_cast<std::size_t>(count));
      if (hanging || reader.Consume(received) != MessageReadState::kComplete) {
        continue;
      }
      SeenRequest seen{ .mRequest = reader.Request() };
      seen.mRequest.mBody = reader.Body();
      reader = MessageReader::ForRequest({});
      {
        const absl::MutexLock lock{ &mMutex };
        seen.mNumber = static_cast<int>(mSeen.size());
        mSeen.push_back(seen.mRequest);
      }
      const Reply reply = mScript(seen);
      if (!reply.mBytes.empty()) {
        aSocket.sendBytes(reply.mBytes.data(), static_cast<int>(reply.mBytes.size()));
      }
      if (reply.mClose) {
        return;
      }
      hanging = reply.mHang;
    }
  } catch (const Poco::Exception&) {
    mAbandoned += hanging ? 1 : 0;
  }
}

std::string
AnswerWith(const SeenRequest& aRequest,
           int aStatus,
           const std::string& aHeaders,
           const std::string& aBody)
{
  return fmt::format("HTTP/1.1 {} X\r\nRequest-Id: {}\r\n{}Content-Length: {}\r\n\r\n{}",
                     aStatus,
                     HeaderValue(aRequest.mRequest.mHeaders, "Request-Id"),
                     aHeaders,
                     aBody.size(),
                     aBody);
}

std::string
SealedAnswer(const SeenRequest& aRequest, int aStatus, const std::string& aBody)
{
  return AnswerWith(aRequest, aStatus, "Response-Seal: s\r\n", aBody);
}

std::string
StreamStart(const SeenRequest& aRequest)
{
  return fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Seal: s\r\nContent-Type: "
                     "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                     HeaderValue(aRequest.mRequest.mHeaders, "Request-Id"));
}

std::string
EventChunk(int aId)
{
  const std::string event = fmt::format("id: {}\ndata: d{}\n\n", aId, aId);
  return fmt::format("{:x}\r\n{}\r\n", event.size(), event);
}

} // namespace trefoil
