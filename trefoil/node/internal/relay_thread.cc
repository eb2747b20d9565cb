#include "trefoil/node/internal/relay_thread.h"

#include "trefoil/relay/relay_carrier.h"
#include "trefoil/relay/relay_limits.h"

#include <atomic>
#include <thread>

namespace trefoil {
namespace {

constexpr Milliseconds kProbeCheckInterval{ 100 };

} // namespace

struct RelayThread::State
{
  explicit State(RelayThreadOptions aOptions)
    : mOptions(aOptions)
    , mCarrier(mLoop,
               { .mDecide = [this](const RelayOpen& aOpen) { return Decide(aOpen); },
                 .mServerOptions = { .mConnectTimeout = kDirectConnectTimeout } })
  {
  }

  RelayDecision Decide(const RelayOpen& aOpen) const;
  void ProbeRegularly();
  void Probe(const BackendServerSpec& aServer);

  const RelayThreadOptions mOptions;
  std::atomic<bool> mStopping = false;
  EventLoop mLoop;
  RelayCarrier mCarrier;
  std::thread mThread;
};

RelayThread::RelayThread(RelayThreadOptions aOptions)
  : mState(std::make_unique<State>(aOptions))
{
  mState->ProbeRegularly();
  mState->mThread = std::thread{ [state = mState.get()] { state->mLoop.Run(); } };
}

RelayThread::~RelayThread()
{
  mState->mLoop.Stop();
  mState->mThread.join();
}

void
RelayThread::Carry(const Poco::Net::StreamSocket& aSocket, const RelayOpen& aOpen)
{
  mState->mLoop.Post(
    [state = mState.get(), aSocket, aOpen] { state->mCarrier.Carry(aSocket, aOpen); });
}

void
RelayThread::Decline()
{
  mState->mStopping = true;
}

RelayDecision
RelayThread::State::Decide(const RelayOpen& aOpen) const
{
  const RelayLoad load{ .mCarried = mCarrier.Carried(),
                        .mOpenConnections = 2 * mCarrier.Carried(),
                        .mBufferedBytes = mCarrier.BufferedBytes(),
                        .mStopping = mStopping.load() };
  if (const auto reason = ReasonToDecline(load, { .mMaxConnections = mOptions.mMaxConnections })) {
    return { .mStatus = *reason };
  }
  const auto server = FindServer(*mOptions.mSnapshots->Read(), aOpen.mServer);
  if (!server.has_value()) {
    return { .mStatus = RelayStatus::kUnknownServer };
  }
  if (!mOptions.mConnector->HasDirectPathTo(*server)) {
    return { .mStatus = RelayStatus::kCutOff };
  }
  return { .mStatus = RelayStatus::kConnected, .mServer = server->mEndpoint };
}

void
RelayThread::State::ProbeRegularly()
{
  mOptions.mConnector->CheckSilence();
  for (const BackendServerSpec& server : mOptions.mConnector->TakeProbesDue()) {
    Probe(server);
  }
  mLoop.CallAt(SuspendAwareNow() + kProbeCheckInterval, [this] { ProbeRegularly(); });
}

void
RelayThread::State::Probe(const BackendServerSpec& aServer)
{
  const Instant startedAt = SuspendAwareNow();
  auto stream =
    ByteStream::Connect(mLoop, aServer.mEndpoint, {}, { .mConnectTimeout = kDirectConnectTimeout });
  stream->SetCallbacks({ .mOnConnected =
                           [this, aServer, stream] {
                             mOptions.mConnector->RecordDirect(aServer, std::nullopt);
                             stream->Close();
                           },
                         .mOnEnd =
                           [this, aServer, startedAt](StreamEnd /*aEnd*/) {
                             mOptions.mConnector->RecordDirect(
                               aServer, ConnectFailureAfter(startedAt, SuspendAwareNow()));
                           } });
}

} // namespace trefoil
