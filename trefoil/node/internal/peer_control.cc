#include "trefoil/node/internal/peer_control.h"

#include <algorithm>

namespace trefoil {
namespace {

template<typename Kind>
Datagrams
HandleMessage(NodeControlState& aState, const Kind& aMessage, Instant aNow)
{
  if constexpr (requires { OnGossip(aState.mGossip, aMessage, aNow); }) {
    return OnGossip(aState.mGossip, aMessage, aNow);
  } else {
    return {};
  }
}

Datagrams
HandleMessage(NodeControlState& aState, const ServerReports& aMessage, Instant aNow)
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

// Appends a WatchDocuments if this host should start or stop watching the store. Some hosts of each
// zone watch it (see WatchesStore), and so does a host that is not ready yet.
void
AppendWatchChange(NodeControlState& aState, ControlEffects& aEffects)
{
  const bool enabled = !aState.mReady || WatchesStore(aState.mGossip);
  if (enabled != aState.mWatchesStore) {
    aState.mWatchesStore = enabled;
    aEffects.emplace_back(WatchDocuments{ .mEnabled = enabled });
  }
}

} // namespace

void
AppendSendMessages(ControlEffects& aEffects, Datagrams aDatagrams)
{
  for (Datagram& datagram : aDatagrams) {
    aEffects.emplace_back(
      SendMessage{ .mTo = std::move(datagram.mTo), .mMessage = std::move(datagram.mMessage) });
  }
}

Datagrams
OnPeerMessage(NodeControlState& aState, const Message& aMessage, Instant aNow)
{
  return std::visit(
    [&aState, aNow](const auto& aAlternative) { return HandleMessage(aState, aAlternative, aNow); },
    aMessage);
}

ControlEffects
OnPeerTimer(NodeControlState& aState, Instant aNow)
{
  ControlEffects effects;
  AppendSendMessages(effects, OnGossipTimer(aState.mGossip, aNow));
  AppendSendMessages(effects, OnHealthTimer(aState.mHealth, aState.mGossip, aNow));
  for (ServerPoll& poll : DuePolls(aState.mHealth, aState.mGossip, aNow)) {
    effects.emplace_back(PollServer{ std::move(poll) });
  }
  aState.mReady = aState.mReady || IsConfigReady(aState.mConfig, aNow);
  RecordPropagation(aState.mConfig, aState.mGossip, aNow);
  AppendFetch(aState, effects, aNow);
  AppendWatchChange(aState, effects);
  return effects;
}

Instant
NextPeerTimer(const NodeControlState& aState)
{
  return std::min(NextGossipTimer(aState.mGossip), NextHealthTimer(aState.mHealth));
}

void
OnDocumentsChanged(NodeControlState& aState, Instant aNow)
{
  const DocumentsInForce& documents = aState.mConfig.mDocuments;
  aState.mReady = aState.mReady || IsConfigReady(aState.mConfig, aNow);
  const std::uint32_t digest = DigestOfRevisions(documents);
  AnnounceConfig(aState.mGossip, NewestRevision(documents), digest, aNow);
  if (digest == aState.mPublishedDigest) {
    return;
  }
  aState.mPublishedDigest = digest;
  aState.mPublishedDocuments = std::make_shared<const DocumentsInForce>(documents);
  SetServers(aState.mHealth, ServersOf(documents), aNow);
}

void
AppendFetch(NodeControlState& aState, ControlEffects& aEffects, Instant aNow)
{
  auto fetch = StartNextFetch(aState.mConfig, aState.mGossip, aNow);
  if (fetch.has_value()) {
    aEffects.emplace_back(FetchDocuments{ std::move(*fetch) });
  }
}

void
SetPeerFields(const NodeControlState& aState, Snapshot& aSnapshot)
{
  aSnapshot.mFreshUntil = aState.mGossip.mFreshUntil;
  aSnapshot.mHasDocuments = aState.mReady;
  aSnapshot.mWatchesStore = aState.mWatchesStore;
  aSnapshot.mMembers = aState.mGossip.mMembers;
  aSnapshot.mZones = aState.mGossip.mZones;
  aSnapshot.mServers = aState.mHealth.mPublishedReports;
  aSnapshot.mNotUp = aState.mHealth.mNotUp;
  aSnapshot.mDocuments = aState.mPublishedDocuments;
  for (const auto& [service, propagation] : aState.mConfig.mPropagation) {
    aSnapshot.mServices[service].mPropagation = propagation;
  }
}

} // namespace trefoil
