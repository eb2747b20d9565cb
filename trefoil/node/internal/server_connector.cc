#include "trefoil/node/internal/server_connector.h"

#include "trefoil/wire/peer_link.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <algorithm>
#include <fmt/format.h>
#include <spdlog/spdlog.h>
#include <utility>

namespace trefoil {
namespace {

// Covers the time that the carrier takes to connect.
constexpr Milliseconds kCarrierTimeout{ 1'000 };
// A server may be silent for a second and go on.
constexpr Milliseconds kMaxSilence{ 1'200 };
// A whole zone may be cut off, so that several decline.
constexpr int kMaxCarriersAsked = 8;

// The document has no incarnations of servers.
RegisteredServer
ToRegistered(const BackendServerSpec& aServer)
{
  return { .mId = aServer.mServer, .mEndpoint = aServer.mEndpoint, .mZone = aServer.mZone };
}

Carriers
CarriersOf(const Snapshot& aSnapshot, const HostId& aSelf)
{
  Carriers carriers;
  for (const auto& [host, member] : aSnapshot.mMembers.mByHost) {
    if (host != aSelf && IsAlive(member)) {
      carriers.push_back({ .mHost = host,
                           .mEndpoint = member.mHeartbeat.mPeerEndpoint,
                           .mZone = member.mHeartbeat.mZone });
    }
  }
  return carriers;
}

bool
HasCarriers(const Snapshot& aSnapshot, const HostId& aSelf)
{
  return std::ranges::any_of(aSnapshot.mMembers.mByHost, [&aSelf](const auto& aItem) {
    return aItem.first != aSelf && IsAlive(aItem.second);
  });
}

std::size_t
CountServers(const Snapshot& aSnapshot)
{
  std::size_t servers = 0;
  for (const auto& [service, view] : aSnapshot.mServices) {
    servers += view.mDocument->mServers.size();
  }
  return servers;
}

ServerRegistry
RegistryOf(const Snapshot& aSnapshot)
{
  ServerRegistry registry;
  for (const auto& [service, view] : aSnapshot.mServices) {
    for (const BackendServerSpec& server : view.mDocument->mServers) {
      registry.mServers.emplace(server.mServer, ToRegistered(server));
    }
  }
  return registry;
}

PathRequest
ToPathRequest(const BackendServerSpec& aServer, const TakenPath& aPath)
{
  return { .mServer = aServer.mServer,
           .mPath = aPath.mIsRelayed ? PathKind::kRelayed : PathKind::kDirect };
}

// Returns why a carrier did not connect, or std::nullopt if it did.
std::optional<CarrierFailure>
FailureOf(const absl::StatusOr<RelayLink>& aLink)
{
  if (!aLink.ok()) {
    return CarrierFailure::kDeclined;
  }
  switch (aLink->mStatus) {
    case RelayStatus::kConnected:
      return std::nullopt;
    case RelayStatus::kUnreachable:
      return CarrierFailure::kServerUnreachable;
    case RelayStatus::kUnknownServer:
      return CarrierFailure::kServerUnknown;
    case RelayStatus::kCutOff:
    case RelayStatus::kFull:
    case RelayStatus::kStopping:
      return CarrierFailure::kDeclined;
  }
  return CarrierFailure::kDeclined;
}

} // namespace

std::optional<BackendServerSpec>
FindServer(const Snapshot& aSnapshot, const BackendServerId& aServer)
{
  for (const auto& [service, view] : aSnapshot.mServices) {
    const auto& servers = view.mDocument->mServers;
    const auto found = std::ranges::find(servers, aServer, &BackendServerSpec::mServer);
    if (found != servers.end()) {
      return *found;
    }
  }
  return std::nullopt;
}

ServerConnector::ServerConnector(ServerConnectorOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(std::random_device{}())
{
}

Connector
ServerConnector::For(const BackendServerSpec& aServer, TakenPath& aPath)
{
  return [this, aServer, &aPath](Instant aDeadline) {
    return Connect(aServer, aDeadline, aPath, false);
  };
}

Poco::Net::StreamSocket
ServerConnector::Connect(const BackendServerSpec& aServer,
                         Instant aDeadline,
                         TakenPath& aPath,
                         bool aIsTrial)
{
  aPath.mIsRelayed = false;
  const RegisteredServer server = ToRegistered(aServer);
  const auto snapshot = mOptions.mSnapshots->Read();
  if (!HasCarriers(*snapshot, mOptions.mHost)) {
    return ConnectDirectly(aServer.mEndpoint, aDeadline);
  }
  if (aIsTrial || HasDirectPathTo(aServer)) {
    try {
      auto socket =
        ConnectDirectly(aServer.mEndpoint, std::min(aDeadline, Now() + kDirectConnectTimeout));
      RecordDirect(aServer, std::nullopt);
      return socket;
    } catch (const Poco::TimeoutException&) {
      RecordDirect(aServer, ConnectFailure::kTimedOut);
    } catch (const Poco::Exception&) {
      RecordDirect(aServer, ConnectFailure::kRefused);
    }
  }
  const Carriers carriers = CarriersOf(*snapshot, mOptions.mHost);
  for (int asked = 0; asked < kMaxCarriersAsked && !HasPassed(aDeadline, Now()); ++asked) {
    const auto carrier = NextCarrier(server, carriers);
    if (!carrier.has_value()) {
      break;
    }
    auto link = OpenRelay(carrier->mEndpoint,
                          { .mHost = mOptions.mHost, .mServer = aServer.mServer },
                          std::min(aDeadline, Now() + kCarrierTimeout));
    const auto failure = FailureOf(link);
    RecordCarrier(server, carrier->mHost, failure);
    if (!failure.has_value()) {
      aPath.mIsRelayed = true;
      return link->mSocket;
    }
  }
  throw Poco::Net::NetException(
    fmt::format("no way leads to the server {}", aServer.mServer.Value()));
}

std::vector<BackendServerSpec>
ServerConnector::TakeProbesDue()
{
  const auto snapshot = mOptions.mSnapshots->Read();
  const absl::MutexLock lock{ &mMutex };
  std::vector<BackendServerSpec> servers;
  if (!HasFailedPaths(mPaths)) {
    return servers;
  }
  const ServerRegistry registry = RegistryOf(*snapshot);
  ExpirePaths(mPaths, registry, Now());
  for (const BackendServerId& id : trefoil::TakeProbesDue(mPaths, registry, mRandom(), Now())) {
    if (auto server = FindServer(*snapshot, id)) {
      servers.push_back(*server);
    }
  }
  return servers;
}

void
ServerConnector::RecordDirect(const BackendServerSpec& aServer,
                              std::optional<ConnectFailure> aFailure)
{
  const std::size_t servers = CountServers(*mOptions.mSnapshots->Read());
  const absl::MutexLock lock{ &mMutex };
  const RegisteredServer server = ToRegistered(aServer);
  if (!aFailure.has_value()) {
    if (RecordConnected(mPaths, server, mRandom(), Now())) {
      ApplyChange(PathChange::kCutOffEnded);
    }
    return;
  }
  if (RecordConnectFailure(mPaths, server, *aFailure, servers, mRandom(), Now())) {
    ApplyChange(PathChange::kCutOff);
  }
}

bool
ServerConnector::TakeTrial()
{
  const absl::MutexLock lock{ &mMutex };
  return TakeDirectTrial(mPaths, mRandom(), Now());
}

void
ServerConnector::BeginWatch(AnswerWatch& aWatch)
{
  const absl::MutexLock lock{ &mMutex };
  aWatch.mSentAt = Now();
  mWatches.insert(&aWatch);
}

void
ServerConnector::EndWatch(AnswerWatch& aWatch)
{
  const absl::MutexLock lock{ &mMutex };
  mWatches.erase(&aWatch);
}

void
ServerConnector::RecordAnswer(AnswerWatch& aWatch)
{
  const absl::MutexLock lock{ &mMutex };
  if (!aWatch.mSentAt.has_value()) {
    return;
  }
  mWatches.erase(&aWatch);
  aWatch.mIsAnswered = true;
  const PathRequest request = ToPathRequest(aWatch.mRequest.mServer, aWatch.mPath);
  mRelaysAnswer = mRelaysAnswer || request.mPath == PathKind::kRelayed;
  for (AnswerWatch* watch : mWatches) {
    watch->mIsExcused =
      watch->mIsExcused || (request.mPath == PathKind::kDirect && watch->mIsUnanswered);
  }
  ApplyChange(RecordAnswered(mPaths, request, mRandom(), Now()));
}

void
ServerConnector::RecordUnanswered(AnswerWatch& aWatch)
{
  const auto snapshot = mOptions.mSnapshots->Read();
  if (!HasCarriers(*snapshot, mOptions.mHost)) {
    return;
  }
  const std::size_t servers = CountServers(*snapshot);
  const absl::MutexLock lock{ &mMutex };
  mWatches.erase(&aWatch);
  if (!aWatch.mIsAnswered) {
    CountUnanswered(aWatch, servers);
  }
}

void
ServerConnector::CountUnanswered(AnswerWatch& aWatch, std::size_t aServers)
{
  // A request that is still silent on a direct path is as good a sign as a new one.
  const bool isRepeated = std::exchange(aWatch.mIsUnanswered, true);
  if (!isRepeated || (!aWatch.mPath.mIsRelayed && !aWatch.mIsExcused)) {
    ApplyChange(RecordNotAnswered(
      mPaths, ToPathRequest(aWatch.mRequest.mServer, aWatch.mPath), aServers, Now()));
  }
}

void
ServerConnector::ApplyChange(PathChange aChange)
{
  switch (aChange) {
    case PathChange::kNone:
      return;
    case PathChange::kCutOff:
      mTriesRelays = mRelaysAnswer = false;
      spdlog::warn("this host is cut off from servers: {}",
                   NameOf(kConnectFailureNames, mPaths.mCutOffFailure));
      return;
    case PathChange::kCutOffEnded:
      spdlog::warn("this host reaches servers again");
      return;
  }
}

bool
ServerConnector::IsPathLost(const AnswerWatch& aWatch) const
{
  return !aWatch.mPath.mIsRelayed &&
         !MayUseOpenConnections(mPaths, ToRegistered(aWatch.mRequest.mServer));
}

bool
ServerConnector::IsCutOff(const AnswerWatch& aWatch)
{
  const bool hasCarriers = HasCarriers(*mOptions.mSnapshots->Read(), mOptions.mHost);
  const absl::MutexLock lock{ &mMutex };
  return aWatch.mGivenUpAt.IsSet() || (hasCarriers && IsPathLost(aWatch));
}

void
ServerConnector::CheckSilence()
{
  const auto snapshot = mOptions.mSnapshots->Read();
  if (!HasCarriers(*snapshot, mOptions.mHost)) {
    return;
  }
  const std::size_t servers = CountServers(*snapshot);
  const absl::MutexLock lock{ &mMutex };
  for (AnswerWatch* watch : mWatches) {
    if (HasPassed(*watch->mSentAt + kMaxSilence, Now())) {
      CountUnanswered(*watch, servers);
    }
  }
  for (AnswerWatch* watch : mWatches) {
    const bool mayMove = watch->mIsUnanswered && watch->mRequest.mMayRepeat && IsPathLost(*watch);
    if (mayMove && (mRelaysAnswer || !std::exchange(mTriesRelays, true))) {
      watch->mGivenUpAt.Set(Now());
    }
  }
}

AnswerWatch::AnswerWatch(ServerConnector& aConnector, WatchedRequest aRequest, TakenPath& aPath)
  : mConnector(aConnector)
  , mRequest(std::move(aRequest))
  , mPath(aPath)
{
}

AnswerWatch::~AnswerWatch()
{
  mConnector.EndWatch(*this);
}

Connector
AnswerWatch::MakeConnector()
{
  return [this](Instant aDeadline) {
    const bool isTrial = mRequest.mMayRepeat && mRequest.mMayTryDirect && mConnector.TakeTrial();
    auto socket = mConnector.Connect(mRequest.mServer, aDeadline, mPath, isTrial);
    mConnector.BeginWatch(*this);
    return socket;
  };
}

void
AnswerWatch::RecordAnswer()
{
  mConnector.RecordAnswer(*this);
}

void
AnswerWatch::RecordLoss()
{
  mConnector.RecordUnanswered(*this);
}

bool
AnswerWatch::IsCutOff() const
{
  return mConnector.IsCutOff(*this);
}

bool
ServerConnector::HasDirectPathTo(const BackendServerSpec& aServer)
{
  const absl::MutexLock lock{ &mMutex };
  return HasDirectPath(mPaths, ToRegistered(aServer));
}

std::optional<Carrier>
ServerConnector::NextCarrier(const RegisteredServer& aServer, const Carriers& aCarriers)
{
  const absl::MutexLock lock{ &mMutex };
  const auto chosen = ChooseCarrier(
    mPaths, aServer, aCarriers, { .mZone = mOptions.mZone, .mRandomValue = mRandom() }, Now());
  return chosen.has_value() ? std::optional{ aCarriers[*chosen] } : std::nullopt;
}

void
ServerConnector::RecordCarrier(const RegisteredServer& aServer,
                               const HostId& aCarrier,
                               std::optional<CarrierFailure> aFailure)
{
  const absl::MutexLock lock{ &mMutex };
  if (aFailure.has_value()) {
    RecordRelayFailure(mPaths, aServer, aCarrier, *aFailure, mRandom(), Now());
  } else {
    RecordRelayed(mPaths, aServer, aCarrier, Now());
  }
}

} // namespace trefoil
