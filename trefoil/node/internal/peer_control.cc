#include "trefoil/node/internal/peer_control.h"

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

} // namespace

Datagrams
OnPeerMessage(ControlState& aState, const Message& aMessage, Instant aNow)
{
  return std::visit([&aState, aNow](const auto& aKind) { return OnKind(aState, aKind, aNow); },
                    aMessage);
}

Datagrams
OnPeerTimer(ControlState& aState, Instant aNow)
{
  AnnounceConfig(aState.mGossip, NewestRevision(aState.mDocuments), 0, aNow);
  return OnGossipTimer(aState.mGossip, aNow);
}

Instant
NextPeerTimer(const ControlState& aState)
{
  return NextGossipTimer(aState.mGossip);
}

} // namespace trefoil
