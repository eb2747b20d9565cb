#include "trefoil/steering/internal/relaying.h"

#include "trefoil/steering/internal/datagrams.h"
#include "trefoil/steering/internal/store_news.h"

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

StoreReply
MakeReply(const ControlState& aState, std::uint64_t aNumber, const RelaySubscriber& aTo)
{
  const Instant now = SuspendAwareNow();
  StoreReply reply{ .mHost = aState.mOptions.mHost,
                    .mNumber = aNumber,
                    .mOperators =
                      ToRelayed(aState.mOperatorWatch->Record(), aTo.mOperatorRevision, now),
                    .mServers =
                      ToRelayed(aState.mServerWatch->Record(), aTo.mServerRevision, now) };
  if (aState.mServersRegainedAt.has_value()) {
    reply.mRegainedMs =
      std::chrono::duration_cast<Milliseconds>(now - *aState.mServersRegainedAt).count();
  }
  return reply;
}

void
NoteTold(const ControlState& aState, RelaySubscriber& aSubscriber)
{
  aSubscriber.mOperatorRevision =
    std::max(aSubscriber.mOperatorRevision, aState.mOperatorWatch->Record().mRevision);
  aSubscriber.mServerRevision =
    std::max(aSubscriber.mServerRevision, aState.mServerWatch->Record().mRevision);
}

} // namespace

void
RelayStore(ControlState& aState)
{
  const Instant now = SuspendAwareNow();
  StoreRelay& relay = aState.mRelay;
  DropSilentSubscribers(relay, now);
  std::vector<HostId> watchers = StoreWatchers(aState.mPeers, aState.mOptions.mZone, now);
  const bool isAsked = std::ranges::find(watchers, aState.mOptions.mHost) != watchers.end();
  if (aState.mLeaving || isAsked) {
    watchers.clear();
  }
  if (watchers != relay.mWatchers) {
    relay.mWatchers = std::move(watchers);
    aState.mLog.Write(LogWeight::kNotable,
                      LogEvent::kPeersChanged,
                      "store_followed_by={} also={}",
                      relay.mWatchers.empty() ? aState.mOptions.mHost.Value()
                                              : relay.mWatchers.front().Value(),
                      relay.mWatchers.empty() ? std::string{} : relay.mWatchers.back().Value());
    // The hosts of a zone divide between those that they ask.
    relay.mAsked = aState.mRandom() % 2;
  }
  SetRelaying(aState, !relay.mWatchers.empty(), isAsked);
  const auto asked = NextQuestion(relay, now);
  if (!asked.has_value()) {
    return;
  }
  SendDatagram(aState,
               aState.mPeers.mPeers.at(*asked).mUpdate.mEndpoint,
               StoreQuery{ .mHost = aState.mOptions.mHost,
                           .mEndpoint = aState.mOptions.mPeerEndpoint,
                           .mNumber = relay.mNumber,
                           .mOperatorRevision = aState.mOperatorWatch->Record().mRevision,
                           .mServerRevision = aState.mServerWatch->Record().mRevision });
}

void
OnStoreQuery(ControlState& aState, const StoreQuery& aQuery)
{
  RelaySubscriber subscriber{ .mEndpoint = aQuery.mEndpoint,
                              .mOperatorRevision = aQuery.mOperatorRevision,
                              .mServerRevision = aQuery.mServerRevision,
                              .mHeardAt = SuspendAwareNow() };
  SendDatagram(aState, aQuery.mEndpoint, MakeReply(aState, aQuery.mNumber, subscriber));
  NoteTold(aState, subscriber);
  aState.mRelay.mSubscribers[aQuery.mHost] = subscriber;
}

void
OnStoreReply(ControlState& aState, const StoreReply& aReply)
{
  const auto askedAt = OnRelayReply(aState.mRelay, aReply.mNumber);
  if (aReply.mRegainedMs >= 0) {
    NoteServersRegained(aState, SuspendAwareNow() - Milliseconds{ aReply.mRegainedMs });
  }
  aState.mOperatorWatch->TakeNews(FromRelayed(aReply.mOperators, askedAt));
  aState.mServerWatch->TakeNews(FromRelayed(aReply.mServers, askedAt));
}

void
PushStoreChanges(ControlState& aState)
{
  for (auto& [host, subscriber] : aState.mRelay.mSubscribers) {
    SendDatagram(aState, subscriber.mEndpoint, MakeReply(aState, 0, subscriber));
    NoteTold(aState, subscriber);
  }
}

} // namespace trefoil
