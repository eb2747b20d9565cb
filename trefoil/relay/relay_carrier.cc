#include "trefoil/relay/relay_carrier.h"

#include "trefoil/wire/frame.h"

#include <utility>

namespace trefoil {
namespace {

// The other host sends its request right after it has connected.
constexpr Milliseconds kOpenTimeout{ 1'000 };
// Either side may read slowly for some seconds.
constexpr Milliseconds kPeerTimeout{ 5'000 };
// After the other host has left, the kernel soon gives up sending what the server does not
// acknowledge, so that the server does not get a request late.
constexpr Milliseconds kDiscardedPeerTimeout{ 800 };
constexpr std::size_t kMaxOpenBytes = 4'096;
// Reading from one side stops while this many bytes wait for the other one.
constexpr std::size_t kMaxUnsentBytes = std::size_t{ 32 } * 1024;

// Passes received bytes on, and stops reading while the receiver is slower than the sender.
void
PassOn(ByteStream& aFrom, ByteStream& aTo)
{
  aTo.Send(aFrom.Received());
  aFrom.Received().clear();
  if (aTo.Unsent() > kMaxUnsentBytes) {
    aFrom.SetReading(false);
  }
}

} // namespace

struct RelayCarrier::Connection
{
  RelayOpen mOpen;
  std::shared_ptr<ByteStream> mHost;
  // Null until the other host has named a server that is accepted.
  std::shared_ptr<ByteStream> mServer;
  EventLoop::TimerId mTimer = 0;
  // Whether the last bytes, if any, came from the server.
  bool mIsServerLast = true;
};

RelayCarrier::RelayCarrier(EventLoop& aLoop, RelayCarrierOptions aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
{
}

RelayCarrier::~RelayCarrier()
{
  CloseAll();
}

void
RelayCarrier::CloseAll()
{
  while (!mConnections.empty()) {
    End(ConnectionPointer{ *mConnections.begin() });
  }
}

std::size_t
RelayCarrier::BufferedBytes() const
{
  std::size_t bytes = 0;
  for (const ConnectionPointer& connection : mConnections) {
    bytes += connection->mHost->Unsent() +
             (connection->mServer == nullptr ? 0 : connection->mServer->Unsent());
  }
  return bytes;
}

RelayCarrier::ConnectionPointer
RelayCarrier::Adopt(const Poco::Net::StreamSocket& aSocket)
{
  auto connection = std::make_shared<Connection>();
  connection->mHost =
    ByteStream::Adopt(mLoop, aSocket, { .mPeerTimeout = kPeerTimeout, .mCloseResets = true });
  mConnections.insert(connection);
  return connection;
}

void
RelayCarrier::Carry(const Poco::Net::StreamSocket& aSocket)
{
  const ConnectionPointer connection = Adopt(aSocket);
  connection->mHost->SetCallbacks(
    { .mOnBytes = [this, connection] { OnOpenBytes(connection); },
      .mOnEnd = [this, connection](StreamEnd /*aEnd*/) { End(connection); } });
  connection->mTimer = mLoop.CallAt(SuspendAwareNow() + kOpenTimeout, [this, connection] {
    connection->mTimer = 0;
    End(connection);
  });
}

void
RelayCarrier::Carry(const Poco::Net::StreamSocket& aSocket, const RelayOpen& aOpen)
{
  OnOpen(Adopt(aSocket), aOpen);
}

void
RelayCarrier::OnOpenBytes(const ConnectionPointer& aConnection)
{
  std::string& received = aConnection->mHost->Received();
  const auto message = TakeFrame(received, kMaxOpenBytes);
  if (message.ok() && !message->has_value()) {
    return;
  }
  // The other host sends nothing further before it has an answer.
  if (!message.ok() || !std::holds_alternative<RelayOpen>(**message) || !received.empty()) {
    End(aConnection);
    return;
  }
  mLoop.Cancel(std::exchange(aConnection->mTimer, 0));
  OnOpen(aConnection, std::get<RelayOpen>(**message));
}

void
RelayCarrier::OnOpen(const ConnectionPointer& aConnection, const RelayOpen& aOpen)
{
  aConnection->mOpen = aOpen;
  const RelayDecision decision = mOptions.mDecide(aConnection->mOpen);
  if (decision.mStatus != RelayStatus::kConnected) {
    Answer(aConnection, decision.mStatus);
    EndAfterSending(aConnection);
    return;
  }
  ConnectToServer(aConnection, decision.mServer);
}

void
RelayCarrier::ConnectToServer(const ConnectionPointer& aConnection, const Endpoint& aServer)
{
  aConnection->mHost->SetCallbacks(
    { .mOnBytes = [this, aConnection] { End(aConnection); },
      .mOnEnd = [this, aConnection](StreamEnd /*aEnd*/) { End(aConnection); } });
  aConnection->mServer = ByteStream::Connect(
    mLoop,
    aServer,
    { .mOnConnected = [this, aConnection] { OnServerConnected(aConnection); },
      .mOnEnd = [this, aConnection](StreamEnd aEnd) { OnServerEnd(aConnection, aEnd); } },
    mOptions.mServerOptions);
}

void
RelayCarrier::OnServerConnected(const ConnectionPointer& aConnection)
{
  Answer(aConnection, RelayStatus::kConnected);
  // Each callback keeps only the other stream alive, beside the connection, until one side ends.
  aConnection->mHost->SetCallbacks(
    { .mOnBytes = [this, aConnection] { OnHostBytes(aConnection); },
      .mOnSent = [aConnection] { aConnection->mServer->SetReading(true); },
      .mOnEnd = [this, aConnection](StreamEnd /*aEnd*/) { End(aConnection); } });
  aConnection->mServer->SetCallbacks(
    { .mOnBytes =
        [aConnection] {
          aConnection->mIsServerLast = true;
          PassOn(*aConnection->mServer, *aConnection->mHost);
        },
      .mOnSent = [aConnection] { aConnection->mHost->SetReading(true); },
      .mOnEnd = [this, aConnection](StreamEnd aEnd) { OnServerEnd(aConnection, aEnd); } });
}

void
RelayCarrier::OnHostBytes(const ConnectionPointer& aConnection)
{
  if (std::exchange(aConnection->mIsServerLast, false) && mOptions.mMayBegin &&
      !mOptions.mMayBegin(aConnection->mOpen)) {
    End(aConnection);
    return;
  }
  PassOn(*aConnection->mHost, *aConnection->mServer);
}

void
RelayCarrier::OnServerEnd(const ConnectionPointer& aConnection, StreamEnd aEnd)
{
  switch (aEnd) {
    case StreamEnd::kConnectFailed:
      Answer(aConnection, RelayStatus::kUnreachable);
      EndAfterSending(aConnection);
      return;
    case StreamEnd::kClosedByPeer:
      EndAfterSending(aConnection);
      return;
    case StreamEnd::kReset:
      End(aConnection);
      return;
  }
}

void
RelayCarrier::Answer(const ConnectionPointer& aConnection, RelayStatus aStatus)
{
  aConnection->mHost->Send(EncodeFrame(RelayOpened{ .mStatus = aStatus }));
  if (mOptions.mOnAnswered) {
    mOptions.mOnAnswered(aConnection->mOpen, aStatus);
  }
}

void
RelayCarrier::End(const ConnectionPointer& aConnection)
{
  mLoop.Cancel(std::exchange(aConnection->mTimer, 0));
  aConnection->mHost->Close();
  if (aConnection->mServer != nullptr) {
    aConnection->mServer->SetPeerTimeout(kDiscardedPeerTimeout);
    aConnection->mServer->Close();
  }
  mConnections.erase(aConnection);
}

void
RelayCarrier::EndAfterSending(const ConnectionPointer& aConnection)
{
  if (aConnection->mServer != nullptr) {
    aConnection->mServer->Close();
  }
  // What the other host still sends belongs to no connection any more.
  if (aConnection->mHost->Unsent() == 0) {
    Forget(aConnection);
    return;
  }
  aConnection->mHost->SetCallbacks(
    { .mOnBytes = [aConnection] { aConnection->mHost->Received().clear(); },
      .mOnSent = [this, aConnection] { Forget(aConnection); },
      .mOnEnd = [this, aConnection](StreamEnd /*aEnd*/) { End(aConnection); } });
  aConnection->mHost->SetReading(true);
}

void
RelayCarrier::Forget(const ConnectionPointer& aConnection)
{
  aConnection->mHost->CloseAfterSending();
  // The event loop keeps the stream until it is closed.
  aConnection->mHost->SetCallbacks({});
  mConnections.erase(aConnection);
}

} // namespace trefoil
