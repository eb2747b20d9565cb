#include "trefoil/forward/server_connector.h"

#include "trefoil/wire/frame.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

// A carrier connects to the server within kDirectConnectTimeout.
constexpr Milliseconds kRelayTimeout{ 500 };
constexpr std::size_t kMaxAnswerBytes = 4'096;
constexpr Milliseconds kProbeInterval{ 100 };
// How many carriers are asked at a time beside the requests.
constexpr int kMaxCarrierSearches = 2;

// A connection that is being opened.
struct Opening
{
  TrafficState& mState;
  RegisteredServer mServer;
  std::shared_ptr<ServerConnection> mConnection;
  std::function<void(bool)> mOnEnd;
  Instant mStartedAt;
  EventLoop::TimerId mTimer = 0;
};

using OpeningPointer = std::shared_ptr<Opening>;

const Carriers&
CarriersOf(const TrafficState& aState)
{
  static const Carriers kNone;
  return aState.mView && aState.mView->mCarriers ? *aState.mView->mCarriers : kNone;
}

bool
IsListedCarrier(const TrafficState& aState, const HostId& aHost)
{
  return std::ranges::any_of(CarriersOf(aState),
                             [&aHost](const Carrier& aItem) { return aItem.mHost == aHost; });
}

// Returns the carriers to which a request that is restricted to regions may be sent.
Carriers
AllowedCarriers(const TrafficState& aState, const AllowedRegions& aRegions)
{
  Carriers carriers = CarriersOf(aState);
  std::erase_if(carriers, [&](const Carrier& aItem) {
    return !MayPassHostsIn(aRegions, aState.mOptions.mRegions, aItem.mZone);
  });
  return carriers;
}

bool
IsAllowedCarrier(const TrafficState& aState, const HostId& aHost, const AllowedRegions& aRegions)
{
  return std::ranges::any_of(CarriersOf(aState), [&](const Carrier& aItem) {
    return aItem.mHost == aHost && MayPassHostsIn(aRegions, aState.mOptions.mRegions, aItem.mZone);
  });
}

ServerConnectionPool::Filter
UsableConnections(const TrafficState& aState,
                  const RegisteredServer& aServer,
                  const AllowedRegions& aRegions,
                  Instant aNow)
{
  const bool isDirect = !HasCarriers(aState) || HasDirectPath(aState.mPaths, aServer);
  const bool mayUseOpen = isDirect || MayUseOpenConnections(aState.mPaths, aServer);
  return [&aState, &aRegions, isDirect, mayUseOpen, aNow](const ServerConnection& aConnection) {
    return aConnection.mVia.Empty()
             ? mayUseOpen
             : !isDirect && IsAllowedCarrier(aState, aConnection.mVia, aRegions) &&
                 IsUsable(aState.mPaths, aConnection.mVia, aNow);
  };
}

void
LogPaths(TrafficState& aState, LogEvent aEvent, const RegisteredServer& aServer)
{
  aState.mLog.Write(LogSeverity::kNotable,
                    aEvent,
                    "server={} failed={} failure={} carriers={}",
                    aServer.mId.Value(),
                    aState.mPaths.mFailedSinceAnswer.size(),
                    NameOf(kConnectFailureNames, aState.mPaths.mCutOffFailure),
                    CarriersOf(aState).size());
}

void
LogPathChange(TrafficState& aState, const RegisteredServer& aServer, PathChange aChange)
{
  if (aChange != PathChange::kNone) {
    LogPaths(
      aState, aChange == PathChange::kCutOff ? LogEvent::kCutOff : LogEvent::kCutOffEnded, aServer);
  }
}

PathRequest
PathRequestOn(const RegisteredServer& aServer, const ServerConnection& aConnection)
{
  return { .mServer = aServer.mId,
           .mPath = aConnection.mVia.Empty() ? PathKind::kDirect : PathKind::kRelayed };
}

void
RecordDirectConnection(TrafficState& aState, const RegisteredServer& aServer)
{
  if (RecordConnected(aState.mPaths, aServer, aState.mRandom(), SuspendAwareNow())) {
    LogPaths(aState, LogEvent::kCutOffEnded, aServer);
  }
}

void
ScheduleProbes(TrafficState& aState);

std::size_t
CountServers(const TrafficState& aState)
{
  return aState.mView && aState.mView->mServers ? aState.mView->mServers->mServers.size() : 0;
}

void
RecordDirectFailure(TrafficState& aState, const RegisteredServer& aServer, Instant aStartedAt)
{
  const Instant now = SuspendAwareNow();
  const ConnectFailure failure = ConnectFailureAfter(aStartedAt, now);
  if (RecordConnectFailure(
        aState.mPaths, aServer, failure, CountServers(aState), aState.mRandom(), now)) {
    LogPaths(aState, LogEvent::kCutOff, aServer);
  }
  ScheduleProbes(aState);
}

// Records a server that neither this host nor others can connect to.
void
RecordUnreachableServer(TrafficState& aState, const RegisteredServer& aServer)
{
  const Instant now = SuspendAwareNow();
  ServerStatus& status = aState.mServerStatuses[aServer.mId];
  RecordServerOutcome(status, DispatchOutcome::kBroken, now);
  ++aState.mOutcomes[aServer.mService][aServer.mVersion].mFailed;
  aState.mLog.Write(LogSeverity::kNotable,
                    LogEvent::kServerAvoided,
                    "server={} service={} reason=unreachable failures={} ms={}",
                    aServer.mId.Value(),
                    aServer.mService.Value(),
                    status.mConsecutiveFailures,
                    Remaining(status.mAvoidUntil, now).count());
}

void
EndOpening(const OpeningPointer& aOpening, bool aIsOpen)
{
  aOpening->mState.mLoop.Cancel(std::exchange(aOpening->mTimer, 0));
  if (aIsOpen) {
    aOpening->mConnection->mStream->SetCallbacks({});
  } else {
    aOpening->mConnection->mStream->Close();
  }
  std::exchange(aOpening->mOnEnd, nullptr)(aIsOpen);
}

// Starts to open a connection by `aStart`. If that throws, nobody is called back later.
template<typename Start>
void
StartOpening(const OpeningPointer& aOpening, const Start& aStart)
{
  try {
    aStart();
  } catch (const std::exception&) {
    if (aOpening->mConnection) {
      aOpening->mState.mLoop.Cancel(std::exchange(aOpening->mTimer, 0));
      aOpening->mConnection->mStream->Close();
    }
    throw;
  }
}

// What is recorded about an opening is guarded: the opening ends in any case, since requests and
// probes wait for its end.
void
OpenDirectly(const OpeningPointer& aOpening)
{
  const auto start = [&aOpening] {
    aOpening->mConnection = aOpening->mState.mConnectionPool.Connect(aOpening->mServer);
    aOpening->mConnection->mStream->SetCallbacks(
      { .mOnConnected =
          [aOpening] {
            aOpening->mState.mLoop.RunGuarded(
              [&aOpening] { RecordDirectConnection(aOpening->mState, aOpening->mServer); });
            EndOpening(aOpening, true);
          },
        .mOnEnd =
          [aOpening](StreamEnd /*aEnd*/) {
            aOpening->mState.mLoop.RunGuarded([&aOpening] {
              RecordDirectFailure(aOpening->mState, aOpening->mServer, aOpening->mStartedAt);
            });
            EndOpening(aOpening, false);
          } });
  };
  StartOpening(aOpening, start);
}

void
RecordCarrierFailure(const OpeningPointer& aOpening,
                     CarrierFailure aFailure,
                     std::string_view aReason)
{
  TrafficState& state = aOpening->mState;
  const HostId& carrier = aOpening->mConnection->mVia;
  if (RecordRelayFailure(
        state.mPaths, aOpening->mServer, carrier, aFailure, state.mRandom(), SuspendAwareNow())) {
    RecordUnreachableServer(state, aOpening->mServer);
  }
  state.mMetrics.IncrementLabelled(LabelledCounter::kRelayRequests, aReason);
  state.mLog.Write(LogSeverity::kNotable,
                   LogEvent::kRelayFailed,
                   "server={} via={} reason={} ms={}",
                   aOpening->mServer.mId.Value(),
                   carrier.Value(),
                   aReason,
                   (SuspendAwareNow() - aOpening->mStartedAt) / Milliseconds{ 1 });
}

void
OnCarrierFailed(const OpeningPointer& aOpening, CarrierFailure aFailure, std::string_view aReason)
{
  aOpening->mState.mLoop.RunGuarded([&] { RecordCarrierFailure(aOpening, aFailure, aReason); });
  EndOpening(aOpening, false);
}

void
OnCarrierBytes(const OpeningPointer& aOpening)
{
  const auto message = TakeFrame(aOpening->mConnection->mStream->Received(), kMaxAnswerBytes);
  if (message.ok() && !message->has_value()) {
    return;
  }
  if (!message.ok() || !std::holds_alternative<RelayOpened>(**message)) {
    OnCarrierFailed(aOpening, CarrierFailure::kDeclined, "malformed");
    return;
  }
  const RelayStatus status = std::get<RelayOpened>(**message).mStatus;
  const std::string_view name = NameOf(kRelayStatusNames, status);
  switch (status) {
    case RelayStatus::kConnected:
      RecordRelayed(
        aOpening->mState.mPaths, aOpening->mServer, aOpening->mConnection->mVia, SuspendAwareNow());
      aOpening->mState.mMetrics.IncrementLabelled(LabelledCounter::kRelayRequests, name);
      EndOpening(aOpening, true);
      return;
    case RelayStatus::kUnreachable:
      OnCarrierFailed(aOpening, CarrierFailure::kServerUnreachable, name);
      return;
    case RelayStatus::kUnknownServer:
      OnCarrierFailed(aOpening, CarrierFailure::kServerUnknown, name);
      return;
    case RelayStatus::kCutOff:
    case RelayStatus::kFull:
    case RelayStatus::kStopping:
      break;
  }
  OnCarrierFailed(aOpening, CarrierFailure::kDeclined, name);
}

void
OpenVia(const OpeningPointer& aOpening, const Carrier& aCarrier)
{
  const auto start = [&] {
    TrafficState& state = aOpening->mState;
    aOpening->mConnection = state.mConnectionPool.ConnectToCarrier(aOpening->mServer, aCarrier);
    ByteStream& stream = *aOpening->mConnection->mStream;
    stream.SetCallbacks({ .mOnBytes = [aOpening] { OnCarrierBytes(aOpening); },
                          .mOnEnd =
                            [aOpening](StreamEnd aEnd) {
                              OnCarrierFailed(
                                aOpening, CarrierFailure::kDeclined, NameOf(kStreamEndNames, aEnd));
                            } });
    stream.Send(EncodeFrame(RelayOpen{ .mHost = state.mOptions.mHost,
                                       .mServer = aOpening->mServer.mId,
                                       .mIncarnation = aOpening->mServer.mIncarnation }));
    aOpening->mTimer = state.mLoop.CallAt(SuspendAwareNow() + kRelayTimeout, [aOpening] {
      aOpening->mTimer = 0;
      // The owner closes the stream if the connection is no longer needed.
      if (aOpening->mOnEnd && aOpening->mConnection->mStream->IsOpen()) {
        OnCarrierFailed(aOpening, CarrierFailure::kDeclined, "silent");
      }
    });
  };
  StartOpening(aOpening, start);
}

std::optional<std::size_t>
ChooseCarrierNow(TrafficState& aState, const RegisteredServer& aServer, const Carriers& aCarriers)
{
  return ChooseCarrier(aState.mPaths,
                       aServer,
                       aCarriers,
                       { .mZone = aState.mOptions.mZone, .mRandomValue = aState.mRandom() },
                       SuspendAwareNow());
}

OpeningPointer
MakeOpening(TrafficState& aState, const RegisteredServer& aServer, std::function<void(bool)> aOnEnd)
{
  return std::make_shared<Opening>(Opening{ .mState = aState,
                                            .mServer = aServer,
                                            .mOnEnd = std::move(aOnEnd),
                                            .mStartedAt = SuspendAwareNow() });
}

// Finds out whether other hosts reach a server that this one cannot connect to, and, while this
// host is cut off, which of them carry. A connection that is established that way is kept for later
// requests.
void
ProbeRelayedPath(TrafficState& aState, const RegisteredServer& aServer)
{
  const Instant now = SuspendAwareNow();
  const bool isUnproven = ReachOfServer(aState, aServer, now) == ServerReach::kUnproven;
  const bool searches = !isUnproven && aState.mCarrierSearches < kMaxCarrierSearches &&
                        NeedsCarrier(aState.mPaths, CarriersOf(aState), now);
  const auto carrier =
    isUnproven || searches ? ChooseCarrierNow(aState, aServer, CarriersOf(aState)) : std::nullopt;
  if (!carrier.has_value()) {
    return;
  }
  aState.mCarrierSearches += searches ? 1 : 0;
  const OpeningPointer opening = MakeOpening(aState, aServer, nullptr);
  opening->mOnEnd = [&aState, aServer, searches, weak = std::weak_ptr{ opening }](bool aIsOpen) {
    aState.mCarrierSearches -= searches ? 1 : 0;
    const OpeningPointer ended = weak.lock();
    if (aIsOpen && ended) {
      aState.mConnectionPool.Release(ended->mConnection, std::nullopt);
    } else {
      ProbeRelayedPath(aState, aServer);
    }
  };
  OpenVia(opening, CarriersOf(aState)[*carrier]);
}

// Finds out whether the host still carries connections to the server.
void
ProbeCarrier(TrafficState& aState, const RegisteredServer& aServer, const HostId& aHost)
{
  const Carriers& carriers = CarriersOf(aState);
  const auto carrier =
    std::ranges::find_if(carriers, [&](const Carrier& aItem) { return aItem.mHost == aHost; });
  if (carrier == carriers.end() || aState.mProbedCarriers.contains(aHost)) {
    return;
  }
  const OpeningPointer opening = MakeOpening(aState, aServer, nullptr);
  opening->mOnEnd = [&aState, aHost, weak = std::weak_ptr{ opening }](bool aIsOpen) {
    aState.mProbedCarriers.erase(aHost);
    const OpeningPointer ended = weak.lock();
    if (aIsOpen && ended) {
      aState.mConnectionPool.Release(ended->mConnection, std::nullopt);
    }
  };
  OpenVia(opening, *carrier);
  // Last, so that a probe that throws is not taken for one in progress.
  aState.mProbedCarriers.insert(aHost);
}

void
ProbeDirectPath(TrafficState& aState, const RegisteredServer& aServer)
{
  if (aState.mProbedServers.contains(aServer.mId)) {
    return;
  }
  const OpeningPointer opening = MakeOpening(aState, aServer, nullptr);
  opening->mOnEnd = [&aState, aServer, weak = std::weak_ptr{ opening }](bool aIsOpen) {
    aState.mProbedServers.erase(aServer.mId);
    const OpeningPointer ended = weak.lock();
    if (aIsOpen && ended) {
      aState.mConnectionPool.Release(ended->mConnection, std::nullopt);
    } else {
      ProbeRelayedPath(aState, aServer);
    }
  };
  OpenDirectly(opening);
  // Last, so that a probe that throws is not taken for one in progress.
  aState.mProbedServers.insert(aServer.mId);
}

void
ProbePathsDue(TrafficState& aState)
{
  const ServerRegistry& servers = *aState.mView->mServers;
  for (const BackendServerId& server :
       TakeProbesDue(aState.mPaths, servers, aState.mRandom(), SuspendAwareNow())) {
    aState.mLoop.RunGuarded([&] { ProbeDirectPath(aState, servers.mServers.at(server)); });
  }
}

// Probes the paths that are due, again and again while paths are failed.
void
ScheduleProbes(TrafficState& aState)
{
  if (!HasCarriers(aState) || aState.mProbesScheduled) {
    return;
  }
  aState.mLoop.CallAt(SuspendAwareNow() + kProbeInterval, [&aState] {
    aState.mProbesScheduled = false;
    if (!HasFailedPaths(aState.mPaths) || !aState.mView->mServers) {
      return;
    }
    // Scheduled first, so that an exception does not end the series.
    aState.mLoop.RunGuarded([&aState] { ScheduleProbes(aState); });
    ProbePathsDue(aState);
  });
  aState.mProbesScheduled = true;
}

// Returns an opening of a connection for a request.
OpeningPointer
MakeRequestOpening(TrafficState& aState,
                   const RegisteredServer& aServer,
                   std::function<void(bool aIsOpen)> aOnEnd)
{
  return MakeOpening(
    aState, aServer, [&aState, aServer, callback = std::move(aOnEnd)](bool aIsOpen) {
      // The request is sent by another way; meanwhile it is found out how later ones go.
      if (!aIsOpen) {
        ProbeRelayedPath(aState, aServer);
      }
      callback(aIsOpen);
    });
}

} // namespace

bool
HasCarriers(const TrafficState& aState)
{
  return !CarriersOf(aState).empty();
}

ServerReach
ReachOfServer(const TrafficState& aState, const RegisteredServer& aServer, Instant aNow)
{
  const ServerReach reach = ReachOf(aState.mPaths, aServer, CarriersOf(aState), aNow);
  if (reach != ServerReach::kDirect && MayUseOpenConnections(aState.mPaths, aServer) &&
      aState.mConnectionPool.HasDirectIdle(aServer, aNow)) {
    return ServerReach::kDirect;
  }
  return reach;
}

std::shared_ptr<ServerConnection>
AcquireIdleConnection(TrafficState& aState,
                      const RegisteredServer& aServer,
                      ReusePolicy aPolicy,
                      const AllowedRegions& aRegions)
{
  return aState.mConnectionPool.AcquireIdle(
    aServer, aPolicy, UsableConnections(aState, aServer, aRegions, SuspendAwareNow()));
}

std::shared_ptr<ServerConnection>
OpenConnection(TrafficState& aState,
               const RegisteredServer& aServer,
               const AllowedRegions& aRegions,
               std::function<void(bool aIsOpen)> aOnEnd)
{
  const OpeningPointer opening = MakeRequestOpening(aState, aServer, std::move(aOnEnd));
  const bool isDirect = !HasCarriers(aState) || HasDirectPath(aState.mPaths, aServer);
  const Carriers carriers = isDirect ? Carriers{} : AllowedCarriers(aState, aRegions);
  const auto carrier =
    carriers.empty() ? std::nullopt : ChooseCarrierNow(aState, aServer, carriers);
  if (carrier.has_value()) {
    OpenVia(opening, carriers[*carrier]);
  } else {
    OpenDirectly(opening);
  }
  return opening->mConnection;
}

std::shared_ptr<ServerConnection>
OpenDirectConnection(TrafficState& aState,
                     const RegisteredServer& aServer,
                     std::function<void(bool aIsOpen)> aOnEnd)
{
  const OpeningPointer opening = MakeRequestOpening(aState, aServer, std::move(aOnEnd));
  OpenDirectly(opening);
  return opening->mConnection;
}

std::shared_ptr<ServerConnection>
OpenRelayedConnection(TrafficState& aState,
                      const RegisteredServer& aServer,
                      std::function<void(bool aIsOpen)> aOnEnd)
{
  const auto carrier = ChooseCarrierNow(aState, aServer, CarriersOf(aState));
  if (!carrier.has_value()) {
    return nullptr;
  }
  const OpeningPointer opening = MakeOpening(aState, aServer, std::move(aOnEnd));
  OpenVia(opening, CarriersOf(aState)[*carrier]);
  return opening->mConnection;
}

void
CheckPath(TrafficState& aState, const RegisteredServer& aServer, const ServerConnection& aSuspect)
{
  if (!aSuspect.mVia.Empty()) {
    ProbeCarrier(aState, aServer, aSuspect.mVia);
  } else if (HasCarriers(aState) && HasDirectPath(aState.mPaths, aServer)) {
    ProbeDirectPath(aState, aServer);
  }
}

void
RecordPathAnswer(TrafficState& aState,
                 const RegisteredServer& aServer,
                 const ServerConnection& aConnection)
{
  LogPathChange(
    aState,
    aServer,
    RecordAnswered(
      aState.mPaths, PathRequestOn(aServer, aConnection), aState.mRandom(), SuspendAwareNow()));
}

bool
RecordPathUnanswered(TrafficState& aState,
                     const RegisteredServer& aServer,
                     const ServerConnection& aConnection)
{
  if (!HasCarriers(aState)) {
    return false;
  }
  const PathRequest request = PathRequestOn(aServer, aConnection);
  LogPathChange(aState,
                aServer,
                RecordNotAnswered(aState.mPaths, request, CountServers(aState), SuspendAwareNow()));
  return request.mPath == PathKind::kDirect && aState.mPaths.mCutOffSince.has_value();
}

void
SweepPaths(TrafficState& aState, Instant aNow)
{
  if (!aState.mView || !aState.mView->mServers) {
    return;
  }
  ExpirePaths(aState.mPaths, *aState.mView->mServers, aNow);
  if (HasFailedPaths(aState.mPaths)) {
    // In case that the probes could not be scheduled before.
    ScheduleProbes(aState);
  }
  aState.mConnectionPool.CloseUnusable([&aState](const ServerConnection& aConnection) {
    return aConnection.mVia.Empty() || IsListedCarrier(aState, aConnection.mVia);
  });
}

RelayDecision
DecideRelay(const TrafficState& aState, const RelayOpen& aOpen, const RelayLoad& aLoad)
{
  // Requests of the host's own clients come first.
  constexpr std::size_t kCarriedParts = 4;
  RelayLimits limits{ .mMaxConnections = aState.mOptions.mMaxConnections };
  limits.mMaxBufferedBytes =
    std::min(limits.mMaxBufferedBytes, aState.mMemory.mLimits.mTotal / kCarriedParts);
  const auto reason = ReasonToDecline(aLoad, limits);
  if (reason.has_value()) {
    return { .mStatus = *reason };
  }
  if (aState.mPaths.mCutOffSince.has_value()) {
    return { .mStatus = RelayStatus::kCutOff };
  }
  if (!aState.mView || !aState.mView->mServers) {
    return { .mStatus = RelayStatus::kUnknownServer };
  }
  const auto& servers = aState.mView->mServers->mServers;
  const auto server = servers.find(aOpen.mServer);
  const auto status = aState.mServerStatuses.find(aOpen.mServer);
  if (server == servers.end() || server->second.mIncarnation != aOpen.mIncarnation ||
      !AcceptsRequests(server->second,
                       status == aState.mServerStatuses.end() ? ServerStatus{} : status->second)) {
    return { .mStatus = RelayStatus::kUnknownServer };
  }
  if (IsEvacuated(aState, server->second)) {
    return { .mStatus = RelayStatus::kUnknownServer };
  }
  if (!HasDirectPath(aState.mPaths, server->second)) {
    return { .mStatus = RelayStatus::kUnreachable };
  }
  return { .mStatus = RelayStatus::kConnected, .mServer = server->second.mEndpoint };
}

bool
MayCarryRequest(const TrafficState& aState, const RelayOpen& aOpen)
{
  if (!aState.mView || !aState.mView->mServers) {
    return true;
  }
  const auto& servers = aState.mView->mServers->mServers;
  const auto server = servers.find(aOpen.mServer);
  return server == servers.end() || !IsEvacuated(aState, server->second);
}

void
RecordRelayAnswer(TrafficState& aState, const RelayOpen& aOpen, RelayStatus aStatus)
{
  aState.mMetrics.IncrementLabelled(LabelledCounter::kRelaysCarried,
                                    NameOf(kRelayStatusNames, aStatus));
  aState.mLog.Write(LogSeverity::kRoutine,
                    LogEvent::kRelayAnswered,
                    "for={} server={} status={}",
                    aOpen.mHost.Value(),
                    aOpen.mServer.Value(),
                    NameOf(kRelayStatusNames, aStatus));
}

} // namespace trefoil
