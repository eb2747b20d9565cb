#include "trefoil/node/internal/peer_control.h"

#include <algorithm>

namespace trefoil {
namespace {

template<typename Kind>
Datagrams
OnKind(ControlState& aState, const Kind& aMessage, Instant aNow)
{
  if constexpr (requires { OnGossip(aState.mGossip, aMessage, aNow); }) {
    return OnGossip(aState.mGossip, aMessage, aNow);
  } else {
    return {};
  }
}

Datagrams
OnKind(ControlState& aState, const ServerReports& aMessage, Instant aNow)
{
  OnServerReports(aState.mHealth, aMessage, aNow);
  return {};
}

std::vector<ServerTarget>
ServersOf(const DocumentsInForce& aDocuments)
{
  std::vector<ServerTarget> servers;
  for (const auto& [service, state] : aDocuments.mByService) {
    if (state.mDocument == nullptr) {
      continue;
    }
    for (const BackendServerSpec& server : state.mDocument->mServers) {
      servers.push_back(
        { .mServer = server.mServer, .mEndpoint = server.mEndpoint, .mZone = server.mZone });
    }
  }
  return servers;
}

// Two hosts of a zone watch the store; a host that is not ready yet asks it too.
void
AddWatch(ControlState& aState, ControlEffects& aEffects)
{
  const bool wanted = !aState.mReady || WatchesStore(aState.mGossip);
  if (wanted != aState.mWatchesStore) {
    aState.mWatchesStore = wanted;
    aEffects.emplace_back(WatchDocuments{ .mWanted = wanted });
  }
}

} // namespace

void
AddDatagrams(ControlEffects& aEffects, Datagrams aDatagrams)
{
  for (Datagram& datagram : aDatagrams) {
    aEffects.emplace_back(
      SendMessage{ .mTo = std::move(datagram.mTo), .mMessage = std::move(datagram.mMessage) });
  }
}

Datagrams
OnPeerMessage(ControlState& aState, const Message& aMessage, Instant aNow)
{
  return std::visit([&aState, aNow](const auto& aKind) { return OnKind(aState, aKind, aNow); },
                    aMessage);
}

ControlEffects
OnPeerTimer(ControlState& aState, Instant aNow)
{
  ControlEffects effects;
  AddDatagrams(effects, OnGossipTimer(aState.mGossip, aNow));
  AddDatagrams(effects, OnHealthTimer(aState.mHealth, aState.mGossip, aNow));
  for (ServerPoll& poll : DuePolls(aState.mHealth, aState.mGossip, aNow)) {
    effects.emplace_back(PollServer{ std::move(poll) });
  }
  aState.mReady = aState.mReady || IsConfigReady(aState.mConfig, aNow);
  RecordPropagation(aState.mConfig, aState.mGossip, aNow);
  AddFetch(aState, effects, aNow);
  AddWatch(aState, effects);
  return effects;
}

Instant
NextPeerTimer(const ControlState& aState)
{
  return std::min(NextGossipTimer(aState.mGossip), NextHealthTimer(aState.mHealth));
}

void
OnDocumentsChanged(ControlState& aState, Instant aNow)
{
  const DocumentsInForce& documents = aState.mConfig.mDocuments;
  aState.mReady = aState.mReady || IsConfigReady(aState.mConfig, aNow);
  const std::uint32_t digest = DigestOfRevisions(documents);
  AnnounceConfig(aState.mGossip, NewestRevision(documents), digest, aNow);
  if (digest == aState.mSharedDigest) {
    return;
  }
  aState.mSharedDigest = digest;
  aState.mSharedDocuments = std::make_shared<const DocumentsInForce>(documents);
  SetServers(aState.mHealth, ServersOf(documents), aNow);
}

void
AddFetch(ControlState& aState, ControlEffects& aEffects, Instant aNow)
{
  auto fetch = StartNextFetch(aState.mConfig, aState.mGossip, aNow);
  if (fetch.has_value()) {
    aEffects.emplace_back(FetchDocuments{ std::move(*fetch) });
  }
}

void
FillPeerPart(const ControlState& aState, Snapshot& aSnapshot)
{
  aSnapshot.mFreshUntil = aState.mGossip.mFreshUntil;
  aSnapshot.mHasDocuments = aState.mReady;
  aSnapshot.mWatchesStore = aState.mWatchesStore;
  aSnapshot.mMembers = aState.mGossip.mMembers;
  aSnapshot.mZones = aState.mGossip.mZones;
  aSnapshot.mServers = aState.mHealth.mPublishedReports;
  aSnapshot.mNotUp = aState.mHealth.mNotUp;
  aSnapshot.mDocuments = aState.mSharedDocuments;
  for (const auto& [service, spread] : aState.mConfig.mPropagation) {
    aSnapshot.mServices[service].mPropagation = spread;
  }
}

} // namespace trefoil
