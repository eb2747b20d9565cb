#include "trefoil/steering/internal/store_relay_messages.h"

#include "trefoil/steering/internal/datagrams.h"
#include "trefoil/steering/internal/server_updates.h"
#include "trefoil/steering/internal/store_updates.h"
#include "trefoil/wire/age.h"
#include "trefoil/wire/codec.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

StoreReply
MakeReply(const SteeringState& aState,
          std::uint64_t aQueryNumber,
          const RelaySubscriber& aSubscriber)
{
  const Instant now = SuspendAwareNow();
  StoreReply reply{
    .mHost = aState.mOptions.mHost,
    .mNumber = aQueryNumber,
    .mOperators =
      MakeRelayedPrefix(aState.mOperatorWatch->Record(), aSubscriber.mOperatorRevision, now),
    .mServers = MakeRelayedPrefix(aState.mServerWatch->Record(), aSubscriber.mServerRevision, now)
  };
  if (aState.mStoreRegainedAt.has_value()) {
    reply.mRegainedAgeMs =
      std::chrono::duration_cast<Milliseconds>(now - *aState.mStoreRegainedAt).count();
  }
  return reply;
}

// Sends a subscriber what it lacks, or that it lacks nothing. Returns the size of the message in
// bytes. The next message contains the changes after the newest one that was sent, not those after
// this host's revision: a subscriber to which only a message without changes was lost can then
// apply it.
std::size_t
SendReply(SteeringState& aState, RelaySubscriber& aSubscriber)
{
  const std::uint64_t queryNumber = std::exchange(aSubscriber.mQueryNumber, 0);
  const std::string message = Encode(MakeReply(aState, queryNumber, aSubscriber));
  SendBytes(aState, aSubscriber.mEndpoint, message);
  aSubscriber.mOperatorRevision =
    std::max(aSubscriber.mOperatorRevision, aState.mOperatorWatch->Record().mLastChange);
  aSubscriber.mServerRevision =
    std::max(aSubscriber.mServerRevision, aState.mServerWatch->Record().mLastChange);
  return message.size();
}

// Returns whether a subscriber lacks changes that this host has.
bool
LacksChanges(const SteeringState& aState, const RelaySubscriber& aSubscriber)
{
  return LacksChanges(aSubscriber, aState.mOperatorWatch->Record(), aState.mServerWatch->Record());
}

} // namespace

void
UpdateStoreRelay(SteeringState& aState)
{
  const Instant now = SuspendAwareNow();
  StoreRelay& relay = aState.mRelay;
  ExpireSubscribers(relay, now);
  const std::vector<HostId> watchers = StoreWatchers(aState.mPeers, aState.mAggregation, now);
  const bool isWatcher = std::ranges::find(watchers, aState.mOptions.mHost) != watchers.end();
  // The watchers of the zones prefer the first of the fleet; the other hosts of a zone spread their
  // queries over its watchers.
  RelayPlan plan = aState.mLeaving
                     ? RelayPlan{}
                     : PlanRelay(aState.mOptions.mHost,
                                 watchers,
                                 isWatcher ? FleetWatchers(aState.mPeers, aState.mAggregation, now)
                                           : std::vector<HostId>{});
  const std::size_t firstIndex = plan.mRole == RelayRole::kSubscriber ? aState.mRandom() % 2 : 0;
  if (AdoptPlan(relay, std::move(plan), firstIndex)) {
    aState.mLog.Write(LogSeverity::kNotable,
                      LogEvent::kPeersChanged,
                      "store_role={} store_followed_by={} also={}",
                      NameOf(kRelayRoleNames, relay.mRole),
                      relay.mWatchers.empty() ? aState.mOptions.mHost.Value()
                                              : relay.mWatchers.front().Value(),
                      relay.mWatchers.empty() ? std::string{} : relay.mWatchers.back().Value());
  }
  // The store may reject this host alone: what others know of it is confirmed all the same.
  const bool asksStandIn =
    relay.mWatchers.empty() && !aState.mLeaving && aState.mOperatorWatch->IsStoreLost();
  const auto target = asksStandIn ? NextStandIn(relay, LivePeers(aState.mPeers, now), now)
                                  : NextQueryTarget(relay, now);
  SetWatchMode(aState, IsRelayed(relay), isWatcher);
  if (!target.has_value()) {
    return;
  }
  const auto endpoint = EndpointOf(aState.mPeers, *target);
  if (!endpoint.has_value()) {
    return;
  }
  SendDatagram(aState,
               *endpoint,
               StoreQuery{ .mHost = aState.mOptions.mHost,
                           .mEndpoint = aState.mOptions.mPeerEndpoint,
                           .mNumber = relay.mQueryNumber,
                           .mOperatorRevision = aState.mOperatorWatch->Record().mRevision,
                           .mServerRevision = aState.mServerWatch->Record().mRevision });
}

void
OnStoreQuery(SteeringState& aState, const StoreQuery& aQuery)
{
  RelaySubscriber& subscriber = aState.mRelay.mSubscribers[aQuery.mHost];
  subscriber = { .mEndpoint = aQuery.mEndpoint,
                 .mOperatorRevision = aQuery.mOperatorRevision,
                 .mServerRevision = aQuery.mServerRevision,
                 .mLastReceivedAt = SuspendAwareNow(),
                 .mQueryNumber = aQuery.mNumber };
  if (LacksChanges(aState, subscriber)) {
    // Hosts that were started together query together.
    PushStoreChanges(aState);
  } else {
    SendReply(aState, subscriber);
  }
}

void
OnStoreReply(SteeringState& aState, const StoreReply& aReply)
{
  const auto querySentAt =
    OnRelayReply(aState.mRelay,
                 aReply.mNumber,
                 BoundedAge(std::max(aReply.mOperators.mAgeMs, aReply.mServers.mAgeMs)));
  if (aReply.mRegainedAgeMs >= 0) {
    RecordStoreRegained(aState, SuspendAwareNow() - BoundedAge(aReply.mRegainedAgeMs));
  }
  aState.mOperatorWatch->ApplyUpdate(MakePrefixUpdate(aReply.mOperators, querySentAt));
  aState.mServerWatch->ApplyUpdate(MakePrefixUpdate(aReply.mServers, querySentAt));
}

void
PushStoreChanges(SteeringState& aState)
{
  StoreRelay& relay = aState.mRelay;
  for (auto& [host, subscriber] : relay.mSubscribers) {
    if (!LacksChanges(aState, subscriber)) {
      continue;
    }
    const Instant now = SuspendAwareNow();
    const Instant pushAt = NextPushAt(relay);
    if (!HasPassed(pushAt, now)) {
      if (aState.mPushTimer == 0) {
        aState.mPushTimer = aState.mLoop.CallAt(pushAt, [&aState] {
          aState.mPushTimer = 0;
          PushStoreChanges(aState);
        });
      }
      return;
    }
    RecordPush(relay, SendReply(aState, subscriber), now);
  }
}

} // namespace trefoil
